//! The task that takes part in the fleet: it owns the datagram socket and derives the view.

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

/// Messages to peers that wait at most; what comes beyond is dropped and asked for again.
const QUEUE: usize = 1024;

/// What other tasks tell this one.
#[derive(Debug)]
pub enum Mail {
    /// A peer sent a message over its link.
    Message(id::Host, sync::Message),
    /// The configuration service answered with its index, or the call failed.
    Index(Option<Index>),
    /// The configuration service answered with a value, or the call failed.
    Value(Key, Option<Vec<u8>>),
    /// The process takes nothing new from now on.
    Leave,
    /// The process ends; answered once the others are told.
    End(oneshot::Sender<()>),
}

/// What is to be done about a link.
#[derive(Debug)]
enum Letter {
    Send(id::Host, Message),
    Lose(Peer),
}

/// The task that takes part in the fleet.
#[derive(Debug)]
pub struct Task {
    fleet: Fleet<StdRng>,
    socket: UdpSocket,
    platform: Client,
    board: Board,
    clock: Clock,
    view: watch::Sender<Arc<View>>,
    mail: mpsc::Sender<Mail>,
    /// Messages for peers.
    ///
    /// A task of its own passes them on: while this one waited for a full queue it would neither
    /// answer probes nor renew the view, and the whole process would look dead.
    letters: mpsc::Sender<Letter>,
}

/// The other tasks that the task needs.
#[derive(Debug)]
pub struct Around {
    /// The way to other processes.
    pub peers: Peers,
    /// What operators are told.
    pub board: Board,
    /// The process's clock.
    pub clock: Clock,
    /// Where views go.
    pub view: watch::Sender<Arc<View>>,
    /// How calls under way report back to the task.
    pub mail: mpsc::Sender<Mail>,
}

impl Task {
    /// Makes the task; nothing is sent yet.
    pub fn new(fleet: Fleet<StdRng>, socket: UdpSocket, platform: Client, around: Around) -> Self {
        let (letters, queue) = mpsc::channel(QUEUE);
        tokio::spawn(deliver(queue, around.peers));
        Self {
            fleet,
            socket,
            platform,
            board: around.board,
            clock: around.clock,
            view: around.view,
            mail: around.mail,
            letters,
        }
    }

    /// Takes part until the process has ended.
    pub async fn run(mut self, mut mail: mpsc::Receiver<Mail>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; datagram::LIMIT];
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                received = self.socket.recv(&mut buffer) => match received {
                    Ok(length) => match self.read(&buffer[..length]) {
                        Some(packet) => Event::Packet(packet),
                        None => continue,
                    },
                    // A datagram of ours that was refused shows as an error of a later read.
                    Err(_) => continue,
                },
                received = mail.recv() => match received {
                    Some(Mail::Message(from, message)) => Event::Message(from, message),
                    Some(Mail::Index(index)) => Event::Index(index),
                    Some(Mail::Value(key, body)) => Event::Value(key, body),
                    Some(Mail::Leave) => Event::Leave,
                    Some(Mail::End(told)) => {
                        self.handle(Event::End);
                        let _ = told.send(());
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
            Effect::Packet(to, packet) => self.send(to, packet),
            Effect::Message(to, message) => self.post(Letter::Send(to, Message::Sync(message))),
            Effect::Lost(host, incarnation) => self.post(Letter::Lose(Peer { host, incarnation })),
            Effect::Call(call) => self.call(call),
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

    fn post(&self, letter: Letter) {
        if self.letters.try_send(letter).is_err() {
            self.board.add("lentillift_sync_dropped_total", &[], 1);
        }
    }

    fn send(&self, to: SocketAddr, packet: Packet) {
        let labels = [("direction", "sent")];
        match datagram::encode(packet) {
            Ok(bytes) => {
                self.count(&labels, bytes.len());
                // A datagram that finds no room is lost like any other; probes are repeated.
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Err(_) => self.board.add("lentillift_datagrams_bad_total", &labels, 1),
        }
    }

    fn read(&self, bytes: &[u8]) -> Option<Packet> {
        let labels = [("direction", "received")];
        self.count(&labels, bytes.len());
        let packet = datagram::decode(bytes);
        if packet.is_err() {
            self.board.add("lentillift_datagrams_bad_total", &labels, 1);
        }
        packet.ok()
    }

    fn count(&self, labels: &[(&str, &str)], bytes: usize) {
        self.board.add("lentillift_datagrams_total", labels, 1);
        let bytes = bytes as u64;
        self.board
            .add("lentillift_datagram_bytes_total", labels, bytes);
    }

    /// Makes a call that reports back by mail.
    fn call(&self, call: Call) {
        let client = self.platform.clone();
        let mail = self.mail.clone();
        let kind = match call {
            Call::Index { .. } => "index",
            Call::Value(_) => "value",
        };
        self.board
            .add("lentillift_platform_calls_total", &[("kind", kind)], 1);
        tokio::task::spawn_blocking(move || {
            let result = match call {
                Call::Index { since, wait } => Mail::Index(index(&client, since, wait)),
                Call::Value(key) => {
                    let body = client.value(&key).ok();
                    Mail::Value(key, body)
                }
            };
            // The task may have ended meanwhile.
            let _ = mail.blocking_send(result);
        });
    }
}

fn index(client: &Client, since: u64, wait: Duration) -> Option<Index> {
    let index: client::Index = client.watch(since, wait).ok()?;
    let keys = index.keys.into_iter();
    Some(Index {
        version: index.version,
        keys: keys.map(|(key, version)| (key.into(), version)).collect(),
    })
}

/// Passes messages on to peers until the task that writes them is gone.
async fn deliver(mut queue: mpsc::Receiver<Letter>, peers: Peers) {
    while let Some(letter) = queue.recv().await {
        match letter {
            Letter::Send(to, message) => peers.send(&to, message).await,
            Letter::Lose(peer) => peers.lose(peer).await,
        }
    }
}
