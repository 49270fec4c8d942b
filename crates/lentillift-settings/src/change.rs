//! Describes the differences between two configurations in plain sentences.

use crate::config::Config;
use crate::config::Kind;
use crate::config::Service;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Describes each effect of replacing `old` by `new`, one sentence each.
pub fn describe(old: &Config, new: &Config) -> Vec<String> {
    let mut changes = Vec::new();
    if new.revision <= old.revision && new != old {
        changes.push(format!(
            "NOTHING takes effect: revision {} is not above {}, which every process already has.",
            new.revision, old.revision
        ));
    }
    describe_names("failure domain", &old.domains, &new.domains, &mut changes);
    describe_out_of_service(
        "failure domain",
        &old.domains_out,
        &new.domains_out,
        &mut changes,
    );
    describe_out_of_service("host", &old.hosts_out, &new.hosts_out, &mut changes);
    describe_entries("priority class", &old.classes, &new.classes, &mut changes);
    describe_entries("caller", &old.callers, &new.callers, &mut changes);
    describe_entries("service", &old.services, &new.services, &mut changes);
    for (name, service) in &new.services {
        if let Some(before) = old.services.get(name) {
            warn_of_repeats(name, before, service, &mut changes);
        }
    }
    describe_other_fields(old, new, &mut changes);
    changes
}

/// Fields that [`describe`] handles one by one; [`describe_other_fields`] covers all others.
const DESCRIBED_FIELDS: [&str; 7] = [
    "revision",
    "domains",
    "domains_out",
    "hosts_out",
    "classes",
    "callers",
    "services",
];

/// Describes names that were added to or removed from a set.
fn describe_names(
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

/// Describes names that were added to or removed from a list of what is out of service.
fn describe_out_of_service(
    what: &str,
    old: &BTreeSet<Arc<str>>,
    new: &BTreeSet<Arc<str>>,
    changes: &mut Vec<String>,
) {
    for name in new.difference(old) {
        changes.push(format!(
            "The {what} {name} is taken out of service: it gets no new work."
        ));
    }
    for name in old.difference(new) {
        changes.push(format!("The {what} {name} comes back into service."));
    }
}

/// Describes entries that were added, changed or removed.
fn describe_entries<T>(
    what: &str,
    old: &BTreeMap<Arc<str>, T>,
    new: &BTreeMap<Arc<str>, T>,
    changes: &mut Vec<String>,
) where
    T: Serialize,
{
    for (name, entry) in new {
        match old.get(name) {
            Some(before) => describe_fields(
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
            "The {what} {name} is removed: its requests are refused."
        ));
    }
}

/// Warns of a service whose requests may now run more than once.
fn warn_of_repeats(name: &str, old: &Service, new: &Service, changes: &mut Vec<String>) {
    if (old.kind, new.kind) == (Kind::Action, Kind::Search) {
        changes.push(format!(
            "CAUTION: requests to {name} may run more than once from now on."
        ));
    }
}

/// Describes changes of all fields outside [`DESCRIBED_FIELDS`].
fn describe_other_fields(old: &Config, new: &Config, changes: &mut Vec<String>) {
    let strip = |config: &Config| match json(config) {
        Value::Object(mut object) => {
            object.retain(|name, _| !DESCRIBED_FIELDS.contains(&name.as_str()));
            Value::Object(object)
        }
        other => other,
    };
    describe_fields("configuration", &strip(old), &strip(new), changes);
}

/// Describes each field that differs between two values, with its old and its new value.
fn describe_fields(what: &str, old: &Value, new: &Value, changes: &mut Vec<String>) {
    if let (Value::Object(before), Value::Object(after)) = (old, new) {
        let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        for name in names {
            let before = before.get(name).unwrap_or(&Value::Null);
            let after = after.get(name).unwrap_or(&Value::Null);
            describe_fields(&format!("{what}, {name}"), before, after, changes);
        }
    } else if old != new {
        changes.push(format!(
            "The {what}: {} becomes {}.",
            display(old),
            display(new)
        ));
    }
}

/// The text of a value in a sentence: strings without quotes, null as "nothing".
fn display(value: &Value) -> String {
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
    // Cannot fail: every value of these types can be written as JSON.
    serde_json::to_value(value).unwrap_or(Value::Null)
}
