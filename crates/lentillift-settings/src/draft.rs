//! Faults of answers that concern more than one field.
//!
//! They are looked for in whatever part of the answers has its right shape, so that a mistake in
//! one place hides none in another.

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

/// All faults between fields of `answers`.
pub fn faults(answers: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    presence(answers, &mut faults);
    domains(answers, &mut faults);
    priorities(answers, &mut faults);
    services(answers, &mut faults);
    if let Some(Allowance { least_ms, most_ms }) = part(&answers["allowance"])
        && least_ms > most_ms
    {
        let right = format!("at most most_ms, which is {most_ms}");
        let path = ["allowance", "least_ms"];
        faults.push(Fault::new(path, least_ms.to_string(), right));
    }
    faults
}

/// A part of the answers, if it has its right shape.
fn part<T>(value: &Value) -> Option<T>
where
    T: DeserializeOwned,
{
    T::deserialize(value).ok()
}

fn presence(answers: &Value, faults: &mut Vec<Fault>) {
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

fn domains(answers: &Value, faults: &mut Vec<Fault>) {
    let path = ["out_of_service", "domains"];
    let (Some(known), Some(out)) = (
        answers["domains"].as_object(),
        part::<Out>(&answers["out_of_service"]),
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

fn priorities(answers: &Value, faults: &mut Vec<Fault>) {
    let list = answers["priorities"].as_array();
    let list = list.map_or(&[] as &[Value], Vec::as_slice);
    let most = part::<Allowance>(&answers["allowance"]).map(|allowance| allowance.most_ms);
    let mut names = BTreeSet::new();
    for (at, value) in list.iter().enumerate() {
        let Some(priority) = part::<Priority>(value) else {
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
            let right = format!("at most allowance.most_ms, which is {most}");
            faults.push(Fault::new(path, found, right));
        }
    }
    if list.len() > usize::from(u8::MAX) {
        let found = list.len().to_string();
        faults.push(Fault::new(["priorities"], found, "at most 255"));
    }
}

fn services(answers: &Value, faults: &mut Vec<Fault>) {
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
        if let Some(service) = part::<Service>(value) {
            let limits = review::Limits {
                slots: service.slots,
                cold_slots: service.cold_slots,
                connections: service.connections,
            };
            limits.check(name, faults);
        }
    }
    if let Some(policy) = part::<Policy>(&answers["policy"]) {
        faults.extend(policy.faults());
    }
}
