//! Names for numbers that a part makes up.
//!
//! Numbers of sub-requests start at a random place and ids of requests are random. A trace names
//! them by what they are for, such as `7/3#1` for the first sub-request of snapshot 7, shard 3, and
//! `$1` for the first id, so that it can be written by hand and outlives a change of policy.

use serde_json::Value;
use std::collections::HashMap;

/// Names for numbers that a part makes up.
#[derive(Debug, Default)]
pub struct Names {
    subs: HashMap<u64, String>,
    ids: HashMap<String, u64>,
    keys: HashMap<String, String>,
    key_names: HashMap<String, String>,
    sent: HashMap<String, u32>,
}

impl Names {
    /// Takes note of the numbers that effects bring up.
    pub fn learn(&mut self, effects: &[Value]) {
        for effect in effects {
            if let Some(key) = effect.pointer("/issued/key/Ok").and_then(Value::as_str) {
                let name = format!("${}", self.keys.len() + 1);
                self.keys.insert(key.to_owned(), name.clone());
                self.key_names.insert(name, key.to_owned());
            }
            if let Some(sub) = effect.pointer("/send/sub") {
                self.learn_sub(sub);
            }
        }
    }

    fn learn_sub(&mut self, sub: &Value) {
        let Some(id) = sub["id"].as_u64() else {
            return;
        };
        let search = &sub["work"]["search"];
        let what = match sub["work"]["action"]["key"].as_str() {
            Some(key) => self.keys.get(key).cloned().unwrap_or_default(),
            None => format!("{}/{}", search["snapshot"], search["shard"]),
        };
        let count = self.sent.entry(what.clone()).or_default();
        *count += 1;
        let name = format!("{what}#{count}");
        self.ids.insert(name.clone(), id);
        self.subs.insert(id, name);
    }

    /// Puts names in place of numbers.
    pub fn name(&self, value: &mut Value) {
        self.each(value, &|field, value| match value {
            Value::Number(number) if field == "id" => {
                let name = number.as_u64().and_then(|id| self.subs.get(&id));
                name.map(|name| Value::from(name.clone()))
            }
            Value::String(text) => self.keys.get(text).map(|name| Value::from(name.clone())),
            _ => None,
        });
    }

    /// Puts numbers in place of names.
    pub fn number(&self, value: &mut Value) {
        self.each(value, &|field, value| match value {
            Value::String(text) if field == "id" => self.ids.get(text).map(|id| Value::from(*id)),
            Value::String(text) => self.key_names.get(text).map(|key| Value::from(key.clone())),
            _ => None,
        });
    }

    fn each(&self, value: &mut Value, change: &dyn Fn(&str, &Value) -> Option<Value>) {
        match value {
            Value::Object(fields) => {
                for (field, value) in fields {
                    match change(field, value) {
                        Some(changed) => *value = changed,
                        None => self.each(value, change),
                    }
                }
            }
            Value::Array(values) => {
                for value in values {
                    self.each(value, change);
                }
            }
            _ => {}
        }
    }
}
