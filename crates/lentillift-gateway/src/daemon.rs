//! The process: start, listeners, background tasks and shutdown.

use crate::caller_connection::Connections;
use crate::dialect::Dialect;
use crate::feed;
use crate::front;
use crate::host::Host;
use crate::host::Stage;
use crate::listen;
use crate::listen::Audience;
use crate::member;
use crate::metric;
use crate::metric::Registry;
use crate::peer::Peers;
use crate::pool::Pool;
use crate::quarantine;
use crate::source::Source;
use crate::upload::Uploads;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_fleet::follow;
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_fleet::member::Member;
use lentillift_fleet::probe;
use lentillift_fleet::swim::Swim;
use lentillift_fleet::view;
use lentillift_scatter::catalog::Catalog;
use lentillift_scatter::core::Core;
use lentillift_scatter::core::Options;
use lentillift_scatter::delay::Delays;
use lentillift_scatter::share::Place;
use lentillift_scatter::share::Roster;
use lentillift_scatter::share::Share;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tracing::info;
use tracing::warn;

/// Interval between two passes that remove expired state.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(250);

/// Delay of the housekeeping timer from which a stall is logged.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// Interval between two checks of the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Fraction of the shutdown grace period during which callers are still accepted. The balancer
/// polls readiness once a second and stops sending callers after two failed polls.
const LEAVING_SHARE: f64 = 0.42;

/// Time before the process exits by which its requests are answered, so that the answers still reach
/// their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Time before the end of the shutdown grace period at which the process exits by itself.
const END_MARGIN: Duration = Duration::from_millis(350);

/// Settings of one process at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name.
    pub name: id::Host,
    /// This host's failure domain.
    pub domain: id::Domain,
    /// The region of each failure domain.
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// Address of the listener for callers.
    pub front: SocketAddr,
    /// Maximum number of concurrent caller connections.
    pub max_callers: usize,
    /// Memory for the bodies of callers' requests, in bytes.
    pub body_memory: usize,
    /// Address of the listener for the balancer's readiness probes.
    pub ready: SocketAddr,
    /// Address at which other hosts reach this one, by TCP and UDP.
    pub node: SocketAddr,
    /// Address of the TCP listener for other hosts; differs from `node` if a proxy in between
    /// forwards their connections.
    pub inbound: SocketAddr,
    /// Address of the listener for operators (metrics, quarantine); none disables it.
    pub metrics: Option<SocketAddr>,
    /// Settings that may change at run time.
    pub tuning: Tuning,
    /// Bounds on the age of published state.
    pub freshness: follow::Options,
    /// Time from the termination signal until the process is killed.
    pub grace: Duration,
}

/// Settings that may change at run time.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Addresses of some other hosts, contacted first to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Parameters of request handling.
    pub options: Options,
}

/// Runs the process until it receives a termination signal.
///
/// `reload` returns the current run-time settings if they changed since its last call.
///
/// # Errors
///
/// When a listener can't be opened.
pub fn run<D, S, F>(settings: Settings, dialect: D, source: S, reload: F) -> Result<()>
where
    D: Dialect,
    S: Source,
    F: FnMut() -> Option<Tuning> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::new(Step::Listen, "runtime", e))?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, dialect, source, reload))
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| Error::new(Step::Listen, address, e))
}

fn handler(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| Error::new(Step::Listen, "signals", e))
}

async fn serve<D, S, F>(settings: Settings, dialect: D, source: S, reload: F) -> Result<()>
where
    D: Dialect,
    S: Source,
    F: FnMut() -> Option<Tuning> + 'static,
{
    // Handlers are installed before the process is visible from outside. A signal without a handler
    // would terminate it during its start, so a SIGHUP meant to reload settings would kill it.
    let mut term = handler(SignalKind::terminate())?;
    let hangup = handler(SignalKind::hangup())?;
    let front = bind(settings.front).await?;
    let ready = bind(settings.ready).await?;
    let inbound = bind(settings.inbound).await?;
    let socket = UdpSocket::bind(settings.node).await;
    let socket =
        Rc::new(socket.map_err(|e| Error::new(Step::Listen, format!("udp {}", settings.node), e))?);
    let host = new_host(&settings, dialect, source);
    for mechanism in settings.tuning.options.switches.off() {
        info!(
            event = "start",
            mechanism = mechanism.name(),
            "switched off"
        );
    }
    info!(event = "start", host = %host.name, domain = %host.domain, front = %settings.front, "up");
    if let Some(address) = settings.metrics {
        let listener = bind(address).await?;
        tokio::task::spawn_local(listen::serve_operations(
            host.clone(),
            listener,
            Audience::Operators,
        ));
    }
    tokio::task::spawn_local(listen::serve_operations(
        host.clone(),
        ready,
        Audience::Balancer,
    ));
    tokio::task::spawn_local(listen::serve_hosts(host.clone(), inbound));
    tokio::task::spawn_local(member::run(host.clone(), socket.clone()));
    tokio::task::spawn_local(feed::follow(host.clone()));
    tokio::task::spawn_local(quarantine::gossip(host.clone()));
    tokio::task::spawn_local(housekeeping(host.clone(), socket.clone()));
    tokio::task::spawn_local(watch_settings(host.clone(), hangup, reload));
    tokio::task::spawn_local(front::serve(host.clone(), front, settings.max_callers));
    term.recv().await;
    shut_down(&host, &socket, settings.grace).await;
    Ok(())
}

