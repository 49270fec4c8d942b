//! The task that owns backend servers: it holds leases on them and dispatches requests to them.

use crate::entry::sleep_until;
use crate::lease;
use crate::peers::Peers;
use crate::report;
use lentillift_backend::client;
use lentillift_backend::client::Client;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use lentillift_fleet::lease_manager::LeaseManager;
use lentillift_fleet::lease_manager::LeaseState;
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

/// Interval of lease processing; a fraction of every lease timing.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// Inputs from other tasks.
#[derive(Debug)]
pub enum Input {
    /// An entry sent a sub-request.
    Sub {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// An entry cancelled a sub-request.
    Cancel {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request's id, unique at that entry.
        id: id::Sub,
    },
    /// A backend server answered, or the exchange with it failed.
    Done {
        /// The dispatch that ended.
        ticket: Ticket,
        /// The reply, or the failure.
        result: sub::Result,
        /// The load and state that the backend server reported with its reply.
        report: Report,
    },
    /// Another process forwarded a sub-request because it takes this one for the lease holder.
    Forward {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// An input about leases.
    Lease(lease::Input),
}

/// The task that owns backend servers.
#[derive(Debug)]
pub struct Task {
    pub(crate) local_peer: Peer,
    pub(crate) owner: Owner,
    pub(crate) leases: LeaseManager,
    /// Completed once all backend servers are handed over; set while the process shuts down.
    pub(crate) handover_done: Option<oneshot::Sender<()>>,
    view: Arc<View>,
    clients: HashMap<id::Backend, (SocketAddr, Client)>,
    clock: Clock,
    pub(crate) peers: Peers,
    pub(crate) board: Board,
    inputs: mpsc::Sender<Input>,
}

impl Task {
    /// Creates the task; requests in flight report their results over `inputs`.
    pub fn new(
        local_peer: Peer,
        clock: Clock,
        peers: Peers,
        board: Board,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let options = lentillift_fleet::lease_manager::Options::default();
        board.set_leases_ready(false);
        Self {
            owner: Owner::new(),
            leases: LeaseManager::new(
                clock.now(),
                local_peer.host.clone(),
                local_peer.incarnation,
                options,
            ),
            local_peer,
            handover_done: None,
            view: Arc::default(),
            clients: HashMap::new(),
            clock,
            peers,
            board,
            inputs,
        }
    }

    /// Serves sub-requests until the input channel or the view channel is closed.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        let mut ticks = tokio::time::interval(LEASE_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = report::interval();
        loop {
            let wake = self.owner.next_wake();
            tokio::select! {
                _ = reports.tick() => {
                    let now = self.clock.now();
                    report::publish_owner_status(&self.board, now, &self.view, &self.owner);
                    continue;
                }
                received = inputs.recv() => match received {
                    Some(received) => self.handle_input(received).await,
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => {
                        let view = view.borrow_and_update().clone();
                        self.set_view(view).await;
                    }
                    Err(_) => return,
                },
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    let effects = self.leases.tick(now);
                    self.apply_lease_effects(now, effects).await;
                    self.board.set_leases_ready(self.leases.is_ready(now));
                }
                () = sleep_until(self.clock, wake) => {
                    self.handle(self.clock.now(), Event::Tick).await;
                }
            };
            for (name, count) in self.owner.counts().take() {
                self.board.add(name, &[], count);
            }
        }
    }

    async fn set_view(&mut self, view: Arc<View>) {
        let now = self.clock.now();
        self.view = view.clone();
        self.handle(now, Event::View(view.clone())).await;
        let effects = self.leases.set_view(now, view);
        self.apply_lease_effects(now, effects).await;
    }

    async fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Sub { from, sub } => match self.leases.lease_state(now, &sub.backend) {
                LeaseState::No(Some(holder)) => {
                    self.peers
                        .send(&holder, Message::Forward { from, sub })
                        .await;
                }
                _ => self.handle(now, Event::Sub { from, sub }).await,
            },
            // Never forwarded a second time: two processes that each take the other for the holder
            // would forward it back and forth forever.
            Input::Forward { from, sub } => self.handle(now, Event::Sub { from, sub }).await,
            Input::Cancel { from, id } => self.handle(now, Event::Cancel { from, id }).await,
            Input::Done {
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
            Input::Lease(input) => self.handle_lease_input(now, input).await,
        }
    }

    pub(crate) async fn handle(&mut self, now: Time, event: Event) {
        for effect in self.owner.handle(now, event) {
            self.carry_out(now, effect).await;
        }
    }

    /// Whether the owner still has state for `backend`, although its lease has ended.
    pub(crate) fn has_state_for(&self, backend: &id::Backend) -> bool {
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
                component,
                id,
                result,
                load,
            } => {
                let message = Message::Result {
                    component,
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
                report::record_backend_change(
                    &self.board,
                    &self.view,
                    &backend,
                    &change.to_string(),
                );
            }
        }
    }

    fn dispatch(&mut self, ticket: Ticket, sub: Sub, end: Time) {
        let labels = [("backend", &*sub.backend)];
        self.board.add("lentillift_dispatches_total", &labels, 1);
        let inputs = self.inputs.clone();
        let client = self.client(&sub.backend);
        let clock = self.clock;
        tokio::task::spawn_blocking(move || {
            // Checked again here: the process may have been paused since the decision and the lease
            // have expired. A request sent then would add to those of the next holder and exceed
            // the backend server's limit.
            let left = end.saturating_sub(clock.now());
            let (result, report) = match client {
                _ if left.is_zero() => (sub::Result::not_run(Failure::Refused), Report::default()),
                Some(client) => client.send(ticket, &sub, left),
                None => (sub::Result::not_run(Failure::Out), Report::default()),
            };
            let done = Input::Done {
                ticket,
                result,
                report,
            };
            let _ = inputs.blocking_send(done);
        });
    }

    /// Returns the client of a backend server; creates a new one when its address changes.
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
