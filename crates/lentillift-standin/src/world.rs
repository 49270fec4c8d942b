//! A description of the platform's side: its configuration, its data, and its backend servers.

use crate::backend::Backend;
use crate::behavior::Behavior;
use crate::platform::Platform;
use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
use lentillift_settings::config::Config;
use lentillift_settings::config::Service;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster;
use lentillift_settings::roster::Roster;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What a service holds and how quick its backend servers are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Data {
    /// Shards of its data; a service of actions has none.
    #[serde(default)]
    pub shards: u32,
    /// Backend servers that hold each shard; without shards, those of the service.
    pub replicas: u32,
    /// Backend servers of the service, where they are fewer than one for each replica.
    #[serde(default)]
    pub servers: Option<u32>,
    /// Documents in each shard.
    #[serde(default)]
    pub documents: u64,
    /// Least time that a request takes, in microseconds.
    pub latency_us: u64,
    /// Mean of the time that is added to it, in microseconds.
    #[serde(default)]
    pub spread_us: u64,
    /// Every so many requests of a backend server one is slow; 0 for none.
    #[serde(default)]
    pub slow_every: u64,
    /// Time that a slow request takes, in microseconds.
    #[serde(default)]
    pub slow_us: u64,
}

/// A description of the platform's side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// The configuration that is published first.
    pub config: Config,
    /// What each service holds.
    pub data: BTreeMap<id::Service, Data>,
}

/// The platform's side, running.
#[derive(Debug)]
pub struct Running {
    /// The configuration service.
    pub platform: Platform,
    /// Where the configuration service listens.
    pub address: SocketAddr,
    /// The backend servers by name.
    pub backends: BTreeMap<id::Backend, Backend>,
    config: Config,
    roster: Roster,
    placements: BTreeMap<id::Service, Placement>,
}

impl World {
    /// Starts the configuration service and all backend servers on loopback.
    ///
    /// # Errors
    ///
    /// When the system has no more ports.
    pub async fn start(&self, stop: &watch::Receiver<bool>) -> io::Result<Running> {
        let platform = Platform::default();
        let listener = bind().await?;
        let address = listener.local_addr()?;
        tokio::spawn(platform.clone().serve(listener, stop.clone()));
        let mut running = Running {
            platform,
            address,
            backends: BTreeMap::new(),
            config: self.config.clone(),
            roster: Roster {
                regions: self.config.regions.clone(),
                revision: 0,
                hosts: BTreeMap::new(),
            },
            placements: BTreeMap::new(),
        };
        for (name, data) in &self.data {
            let service = self.config.services.get(name);
            let service = service.ok_or_else(|| io::Error::other(format!("no service {name}")))?;
            self.start_service(&mut running, name, service, data, stop)
                .await?;
        }
        running.platform.publish("config", &running.config);
        Ok(running)
    }

    async fn start_service(
        &self,
        running: &mut Running,
        name: &id::Service,
        service: &Service,
        data: &Data,
        stop: &watch::Receiver<bool>,
    ) -> io::Result<()> {
        let domains: Vec<&id::Domain> = self.config.domains.iter().collect();
        let mut servers = BTreeMap::new();
        for number in 0..data.servers() {
            let backend = Backend::new(data.behavior(service, number));
            let listener = bind().await?;
            let server = Server {
                address: listener.local_addr()?,
                domain: domains[number as usize % domains.len()].clone(),
                state: State::Live,
            };
            tokio::spawn(backend.clone().serve(listener, stop.clone()));
            let backend_name = id::Backend::from(format!("{name}-{number}"));
            running.backends.insert(backend_name.clone(), backend);
            servers.insert(backend_name, server);
        }
        let placement = Placement {
            revision: 1,
            servers,
            maps: data.map(name, 1).into_iter().collect(),
        };
        let key = format!("service/{name}");
        running.platform.publish(&key, &placement);
        running.placements.insert(name.clone(), placement);
        Ok(())
    }
}

impl Data {
    fn behavior(&self, service: &Service, number: u32) -> Behavior {
        Behavior {
            latency: Duration::from_micros(self.latency_us),
            spread: Duration::from_micros(self.spread_us),
            slow_every: self.slow_every,
            slow: Duration::from_micros(self.slow_us),
            slots: service.slots,
            cold_slots: service.cold_slots,
            seed: u64::from(number),
            ..Behavior::default()
        }
    }

    fn servers(&self) -> u32 {
        self.servers.unwrap_or(self.shards.max(1) * self.replicas)
    }

    /// The shard map of a snapshot, with the replicas of a shard in neighbouring servers.
    fn map(&self, service: &id::Service, snapshot: id::Snapshot) -> Option<Map> {
        let replicas = |shard| {
            let first = shard * self.replicas;
            let numbers = (first..first + self.replicas).map(|n| n % self.servers());
            numbers.map(|n| format!("{service}-{n}").into()).collect()
        };
        let part = |shard| Part {
            shard,
            weight: self.documents,
            replicas: replicas(shard),
        };
        (self.shards > 0).then(|| Map {
            snapshot,
            parts: (0..self.shards).map(part).collect(),
        })
    }
}

impl Running {
    /// Publishes a host, in place of one with the same name.
    pub fn add_host(&mut self, name: &str, address: SocketAddr, domain: &str) {
        let entry = roster::Entry {
            address,
            domain: domain.into(),
            state: State::Live,
        };
        self.roster.hosts.insert(name.into(), entry);
        self.publish_roster();
    }

    /// Publishes that a host is gone.
    pub fn remove_host(&mut self, name: &str) {
        self.roster.hosts.remove(name);
        self.publish_roster();
    }

    /// The backend servers in a failure domain.
    pub fn in_domain(&self, domain: &id::Domain) -> impl Iterator<Item = &Backend> {
        let servers = self.placements.values().flat_map(|p| &p.servers);
        servers
            .filter(move |(_, server)| server.domain == *domain)
            .filter_map(|(name, _)| self.backends.get(name))
    }

    fn publish_roster(&mut self) {
        self.roster.revision += 1;
        self.platform.publish("hosts", &self.roster);
    }

    /// Publishes a changed configuration under the next revision.
    pub fn revise(&mut self, change: impl FnOnce(&mut Config)) {
        change(&mut self.config);
        self.config.revision += 1;
        self.platform.publish("config", &self.config);
    }

    /// Publishes a changed placement under the next revision; false if there is no such service.
    pub fn place(&mut self, service: &str, change: impl FnOnce(&mut Placement)) -> bool {
        let Some(placement) = self.placements.get_mut(service) else {
            return false;
        };
        change(placement);
        placement.revision += 1;
        let key = format!("service/{service}");
        self.platform.publish(&key, placement);
        true
    }

    /// Publishes a new snapshot of a service and drops the one before the last.
    pub fn next_snapshot(&mut self, service: &str) {
        self.place(service, |placement| {
            if let Some(newest) = placement.maps.first().cloned() {
                let next = Map {
                    snapshot: newest.snapshot + 1,
                    ..newest
                };
                placement.maps.insert(0, next);
                placement.maps.truncate(2);
            }
        });
    }
}

async fn bind() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}
