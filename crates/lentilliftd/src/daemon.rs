//! Creates the tasks of one process, connects them, and stops them in order.

use crate::entry;
use crate::fleet;
use crate::lease;
use crate::once;
use crate::owner;
use crate::peers;
use crate::peers::Peers;
use crate::peers::Router;
use crate::report;
use crate::trace;
use lentillift_caller::call::Call;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_fleet::core as fleet_core;
use lentillift_fleet::core::Fleet;
use lentillift_fleet::member::Member;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Stage;
use lentillift_fleet::view::View;
use lentillift_http::listener;
use lentillift_node::hub;
use lentillift_node::link::Peer;
use lentillift_operator::server::Board;
use lentillift_platform::client::Client;
use lentillift_settings::daemon::Settings;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Capacity of each task's input channel, in messages; a sender waits while the channel is full.
const CHANNEL_CAPACITY: usize = 8192;

/// Attempts to find a port that is free for both TCP and UDP when the system chooses the port.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Time between failing the readiness check and closing the caller listener.
///
/// Long enough for two checks by a load balancer that polls twice a second.
const READINESS_NOTICE: Duration = Duration::from_secs(1);

/// Longest wait until all backend servers are handed over.
///
/// A handover takes at most one second: half for requests in flight, half for the successor. A
/// backend server that is not taken over by then goes to the next guardian (a host that grants
/// leases on it) once the lease expires.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for caller requests in flight; longer than the largest usual request allowance.
const CALLER_DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for requests forwarded by other hosts to finish before their request ids are handed over.
const FORWARDED_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// The listening sockets of a process.
#[derive(Debug)]
pub struct Sockets {
    /// Accepts callers' HTTP connections.
    pub caller: TcpListener,
    /// Accepts links from other processes of the fleet.
    pub node: TcpListener,
    /// Carries membership datagrams to and from other processes of the fleet.
    // INVARIANT: Bound to the address and port of `node`.
    pub datagram: UdpSocket,
    /// Accepts operators' HTTP connections.
    pub operator: TcpListener,
}

impl Sockets {
    /// Binds the addresses in `settings`; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound, or the node address is unspecified (`0.0.0.0` or `::`).
    pub async fn open(settings: &Settings) -> Result<Self> {
        let (node, datagram) = bind_node_sockets(settings.node_address).await?;
        Ok(Self {
            caller: listen(settings.caller_address).await?,
            node,
            datagram,
            operator: listen(settings.operator_address).await?,
        })
    }
}

