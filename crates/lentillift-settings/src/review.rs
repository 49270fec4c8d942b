//! Bounds of fields, and what makes a published value unfit to be in force.

use crate::config::Config;
use crate::fault::Fault;
use crate::roster::Roster;
use crate::shape::Shape;
use crate::shape::quoted;
use serde_json::Value;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A revision. Zero is what a process holds that has read nothing yet.
pub const REVISION: Shape = Shape::Whole(1, MOST_REVISION);

/// Requests in flight at one backend server. Zero would stop it for good: a cold server that gets
/// nothing never warms up.
pub const SLOTS: Shape = Shape::Whole(1, MOST_SLOTS);

/// Connections to one backend server.
pub const CONNECTIONS: Shape = Shape::Whole(1, MOST_CONNECTIONS);

/// Time to open a connection, in milliseconds.
pub const CONNECT: Shape = Shape::Whole(0, MOST_CONNECT);

/// A time of at least a millisecond and at most ten minutes.
pub const MILLISECONDS: Shape = Shape::Whole(1, MOST_MILLISECONDS);

/// A caller's share.
pub const WEIGHT: Shape = Shape::Whole(1, MOST_WEIGHT);

/// Room for 650 changes a day over thousands of years; a number above it is a slip of the hand,
/// and since revisions never fall, no later one could ever be put in force.
const MOST_REVISION: u64 = 1_000_000_000;

const MOST_SLOTS: u64 = 10_000;
const MOST_CONNECTIONS: u64 = 100_000;
const MOST_CONNECT: u64 = 60_000;
const MOST_MILLISECONDS: u64 = 600_000;
const MOST_WEIGHT: u64 = 1000;

/// Limits of one backend server that depend on each other.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests that run at a time.
    pub slots: u32,
    /// Requests that run at a time in a cold start.
    pub cold_slots: u32,
    /// Connections.
    pub connections: u32,
}

impl Limits {
    /// Appends what is wrong between the limits of service `name`.
    pub fn check(&self, name: &str, faults: &mut Vec<Fault>) {
        if self.slots == 0 {
            // Reported on its own; compared with it, all else would look wrong.
            return;
        }
        if self.cold_slots > self.slots {
            let path = ["services", name, "cold_slots"];
            let right = format!("at most its slots, which are {}", self.slots);
            faults.push(Fault::new(path, self.cold_slots.to_string(), right));
        }
        if self.connections < self.slots {
            let path = ["services", name, "connections"];
            let right = format!("at least its slots, which are {}", self.slots);
            faults.push(Fault::new(path, self.connections.to_string(), right));
        }
    }
}

/// The names that would be right.
pub fn one_of<I, S>(names: I) -> String
where
    I: IntoIterator<Item = S>,
    S: AsRef<str>,
{
    let names = names.into_iter().map(|name| quoted(name.as_ref()));
    let names: Vec<String> = names.collect();
    match names.is_empty() {
        true => "none".to_owned(),
        false => format!("one of {}", names.join(", ")),
    }
}

/// All that makes a configuration unfit to be in force.
pub fn config(config: &Config) -> Vec<Fault> {
    let mut faults = Vec::new();
    revision(config.revision, &mut faults);
    domains(config, &mut faults);
    regions(config, &mut faults);
    for (name, class) in &config.classes {
        let path = ["classes", name, "queue_ms"];
        bound(path, class.queue_ms, 0, MOST_MILLISECONDS, &mut faults);
    }
    for (name, caller) in &config.callers {
        let path = ["callers", name, "weight"];
        bound(path, caller.weight.into(), 1, MOST_WEIGHT, &mut faults);
    }
    services(config, &mut faults);
    allowances(config, &mut faults);
    for (caller, class) in &config.policy.classes {
        if !config.classes.contains_key(class) {
            let path = ["policy", "classes", caller];
            faults.push(Fault::new(
                path,
                quoted(class),
                one_of(config.classes.keys()),
            ));
        }
    }
    faults.extend(config.policy.faults());
    faults
}

fn domains(config: &Config, faults: &mut Vec<Fault>) {
    let path = ["domains_out"];
    for domain in config.domains_out.difference(&config.domains) {
        faults.push(Fault::new(path, quoted(domain), one_of(&config.domains)));
    }
    if !config.domains.is_empty() && config.domains.is_subset(&config.domains_out) {
        faults.push(Fault::new(
            path,
            "all failure domains",
            "at least one in service",
        ));
    }
}

