//! Symbolic names for the ids that a core generates.
//!
//! Ids of sub-requests start at a random number and idempotency keys are random. A trace replaces
//! them by names that describe their purpose, such as `7/3#1` for the first sub-request to snapshot
//! 7, shard 3, and `$1` for the first key. A trace can then be written by hand and stays valid when
//! a policy changes.

use serde_json::Value;
use std::collections::HashMap;

/// Maps between the ids that a core generated and their names.
#[derive(Debug, Default)]
pub struct Names {
    /// Name of each sub-request, by id.
    sub_names: HashMap<u64, String>,
    /// Id of each sub-request, by name.
    sub_ids: HashMap<String, u64>,
    /// Name of each idempotency key.
    names_by_key: HashMap<String, String>,
    /// Idempotency key of each name.
    keys_by_name: HashMap<String, String>,
    /// Number of sub-requests sent for each purpose.
    sent: HashMap<String, u32>,
}

impl Names {
    /// Assigns names to the ids that first occur in these effects.
    pub fn register(&mut self, effects: &[Value]) {
        for effect in effects {
            if let Some(key) = effect.pointer("/issued/key/Ok").and_then(Value::as_str) {
                let name = format!("${}", self.names_by_key.len() + 1);
                self.names_by_key.insert(key.to_owned(), name.clone());
                self.keys_by_name.insert(name, key.to_owned());
            }
            if let Some(sub) = effect.pointer("/send/sub") {
                self.register_sub(sub);
            }
        }
    }

    fn register_sub(&mut self, sub: &Value) {
        let Some(id) = sub["id"].as_u64() else {
            return;
        };
        let search = &sub["work"]["search"];
        let purpose = match sub["work"]["action"]["key"].as_str() {
            Some(key) => self.names_by_key.get(key).cloned().unwrap_or_default(),
            None => format!("{}/{}", search["snapshot"], search["shard"]),
        };
        let count = self.sent.entry(purpose.clone()).or_default();
        *count += 1;
        let name = format!("{purpose}#{count}");
        self.sub_ids.insert(name.clone(), id);
        self.sub_names.insert(id, name);
    }

    /// Replaces generated ids in a JSON value by their names.
    pub fn replace_ids(&self, value: &mut Value) {
        self.replace_fields(value, &|field, value| match value {
            Value::Number(number) if field == "id" => {
                let name = number.as_u64().and_then(|id| self.sub_names.get(&id));
                name.map(|name| Value::from(name.clone()))
            }
            Value::String(text) => self
                .names_by_key
                .get(text)
                .map(|name| Value::from(name.clone())),
            _ => None,
        });
    }

    /// Replaces names in a JSON value by the ids that they refer to.
    pub fn replace_names(&self, value: &mut Value) {
        self.replace_fields(value, &|field, value| match value {
            Value::String(text) if field == "id" => {
                self.sub_ids.get(text).map(|id| Value::from(*id))
            }
            Value::String(text) => self
                .keys_by_name
                .get(text)
                .map(|key| Value::from(key.clone())),
            _ => None,
        });
    }

    /// Applies `change` to each field of all objects in a JSON value. If it returns none, the field
    /// is searched for further objects instead.
    fn replace_fields(&self, value: &mut Value, change: &dyn Fn(&str, &Value) -> Option<Value>) {
        match value {
            Value::Object(fields) => {
                for (field, value) in fields {
                    match change(field, value) {
                        Some(changed) => *value = changed,
                        None => self.replace_fields(value, change),
                    }
                }
            }
            Value::Array(values) => {
                for value in values {
                    self.replace_fields(value, change);
                }
            }
            _ => {}
        }
    }
}
