//! The task that owns backend servers.

use crate::entry::until;
use crate::peers::Peers;
use crate::report;
use crate::tenure;
use lentillift_backend::client;
use lentillift_backend::client::Client;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use lentillift_fleet::tenure::Hold;
use lentillift_fleet::tenure::Tenure;
use lentillift_fleet::view::View;
use lentillift_node::link::Peer;
use lentillift_node::message::Message;
use lentillift_operator::server::Board;
use lentillift_owner::core::Effect;
use lentillift_owner::core::Event;
use lentillift_owner::core::Owner;
use lentillift_owner::core::Ticket;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

/// Time between looks at what is due with leases; a part of all their figures.
const TICK: Duration = Duration::from_millis(100);

/// What other tasks tell this one.
#[derive(Debug)]
pub enum Mail {
    /// An entry sent a sub-request.
    Sub {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// An entry no longer wants a sub-request.
    Cancel {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request's number there.
        id: id::Sub,
    },
    /// A backend server answered, or failed to.
    Done {
        /// The request's number.
        ticket: Ticket,
        /// What came of it.
        result: sub::Result,
        /// What the backend server reported with it.
        report: Report,
    },
    /// A process passed on a sub-request that it holds to be for this one.
    Forward {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// Something about leases.
    Lease(tenure::Mail),
}

/// The task that owns backend servers.
#[derive(Debug)]
pub struct Task {
    pub(crate) me: Peer,
    pub(crate) owner: Owner,
    pub(crate) tenure: Tenure,
    /// Who waits until all is handed over.
    pub(crate) leaving: Option<oneshot::Sender<()>>,
    view: Arc<View>,
    clients: HashMap<id::Backend, (SocketAddr, Client)>,
    clock: Clock,
    pub(crate) peers: Peers,
    pub(crate) board: Board,
    mail: mpsc::Sender<Mail>,
}

impl Task {
    /// Makes the task; `mail` is how requests under way report back to it.
    pub fn new(
        me: Peer,
        clock: Clock,
        peers: Peers,
        board: Board,
        mail: mpsc::Sender<Mail>,
    ) -> Self {
        let options = lentillift_fleet::tenure::Options::default();
        board.set_leases_ready(false);
        Self {
            owner: Owner::new(),
            tenure: Tenure::new(clock.now(), me.host.clone(), me.incarnation, options),
            me,
            leaving: None,
            view: Arc::default(),
            clients: HashMap::new(),
            clock,
            peers,
            board,
            mail,
        }
    }

    /// Serves until the view's sender is gone.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Mail>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = report::times();
        loop {
            let wake = self.owner.next_wake();
            tokio::select! {
                _ = reports.tick() => {
                    let now = self.clock.now();
                    report::owner(&self.board, now, &self.view, &self.owner);
                    continue;
                }
                received = mail.recv() => match received {
                    Some(received) => self.open(received).await,
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => {
                        let view = view.borrow_and_update().clone();
                        self.look(view).await;
                    }
                    Err(_) => return,
                },
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    let effects = self.tenure.tick(now);
                    self.keep(now, effects).await;
                    self.board.set_leases_ready(self.tenure.is_ready(now));
                }
                () = until(self.clock, wake) => {
                    self.handle(self.clock.now(), Event::Tick).await;
                }
            };
            for (name, count) in self.owner.counts().take() {
                self.board.add(name, &[], count);
            }
        }
    }

    async fn look(&mut self, view: Arc<View>) {
        let now = self.clock.now();
        self.view = view.clone();
        self.handle(now, Event::View(view.clone())).await;
        let effects = self.tenure.set_view(now, view);
        self.keep(now, effects).await;
    }

    async fn open(&mut self, mail: Mail) {
        let now = self.clock.now();
        match mail {
            Mail::Sub { from, sub } => match self.tenure.hold(now, &sub.backend) {
                Hold::No(Some(holder)) => {
                    self.peers
                        .send(&holder, Message::Forward { from, sub })
                        .await;
                }
                _ => self.handle(now, Event::Sub { from, sub }).await,
            },
            // Not passed on again: two processes that each name the other would do so for ever.
            Mail::Forward { from, sub } => self.handle(now, Event::Sub { from, sub }).await,
            Mail::Cancel { from, id } => self.handle(now, Event::Cancel { from, id }).await,
            Mail::Done {
                ticket,
                result,
                report,
            } => {
                let done = Event::Done {
                    ticket,
                    result,
                    report,
                };
                self.handle(now, done).await;
                self.hand_over(now).await;
            }
            Mail::Lease(mail) => self.open_lease(now, mail).await,
        }
    }

    pub(crate) async fn handle(&mut self, now: Time, event: Event) {
        for effect in self.owner.handle(now, event) {
            self.carry_out(now, effect).await;
        }
    }

    /// Whether the owner still goes by a lease on `backend` that is over.
    pub(crate) fn lost(&self, backend: &id::Backend) -> bool {
        self.owner.may_queue(backend)
    }

    async fn carry_out(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Dispatch { ticket, sub, left } => self.dispatch(ticket, sub, now + left),
            Effect::Cancel { ticket, backend } => {
                if let Some(client) = self.client(&backend) {
                    tokio::task::spawn_blocking(move || client.cancel(ticket));
                }
            }
            Effect::Reply {
                to,
                desk,
                id,
                result,
                load,
            } => {
                let message = Message::Result {
                    desk,
                    id,
                    result,
                    load,
                };
                self.peers.send(&to, message).await;
            }
            Effect::Forward { to, from, sub } => {
                self.peers.send(&to, Message::Forward { from, sub }).await;
            }
            Effect::Note { backend, change } => {
                report::backend(&self.board, &self.view, &backend, &change.to_string());
            }
        }
    }

    fn dispatch(&mut self, ticket: Ticket, sub: Sub, end: Time) {
        let labels = [("backend", &*sub.backend)];
        self.board.add("lentillift_dispatches_total", &labels, 1);
        let mail = self.mail.clone();
        let client = self.client(&sub.backend);
        let clock = self.clock;
        tokio::task::spawn_blocking(move || {
            // Asked again here: the process may have been paused since the decision, and the lease
            // be over. Work sent then would come on top of what the next holder sends.
            let left = end.saturating_sub(clock.now());
            let (result, report) = match client {
                _ if left.is_zero() => (sub::Result::not_run(Failure::Refused), Report::default()),
                Some(client) => client.send(ticket, &sub, left),
                None => (sub::Result::not_run(Failure::Out), Report::default()),
            };
            let done = Mail::Done {
                ticket,
                result,
                report,
            };
            let _ = mail.blocking_send(done);
        });
    }

    /// The client of a backend server, made anew when its address changes.
    fn client(&mut self, backend: &id::Backend) -> Option<Client> {
        let known = self.view.backends.get(backend)?;
        let address = known.server.address;
        if let Some((old, client)) = self.clients.get(backend)
            && *old == address
        {
            return Some(client.clone());
        }
        let config = self.view.values.config.as_ref()?;
        let service = config.services.get(&known.service)?;
        let options = client::Options {
            connections: service.connections as usize,
            ..client::Options::default()
        };
        let client = Client::new(address, &self.peers.sender(), &options);
        self.clients
            .insert(backend.clone(), (address, client.clone()));
        Some(client)
    }
}
