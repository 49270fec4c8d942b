//! A small fleet on loopback: platform, backend servers and three processes of the system.

use anyhow::Context;
use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
use lentillift_settings::config::Caller;
use lentillift_settings::config::Class;
use lentillift_settings::config::Config;
use lentillift_settings::config::Kind;
use lentillift_settings::config::Service;
use lentillift_settings::daemon::Settings;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster;
use lentillift_settings::roster::Roster;
use lentillift_standin::backend::Backend;
use lentillift_standin::behavior::Behavior;
use lentillift_standin::platform::Platform;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Shards of the name search, each on two backend servers.
pub(crate) const SHARDS: u32 = 68;

/// Processes of the system.
const NODES: u32 = 3;

/// Failure domains.
const DOMAINS: [&str; 4] = ["d1", "d2", "d3", "d4"];

/// The service that is searched.
pub(crate) const SEARCH: &str = "notice-search";

/// The service whose requests may not be repeated.
pub(crate) const SUBMIT: &str = "notice-submission";

/// The caller's name.
pub(crate) const CALLER: &str = "mobile";

/// A running fleet.
pub(crate) struct Fleet {
    /// Where callers connect, one address for each process.
    pub(crate) callers: Vec<SocketAddr>,
    /// The backend servers by name.
    pub(crate) backends: BTreeMap<id::Backend, Backend>,
    daemons: Vec<Daemon>,
    _stop: watch::Sender<bool>,
}

impl Fleet {
    /// Starts all parts and publishes the configuration.
    pub(crate) async fn start() -> anyhow::Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let platform = Platform::default();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform_address = listener.local_addr()?;
        tokio::spawn(platform.clone().serve(listener, stopped.clone()));

        let mut backends = BTreeMap::new();
        let mut publish = BTreeMap::new();
        for (service, servers) in [(SEARCH, SHARDS * 2), (SUBMIT, 2)] {
            let started = servers_of(service, servers, &stopped, &mut backends).await?;
            publish.insert(service, started);
        }
        let lost: id::Backend = format!("{SEARCH}-1").into();
        let straggler: id::Backend = format!("{SEARCH}-4").into();
        let straggling = backends.get(&straggler).context("no straggler")?;
        straggling.set(|behavior| {
            behavior.slow_every = 3;
            behavior.slow = Duration::from_millis(40);
        });
        if let Some(server) = publish.get_mut(SEARCH).and_then(|s| s.get_mut(&lost)) {
            // Port 1 of loopback: nobody listens there, as with a replica that died.
            server.address = SocketAddr::from(([127, 0, 0, 1], 1));
        }

        let mut daemons = Vec::new();
        let mut callers = Vec::new();
        let mut hosts = BTreeMap::new();
        for number in 0..NODES {
            let settings = settings(number, platform_address);
            let sockets = Sockets::open(&settings).await?;
            callers.push(sockets.caller.local_addr()?);
            let entry = roster::Entry {
                address: sockets.node.local_addr()?,
                domain: settings.domain.clone(),
                state: State::Live,
            };
            hosts.insert(settings.host.clone(), entry);
            daemons.push(Daemon::start(&settings, sockets, u64::from(number) + 1));
        }
        for (service, servers) in publish {
            platform.publish(&format!("service/{service}"), &placement(service, servers));
        }
        platform.publish("hosts", &Roster { revision: 1, hosts });
        platform.publish("config", &config());
        Ok(Self {
            callers,
            backends,
            daemons,
            _stop: stop,
        })
    }

    /// Whether every process serves callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.daemons.iter().all(|daemon| daemon.board.is_ready())
    }

    /// Ends all processes of the system.
    pub(crate) async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }
}

async fn servers_of(
    service: &str,
    servers: u32,
    stopped: &watch::Receiver<bool>,
    backends: &mut BTreeMap<id::Backend, Backend>,
) -> anyhow::Result<BTreeMap<id::Backend, Server>> {
    let mut published = BTreeMap::new();
    for number in 0..servers {
        let name: id::Backend = format!("{service}-{number}").into();
        let backend = Backend::new(Behavior::default());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Server {
            address: listener.local_addr()?,
            domain: DOMAINS[number as usize % DOMAINS.len()].into(),
            state: State::Live,
        };
        tokio::spawn(backend.clone().serve(listener, stopped.clone()));
        backends.insert(name.clone(), backend);
        published.insert(name, server);
    }
    Ok(published)
}

fn settings(number: u32, platform_address: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        host: format!("host-{number}").into(),
        domain: DOMAINS[number as usize % DOMAINS.len()].into(),
        caller_address: any,
        node_address: any,
        operator_address: any,
        platform_address,
        seeds: Vec::new(),
    }
}

fn placement(service: &str, servers: BTreeMap<id::Backend, Server>) -> Placement {
    let part = |shard| Part {
        shard,
        weight: 1000 + u64::from(shard),
        replicas: (0..2)
            .map(|replica| format!("{service}-{}", shard * 2 + replica).into())
            .collect(),
    };
    let map = Map {
        snapshot: 1,
        parts: (0..SHARDS).map(part).collect(),
    };
    Placement {
        revision: 1,
        servers,
        maps: (service == SEARCH).then_some(map).into_iter().collect(),
    }
}

fn config() -> Config {
    let service = |kind, class: &str| Service {
        kind,
        class: class.into(),
        slots: 2,
        connections: 25,
        cold_slots: 1,
        connect_ms: 6,
    };
    let class = |rank| Class {
        rank,
        queue_ms: 100,
    };
    Config {
        revision: 1,
        domains: DOMAINS.into_iter().map(id::Domain::from).collect(),
        regions: BTreeMap::new(),
        domains_out: Default::default(),
        hosts_out: Default::default(),
        classes: [("name".into(), class(0)), ("urgent".into(), class(1))].into(),
        callers: [(CALLER.into(), Caller { weight: 1 })].into(),
        services: [
            (SEARCH.into(), service(Kind::Search, "name")),
            (SUBMIT.into(), service(Kind::Action, "urgent")),
        ]
        .into(),
        least_allowance_ms: 10,
        most_allowance_ms: 10_000,
        policy: Default::default(),
    }
}
