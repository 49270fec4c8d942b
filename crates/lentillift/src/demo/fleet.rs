//! The fleet of the demonstration, on loopback: a platform, backend servers and three processes.

use anyhow::Context;
use lentillift_core::id;
use lentillift_settings::config::Config;
use lentillift_settings::config::Kind;
use lentillift_settings::daemon::Settings;
use lentillift_standin::world::RunningWorld;
use lentillift_standin::world::ServiceData;
use lentillift_standin::world::World;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// Number of processes.
const NODES: u32 = 3;

/// An example configuration, with the services that the demonstration uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Example {
    /// Name of the example.
    pub(crate) name: &'static str,
    config: &'static str,
    /// Services with more than two backend servers, and how many they have.
    large: &'static [(&'static str, u32)],
    /// Service that the queries go to.
    pub(crate) search: &'static str,
    /// Number of shards of that service, each on two backend servers.
    pub(crate) shards: u32,
    /// Service of the actions, which must not be repeated.
    pub(crate) action: &'static str,
    /// Caller that the requests are sent as.
    pub(crate) caller: &'static str,
}

/// The examples that the demonstration runs, in order.
pub(crate) const EXAMPLES: [Example; 2] = [
    Example {
        name: "nafisa",
        config: include_str!("../../../../examples/nafisa.config.json"),
        large: &[("archive", 10), ("press-feed", 4)],
        search: "archive",
        shards: 68,
        action: "submission-01",
        caller: "genealogists",
    },
    Example {
        name: "kerala",
        config: include_str!("../../../../examples/kerala.config.json"),
        large: &[("download-desk", 10), ("audit-ledger", 5)],
        search: "template-search-01",
        shards: 2,
        action: "download-desk",
        caller: "collectors",
    },
];

/// A running fleet and its platform.
pub(crate) struct Fleet {
    /// Where callers connect, one address for each process.
    pub(crate) callers: Vec<SocketAddr>,
    /// Where operators connect, one address for each process.
    pub(crate) operators: Vec<SocketAddr>,
    /// The platform's stand-in and the backend servers.
    pub(crate) running: RunningWorld,
    daemons: Vec<Daemon>,
    _stop: watch::Sender<bool>,
}

impl Example {
    /// The stand-ins' world for this example.
    fn world(&self) -> anyhow::Result<World> {
        let config: Config = serde_json::from_str(self.config).context(self.name)?;
        let services = config.services.iter();
        let data: BTreeMap<id::Service, ServiceData> = services
            .map(|(name, service)| (name.clone(), self.data(name, service.kind)))
            .collect();
        Ok(World { config, data })
    }

    fn data(&self, service: &str, kind: Kind) -> ServiceData {
        let large = self.large.iter().find(|(name, _)| *name == service);
        let servers = large.map_or(2, |(_, servers)| *servers);
        let shards = match kind {
            Kind::Action => 0,
            Kind::Search if service == self.search => self.shards,
            Kind::Search => 1,
        };
        ServiceData {
            shards,
            replicas: 2,
            servers: Some(servers),
            documents: 1000,
            latency_us: 500,
            spread_us: 0,
            slow_every: 0,
            slow_us: 0,
        }
    }
}

impl Fleet {
    /// Starts the platform, the backend servers and the processes, and publishes the configuration.
    ///
    /// One backend server is slow at times, and one cannot be reached.
    pub(crate) async fn start(example: &Example) -> anyhow::Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let mut running = example.world()?.start(&stopped).await?;
        make_one_slow(&running, example)?;
        make_one_unreachable(&mut running, example)?;
        let mut fleet = Self {
            callers: Vec::new(),
            operators: Vec::new(),
            running,
            daemons: Vec::new(),
            _stop: stop,
        };
        for number in 0..NODES {
            fleet.start_node(number).await?;
        }
        Ok(fleet)
    }

    async fn start_node(&mut self, number: u32) -> anyhow::Result<()> {
        let settings = settings(number, self.running.address);
        let sockets = Sockets::open(&settings).await?;
        let node = sockets.node.local_addr()?;
        self.callers.push(sockets.caller.local_addr()?);
        self.operators.push(sockets.operator.local_addr()?);
        self.running
            .add_host(&settings.host, node, &settings.domain);
        let daemon = Daemon::start(&settings, sockets, u64::from(number) + 1);
        self.daemons.push(daemon);
        Ok(())
    }

    /// Whether every process serves callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.daemons.iter().all(|daemon| daemon.board.is_ready())
    }

    /// Stops all processes of the fleet.
    pub(crate) async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
    }
}

/// Makes every tenth request to one backend server slow.
fn make_one_slow(running: &RunningWorld, example: &Example) -> anyhow::Result<()> {
    let name = format!("{}-0", example.search);
    let backend = running.backends.get(name.as_str()).context(name)?;
    backend.set(|behavior| {
        behavior.slow_every = 10;
        behavior.slow = Duration::from_millis(40);
    });
    Ok(())
}

/// Publishes an address without a listener (port 1 of loopback) for one backend server, as if that
/// replica had crashed.
fn make_one_unreachable(running: &mut RunningWorld, example: &Example) -> anyhow::Result<()> {
    let name = format!("{}-1", example.search);
    let placed = running.update_placement(example.search, |placement| {
        if let Some(server) = placement.servers.get_mut(name.as_str()) {
            server.address = SocketAddr::from(([127, 0, 0, 1], 1));
        }
    });
    anyhow::ensure!(placed, "no placement for service {}", example.search);
    Ok(())
}

/// Settings of one process; the system picks its ports.
fn settings(number: u32, platform_address: SocketAddr) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        host: format!("host-{number}").into(),
        domain: format!("d{}", number + 1).into(),
        caller_address: any_port,
        node_address: any_port,
        operator_address: any_port,
        platform_address,
        seeds: Vec::new(),
    }
}
