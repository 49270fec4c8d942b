//! Measures how long a published revision takes to be in force on all of nine processes, over real
//! sockets on loopback.

use anyhow::Context;
use lentillift_core::id;
use lentillift_fleet::view::View;
use lentillift_settings::daemon::Settings;
use lentillift_standin::platform::Platform;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Processes in the fleet.
const PROCESSES: usize = 9;

/// Revisions published of each kind.
const ROUNDS: u64 = 20;

/// Upper bound on each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two rounds.
const GAP: Duration = Duration::from_millis(300);

/// A running fleet.
struct Fleet {
    platform: Platform,
    daemons: Vec<Daemon>,
    revision: u64,
    _stop: watch::Sender<bool>,
}

impl Fleet {
    async fn start() -> anyhow::Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let platform = Platform::default();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform_address = listener.local_addr()?;
        tokio::spawn(platform.clone().serve(listener, stopped));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemons = Vec::new();
        let mut hosts = serde_json::Map::new();
        for number in 0..PROCESSES {
            let settings = Settings {
                host: host(number),
                domain: domain(number),
                caller_address: any,
                node_address: any,
                operator_address: any,
                platform_address,
                seeds: Vec::new(),
            };
            let sockets = Sockets::open(&settings).await?;
            let address = sockets.node.local_addr()?;
            let entry = json!({"address": address, "domain": settings.domain, "state": "live"});
            hosts.insert(settings.host.to_string(), entry);
            daemons.push(Daemon::start(&settings, sockets, 1 + number as u64));
        }
        platform.publish("hosts", &json!({"revision": 1, "hosts": hosts}));
        platform.publish("config", &config(1, &[], &[]));
        platform.publish("service/name", &placement(1, "live"));
        let mut fleet = Self {
            platform,
            daemons,
            revision: 1,
            _stop: stop,
        };
        let since = Instant::now();
        while !fleet.daemons.iter().all(|daemon| daemon.board.is_ready()) {
            anyhow::ensure!(
                since.elapsed() < WAIT_TIMEOUT,
                "the fleet did not become ready"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        println!("{PROCESSES} processes ready after {:?}", since.elapsed());
        fleet
            .wait_for_views(|view| view.alive.len() == PROCESSES)
            .await?;
        println!("all processes see each other after {:?}", since.elapsed());
        Ok(fleet)
    }

    /// Waits until `done` is true of every process's view; returns how long each took.
    async fn wait_for_views<F>(&mut self, done: F) -> anyhow::Result<Vec<Duration>>
    where
        F: Fn(&View) -> bool,
    {
        let since = Instant::now();
        let mut times = Vec::new();
        for daemon in &mut self.daemons {
            let matching = daemon.view.wait_for(|view| done(view));
            let _ = tokio::time::timeout(WAIT_TIMEOUT, matching)
                .await
                .context("revision not in force before the timeout")??;
            times.push(since.elapsed());
        }
        Ok(times)
    }

    /// Publishes [`ROUNDS`] values of one kind and prints how long each took to be in force on all
    /// processes.
    async fn measure<P, D>(&mut self, name: &str, publish: P, done: D) -> anyhow::Result<()>
    where
        P: Fn(u64) -> (&'static str, Vec<u8>),
        D: Fn(u64, &View) -> bool,
    {
        let mut slowest = Vec::new();
        for _ in 0..ROUNDS {
            self.revision += 1;
            let revision = self.revision;
            let (key, body) = publish(revision);
            self.platform.publish_bytes(key, body);
            let times = self.wait_for_views(|view| done(revision, view)).await?;
            slowest.push(times.into_iter().max().unwrap_or_default());
            tokio::time::sleep(GAP).await;
        }
        slowest.sort_unstable();
        let median = slowest[slowest.len() / 2];
        let most = slowest.last().copied().unwrap_or_default();
        println!("{name:<28} median {median:>12.3?}, slowest {most:>12.3?} of {ROUNDS}");
        Ok(())
    }
}

fn host(number: usize) -> id::Host {
    format!("host-{number}").into()
}

fn domain(number: usize) -> id::Domain {
    format!("d{}", number % 4).into()
}

fn config(revision: u64, domains_out: &[&str], hosts_out: &[&str]) -> Value {
    json!({
        "revision": revision, "domains": ["d0", "d1", "d2", "d3"],
        "domains_out": domains_out, "hosts_out": hosts_out,
        "classes": {}, "callers": {}, "services": {},
        "least_allowance_ms": 10, "most_allowance_ms": 1000,
    })
}

fn placement(revision: u64, state: &str) -> Value {
    let server = json!({"address": "127.0.0.1:1", "domain": "d0", "state": state});
    json!({"revision": revision, "servers": {"name-0": server}, "maps": []})
}

fn bytes(value: &Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

fn revision_of(view: &View) -> u64 {
    let config = view.values.config.as_ref();
    config.map_or(0, |config| config.revision)
}

async fn run() -> anyhow::Result<()> {
    let mut fleet = Fleet::start().await?;
    fleet
        .measure(
            "failure domain out or in",
            |revision| {
                let out: &[&str] = if revision % 2 == 0 { &["d1"] } else { &[] };
                ("config", bytes(&config(revision, out, &[])))
            },
            |revision, view| {
                let out = revision % 2 == 0;
                revision_of(view) == revision && view.alive.contains(&host(1)) != out
            },
        )
        .await?;
    fleet
        .measure(
            "host out or in",
            |revision| {
                let out: &[&str] = if revision % 2 == 0 { &["host-2"] } else { &[] };
                ("config", bytes(&config(revision, &[], out)))
            },
            |revision, view| {
                let out = revision % 2 == 0;
                revision_of(view) == revision && view.alive.contains(&host(2)) != out
            },
        )
        .await?;
    fleet
        .measure(
            "backend server leaving or in",
            |revision| {
                let state = if revision % 2 == 0 { "leaving" } else { "live" };
                ("service/name", bytes(&placement(revision, state)))
            },
            |revision, view| view.in_service("name-0") != (revision % 2 == 0),
        )
        .await?;
    fleet
        .measure(
            "configuration of 1 MB",
            |revision| {
                let mut body = bytes(&config(revision, &[], &[]));
                body.resize(1_000_000, b' ');
                ("config", body)
            },
            |revision, view| revision_of(view) == revision,
        )
        .await?;
    let calls = fleet.platform.calls();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let calls = (fleet.platform.calls() - calls) as f64 / 10.0;
    println!(
        "{calls} calls per second to the configuration service from all processes, with no changes"
    );
    for daemon in fleet.daemons {
        daemon.stop().await;
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let ended = runtime.block_on(run());
    runtime.shutdown_timeout(Duration::from_secs(1));
    ended
}
