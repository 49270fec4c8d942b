//! The membership task: it owns the datagram socket, exchanges hosts and published values with
//! peers and publishes the resulting view of the fleet.

use crate::peers::Peers;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_fleet::core::Effect;
use lentillift_fleet::core::Event;
use lentillift_fleet::core::Fleet;
use lentillift_fleet::core::TICK;
use lentillift_fleet::packet::Packet;
use lentillift_fleet::read::Call;
use lentillift_fleet::read::Index;
use lentillift_fleet::sync;
use lentillift_fleet::value::Key;
use lentillift_fleet::view::View;
use lentillift_node::datagram;
use lentillift_node::link::Peer;
use lentillift_node::message::Message;
use lentillift_operator::event::Note;
use lentillift_operator::server::Board;
use lentillift_platform::client;
use lentillift_platform::client::Client;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tracing::info;

/// Capacity of the queue of messages to peers. A message that finds it full is dropped and
/// requested again later.
const LINK_QUEUE_CAPACITY: usize = 1024;

/// Inputs from other tasks.
#[derive(Debug)]
pub enum Input {
    /// A peer sent a message over its link.
    Message(id::Host, sync::Message),
    /// The configuration service's index; `None` if the call failed.
    Index(Option<Index>),
    /// A value from the configuration service; `None` if the call failed.
    Value(Key, Option<Vec<u8>>),
    /// The process accepts no new requests from now on.
    Leave,
    /// The process ends; completed once the other hosts are notified.
    End(oneshot::Sender<()>),
}

/// A command for the link to a peer.
#[derive(Debug)]
enum LinkCommand {
    /// Sends a message to a host.
    Send(id::Host, Message),
    /// Closes the link to a process that has ended.
    Lose(Peer),
}

/// The membership task.
#[derive(Debug)]
pub struct Task {
    fleet: Fleet<StdRng>,
    socket: UdpSocket,
    platform: Client,
    board: Board,
    clock: Clock,
    view: watch::Sender<Arc<View>>,
    inputs: mpsc::Sender<Input>,
    /// Commands for the links to peers.
    ///
    /// A separate task carries them out. If this one waited for a full queue it would neither
    /// answer probes nor update the view, and the other hosts would declare this process dead.
    link_commands: mpsc::Sender<LinkCommand>,
}

/// Handles that the membership task needs to reach the rest of the process.
#[derive(Debug)]
pub struct Context {
    /// Sends messages to other processes.
    pub peers: Peers,
    /// Receives metrics, readiness and time line events for operators.
    pub board: Board,
    /// Clock shared by all tasks of the process.
    pub clock: Clock,
    /// Publishes each new view to the other tasks.
    pub view: watch::Sender<Arc<View>>,
    /// The task's own input channel, over which calls to the configuration service return.
    pub inputs: mpsc::Sender<Input>,
}

impl Task {
    /// Creates the task; [`Task::run`] starts it.
    pub fn new(
        fleet: Fleet<StdRng>,
        socket: UdpSocket,
        platform: Client,
        context: Context,
    ) -> Self {
        let (link_commands, queue) = mpsc::channel(LINK_QUEUE_CAPACITY);
        tokio::spawn(run_link_commands(queue, context.peers));
        Self {
            fleet,
            socket,
            platform,
            board: context.board,
            clock: context.clock,
            view: context.view,
            inputs: context.inputs,
            link_commands,
        }
    }