/// Creates the state that the tasks of a process share.
pub fn new_host<D, S>(settings: &Settings, dialect: D, source: S) -> Rc<Host<D, S>>
where
    D: Dialect,
    S: Source,
{
    let clock = Clock::start();
    let now = clock.now();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 gives incarnation 1. Peers that remember a higher one are refuted by the
    // membership protocol.
    let incarnation = wall.map_or(1, |wall| wall.as_millis() as u64).max(1);
    let own = Member {
        host: settings.name.clone(),
        address: settings.node,
        domain: settings.domain.clone(),
        incarnation,
        version: incarnation,
        stage: view::Stage::Starting,
        health: view::Health::Alive,
    };
    let share = Share::new(Place { hosts: 1, rank: 0 }, now);
    let tuning = settings.tuning.clone();
    let core = Core::new(
        tuning.options,
        settings.name.clone(),
        settings.domain.clone(),
        share,
    );
    let swim = Swim::new(
        probe::Options::default(),
        now,
        own,
        tuning.seeds,
        settings.regions.clone(),
        StdRng::seed_from_u64(incarnation ^ core.host_hash),
    );
    Rc::new(Host {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        clock,
        dialect,
        source,
        pool: Pool::default(),
        uploads: Uploads::new(settings.body_memory),
        peers: Peers::default(),
        metrics: Registry::default(),
        core: RefCell::new(core),
        catalog: RefCell::new(Catalog::default()),
        swim: RefCell::new(swim),
        verified_at: Cell::new(None),
        outage: RefCell::default(),
        freshness: settings.freshness,
        origin_reachable: Cell::new(true),
        origin: RefCell::new(None),
        path: RefCell::new(RelayPath::default()),
        roster: RefCell::new(Roster::default()),
        quarantine_changed: Notify::new(),
        delays: RefCell::new(Delays::default()),
        connections: Connections::new(clock),
        last_update: RefCell::new(None),
        followers: Cell::new(0),
        changed: watch::Sender::new(0),
        stage: watch::Sender::new(Stage::Serving),
        answers_due: Cell::new(None),
    })
}

/// Shuts down without interrupting a request. First readiness fails so that no more callers are
/// sent here, then connections without a request are closed, then the remaining requests are
/// answered: without this, a request that waits for a backend server would be cut when the process
/// exits, although it certainly did not run.
pub async fn shut_down<D, S>(host: &Host<D, S>, socket: &UdpSocket, grace: Duration)
where
    D: Dialect,
    S: Source,
{
    info!(event = "stop", callers = host.connections.open(), "leaving");
    let started = host.now();
    let deadline = started + grace.saturating_sub(END_MARGIN);
    host.leave(deadline.saturating_sub(ANSWER_MARGIN));
    let effects = host.swim.borrow_mut().leave();
    member::apply_effects(host, socket, effects);
    tokio::time::sleep(grace.mul_f64(LEAVING_SHARE)).await;
    host.stage.send_replace(Stage::Closing);
    while host.connections.open() > 0 && host.now() < deadline {
        tokio::time::sleep(HOUSEKEEPING_PERIOD / 5).await;
    }
    let effects = host.swim.borrow_mut().end();
    member::apply_effects(host, socket, effects);
    host.stage.send_replace(Stage::Over);
    info!(event = "stop", callers = host.connections.open(), "ended");
}

