//! The published configuration that all processes share.

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
    /// Searches: idempotent, sent to every shard.
    Search,
    /// Actions: each runs at most once, on one backend server.
    Action,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// The priority class of its requests.
    pub class: id::Class,
    /// Requests that one of its backend servers runs at a time.
    pub slots: u32,
    /// Connections that one of its backend servers accepts.
    pub connections: u32,
    /// Requests that one of its backend servers bears at a time in a cold start.
    pub cold_slots: u32,
    /// Time to open a connection to one of its backend servers, in milliseconds.
    pub connect_ms: u64,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Rank of the class; 0 is served first and refused last.
    pub rank: u8,
    /// Longest time a request of the class may wait in a queue, in milliseconds.
    pub queue_ms: u64,
}

/// A caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Share of the capacity that the caller gets beside others, when all want more.
    pub weight: u32,
}

/// The configuration that is in force everywhere.
///
/// # Invariants
///
/// A process that has accepted a revision never goes back to a lower one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The revision; it only rises.
    pub revision: id::Revision,
    /// The failure domains.
    pub domains: BTreeSet<id::Domain>,
    /// The region of each failure domain; those that are not named are in one region together.
    #[serde(default)]
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// Failure domains that operators have taken out of service.
    #[serde(default)]
    pub domains_out: BTreeSet<id::Domain>,
    /// Hosts that operators have taken out of service.
    #[serde(default)]
    pub hosts_out: BTreeSet<id::Host>,
    /// The priority classes.
    pub classes: BTreeMap<id::Class, Class>,
    /// The callers.
    pub callers: BTreeMap<id::Caller, Caller>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
    /// Smallest time allowance that a caller may state, in milliseconds.
    pub least_allowance_ms: u64,
    /// Largest time allowance that a caller may state, in milliseconds.
    pub most_allowance_ms: u64,
    /// Figures of the decisions under load.
    #[serde(default)]
    pub policy: Policy,
}

impl Config {
    /// Whether `allowance` is one that a caller may state.
    pub fn allows(&self, allowance: Duration) -> bool {
        let least = Duration::from_millis(self.least_allowance_ms);
        let most = Duration::from_millis(self.most_allowance_ms);
        (least..=most).contains(&allowance)
    }

    /// The region that `domain` is in.
    pub fn region(&self, domain: &id::Domain) -> id::Region {
        self.regions.get(domain).cloned().unwrap_or_default()
    }

    /// Whether operators have taken a host, or the failure domain it is in, out of service.
    pub fn is_out(&self, host: &id::Host, domain: &id::Domain) -> bool {
        self.hosts_out.contains(host) || self.domains_out.contains(domain)
    }

    /// The priority class of a caller's requests to a service.
    pub fn class(&self, service: &Service, caller: &str) -> Option<&Class> {
        let name = self.policy.classes.get(caller).unwrap_or(&service.class);
        self.classes.get(name)
    }

    /// All that makes the configuration unfit to be in force.
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
