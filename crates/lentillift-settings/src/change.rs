//! What a new configuration changes in force, in words.

use crate::config::Config;
use crate::config::Kind;
use crate::config::Service;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// All that changes when `new` follows `old`.
pub fn describe(old: &Config, new: &Config) -> Vec<String> {
    let mut changes = Vec::new();
    if new.revision <= old.revision && new != old {
        changes.push(format!(
            "NOTHING comes in force: revision {} is not above {}, which every process holds.",
            new.revision, old.revision
        ));
    }
    names("failure domain", &old.domains, &new.domains, &mut changes);
    out(
        "failure domain",
        &old.domains_out,
        &new.domains_out,
        &mut changes,
    );
    out("host", &old.hosts_out, &new.hosts_out, &mut changes);
    entries("priority class", &old.classes, &new.classes, &mut changes);
    entries("caller", &old.callers, &new.callers, &mut changes);
    entries("service", &old.services, &new.services, &mut changes);
    for (name, service) in &new.services {
        if let Some(before) = old.services.get(name) {
            warn(name, before, service, &mut changes);
        }
    }
    rest(old, new, &mut changes);
    changes
}

/// Fields that have a wording of their own above.
const WORDED: [&str; 7] = [
    "revision",
    "domains",
    "domains_out",
    "hosts_out",
    "classes",
    "callers",
    "services",
];

fn names(
    what: &str,
    old: &BTreeSet<Arc<str>>,
    new: &BTreeSet<Arc<str>>,
    changes: &mut Vec<String>,
) {
    for name in new.difference(old) {
        changes.push(format!("The {what} {name} is new."));
    }
    for name in old.difference(new) {
        changes.push(format!("The {what} {name} is no longer known."));
    }
}

fn out(what: &str, old: &BTreeSet<Arc<str>>, new: &BTreeSet<Arc<str>>, changes: &mut Vec<String>) {
    for name in new.difference(old) {
        changes.push(format!("The {what} {name} goes out: it gets no new work."));
    }
    for name in old.difference(new) {
        changes.push(format!("The {what} {name} comes back into service."));
    }
}

fn entries<T>(
    what: &str,
    old: &BTreeMap<Arc<str>, T>,
    new: &BTreeMap<Arc<str>, T>,
    changes: &mut Vec<String>,
) where
    T: Serialize,
{
    for (name, entry) in new {
        match old.get(name) {
            Some(before) => fields(
                &format!("{what} {name}"),
                &json(before),
                &json(entry),
                changes,
            ),
            None => changes.push(format!("The {what} {name} is new.")),
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(format!(
            "The {what} {name} is gone: its requests are refused."
        ));
    }
}

/// Says what a changed service means beyond its figures.
fn warn(name: &str, old: &Service, new: &Service, changes: &mut Vec<String>) {
    if (old.kind, new.kind) == (Kind::Action, Kind::Search) {
        changes.push(format!(
            "CAUTION: requests to {name} may run more than once from now on."
        ));
    }
}

/// Whatever has no wording of its own, field by field.
fn rest(old: &Config, new: &Config, changes: &mut Vec<String>) {
    let strip = |config: &Config| match json(config) {
        Value::Object(mut object) => {
            object.retain(|name, _| !WORDED.contains(&name.as_str()));
            Value::Object(object)
        }
        other => other,
    };
    fields("configuration", &strip(old), &strip(new), changes);
}

/// Names each field of two values that differs, with both contents.
fn fields(what: &str, old: &Value, new: &Value, changes: &mut Vec<String>) {
    if let (Value::Object(before), Value::Object(after)) = (old, new) {
        let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        for name in names {
            let before = before.get(name).unwrap_or(&Value::Null);
            let after = after.get(name).unwrap_or(&Value::Null);
            fields(&format!("{what}, {name}"), before, after, changes);
        }
    } else if old != new {
        changes.push(format!("The {what}: {} becomes {}.", word(old), word(new)));
    }
}

fn word(value: &Value) -> String {
    match value {
        Value::Null => "nothing".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn json<T>(value: &T) -> Value
where
    T: Serialize,
{
    // The types hold nothing that JSON could not.
    serde_json::to_value(value).unwrap_or(Value::Null)
}
