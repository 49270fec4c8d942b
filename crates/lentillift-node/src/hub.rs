//! The hub: the task that owns the links to all other processes.

use crate::link;
use crate::link::Link;
use crate::link::Peer;
use crate::message::Message;
use lentillift_core::id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tracing::info;

/// Capacity of the queue for one peer, in messages; a message that finds it full is returned as
/// undelivered.
const LINK_QUEUE_CAPACITY: usize = 8192;

/// Capacity of the hub's command queue.
const COMMAND_QUEUE_CAPACITY: usize = 8192;

/// Most incoming connections that may be in the handshake at a time.
const MAX_HANDSHAKES: usize = 256;

/// Pause after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Events that the hub reports to the rest of the process.
#[derive(Debug)]
pub enum Inbound {
    /// A peer sent messages.
    Received {
        /// The peer.
        peer: Peer,
        /// The messages, in the order in which they were sent.
        messages: Vec<Message>,
    },
    /// A message could not be sent; it certainly never left this process.
    Undelivered {
        /// The intended recipient.
        to: id::Host,
        /// The message.
        message: Message,
    },
    /// The link to a peer closed; messages sent to it recently may or may not have arrived.
    Down {
        /// The peer's host.
        host: id::Host,
    },
}

/// Commands to the hub, from [`Handle`] and from the tasks of the links.
#[derive(Debug)]
enum Command {
    /// Send a message, over a new link if there is none.
    Send {
        to: id::Host,
        address: SocketAddr,
        message: Message,
    },
    /// A peer has opened a link.
    Accepted(Link),
    /// The handshake of the link with this number is complete.
    Opened(Peer, u64),
    /// The link with this number has ended.
    Ended(id::Host, u64),
    /// Membership reports that the process has ended.
    Lost(Peer),
}

/// A handle for sending messages to other processes.
#[derive(Debug, Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Sends a message; one that cannot be sent is returned as [`Inbound::Undelivered`].
    pub async fn send(&self, to: id::Host, address: SocketAddr, message: Message) {
        let command = Command::Send {
            to,
            address,
            message,
        };
        // Cannot fail while the process runs: the hub never stops before it.
        let _ = self.commands.send(command).await;
    }

    /// Closes the link to a process that is gone, dead or replaced by a new incarnation.
    ///
    /// A host that loses power closes no connection. Messages for it, and for the process that
    /// takes over its name at another address, would be written to the old connection until TCP
    /// times out after many minutes. For messages already sent on it the hub reports
    /// [`Inbound::Down`].
    pub async fn disconnect(&self, peer: Peer) {
        let _ = self.commands.send(Command::Lost(peer)).await;
    }
}

/// A link that is open or being opened.
#[derive(Debug)]
struct LinkEntry {
    /// Distinguishes this link from a later one to the same host.
    number: u64,
    queue: mpsc::Sender<Message>,
    /// Incarnation of the process at the other end, once the handshake is complete.
    incarnation: Option<id::Incarnation>,
    /// The task that runs the link.
    task: Option<AbortHandle>,
}

/// State of the hub task: the links by host.
#[derive(Debug)]
struct Hub {
    local_peer: Peer,
    links: HashMap<id::Host, LinkEntry>,
    /// Number of the link registered last.
    last_number: u64,
    commands: mpsc::Sender<Command>,
    inbound: mpsc::Sender<Inbound>,
}

/// Starts the hub and its listener.
pub fn spawn(local_peer: Peer, listener: TcpListener, inbound: mpsc::Sender<Inbound>) -> Handle {
    let (commands, queue) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let hub = Hub {
        local_peer: local_peer.clone(),
        links: HashMap::new(),
        last_number: 0,
        commands: commands.clone(),
        inbound,
    };
    tokio::spawn(listen(local_peer, listener, commands.clone()));
    tokio::spawn(hub.run(queue));
    Handle { commands }
}

/// Accepts connections, with at most [`MAX_HANDSHAKES`] in the handshake at a time.
///
/// Without the limit, connections that send nothing would accumulate until the process is out of
/// file descriptors and can no longer reach backend servers either. The handshake timeout frees the
/// place of each.
async fn listen(local_peer: Peer, listener: TcpListener, commands: mpsc::Sender<Command>) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    while let Ok(permit) = handshakes.clone().acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handshake = accept_link(local_peer.clone(), stream, commands.clone());
        tokio::spawn(async move {
            handshake.await;
            drop(permit);
        });
    }
}

async fn accept_link(local_peer: Peer, stream: TcpStream, commands: mpsc::Sender<Command>) {
    if let Ok(link) = link::accept(&local_peer, stream).await {
        let _ = commands.send(Command::Accepted(link)).await;
    }
}