/// Binds a TCP listener and a UDP socket to the same port.
async fn bind_node_sockets(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    // This address is announced to the other hosts. `0.0.0.0` is not reachable from them: the
    // process would be isolated although it appears healthy otherwise.
    if address.ip().is_unspecified() {
        let cause = "unspecified address, expected one at which other hosts can reach this host";
        return Err(Error::new(
            Step::Check,
            format!("node_address {address}"),
            cause,
        ));
    }
    let mut attempts = 0;
    loop {
        attempts += 1;
        let listener = listen(address).await?;
        let local = listener.local_addr();
        let local = local.map_err(|e| Error::new(Step::Listen, address, e))?;
        match UdpSocket::bind(local).await {
            Ok(socket) => return Ok((listener, socket)),
            // The chosen port is free for TCP but not for UDP: try another one.
            Err(_) if address.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(e) => return Err(Error::new(Step::Listen, local, e)),
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| Error::new(Step::Listen, address, e))
}

/// Handles to the tasks of a running process.
#[derive(Debug)]
pub struct Daemon {
    stop: watch::Sender<bool>,
    caller_server: JoinHandle<()>,
    fleet: mpsc::Sender<fleet::Input>,
    owner: mpsc::Sender<owner::Input>,
    once: mpsc::Sender<once::Input>,
    /// Metrics, status and time line that the process publishes to operators.
    pub board: Board,
    /// The process's current view of the fleet: hosts, backend servers and configuration.
    pub view: watch::Receiver<Arc<View>>,
}

impl Daemon {
    /// Starts all tasks of a process.
    pub fn start(settings: &Settings, sockets: Sockets, incarnation: id::Incarnation) -> Self {
        Self::start_traced(settings, sockets, incarnation, None)
    }

    /// Starts all tasks of a process; with `traces`, records their decisions in that directory.
    pub fn start_traced(
        settings: &Settings,
        sockets: Sockets,
        incarnation: id::Incarnation,
        traces: Option<&Path>,
    ) -> Self {
        let clock = Clock::start();
        let board = Board::new(settings.host.clone(), incarnation, clock);
        let (stop, stopped) = watch::channel(false);
        let (view, view_receiver) = watch::channel(Arc::<View>::default());
        let local_peer = Peer {
            host: settings.host.clone(),
            incarnation,
        };
        let own = initial_member(settings, &sockets, incarnation);

        let (loopback, inbound) = mpsc::channel(CHANNEL_CAPACITY);
        let hub = hub::spawn(local_peer.clone(), sockets.node, loopback.clone());
        let peers = Peers::new(local_peer.clone(), view_receiver.clone(), hub, loopback);

        let (entry_sender, entry_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (once_sender, once_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (owner_sender, owner_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (fleet_sender, fleet_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let router = Router {
            entry: entry_sender.clone(),
            once: once_sender.clone(),
            owner: owner_sender.clone(),
            fleet: fleet_sender.clone(),
        };
        tokio::spawn(peers::route(inbound, router));

        let entry = trace::start(settings, incarnation, incarnation, traces);
        let entry = entry::Task::new(entry, clock, peers.clone(), board.clone());
        tokio::spawn(entry.run(entry_receiver, view_receiver.clone()));

        // Not seeded by the incarnation: each request id contains it, so the secrets in the ids
        // would be predictable.
        let once = trace::start(settings, incarnation, rand::random(), traces);
        let once = once::Task::new(once, clock, peers.clone(), board.clone());
        tokio::spawn(once.run(once_receiver, view_receiver.clone()));

        let owner_control = owner_sender.clone();
        let owner = owner::Task::new(
            local_peer,
            clock,
            peers.clone(),
            board.clone(),
            owner_sender,
        );
        tokio::spawn(owner.run(owner_receiver, view_receiver.clone()));

        let domain = settings.domain.clone();
        tokio::spawn(report::publish_views(
            board.clone(),
            domain,
            view.subscribe(),
        ));

        let context = fleet::Context {
            peers,
            board: board.clone(),
            clock,
            view,
            inputs: fleet_sender.clone(),
        };
        let membership = new_membership(settings, clock, own, incarnation);
        let platform = Client::new(settings.platform_address);
        let fleet = fleet::Task::new(membership, sockets.datagram, platform, context);
        tokio::spawn(fleet.run(fleet_receiver));

        let options = listener::Options::default();
        let operators = lentillift_operator::server::serve(
            sockets.operator,
            options,
            stopped.clone(),
            board.clone(),
        );
        tokio::spawn(operators);

        let (calls, call_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        tokio::spawn(route_calls(
            call_receiver,
            entry_sender,
            once_sender.clone(),
        ));
        let first_request = rng(incarnation).random::<id::Request>() >> 1;
        let callers = lentillift_caller::server::serve(
            sockets.caller,
            options,
            stopped,
            calls,
            first_request,
        );
        Self {
            stop,
            caller_server: tokio::spawn(callers),
            fleet: fleet_sender,
            owner: owner_control,
            once: once_sender,
            board,
            view: view_receiver,
        }
    }

    /// Shuts down without interrupting any request.
    ///
    /// First the readiness check fails and the other hosts are notified, so that no new requests
    /// arrive; then the backend servers are handed over; then callers with requests in flight get
    /// their answers. Any other order causes refused or interrupted requests at each restart.
    pub async fn stop(self) {
        let _ = self.fleet.send(fleet::Input::Leave).await;
        let (done, owner_drained) = oneshot::channel();
        let leave = owner::Input::Lease(lease::Input::Leave(done));
        let _ = self.owner.send(leave).await;
        // The load balancer must see the failing readiness check before connections are closed.
        let notice = tokio::time::sleep(READINESS_NOTICE);
        let owner_drained = tokio::time::timeout(HANDOVER_TIMEOUT, owner_drained);
        let _ = tokio::join!(notice, owner_drained);
        self.stop.send_replace(true);
        let _ = tokio::time::timeout(CALLER_DRAIN_TIMEOUT, self.caller_server).await;
        // Only after the callers are served: earlier, they would be refused and have to request a
        // new id.
        let (done, ids_drained) = oneshot::channel();
        let within = FORWARDED_DRAIN_TIMEOUT;
        let _ = self.once.send(once::Input::Leave { within, done }).await;
        let _ = tokio::time::timeout(FORWARDED_DRAIN_TIMEOUT + HANDOVER_TIMEOUT, ids_drained).await;
        let (done, announced) = oneshot::channel();
        let _ = self.fleet.send(fleet::Input::End(done)).await;
        let _ = tokio::time::timeout(HANDOVER_TIMEOUT, announced).await;
    }
}

/// Creates the state machine for membership and for distributing published values.
fn new_membership(
    settings: &Settings,
    clock: Clock,
    own: Member,
    incarnation: id::Incarnation,
) -> Fleet<StdRng> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let options = fleet_core::Options {
        wall: wall.unwrap_or_default(),
        seeds: settings.seeds.clone(),
        ..fleet_core::Options::default()
    };
    Fleet::new(options, clock.now(), own, rng(incarnation + 2))
}

/// The membership record that this process announces at its start.
fn initial_member(settings: &Settings, sockets: &Sockets, incarnation: id::Incarnation) -> Member {
    let address = sockets.node.local_addr();
    Member {
        host: settings.host.clone(),
        address: address.unwrap_or(settings.node_address),
        domain: settings.domain.clone(),
        incarnation,
        version: incarnation,
        stage: Stage::Starting,
        health: Health::Alive,
    }
}

/// Routes each call to the task that serves it.
async fn route_calls(
    mut calls: mpsc::Receiver<Call>,
    entry: mpsc::Sender<entry::Input>,
    once: mpsc::Sender<once::Input>,
) {
    while let Some(call) = calls.recv().await {
        match call {
            Call::Query { .. } | Call::Gone { .. } => {
                let _ = entry.send(entry::Input::Call(call)).await;
            }
            Call::Issue { .. } | Call::Action { .. } => {
                let _ = once.send(once::Input::Call(call)).await;
            }
        }
    }
}

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
