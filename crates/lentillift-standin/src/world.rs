//! World files and the stand-ins that they describe.
//!
//! A world file has a configuration, and the shards, replicas and service times of each service in
//! it.

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

/// Shards and replicas of a service, and service times of its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceData {
    /// Number of shards; 0 for a service of actions.
    #[serde(default)]
    pub shards: u32,
    /// Number of backend servers that have each shard; without shards, of the service.
    pub replicas: u32,
    /// Number of backend servers of the service, if it is less than one for each replica of each
    /// shard.
    #[serde(default)]
    pub servers: Option<u32>,
    /// Number of documents in each shard, which is the shard's weight.
    #[serde(default)]
    pub documents: u64,
    /// Minimum service time of a request that is not slow, in microseconds.
    pub latency_us: u64,
    /// Mean of the exponentially distributed time that is added, in microseconds.
    #[serde(default)]
    pub spread_us: u64,
    /// One in this many requests of a backend server is slow; 0 for none.
    #[serde(default)]
    pub slow_every: u64,
    /// Minimum service time of a slow request, in microseconds.
    #[serde(default)]
    pub slow_us: u64,
}

/// The contents of a world file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// The first configuration that is published.
    pub config: Config,
    /// Data and backend servers of each service.
    pub data: BTreeMap<id::Service, ServiceData>,
}

/// The running stand-ins of a world.
#[derive(Debug)]
pub struct RunningWorld {
    /// The configuration service.
    pub platform: Platform,
    /// Address of the configuration service.
    pub address: SocketAddr,
    /// The backend servers of all services, by name.
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
    /// If no port is free, or `data` names a service that is not in the configuration.
    pub async fn start(&self, stop: &watch::Receiver<bool>) -> io::Result<RunningWorld> {
        let platform = Platform::default();
        let listener = bind().await?;
        let address = listener.local_addr()?;
        tokio::spawn(platform.clone().serve(listener, stop.clone()));
        let mut running = RunningWorld {
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
            let service = service.ok_or_else(|| {
                io::Error::other(format!(
                    "data: service `{name}` is not in the configuration"
                ))
            })?;
            self.start_service(&mut running, name, service, data, stop)
                .await?;
        }
        running.platform.publish("config", &running.config);
        Ok(running)
    }

    /// Starts the backend servers of a service and publishes their placement.
    async fn start_service(
        &self,
        running: &mut RunningWorld,
        name: &id::Service,
        service: &Service,
        data: &ServiceData,
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

impl ServiceData {
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

    /// The shard map of a snapshot; none without shards. The replicas of a shard are on servers
    /// with consecutive numbers.
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

impl RunningWorld {
    /// Publishes a roster with this host, which replaces a host of the same name.
    pub fn add_host(&mut self, name: &str, address: SocketAddr, domain: &str) {
        let entry = roster::Entry {
            address,
            domain: domain.into(),
            state: State::Live,
        };
        self.roster.hosts.insert(name.into(), entry);
        self.publish_roster();
    }

    /// Publishes a roster without this host.
    pub fn remove_host(&mut self, name: &str) {
        self.roster.hosts.remove(name);
        self.publish_roster();
    }

    /// The backend servers of all services in a failure domain.
    pub fn backends_in_domain(&self, domain: &id::Domain) -> impl Iterator<Item = &Backend> {
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
    pub fn update_config(&mut self, change: impl FnOnce(&mut Config)) {
        change(&mut self.config);
        self.config.revision += 1;
        self.platform.publish("config", &self.config);
    }

    /// Publishes a changed placement under the next revision; false if the service does not exist.
    pub fn update_placement(&mut self, service: &str, change: impl FnOnce(&mut Placement)) -> bool {
        let Some(placement) = self.placements.get_mut(service) else {
            return false;
        };
        change(placement);
        placement.revision += 1;
        let key = format!("service/{service}");
        self.platform.publish(&key, placement);
        true
    }

    /// Publishes a new snapshot of a service. Of the older ones only the newest stays published.
    pub fn publish_next_snapshot(&mut self, service: &str) {
        self.update_placement(service, |placement| {
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