impl Hub {
    async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        while let Some(command) = queue.recv().await {
            match command {
                Command::Send {
                    to,
                    address,
                    message,
                } => self.send(to, address, message).await,
                Command::Accepted(link) => self.handle_accepted(link),
                Command::Opened(peer, number) => self.handle_opened(peer, number),
                Command::Ended(host, number) => self.handle_ended(host, number).await,
                Command::Lost(peer) => self.handle_lost(peer).await,
            }
        }
    }

    async fn send(&mut self, to: id::Host, address: SocketAddr, message: Message) {
        if !self.links.contains_key(&to) {
            let messages = self.register(&to);
            let number = self.last_number;
            let task = tokio::spawn(run_outgoing(
                self.local_peer.clone(),
                to.clone(),
                address,
                number,
                messages,
                self.inbound.clone(),
                self.commands.clone(),
            ));
            self.set_task(&to, task.abort_handle());
        }
        let Some(entry) = self.links.get(&to) else {
            return;
        };
        if let Err(e) = entry.queue.try_send(message) {
            let message = e.into_inner();
            let _ = self
                .inbound
                .send(Inbound::Undelivered { to, message })
                .await;
        }
    }

    /// Registers a new link to `host` and returns the receiving end of its queue.
    fn register(&mut self, host: &id::Host) -> mpsc::Receiver<Message> {
        let (queue, messages) = mpsc::channel(LINK_QUEUE_CAPACITY);
        self.last_number += 1;
        let entry = LinkEntry {
            number: self.last_number,
            queue,
            incarnation: None,
            task: None,
        };
        self.links.insert(host.clone(), entry);
        messages
    }

    fn handle_accepted(&mut self, link: Link) {
        let peer = link.peer.clone();
        let host = peer.host.clone();
        let has_link = self.links.contains_key(&host);
        // If a link to this host exists already, this one only receives and gets no queue.
        let messages = if has_link {
            None
        } else {
            Some(self.register(&host))
        };
        let number = self.last_number;
        let task = tokio::spawn(run_incoming(
            link,
            number,
            messages,
            self.inbound.clone(),
            self.commands.clone(),
        ));
        if !has_link {
            self.set_task(&host, task.abort_handle());
            self.handle_opened(peer, number);
        }
    }

    fn set_task(&mut self, host: &id::Host, task: AbortHandle) {
        if let Some(entry) = self.links.get_mut(host) {
            entry.task = Some(task);
        }
    }

    fn handle_opened(&mut self, peer: Peer, number: u64) {
        if let Some(entry) = self.links.get_mut(&peer.host)
            && entry.number == number
        {
            entry.incarnation = Some(peer.incarnation);
        }
    }

    async fn handle_lost(&mut self, peer: Peer) {
        let entry = self.links.get(&peer.host);
        if entry.is_none_or(|entry| entry.incarnation != Some(peer.incarnation)) {
            return;
        }
        if let Some(task) = self.links.remove(&peer.host).and_then(|entry| entry.task) {
            task.abort();
        }
        let _ = self.inbound.send(Inbound::Down { host: peer.host }).await;
    }

    async fn handle_ended(&mut self, host: id::Host, number: u64) {
        if self
            .links
            .get(&host)
            .is_some_and(|entry| entry.number == number)
        {
            self.links.remove(&host);
            let _ = self.inbound.send(Inbound::Down { host }).await;
        }
    }
}

/// Opens a link to a peer and transfers messages over it.
async fn run_outgoing(
    local_peer: Peer,
    host: id::Host,
    address: SocketAddr,
    number: u64,
    mut messages: mpsc::Receiver<Message>,
    inbound: mpsc::Sender<Inbound>,
    commands: mpsc::Sender<Command>,
) {
    let result = match link::dial(&local_peer, address).await {
        Ok(link) if link.peer.host == host => {
            let opened = Command::Opened(link.peer.clone(), number);
            let _ = commands.send(opened).await;
            link.run(&mut messages, &inbound).await
        }
        Ok(link) => Err(lentillift_core::error::Error::new(
            lentillift_core::error::Step::Connect,
            address,
            format!("found host {}, expected {host}", link.peer.host),
        )),
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        info!(%host, %error, "link closed");
    }
    return_unsent(host, number, messages, inbound, commands).await;
}

/// Transfers messages over a link that a peer has opened.
async fn run_incoming(
    link: Link,
    number: u64,
    messages: Option<mpsc::Receiver<Message>>,
    inbound: mpsc::Sender<Inbound>,
    commands: mpsc::Sender<Command>,
) {
    let host = link.peer.host.clone();
    let Some(mut messages) = messages else {
        let (_idle, mut none) = mpsc::channel(1);
        let _ = link.run(&mut none, &inbound).await;
        return;
    };
    if let Err(error) = link.run(&mut messages, &inbound).await {
        info!(%host, %error, "link closed");
    }
    return_unsent(host, number, messages, inbound, commands).await;
}

/// Reports a link as ended and returns the messages that were not sent on it.
async fn return_unsent(
    host: id::Host,
    number: u64,
    mut messages: mpsc::Receiver<Message>,
    inbound: mpsc::Sender<Inbound>,
    commands: mpsc::Sender<Command>,
) {
    messages.close();
    let _ = commands.send(Command::Ended(host.clone(), number)).await;
    while let Some(message) = messages.recv().await {
        let undelivered = Inbound::Undelivered {
            to: host.clone(),
            message,
        };
        let _ = inbound.send(undelivered).await;
    }
}