/// Removes expired state, updates gauges, and announces when this process is ready for callers.
async fn housekeeping<D, S>(host: Rc<Host<D, S>>, socket: Rc<UdpSocket>)
where
    D: Dialect,
    S: Source,
{
    let mut serving = false;
    let mut outdated = false;
    let mut last = host.now();
    let mut changed = host.changed.subscribe();
    loop {
        tokio::select! {
            () = tokio::time::sleep(HOUSEKEEPING_PERIOD) => {}
            // Callers of a fleet that cold-starts wait for the first configuration, so readiness is
            // not delayed until the next pass.
            _ = changed.changed(), if !serving => {}
        }
        let now = host.now();
        log_stall(now.saturating_sub(last));
        last = now;
        outdated = log_outdated(&host, outdated);
        host.connections
            .close_overdue_heads(front::limits(&host).head_timeout);
        host.update_share();
        host.core.borrow_mut().expire_quarantine(now);
        let expired = host.catalog.borrow_mut().expire(now);
        if expired {
            host.publish_view();
        }
        let view = host.core.borrow().view.clone();
        if let Some(view) = view {
            let is_published = |id: &id::Backend| {
                let mut all = view.servers.values().flatten();
                all.any(|server| server.entry.id == *id)
            };
            host.pool.sweep(is_published);
            host.peers.sweep();
            if !serving {
                serving = true;
                info!(
                    event = "ready",
                    config = view.config.version,
                    "ready for callers"
                );
                let effects = host.swim.borrow_mut().serve();
                member::apply_effects(&host, &socket, effects);
                host.update_hosts();
            }
        }
        let registry = &host.metrics;
        registry.gauge(metric::OPENED, host.pool.opened() as f64);
        registry.gauge(metric::IDLE, host.pool.idle() as f64);
        registry.gauge(metric::REPLY_BYTES, host.pool.reply_bytes() as f64);
        registry.gauge(metric::BODY_BYTES, host.uploads.bytes() as f64);
        registry.gauge(metric::BODIES_GIVEN_UP, host.uploads.given_up() as f64);
        registry.gauge(metric::CALLERS_CLOSED, host.connections.closed() as f64);
        let age = host.age().map_or(-1.0, |age| age.as_secs_f64());
        registry.gauge(metric::AGE, age);
        let lag = host.core.borrow().lag.mean();
        registry.gauge(metric::LAG, lag.as_secs_f64());
        let version = host.catalog.borrow().version();
        registry.gauge(metric::CONFIG, version.unwrap_or(0) as f64);
    }
}

/// Logs a stall: the process ran later than its timer by [`STALL_THRESHOLD`] or more, as when its
/// host was frozen or out of processor time.
fn log_stall(elapsed: Duration) {
    let late = elapsed.saturating_sub(HOUSEKEEPING_PERIOD);
    if late >= STALL_THRESHOLD {
        warn!(
            event = "stall",
            late_ms = late.as_millis() as u64,
            "process did not run"
        );
    }
}

/// Logs when the local copy of the published state becomes older than the freshness bound, and when
/// it is within the bound again. Returns whether it is older now.
fn log_outdated<D, S>(host: &Host<D, S>, was_outdated: bool) -> bool
where
    D: Dialect,
    S: Source,
{
    let Some(age) = host.age() else {
        return false;
    };
    let is_outdated = age > host.freshness.bound;
    let age_ms = age.as_millis() as u64;
    let origin = host.origin.borrow();
    if is_outdated && !was_outdated {
        host.metrics.add(metric::OUTDATED, 1);
        warn!(
            event = "age",
            age_ms,
            ?origin,
            "published state is older than the bound"
        );
    } else if was_outdated && !is_outdated {
        info!(
            event = "age",
            age_ms,
            ?origin,
            "published state is within the bound again"
        );
    }
    is_outdated
}

/// Applies changed settings, on SIGHUP or when the settings file changes.
async fn watch_settings<D, S, F>(host: Rc<Host<D, S>>, mut hangup: Signal, mut reload: F)
where
    D: Dialect,
    S: Source,
    F: FnMut() -> Option<Tuning>,
{
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_PERIOD) => {}
        }
        if let Some(tuning) = reload() {
            info!(
                event = "reload",
                seeds = tuning.seeds.len(),
                "settings changed"
            );
            host.swim.borrow_mut().set_seeds(tuning.seeds);
            host.core.borrow_mut().options = tuning.options;
        }
    }
}
