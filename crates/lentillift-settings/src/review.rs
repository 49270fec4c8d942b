//! Bounds of fields, and validation of published values.

use crate::config::Config;
use crate::fault::Fault;
use crate::roster::Roster;
use crate::shape::Shape;
use crate::shape::quoted;
use serde_json::Value;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A revision. Zero is excluded: it means that a process has not read any value yet.
pub const REVISION: Shape = Shape::Whole(1, MAX_REVISION);

/// Requests in flight at one backend server. Zero is excluded: a backend server in a cold start
/// that receives no requests would never warm up.
pub const SLOTS: Shape = Shape::Whole(1, MAX_SLOTS);

/// Connections to one backend server.
pub const CONNECTIONS: Shape = Shape::Whole(1, MAX_CONNECTIONS);

/// Time to open a connection, in milliseconds.
pub const CONNECT: Shape = Shape::Whole(0, MAX_CONNECT_MS);

/// A time from one millisecond to ten minutes.
pub const MILLISECONDS: Shape = Shape::Whole(1, MAX_DURATION_MS);

/// Relative share of a caller in the capacity.
pub const WEIGHT: Shape = Shape::Whole(1, MAX_WEIGHT);

/// Allows 650 changes a day for thousands of years. A higher number is a typing error, and since
/// revisions never decrease, no later revision could take effect after it.
const MAX_REVISION: u64 = 1_000_000_000;

const MAX_SLOTS: u64 = 10_000;
const MAX_CONNECTIONS: u64 = 100_000;
const MAX_CONNECT_MS: u64 = 60_000;
const MAX_DURATION_MS: u64 = 600_000;
const MAX_WEIGHT: u64 = 1000;

/// Limits of each backend server of a service that depend on each other.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most requests that run at a time.
    pub slots: u32,
    /// Most requests that run at a time in a cold start.
    pub cold_slots: u32,
    /// Most connections that it accepts.
    pub connections: u32,
}

impl Limits {
    /// Appends every fault between the limits of the service `name`.
    pub fn check(&self, name: &str, faults: &mut Vec<Fault>) {
        if self.slots == 0 {
            // Reported by another check; every comparison with it would be a further fault.
            return;
        }
        if self.cold_slots > self.slots {
            let path = ["services", name, "cold_slots"];
            let expected = format!("at most slots, which is {}", self.slots);
            faults.push(Fault::new(path, self.cold_slots.to_string(), expected));
        }
        if self.connections < self.slots {
            let path = ["services", name, "connections"];
            let expected = format!("at least slots, which is {}", self.slots);
            faults.push(Fault::new(path, self.connections.to_string(), expected));
        }
    }
}

/// Lists the names that a field may have, for the expected part of a fault.
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

/// Returns all faults for which a process rejects a configuration.
pub fn config(config: &Config) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_revision(config.revision, &mut faults);
    check_domains(config, &mut faults);
    check_regions(config, &mut faults);
    for (name, class) in &config.classes {
        let path = ["classes", name, "queue_ms"];
        check_bounds(path, class.queue_ms, 0, MAX_DURATION_MS, &mut faults);
    }
    for (name, caller) in &config.callers {
        let path = ["callers", name, "weight"];
        check_bounds(path, caller.weight.into(), 1, MAX_WEIGHT, &mut faults);
    }
    check_services(config, &mut faults);
    check_allowances(config, &mut faults);
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

fn check_domains(config: &Config, faults: &mut Vec<Fault>) {
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

fn check_regions(config: &Config, faults: &mut Vec<Fault>) {
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

fn check_services(config: &Config, faults: &mut Vec<Fault>) {
    for (name, service) in &config.services {
        let path = |field| ["services", name, field];
        if !config.classes.contains_key(&service.class) {
            let expected = one_of(config.classes.keys());
            faults.push(Fault::new(path("class"), quoted(&service.class), expected));
        }
        let (slots, cold) = (service.slots.into(), service.cold_slots.into());
        check_bounds(path("slots"), slots, 1, MAX_SLOTS, faults);
        check_bounds(path("cold_slots"), cold, 1, MAX_SLOTS, faults);
        let connections = service.connections.into();
        check_bounds(path("connections"), connections, 1, MAX_CONNECTIONS, faults);
        check_bounds(
            path("connect_ms"),
            service.connect_ms,
            0,
            MAX_CONNECT_MS,
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

fn check_allowances(config: &Config, faults: &mut Vec<Fault>) {
    let (least, most) = (config.least_allowance_ms, config.most_allowance_ms);
    check_bounds(["least_allowance_ms"], least, 1, MAX_DURATION_MS, faults);
    check_bounds(["most_allowance_ms"], most, 1, MAX_DURATION_MS, faults);
    if least > most {
        let expected = format!("at most most_allowance_ms, which is {most}");
        faults.push(Fault::new(
            ["least_allowance_ms"],
            least.to_string(),
            expected,
        ));
    }
}

/// Returns all faults for which a process rejects a placement.
///
/// Checks the JSON value before it is decoded, since the decoding of a shard map stops at the first
/// fault.
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

/// Checks the parts of the shard map at index `map`: unique shards, and replicas that are listed in
/// `servers`.
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
                faults.push(Fault::new(
                    path,
                    quoted(name),
                    "the name of an entry in servers",
                ));
            }
        }
    }
}

/// The elements of a JSON array; none for any other value.
fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns all faults for which a process rejects a list of hosts.
pub fn roster(roster: &Roster) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_revision(roster.revision, &mut faults);
    let mut addresses = BTreeMap::new();
    for (host, entry) in &roster.hosts {
        if let Some(other) = addresses.insert(entry.address, host) {
            let path = ["hosts", host, "address"];
            let found = format!("{}, which is also the address of {other}", entry.address);
            faults.push(Fault::new(path, found, "a unique address"));
        }
    }
    faults
}

fn check_revision(revision: u64, faults: &mut Vec<Fault>) {
    check_bounds(["revision"], revision, 1, MAX_REVISION, faults);
}

/// Appends a fault if `found` is not in the range `least..=most`.
fn check_bounds<const N: usize>(
    path: [&str; N],
    found: u64,
    least: u64,
    most: u64,
    faults: &mut Vec<Fault>,
) {
    if !(least..=most).contains(&found) {
        let expected = format!("a whole number from {least} to {most}");
        faults.push(Fault::new(path, found.to_string(), expected));
    }
}
