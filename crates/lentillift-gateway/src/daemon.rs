//! The process: its listeners, its tasks, and its end.

use crate::dialect::Dialect;
use crate::feed;
use crate::front;
use crate::host::Host;
use crate::host::Stage;
use crate::listen;
use crate::listen::Audience;
use crate::member;
use crate::metric;
use crate::metric::Board;
use crate::peer::Peers;
use crate::pool::Pool;
use crate::quarantine;
use crate::source::Source;
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

/// Time between two looks at what has expired.
const HOUSEKEEPING: Duration = Duration::from_millis(250);

/// Time beyond its sleep after which a process that did nothing says so.
const STALL: Duration = Duration::from_millis(500);

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(1);

/// Part of the time to end for which callers are still taken: the balancer looks once a second and
/// stops sending callers after two looks.
const LEAVING_SHARE: f64 = 0.42;

/// Time before the end of the time to end at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(350);

/// What one process is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name.
    pub name: id::Host,
    /// This host's failure domain.
    pub domain: id::Domain,
    /// The region of each failure domain.
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Connections of callers at a time.
    pub callers: usize,
    /// Where the balancer asks whether callers should be sent here.
    pub ready: SocketAddr,
    /// Where other hosts connect, by TCP and UDP.
    pub node: SocketAddr,
    /// Where their connections are accepted; not at `node` if something in between passes them on.
    pub inbound: SocketAddr,
    /// Where metrics are read; none to serve them nowhere.
    pub metrics: Option<SocketAddr>,
    /// What may change while the process runs.
    pub tuning: Tuning,
    /// How soon news has to be in force.
    pub news: follow::Options,
    /// Time from the signal to end until the process is killed.
    pub grace: Duration,
}

/// Settings that may change while the process runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Addresses of some other hosts.
    pub seeds: Vec<SocketAddr>,
    /// Figures of how requests are served.
    pub options: Options,
}

/// Runs the process until it is told to end.
///
/// `reload` says what the settings file holds now, if it changed.
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
    // Before anything can be seen of the process: a signal without a handler would end it in the middle
    // of its start, and whoever sent it to have settings read again would find the process gone.
    let mut term = handler(SignalKind::terminate())?;
    let hangup = handler(SignalKind::hangup())?;
    let front = bind(settings.front).await?;
    let ready = bind(settings.ready).await?;
    let inbound = bind(settings.inbound).await?;
    let socket = UdpSocket::bind(settings.node).await;
    let socket =
        Rc::new(socket.map_err(|e| Error::new(Step::Listen, format!("udp {}", settings.node), e))?);
    let host = make(&settings, dialect, source);
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
        tokio::task::spawn_local(listen::plain(host.clone(), listener, Audience::Operators));
    }
    tokio::task::spawn_local(listen::plain(host.clone(), ready, Audience::Balancer));
    tokio::task::spawn_local(listen::nodes(host.clone(), inbound));
    tokio::task::spawn_local(member::run(host.clone(), socket.clone()));
    tokio::task::spawn_local(feed::follow(host.clone()));
    tokio::task::spawn_local(quarantine::spread(host.clone()));
    tokio::task::spawn_local(keep_house(host.clone(), socket.clone()));
    tokio::task::spawn_local(watch_settings(host.clone(), hangup, reload));
    tokio::task::spawn_local(front::serve(host.clone(), front, settings.callers));
    term.recv().await;
    end(&host, &socket, settings.grace).await;
    Ok(())
}

/// Makes what the tasks of a process share.
pub fn make<D, S>(settings: &Settings, dialect: D, source: S) -> Rc<Host<D, S>>
where
    D: Dialect,
    S: Source,
{
    let clock = Clock::start();
    let now = clock.now();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 gives version 1; peers that remember a higher one are contradicted.
    let incarnation = wall.map_or(1, |wall| wall.as_millis() as u64).max(1);
    let me = Member {
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
        me,
        tuning.seeds,
        settings.regions.clone(),
        StdRng::seed_from_u64(incarnation ^ core.ticket),
    );
    Rc::new(Host {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        clock,
        dialect,
        source,
        pool: Pool::default(),
        peers: Peers::default(),
        board: Board::default(),
        core: RefCell::new(core),
        catalog: RefCell::new(Catalog::default()),
        swim: RefCell::new(swim),
        proved: Cell::new(None),
        away: Cell::new(None),
        news: settings.news,
        steady: Cell::new(true),
        origin: RefCell::new(None),
        way: RefCell::new(RelayPath::default()),
        roster: RefCell::new(Roster::default()),
        quarantine_changed: Notify::new(),
        delays: RefCell::new(Delays::default()),
        callers: Cell::new(0),
        told: RefCell::new(None),
        followers: Cell::new(0),
        changed: watch::Sender::new(0),
        stage: watch::Sender::new(Stage::Serving),
    })
}

