//! What `/status` returns.

use crate::trend::Rows;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// How a process stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: id::Host,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// Time since the process started, in seconds.
    pub uptime_s: u64,
    /// Coverage and latency by hour and by day, for each service.
    pub trend: BTreeMap<id::Service, Rows>,
    /// What each task tells of itself.
    pub sections: BTreeMap<String, Value>,
    /// How long ago each section was set, in milliseconds.
    pub ages_ms: BTreeMap<String, u64>,
}

/// The section `view`: what is in force at a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Revision of the configuration; 0 as long as there is none.
    pub config: id::Revision,
    /// Revision of the list of hosts; 0 as long as there is none.
    pub hosts: id::Revision,
    /// Revision of each service's placement.
    pub placements: BTreeMap<id::Service, id::Revision>,
    /// Failure domains, with whether each is in service.
    pub domains: BTreeMap<id::Domain, bool>,
    /// Hosts that are out of service.
    pub hosts_out: BTreeSet<id::Host>,
    /// Hosts that are held to be alive.
    pub alive: BTreeSet<id::Host>,
}

/// A backend server in the section `owner`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its service.
    pub service: id::Service,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Requests sent and not yet answered.
    pub in_flight: u32,
    /// Sub-requests that wait.
    pub queue: usize,
    /// Requests that may be in flight now.
    pub limit: u32,
    /// Whether it has its full share.
    pub warm: bool,
}

/// The section `owner`: the backend servers that a process owns and has sent work to.
pub type Owner = BTreeMap<id::Backend, Server>;

/// The section `entry`: the queries at a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Queries whose callers wait.
    pub waiting: usize,
}
