//! Putting the tasks of one process together.

use crate::entry;
use crate::once;
use crate::owner;
use crate::peers;
use crate::peers::Desks;
use crate::peers::Peers;
use crate::view;
use lentillift_caller::call::Call;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_fleet::view::View;
use lentillift_http::listener;
use lentillift_node::hub;
use lentillift_node::link::Peer;
use lentillift_once::core::Once;
use lentillift_once::home;
use lentillift_operator::server::Board;
use lentillift_platform::client::Client;
use lentillift_settings::daemon::Settings;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Messages that wait for a task at most; a full queue makes the sender wait.
const QUEUE: usize = 8192;

/// The listening sockets of a process.
#[derive(Debug)]
pub struct Sockets {
    /// For callers.
    pub caller: TcpListener,
    /// For the system's other processes.
    pub node: TcpListener,
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
        Ok(Self {
            caller: listen(settings.caller_address).await?,
            node: listen(settings.node_address).await?,
            operator: listen(settings.operator_address).await?,
        })
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
    /// What the process tells its operators.
    pub board: Board,
}

impl Daemon {
    /// Starts all tasks of a process.
    pub fn start(settings: &Settings, sockets: Sockets, incarnation: id::Incarnation) -> Self {
        let clock = Clock::start();
        let board = Board::new(settings.host.clone(), incarnation, clock);
        let (stop, stopped) = watch::channel(false);
        let (view, seen) = watch::channel(Arc::<View>::default());
        let me = Peer {
            host: settings.host.clone(),
            incarnation,
        };

        let (local, inbound) = mpsc::channel(QUEUE);
        let hub = hub::spawn(me.clone(), sockets.node, local.clone());
        let peers = Peers::new(me, seen.clone(), hub, local);

        let (entry_mail, for_entry) = mpsc::channel(QUEUE);
        let (once_mail, for_once) = mpsc::channel(QUEUE);
        let (owner_mail, for_owner) = mpsc::channel(QUEUE);
        let desks = Desks {
            entry: entry_mail.clone(),
            once: once_mail.clone(),
            owner: owner_mail.clone(),
        };
        tokio::spawn(peers::sort(inbound, desks));

        let entry = entry::Task::new(
            settings.domain.clone(),
            rng(incarnation),
            clock,
            peers.clone(),
            board.clone(),
        );
        tokio::spawn(entry.run(for_entry, seen.clone()));

        // Not seeded by the incarnation, which stands in each id: the ids' secrets would be known.
        let secrets = StdRng::from_os_rng();
        let options = home::Options::default();
        let once = Once::new(settings.host.clone(), incarnation, &options, secrets);
        let once = once::Task::new(once, clock, peers.clone(), board.clone());
        tokio::spawn(once.run(for_once, seen.clone()));

        let host = settings.host.clone();
        let owner = owner::Task::new(host, clock, peers, board.clone(), owner_mail);
        tokio::spawn(owner.run(for_owner, seen));

        let platform = Client::new(settings.platform_address);
        tokio::spawn(view::Task::new(platform, board.clone(), view).run());

        let options = listener::Options::default();
        let operators = lentillift_operator::server::serve(
            sockets.operator,
            options,
            stopped.clone(),
            board.clone(),
        );
        tokio::spawn(operators);

        let (calls, for_desks) = mpsc::channel(QUEUE);
        tokio::spawn(pass_calls(for_desks, entry_mail, once_mail));
        let first = rng(incarnation).random::<id::Request>() >> 1;
        let callers =
            lentillift_caller::server::serve(sockets.caller, options, stopped, calls, first);
        Self {
            stop,
            callers: tokio::spawn(callers),
            board,
        }
    }

    /// Takes no more callers and waits until those under way have their answers.
    pub async fn stop(self) {
        self.board.set_ready(false);
        self.stop.send_replace(true);
        let _ = self.callers.await;
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