/// Ends without cutting a request off: callers stop being sent here, then connections without a
/// request are closed, then the rest are answered.
async fn end<D, S>(host: &Host<D, S>, socket: &UdpSocket, grace: Duration)
where
    D: Dialect,
    S: Source,
{
    info!(event = "stop", callers = host.callers.get(), "leaving");
    let began = host.now();
    host.stage.send_replace(Stage::Leaving);
    let effects = host.swim.borrow_mut().leave();
    member::act(host, socket, effects);
    tokio::time::sleep(grace.mul_f64(LEAVING_SHARE)).await;
    host.stage.send_replace(Stage::Closing);
    let deadline = began + grace.saturating_sub(END_MARGIN);
    while host.callers.get() > 0 && host.now() < deadline {
        tokio::time::sleep(HOUSEKEEPING / 5).await;
    }
    let effects = host.swim.borrow_mut().end();
    member::act(host, socket, effects);
    host.stage.send_replace(Stage::Over);
    info!(event = "stop", callers = host.callers.get(), "ended");
}

/// Lets go of what has expired, and says when this process can take callers.
async fn keep_house<D, S>(host: Rc<Host<D, S>>, socket: Rc<UdpSocket>)
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
            () = tokio::time::sleep(HOUSEKEEPING) => {}
            // The first configuration is what callers of a fleet that starts anew are waiting for.
            _ = changed.changed(), if !serving => {}
        }
        let now = host.now();
        note_stall(now.saturating_sub(last));
        last = now;
        outdated = note_outdated(&host, outdated);
        host.take_place();
        host.core.borrow_mut().forget(now);
        let expired = host.catalog.borrow_mut().expire(now);
        if expired {
            host.redraw();
        }
        let view = host.core.borrow().view.clone();
        if let Some(view) = view {
            let known = |id: &id::Backend| {
                let mut all = view.servers.values().flatten();
                all.any(|server| server.entry.id == *id)
            };
            host.pool.sweep(known);
            host.peers.sweep();
            if !serving {
                serving = true;
                info!(
                    event = "ready",
                    config = view.config.version,
                    "taking callers"
                );
                let effects = host.swim.borrow_mut().serve();
                member::act(&host, &socket, effects);
                host.count_hosts();
            }
        }
        let board = &host.board;
        board.gauge(metric::OPENED, host.pool.opened() as f64);
        board.gauge(metric::IDLE, host.pool.idle() as f64);
        let age = host.age().map_or(-1.0, |age| age.as_secs_f64());
        board.gauge(metric::AGE, age);
        let lag = host.core.borrow().lag.mean();
        board.gauge(metric::LAG, lag.as_secs_f64());
        let version = host.catalog.borrow().version();
        board.gauge(metric::CONFIG, version.unwrap_or(0) as f64);
    }
}

/// Logs that this process did nothing for longer than it meant to sleep, as when its host stands still or
/// has no processor time left.
fn note_stall(passed: Duration) {
    let late = passed.saturating_sub(HOUSEKEEPING);
    if late >= STALL {
        warn!(
            event = "stall",
            late_ms = late.as_millis() as u64,
            "did not run"
        );
    }
}

/// Logs when what is believed becomes older than the bound on news, and when it no longer is; says whether
/// it is now.
fn note_outdated<D, S>(host: &Host<D, S>, was_outdated: bool) -> bool
where
    D: Dialect,
    S: Source,
{
    let Some(age) = host.age() else {
        return false;
    };
    let is_outdated = age > host.news.bound;
    let age_ms = age.as_millis() as u64;
    let origin = host.origin.borrow();
    if is_outdated && !was_outdated {
        host.board.add(metric::OUTDATED, 1);
        warn!(event = "age", age_ms, ?origin, "older than the bound");
    } else if was_outdated && !is_outdated {
        info!(event = "age", age_ms, ?origin, "within the bound again");
    }
    is_outdated
}

/// Puts changed settings in force.
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
