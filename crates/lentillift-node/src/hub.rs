//! All connections to other processes.

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

/// Messages that wait for one peer at most; what comes beyond is undelivered.
const QUEUE: usize = 8192;

/// Messages that wait for the hub at most.
const COMMANDS: usize = 8192;

/// Connections that may be about to exchange names at a time.
const GREETINGS: usize = 256;

/// Pause after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the hub tells the rest of the process.
#[derive(Debug)]
pub enum Inbound {
    /// A peer sent messages.
    Received {
        /// The peer.
        peer: Peer,
        /// What it sent, in its order.
        messages: Vec<Message>,
    },
    /// A message certainly never left this process.
    Undelivered {
        /// Whom it was for.
        to: id::Host,
        /// The message.
        message: Message,
    },
    /// The link to a peer ended; what was sent to it lately may or may not have arrived.
    Down {
        /// The peer's host.
        host: id::Host,
    },
}

/// What the hub is told.
#[derive(Debug)]
enum Command {
    Send {
        to: id::Host,
        address: SocketAddr,
        message: Message,
    },
    Accepted(Link),
    Opened(Peer, u64),
    Ended(id::Host, u64),
    Lost(Peer),
}

/// A way to send messages to other processes.
#[derive(Debug, Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Sends a message; what can't be sent comes back as [`Inbound::Undelivered`].
    pub async fn send(&self, to: id::Host, address: SocketAddr, message: Message) {
        let command = Command::Send {
            to,
            address,
            message,
        };
        // The hub ends only with the process.
        let _ = self.commands.send(command).await;
    }

    /// Gives up the link to a process that is held to be over.
    ///
    /// A host that loses power closes no connection. Messages for it, and for the process that takes
    /// its name at another address, would go into the old connection until TCP gives up after many
    /// minutes. What was sent on it is reported by [`Inbound::Down`].
    pub async fn lose(&self, peer: Peer) {
        let _ = self.commands.send(Command::Lost(peer)).await;
    }
}

/// A link that is open or being opened.
#[derive(Debug)]
struct Slot {
    /// Tells this link from a later one to the same host.
    number: u64,
    queue: mpsc::Sender<Message>,
    /// Incarnation of the process at the other end, once names have been exchanged.
    incarnation: Option<id::Incarnation>,
    /// The task that carries the messages.
    task: Option<AbortHandle>,
}

/// The task that owns the list of links.
#[derive(Debug)]
struct Hub {
    me: Peer,
    links: HashMap<id::Host, Slot>,
    next: u64,
    commands: mpsc::Sender<Command>,
    inbound: mpsc::Sender<Inbound>,
}

/// Starts the hub and its listener.
pub fn spawn(me: Peer, listener: TcpListener, inbound: mpsc::Sender<Inbound>) -> Handle {
    let (commands, queue) = mpsc::channel(COMMANDS);
    let hub = Hub {
        me: me.clone(),
        links: HashMap::new(),
        next: 0,
        commands: commands.clone(),
        inbound,
    };
    tokio::spawn(listen(me, listener, commands.clone()));
    tokio::spawn(hub.run(queue));
    Handle { commands }
}

/// Takes connections; only so many at a time may be about to exchange names.
///
/// Without the bound, connections that say nothing would pile up until the process is out of file
/// descriptors and can reach no backend server either. Each gives its place back in time.
async fn listen(me: Peer, listener: TcpListener, commands: mpsc::Sender<Command>) {
    let greetings = Arc::new(Semaphore::new(GREETINGS));
    while let Ok(permit) = greetings.clone().acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let greeting = greet(me.clone(), stream, commands.clone());
        tokio::spawn(async move {
            greeting.await;
            drop(permit);
        });
    }
}

async fn greet(me: Peer, stream: TcpStream, commands: mpsc::Sender<Command>) {
    if let Ok(link) = link::accept(&me, stream).await {
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
                Command::Accepted(link) => self.accepted(link),
                Command::Opened(peer, number) => self.opened(peer, number),
                Command::Ended(host, number) => self.ended(host, number).await,
                Command::Lost(peer) => self.lost(peer).await,
            }
        }
    }

    async fn send(&mut self, to: id::Host, address: SocketAddr, message: Message) {
        if !self.links.contains_key(&to) {
            let messages = self.register(&to);
            let number = self.next;
            let task = tokio::spawn(outgoing(
                self.me.clone(),
                to.clone(),
                address,
                number,
                messages,
                self.inbound.clone(),
                self.commands.clone(),
            ));
            self.carry(&to, task.abort_handle());
        }
        let Some(slot) = self.links.get(&to) else {
            return;
        };
        if let Err(e) = slot.queue.try_send(message) {
            let message = e.into_inner();
            let _ = self
                .inbound
                .send(Inbound::Undelivered { to, message })
                .await;
        }
    }

    /// Makes a queue for a new link to `host`.
    fn register(&mut self, host: &id::Host) -> mpsc::Receiver<Message> {
        let (queue, messages) = mpsc::channel(QUEUE);
        self.next += 1;
        let slot = Slot {
            number: self.next,
            queue,
            incarnation: None,
            task: None,
        };
        self.links.insert(host.clone(), slot);
        messages
    }

    fn accepted(&mut self, link: Link) {
        let peer = link.peer.clone();
        let host = peer.host.clone();
        let known = self.links.contains_key(&host);
        // With a link of our own at hand, this one only receives: its queue stays without a sender.
        let messages = if known {
            None
        } else {
            Some(self.register(&host))
        };
        let number = self.next;
        let task = tokio::spawn(incoming(
            link,
            number,
            messages,
            self.inbound.clone(),
            self.commands.clone(),
        ));
        if !known {
            self.carry(&host, task.abort_handle());
            self.opened(peer, number);
        }
    }

    fn carry(&mut self, host: &id::Host, task: AbortHandle) {
        if let Some(slot) = self.links.get_mut(host) {
            slot.task = Some(task);
        }
    }

    fn opened(&mut self, peer: Peer, number: u64) {
        if let Some(slot) = self.links.get_mut(&peer.host)
            && slot.number == number
        {
            slot.incarnation = Some(peer.incarnation);
        }
    }

    async fn lost(&mut self, peer: Peer) {
        let slot = self.links.get(&peer.host);
        if slot.is_none_or(|slot| slot.incarnation != Some(peer.incarnation)) {
            return;
        }
        if let Some(task) = self.links.remove(&peer.host).and_then(|slot| slot.task) {
            task.abort();
        }
        let _ = self.inbound.send(Inbound::Down { host: peer.host }).await;
    }

    async fn ended(&mut self, host: id::Host, number: u64) {
        if self
            .links
            .get(&host)
            .is_some_and(|slot| slot.number == number)
        {
            self.links.remove(&host);
            let _ = self.inbound.send(Inbound::Down { host }).await;
        }
    }
}

/// Opens a link and carries messages over it.
async fn outgoing(
    me: Peer,
    host: id::Host,
    address: SocketAddr,
    number: u64,
    mut messages: mpsc::Receiver<Message>,
    inbound: mpsc::Sender<Inbound>,
    commands: mpsc::Sender<Command>,
) {
    let ended = match link::dial(&me, address).await {
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
    if let Err(error) = ended {
        info!(%host, %error, "link ended");
    }
    return_rest(host, number, messages, inbound, commands).await;
}

/// Carries messages over a link that a peer has opened.
async fn incoming(
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
        info!(%host, %error, "link ended");
    }
    return_rest(host, number, messages, inbound, commands).await;
}

/// Gives back the messages that were not sent before a link ended.
async fn return_rest(
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