fn regions(config: &Config, faults: &mut Vec<Fault>) {
    for domain in config.regions.keys() {
        if !config.domains.contains(domain) {
            let found = "a region of an unknown failure domain";
            faults.push(Fault::new(
                ["regions", domain],
                found,
                one_of(&config.domains),
            ));
        }
    }
}

fn services(config: &Config, faults: &mut Vec<Fault>) {
    for (name, service) in &config.services {
        let path = |field| ["services", name, field];
        if !config.classes.contains_key(&service.class) {
            let right = one_of(config.classes.keys());
            faults.push(Fault::new(path("class"), quoted(&service.class), right));
        }
        let (slots, cold) = (service.slots.into(), service.cold_slots.into());
        bound(path("slots"), slots, 1, MOST_SLOTS, faults);
        bound(path("cold_slots"), cold, 1, MOST_SLOTS, faults);
        let connections = service.connections.into();
        bound(
            path("connections"),
            connections,
            1,
            MOST_CONNECTIONS,
            faults,
        );
        bound(
            path("connect_ms"),
            service.connect_ms,
            0,
            MOST_CONNECT,
            faults,
        );
        let limits = Limits {
            slots: service.slots,
            cold_slots: service.cold_slots,
            connections: service.connections,
        };
        limits.check(name, faults);
    }
}

fn allowances(config: &Config, faults: &mut Vec<Fault>) {
    let (least, most) = (config.least_allowance_ms, config.most_allowance_ms);
    bound(["least_allowance_ms"], least, 1, MOST_MILLISECONDS, faults);
    bound(["most_allowance_ms"], most, 1, MOST_MILLISECONDS, faults);
    if least > most {
        let right = format!("at most most_allowance_ms, which is {most}");
        faults.push(Fault::new(["least_allowance_ms"], least.to_string(), right));
    }
}

/// All that makes a placement unfit to be in force.
///
/// It is looked for in the undecoded value, since the type of a map refuses its first fault.
pub fn placement(placement: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut snapshots = BTreeSet::new();
    for (at, map) in array(&placement["maps"]).iter().enumerate() {
        let at = at.to_string();
        if let Some(snapshot) = map["snapshot"].as_u64()
            && !snapshots.insert(snapshot)
        {
            let path = ["maps", &at, "snapshot"];
            let found = format!("{snapshot} a second time");
            faults.push(Fault::new(path, found, "each snapshot once"));
        }
        let parts = array(&map["parts"]);
        if parts.is_empty() {
            let path = ["maps", &at, "parts"];
            faults.push(Fault::new(path, "none", "at least one"));
        }
        check_parts(&placement["servers"], &at, parts, &mut faults);
    }
    faults
}

fn check_parts(servers: &Value, map: &str, parts: &[Value], faults: &mut Vec<Fault>) {
    let mut shards = BTreeSet::new();
    for (at, part) in parts.iter().enumerate() {
        let at = at.to_string();
        if let Some(shard) = part["shard"].as_u64()
            && !shards.insert(shard)
        {
            let path = ["maps", map, "parts", &at, "shard"];
            let found = format!("{shard} a second time");
            faults.push(Fault::new(path, found, "each shard once in a map"));
        }
        for (number, name) in array(&part["replicas"]).iter().enumerate() {
            if let Some(name) = name.as_str()
                && servers.get(name).is_none()
            {
                let number = number.to_string();
                let path = ["maps", map, "parts", &at, "replicas", &number];
                faults.push(Fault::new(path, quoted(name), "the name of one of servers"));
            }
        }
    }
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// All that makes a list of hosts unfit to be in force.
pub fn roster(roster: &Roster) -> Vec<Fault> {
    let mut faults = Vec::new();
    revision(roster.revision, &mut faults);
    let mut addresses = BTreeMap::new();
    for (host, entry) in &roster.hosts {
        if let Some(other) = addresses.insert(entry.address, host) {
            let path = ["hosts", host, "address"];
            let found = format!("{}, which is also that of {other}", entry.address);
            faults.push(Fault::new(path, found, "an address of its own"));
        }
    }
    faults
}

fn revision(revision: u64, faults: &mut Vec<Fault>) {
    bound(["revision"], revision, 1, MOST_REVISION, faults);
}

fn bound<const N: usize>(
    path: [&str; N],
    found: u64,
    least: u64,
    most: u64,
    faults: &mut Vec<Fault>,
) {
    if !(least..=most).contains(&found) {
        let right = format!("a whole number from {least} to {most}");
        faults.push(Fault::new(path, found.to_string(), right));
    }
}
