//! Checks of answers that involve more than one field.
//!
//! Each check runs on the parts of the answers that have the expected shape, so that a fault in one
//! part does not hide faults in another.

use crate::answers::Allowance;
use crate::answers::Out;
use crate::answers::Priority;
use crate::answers::Service;
use crate::fault::Fault;
use crate::policy::Policy;
use crate::review;
use crate::shape::quoted;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;

/// Returns all faults that involve more than one field of `answers`.
pub fn faults(answers: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_presence(answers, &mut faults);
    check_domains(answers, &mut faults);
    check_priorities(answers, &mut faults);
    check_services(answers, &mut faults);
    if let Some(Allowance { least_ms, most_ms }) = decode_part(&answers["allowance"])
        && least_ms > most_ms
    {
        let expected = format!("at most most_ms, which is {most_ms}");
        let path = ["allowance", "least_ms"];
        faults.push(Fault::new(path, least_ms.to_string(), expected));
    }
    faults
}

/// Decodes a part of the answers; none if it does not have the expected shape.
fn decode_part<T>(value: &Value) -> Option<T>
where
    T: DeserializeOwned,
{
    T::deserialize(value).ok()
}

/// Checks that no required collection is empty.
fn check_presence(answers: &Value, faults: &mut Vec<Fault>) {
    for field in ["domains", "priorities", "callers", "services"] {
        let empty = match &answers[field] {
            Value::Object(object) => object.is_empty(),
            Value::Array(array) => array.is_empty(),
            _ => false,
        };
        if empty {
            faults.push(Fault::new([field], "none", "at least one"));
        }
    }
}

/// Checks that failure domains out of service are known, and that not all are out of service.
fn check_domains(answers: &Value, faults: &mut Vec<Fault>) {
    let path = ["out_of_service", "domains"];
    let (Some(known), Some(out)) = (
        answers["domains"].as_object(),
        decode_part::<Out>(&answers["out_of_service"]),
    ) else {
        return;
    };
    for domain in out
        .domains
        .iter()
        .filter(|out| !known.contains_key(&***out))
    {
        faults.push(Fault::new(
            path,
            quoted(domain),
            review::one_of(known.keys()),
        ));
    }
    if !known.is_empty() && known.keys().all(|name| out.domains.contains(&**name)) {
        faults.push(Fault::new(
            path,
            "all failure domains",
            "at least one in service",
        ));
    }
}

/// Checks that priorities have unique names, objectives within the largest allowance, and ranks
/// that fit into a `u8`.
fn check_priorities(answers: &Value, faults: &mut Vec<Fault>) {
    let list = answers["priorities"].as_array();
    let list = list.map_or(&[] as &[Value], Vec::as_slice);
    let most = decode_part::<Allowance>(&answers["allowance"]).map(|allowance| allowance.most_ms);
    let mut names = BTreeSet::new();
    for (at, value) in list.iter().enumerate() {
        let Some(priority) = decode_part::<Priority>(value) else {
            continue;
        };
        let at = at.to_string();
        if !names.insert(priority.name.clone()) {
            let path = ["priorities", &at, "name"];
            let found = format!("{} a second time", quoted(&priority.name));
            faults.push(Fault::new(path, found, "each priority once"));
        }
        if let Some(most) = most
            && priority.answer_within_ms > most
        {
            let path = ["priorities", &at, "answer_within_ms"];
            let found = priority.answer_within_ms.to_string();
            let expected = format!("at most allowance.most_ms, which is {most}");
            faults.push(Fault::new(path, found, expected));
        }
    }
    if list.len() > usize::from(u8::MAX) {
        let found = list.len().to_string();
        faults.push(Fault::new(["priorities"], found, "at most 255"));
    }
}

/// Checks priorities of services and callers, limits of services, and the policy.
fn check_services(answers: &Value, faults: &mut Vec<Fault>) {
    let names = answers["priorities"].as_array();
    let names = names.map(|list| list.iter().filter_map(|value| value["name"].as_str()));
    let names: Option<Vec<&str>> = names.map(Iterator::collect);
    for group in ["services", "callers"] {
        for (name, value) in answers[group].as_object().into_iter().flatten() {
            if let (Some(names), Some(priority)) = (&names, value["priority"].as_str())
                && !names.contains(&priority)
            {
                let path = [group, name, "priority"];
                faults.push(Fault::new(path, quoted(priority), review::one_of(names)));
            }
        }
    }
    for (name, value) in answers["services"].as_object().into_iter().flatten() {
        if let Some(service) = decode_part::<Service>(value) {
            let limits = review::Limits {
                slots: service.slots,
                cold_slots: service.cold_slots,
                connections: service.connections,
            };
            limits.check(name, faults);
        }
    }
    if let Some(policy) = decode_part::<Policy>(&answers["policy"]) {
        faults.extend(policy.faults());
    }
}