    /// Runs until the process ends or its input channel is closed.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; datagram::MAX_BYTES];
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                received = self.socket.recv(&mut buffer) => match received {
                    Ok(length) => match self.decode_packet(&buffer[..length]) {
                        Some(packet) => Event::Packet(packet),
                        None => continue,
                    },
                    // A rejected datagram that was sent earlier surfaces as an error of a later
                    // receive.
                    Err(_) => continue,
                },
                received = inputs.recv() => match received {
                    Some(Input::Message(from, message)) => Event::Message(from, message),
                    Some(Input::Index(index)) => Event::Index(index),
                    Some(Input::Value(key, body)) => Event::Value(key, body),
                    Some(Input::Leave) => Event::Leave,
                    Some(Input::End(done)) => {
                        self.handle(Event::End);
                        let _ = done.send(());
                        return;
                    }
                    None => return,
                },
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        for effect in self.fleet.handle(self.clock.now(), event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::View(view) => {
                self.view.send_replace(view);
            }
            Effect::Packet(to, packet) => self.send_packet(to, packet),
            Effect::Message(to, message) => {
                self.queue_command(LinkCommand::Send(to, Message::Sync(message)))
            }
            Effect::Lost(host, incarnation) => {
                self.queue_command(LinkCommand::Lose(Peer { host, incarnation }))
            }
            Effect::Call(call) => self.start_call(call),
            Effect::Ready(ready) => self.board.set_ready(ready),
            Effect::Note {
                kind,
                subject,
                detail,
                token,
                from,
            } => {
                info!(kind, subject, detail);
                let note = Note::new(kind, &subject, detail);
                self.board.note(Note {
                    token,
                    from,
                    ..note
                });
            }
        }
    }

    fn queue_command(&self, command: LinkCommand) {
        if self.link_commands.try_send(command).is_err() {
            self.board.add("lentillift_sync_dropped_total", &[], 1);
        }
    }

    fn send_packet(&self, to: SocketAddr, packet: Packet) {
        let labels = [("direction", "sent")];
        match datagram::encode(packet) {
            Ok(bytes) => {
                self.count_datagram(&labels, bytes.len());
                // If the send buffer is full the datagram is lost, like one lost on the network;
                // probes are repeated.
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Err(_) => self.board.add("lentillift_datagrams_bad_total", &labels, 1),
        }
    }

    fn decode_packet(&self, bytes: &[u8]) -> Option<Packet> {
        let labels = [("direction", "received")];
        self.count_datagram(&labels, bytes.len());
        let packet = datagram::decode(bytes);
        if packet.is_err() {
            self.board.add("lentillift_datagrams_bad_total", &labels, 1);
        }
        packet.ok()
    }

    fn count_datagram(&self, labels: &[(&str, &str)], bytes: usize) {
        self.board.add("lentillift_datagrams_total", labels, 1);
        let bytes = bytes as u64;
        self.board
            .add("lentillift_datagram_bytes_total", labels, bytes);
    }

    /// Starts a call to the configuration service; its result arrives as an input.
    fn start_call(&self, call: Call) {
        let client = self.platform.clone();
        let inputs = self.inputs.clone();
        let kind = match call {
            Call::Index { .. } => "index",
            Call::Value(_) => "value",
        };
        self.board
            .add("lentillift_platform_calls_total", &[("kind", kind)], 1);
        tokio::task::spawn_blocking(move || {
            let result = match call {
                Call::Index { since, wait } => Input::Index(watch_index(&client, since, wait)),
                Call::Value(key) => {
                    let body = client.value(&key).ok();
                    Input::Value(key, body)
                }
            };
            // The send fails if the task has ended.
            let _ = inputs.blocking_send(result);
        });
    }
}

fn watch_index(client: &Client, since: u64, wait: Duration) -> Option<Index> {
    let index: client::Index = client.watch(since, wait).ok()?;
    let keys = index.keys.into_iter();
    Some(Index {
        version: index.version,
        keys: keys.map(|(key, version)| (key.into(), version)).collect(),
    })
}

/// Carries out link commands until the membership task ends.
async fn run_link_commands(mut queue: mpsc::Receiver<LinkCommand>, peers: Peers) {
    while let Some(command) = queue.recv().await {
        match command {
            LinkCommand::Send(to, message) => peers.send(&to, message).await,
            LinkCommand::Lose(peer) => peers.disconnect(peer).await,
        }
    }
}
