//! The response of `/status`.

use crate::trend::ServiceTrend;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The status of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: id::Host,
    /// Incarnation of the process on that host.
    pub incarnation: id::Incarnation,
    /// Whether the balancer may send callers here.
    pub ready: bool,
    /// Time since the process started, in seconds.
    pub uptime_s: u64,
    /// Coverage and latency by hour and by day, for each service.
    pub trend: BTreeMap<id::Service, ServiceTrend>,
    /// The sections that tasks set, by name: `view`, `owner`, `entry`.
    pub sections: BTreeMap<String, Value>,
    /// Time since each section was last set, in milliseconds.
    pub ages_ms: BTreeMap<String, u64>,
}

/// The section `view`: the published state in force at a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Revision of the configuration; 0 before the first.
    pub config: id::Revision,
    /// Revision of the list of hosts; 0 before the first.
    pub hosts: id::Revision,
    /// Revision of each service's placement.
    pub placements: BTreeMap<id::Service, id::Revision>,
    /// Whether each failure domain is in service.
    pub domains: BTreeMap<id::Domain, bool>,
    /// Hosts that are out of service.
    pub hosts_out: BTreeSet<id::Host>,
    /// Hosts that this process considers alive.
    pub alive: BTreeSet<id::Host>,
}

/// One backend server in the section `owner`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Service that it belongs to.
    pub service: id::Service,
    /// Failure domain that it runs in.
    pub domain: id::Domain,
    /// Requests sent to it and not yet answered.
    pub in_flight: u32,
    /// Sub-requests queued for it.
    pub queue: usize,
    /// Current limit on requests in flight.
    pub limit: u32,
    /// Whether it has finished its warm-up and gets its full share of load.
    pub warm: bool,
}

/// The section `owner`: the backend servers that a process owns and has sent requests to.
pub type Owner = BTreeMap<id::Backend, Server>;

/// The section `entry`: the queries at a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Queries that are not yet answered.
    pub waiting: usize,
}
