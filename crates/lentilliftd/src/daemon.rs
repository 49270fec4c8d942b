//! Putting the tasks of one process together.

use crate::entry;
use crate::fleet;
use crate::once;
use crate::owner;
use crate::peers;
use crate::peers::Desks;
use crate::peers::Peers;
use crate::report;
use crate::tenure;
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

/// Messages that wait for a task at most; a full queue makes the sender wait.
const QUEUE: usize = 8192;

/// Ports that are tried at most when the system chooses.
const MOST_TRIES: u32 = 16;

/// Time between failing readiness and taking no more callers.
///
/// Two looks of a balancer that looks twice a second.
const NOTICE: Duration = Duration::from_secs(1);

/// Longest wait until all backend servers are handed over.
///
/// A hand-over takes at most a second: half for requests under way, half for the successor. What
/// is not taken over by then falls to the next guardian when the leases are over.
const HAND_OVER: Duration = Duration::from_secs(2);

/// Longest wait for callers under way; more than the largest allowance that is usual.
const CALLERS: Duration = Duration::from_secs(15);

/// Time for requests that were passed here from elsewhere, before their ids are handed over.
const IDS: Duration = Duration::from_secs(2);

/// The listening sockets of a process.
#[derive(Debug)]
pub struct Sockets {
    /// For callers.
    pub caller: TcpListener,
    /// For the system's other processes.
    pub node: TcpListener,
    /// For datagrams of the system's other processes.
    // INVARIANT: Bound to the address and port of `node`.
    pub datagram: UdpSocket,
    /// For operators.
    pub operator: TcpListener,
}

impl Sockets {
    /// Opens the sockets that `settings` name; a port of 0 leaves the choice to the system.
    ///
    /// # Errors
    ///
    /// Names the address that can't be listened on.
    pub async fn open(settings: &Settings) -> Result<Self> {
        let (node, datagram) = open_node(settings.node_address).await?;
        Ok(Self {
            caller: listen(settings.caller_address).await?,
            node,
            datagram,
            operator: listen(settings.operator_address).await?,
        })
    }
}

