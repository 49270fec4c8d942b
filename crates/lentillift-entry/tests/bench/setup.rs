//! Configuration and placement of the simulated fleet.

use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
use lentillift_settings::config::Caller;
use lentillift_settings::config::Class;
use lentillift_settings::config::Config;
use lentillift_settings::config::Kind;
use lentillift_settings::config::Service;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::policy::Policy;
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of the only service.
pub const SERVICE: &str = "search";

/// Names of the classes, in order of rank.
pub const CLASSES: [&str; 3] = ["name", "timetable", "archive"];

/// Parameters of the simulated fleet.
#[derive(Debug, Clone)]
pub struct Setup {
    pub hosts: usize,
    pub domains: usize,
    pub shards: u32,
    /// Replicas of each shard, each on a backend server of its own.
    pub replicas: usize,
    pub slots: u32,
    pub queue_ms: u64,
    /// Callers, each with its class and weight.
    pub callers: Vec<(&'static str, &'static str, u32)>,
    /// Mean service time of a request without load or faults.
    pub service_time: Duration,
    pub policy: Policy,
    /// Factor for the times of streams and faults; rates and allowances are not scaled.
    pub time_scale: f64,
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            hosts: 3,
            domains: 3,
            shards: 4,
            replicas: 2,
            slots: 2,
            queue_ms: 100,
            callers: vec![("reader", "name", 1)],
            service_time: Duration::from_millis(5),
            policy: Policy::default(),
            time_scale: 1.0,
            seed: 7,
        }
    }
}

/// Name of the backend server of a replica.
pub fn backend(shard: u32, replica: usize) -> id::Backend {
    format!("b{shard}-{replica}").into()
}

pub fn config(setup: &Setup) -> Config {
    let service = Service {
        kind: Kind::Search,
        class: CLASSES[0].into(),
        slots: setup.slots,
        connections: 25,
        cold_slots: 1,
        connect_ms: 6,
    };
    let classes = (0..).zip(CLASSES).map(|(rank, name)| {
        let queue_ms = setup.queue_ms;
        (name.into(), Class { rank, queue_ms })
    });
    let callers = setup.callers.iter();
    let mut policy = setup.policy.clone();
    for (name, class, _) in &setup.callers {
        policy.classes.insert((*name).into(), (*class).into());
    }
    Config {
        revision: 1,
        domains: (0..setup.domains).map(domain).collect(),
        regions: Default::default(),
        domains_out: Default::default(),
        hosts_out: Default::default(),
        classes: classes.collect(),
        callers: callers
            .map(|(name, _, weight)| ((*name).into(), Caller { weight: *weight }))
            .collect(),
        services: [(SERVICE.into(), service)].into(),
        least_allowance_ms: 1,
        most_allowance_ms: 60_000,
        policy,
    }
}

/// Name of a failure domain.
pub fn domain(number: usize) -> id::Domain {
    format!("d{number}").into()
}

pub fn placement(setup: &Setup) -> Placement {
    let mut servers = BTreeMap::new();
    let mut parts = Vec::new();
    for shard in 0..setup.shards {
        let replicas: Vec<_> = (0..setup.replicas).map(|r| backend(shard, r)).collect();
        for (replica, name) in replicas.iter().enumerate() {
            let server = Server {
                address: ([127, 0, 0, 1], 1).into(),
                domain: domain((shard as usize + replica) % setup.domains),
                state: State::Live,
            };
            servers.insert(name.clone(), server);
        }
        parts.push(Part {
            shard,
            weight: 1,
            replicas,
        });
    }
    Placement {
        revision: 1,
        servers,
        maps: vec![Map { snapshot: 1, parts }],
    }
}
