//! The configuration that the platform publishes to all processes.

use crate::policy;
use crate::policy::Policy;
use crate::review;
use crate::shape::Shape;
use crate::shape::optional;
use crate::shape::required;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Whether a service's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Searches: idempotent queries, each sent to every shard.
    Search,
    /// Actions: each runs at most once, on one backend server.
    Action,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether its requests are queries or actions.
    pub kind: Kind,
    /// Priority class of its requests, unless [`Policy::classes`] names another for the caller.
    pub class: id::Class,
    /// Most requests that one of its backend servers runs at a time.
    pub slots: u32,
    /// Most connections that one of its backend servers accepts.
    pub connections: u32,
    /// Most requests that one of its backend servers runs at a time in a cold start.
    pub cold_slots: u32,
    /// Time to open a connection to one of its backend servers, in milliseconds.
    pub connect_ms: u64,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Rank of the class: 0 is served first and refused last.
    pub rank: u8,
    /// Longest time that a request of the class may wait in a queue, in milliseconds.
    pub queue_ms: u64,
}

/// Configuration of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Share of the capacity, relative to other callers, when all of them want more.
    pub weight: u32,
}

/// The configuration of the whole system, the same in every process.
///
/// # Invariants
///
/// A process that has accepted a revision never accepts a lower one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Revision of the configuration; later publications have higher numbers.
    pub revision: id::Revision,
    /// Names of the failure domains.
    pub domains: BTreeSet<id::Domain>,
    /// Region of each failure domain. Those that are not listed form one region together.
    #[serde(default)]
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// Failure domains that operators have taken out of service.
    #[serde(default)]
    pub domains_out: BTreeSet<id::Domain>,
    /// Hosts that operators have taken out of service.
    #[serde(default)]
    pub hosts_out: BTreeSet<id::Host>,
    /// Priority classes by name.
    pub classes: BTreeMap<id::Class, Class>,
    /// Callers by name.
    pub callers: BTreeMap<id::Caller, Caller>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Smallest time allowance that a caller may state, in milliseconds.
    pub least_allowance_ms: u64,
    /// Largest time allowance that a caller may state, in milliseconds.
    pub most_allowance_ms: u64,
    /// Parameters of overload control.
    #[serde(default)]
    pub policy: Policy,
}

impl Config {
    /// Whether a time allowance is within the bounds that callers may state.
    pub fn allows(&self, allowance: Duration) -> bool {
        let least = Duration::from_millis(self.least_allowance_ms);
        let most = Duration::from_millis(self.most_allowance_ms);
        (least..=most).contains(&allowance)
    }

    /// The region of a failure domain; the empty name if none is configured.
    pub fn region(&self, domain: &id::Domain) -> id::Region {
        self.regions.get(domain).cloned().unwrap_or_default()
    }

    /// Whether operators have taken a host or its failure domain out of service.
    pub fn is_out(&self, host: &id::Host, domain: &id::Domain) -> bool {
        self.hosts_out.contains(host) || self.domains_out.contains(domain)
    }

    /// The priority class of a caller's requests to a service; none if it is not configured.
    pub fn class(&self, service: &Service, caller: &str) -> Option<&Class> {
        let name = self.policy.classes.get(caller).unwrap_or(&service.class);
        self.classes.get(name)
    }

    /// All faults for which a process rejects the configuration, each as a sentence.
    pub fn faults(&self) -> Vec<String> {
        let faults = review::config(self).into_iter();
        faults.map(|fault| fault.to_string()).collect()
    }
}

/// The shape of a configuration.
pub const SHAPE: Shape = Shape::Record(&[
    required("revision", review::REVISION),
    required("domains", Shape::List(&Shape::Name)),
    optional("regions", Shape::Map(&Shape::Name)),
    optional("domains_out", Shape::List(&Shape::Name)),
    optional("hosts_out", Shape::List(&Shape::Name)),
    required("classes", Shape::Map(&CLASS)),
    required("callers", Shape::Map(&CALLER)),
    required("services", Shape::Map(&SERVICE)),
    required("least_allowance_ms", review::MILLISECONDS),
    required("most_allowance_ms", review::MILLISECONDS),
    optional("policy", policy::SHAPE),
]);

const CLASS: Shape = Shape::Record(&[
    required("rank", Shape::Whole(0, 255)),
    required("queue_ms", Shape::Whole(0, 600_000)),
]);

const CALLER: Shape = Shape::Record(&[required("weight", review::WEIGHT)]);

const SERVICE: Shape = Shape::Record(&[
    required("kind", Shape::Choice(&["search", "action"])),
    required("class", Shape::Name),
    required("slots", review::SLOTS),
    required("connections", review::CONNECTIONS),
    required("cold_slots", review::SLOTS),
    required("connect_ms", review::CONNECT),
]);