/// Opens a listener and a datagram socket at one port.
async fn open_node(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    // The others are told this address. Nobody could reach `0.0.0.0`, and the process would stay
    // cut off while everything else about it looks well.
    if address.ip().is_unspecified() {
        let cause = "found no particular address, one by which the others reach this host is right";
        return Err(Error::new(
            Step::Check,
            format!("node_address {address}"),
            cause,
        ));
    }
    let mut tries = 0;
    loop {
        tries += 1;
        let listener = listen(address).await?;
        let local = listener.local_addr();
        let local = local.map_err(|e| Error::new(Step::Listen, address, e))?;
        match UdpSocket::bind(local).await {
            Ok(socket) => return Ok((listener, socket)),
            // The port that the system chose is free for TCP and not for UDP; another may do.
            Err(_) if address.port() == 0 && tries < MOST_TRIES => {}
            Err(e) => return Err(Error::new(Step::Listen, local, e)),
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| Error::new(Step::Listen, address, e))
}

/// A running process's tasks.
#[derive(Debug)]
pub struct Daemon {
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    fleet: mpsc::Sender<fleet::Mail>,
    owner: mpsc::Sender<owner::Mail>,
    once: mpsc::Sender<once::Mail>,
    /// What the process tells its operators.
    pub board: Board,
    /// What the process holds to be true of the fleet.
    pub view: watch::Receiver<Arc<View>>,
}

impl Daemon {
    /// Starts all tasks of a process.
    pub fn start(settings: &Settings, sockets: Sockets, incarnation: id::Incarnation) -> Self {
        Self::start_traced(settings, sockets, incarnation, None)
    }

    /// Starts all tasks of a process and writes traces of its decisions into a directory.
    pub fn start_traced(
        settings: &Settings,
        sockets: Sockets,
        incarnation: id::Incarnation,
        traces: Option<&Path>,
    ) -> Self {
        let clock = Clock::start();
        let board = Board::new(settings.host.clone(), incarnation, clock);
        let (stop, stopped) = watch::channel(false);
        let (view, seen) = watch::channel(Arc::<View>::default());
        let me = Peer {
            host: settings.host.clone(),
            incarnation,
        };
        let own = member(settings, &sockets, incarnation);

        let (local, inbound) = mpsc::channel(QUEUE);
        let hub = hub::spawn(me.clone(), sockets.node, local.clone());
        let peers = Peers::new(me.clone(), seen.clone(), hub, local);

        let (entry_mail, for_entry) = mpsc::channel(QUEUE);
        let (once_mail, for_once) = mpsc::channel(QUEUE);
        let (owner_mail, for_owner) = mpsc::channel(QUEUE);
        let (fleet_mail, for_fleet) = mpsc::channel(QUEUE);
        let desks = Desks {
            entry: entry_mail.clone(),
            once: once_mail.clone(),
            owner: owner_mail.clone(),
            fleet: fleet_mail.clone(),
        };
        tokio::spawn(peers::sort(inbound, desks));

        let entry = trace::start(settings, incarnation, incarnation, traces);
        let entry = entry::Task::new(entry, clock, peers.clone(), board.clone());
        tokio::spawn(entry.run(for_entry, seen.clone()));

        // Not seeded by the incarnation, which stands in each id: the ids' secrets would be known.
        let once = trace::start(settings, incarnation, rand::random(), traces);
        let once = once::Task::new(once, clock, peers.clone(), board.clone());
        tokio::spawn(once.run(for_once, seen.clone()));

        let leave = owner_mail.clone();
        let owner = owner::Task::new(me, clock, peers.clone(), board.clone(), owner_mail);
        tokio::spawn(owner.run(for_owner, seen.clone()));

        let domain = settings.domain.clone();
        tokio::spawn(report::views(board.clone(), domain, view.subscribe()));

        let around = fleet::Around {
            peers,
            board: board.clone(),
            clock,
            view,
            mail: fleet_mail.clone(),
        };
        let part = fleet_part(settings, clock, own, incarnation);
        let platform = Client::new(settings.platform_address);
        let fleet = fleet::Task::new(part, sockets.datagram, platform, around);
        tokio::spawn(fleet.run(for_fleet));

        let options = listener::Options::default();
        let operators = lentillift_operator::server::serve(
            sockets.operator,
            options,
            stopped.clone(),
            board.clone(),
        );
        tokio::spawn(operators);

        let (calls, for_desks) = mpsc::channel(QUEUE);
        tokio::spawn(pass_calls(for_desks, entry_mail, once_mail.clone()));
        let first = rng(incarnation).random::<id::Request>() >> 1;
        let callers =
            lentillift_caller::server::serve(sockets.caller, options, stopped, calls, first);
        Self {
            stop,
            callers: tokio::spawn(callers),
            fleet: fleet_mail,
            owner: leave,
            once: once_mail,
            board,
            view: seen,
        }
    }

    /// Ends without cutting any request.
    ///
    /// First readiness fails and the others are told, so that nothing new is sent here; then the
    /// backend servers are handed over; then the callers under way get their answers. An end in any
    /// other order shows as refused or cut requests at each restart.
    pub async fn stop(self) {
        let _ = self.fleet.send(fleet::Mail::Leave).await;
        let (done, handed) = oneshot::channel();
        let leave = owner::Mail::Lease(tenure::Mail::Leave(done));
        let _ = self.owner.send(leave).await;
        // The balancer needs a look at the readiness route before connections are closed.
        let notice = tokio::time::sleep(NOTICE);
        let handed = tokio::time::timeout(HAND_OVER, handed);
        let _ = tokio::join!(notice, handed);
        self.stop.send_replace(true);
        let _ = tokio::time::timeout(CALLERS, self.callers).await;
        // After the callers, who would else be told to take a new id.
        let (left, handed) = oneshot::channel();
        let within = IDS;
        let _ = self.once.send(once::Mail::Leave { within, left }).await;
        let _ = tokio::time::timeout(IDS + HAND_OVER, handed).await;
        let (told, heard) = oneshot::channel();
        let _ = self.fleet.send(fleet::Mail::End(told)).await;
        let _ = tokio::time::timeout(HAND_OVER, heard).await;
    }
}

/// This process's part in membership and in the spread of values.
fn fleet_part(
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

/// What this process first says of itself.
fn member(settings: &Settings, sockets: &Sockets, incarnation: id::Incarnation) -> Member {
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

/// Passes each call to the task that serves it.
async fn pass_calls(
    mut calls: mpsc::Receiver<Call>,
    entry: mpsc::Sender<entry::Mail>,
    once: mpsc::Sender<once::Mail>,
) {
    while let Some(call) = calls.recv().await {
        match call {
            Call::Query { .. } | Call::Gone { .. } => {
                let _ = entry.send(entry::Mail::Call(call)).await;
            }
            Call::Issue { .. } | Call::Action { .. } => {
                let _ = once.send(once::Mail::Call(call)).await;
            }
        }
    }
}

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
