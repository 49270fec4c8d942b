//! All backend servers that this process owns.

mod hold;
mod intake;
mod refit;
mod settle;

use crate::queue::Flight;
use crate::queue::Waiting;
use crate::server::Change;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Desk;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::lease_manager::Transfer;
use lentillift_fleet::view::View;
use lentillift_policy::cost::Costs;
use lentillift_policy::count::Counts;
use lentillift_policy::queue::Turn;
use lentillift_settings::config::Config;
use lentillift_settings::policy::Policy;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use hold::Standing;
pub use lentillift_policy::queue::Ticket;

/// What happens to an owner.
#[derive(Debug)]
pub enum Event {
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
    /// Time passed.
    Tick,
    /// The view of the fleet changed.
    View(Arc<View>),
    /// What this process's lease on a backend server allows has changed.
    Hold {
        /// The backend server.
        backend: id::Backend,
        /// What may be done with it.
        hold: LeaseState,
    },
    /// This process has got a lease on a backend server that it had none on.
    Acquired {
        /// The backend server.
        backend: id::Backend,
        /// What the holder before passed on, if it handed over.
        transfer: Option<Transfer>,
    },
}

/// What an owner wants done.
#[derive(Debug)]
pub enum Effect {
    /// Send a sub-request to its backend server.
    Dispatch {
        /// The request's number.
        ticket: Ticket,
        /// The sub-request.
        sub: Sub,
        /// Time left until its reply is of no more use.
        left: Duration,
    },
    /// Tell a backend server that a request's reply is of no more use.
    Cancel {
        /// The request's number.
        ticket: Ticket,
        /// The backend server.
        backend: id::Backend,
    },
    /// Answer an entry.
    Reply {
        /// The host that sent the sub-request.
        to: id::Host,
        /// The desk there.
        desk: Desk,
        /// The sub-request's number there.
        id: id::Sub,
        /// The result.
        result: sub::Result,
        /// The backend server's load, if it is owned here.
        load: Option<Load>,
    },
    /// Pass a sub-request on to the host that holds its backend server.
    Forward {
        /// The host that holds it.
        to: id::Host,
        /// The host whose entry sent the sub-request.
        from: id::Host,
        /// The sub-request, with the time that it has left.
        sub: Sub,
    },
    /// Tell operators of a change of state.
    Note {
        /// The backend server.
        backend: id::Backend,
        /// What changed.
        change: Change,
    },
}

/// All backend servers that this process owns.
#[derive(Debug, Default)]
pub struct Owner {
    view: Arc<View>,
    config: Option<Arc<Config>>,
    policy: Policy,
    /// What the leases of this process allow; what is not here may not be touched.
    holds: HashMap<id::Backend, LeaseState>,
    /// When the last requests sent to each backend server are over.
    ends: HashMap<id::Backend, Time>,
    // INVARIANT: Holds no server that this process has no lease on, but for those with a request in
    // flight.
    servers: HashMap<id::Backend, Server>,
    costs: HashMap<id::Service, Costs>,
    flights: HashMap<Ticket, Flight>,
    /// Queries' sub-requests that wait, by backend server, or are in flight.
    // INVARIANT: As long as the sub-requests that wait or are in flight, at most.
    tickets: HashMap<(id::Host, id::Sub), (Ticket, id::Backend)>,
    /// When queues next want attention.
    wakes: BTreeSet<(Time, id::Backend)>,
    next_ticket: Ticket,
    counts: Counts,
}

impl Owner {
    /// Starts without a view and without leases, hence owning nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Sub { from, sub } => self.accept(now, from, sub),
            Event::Cancel { from, id } => self.cancel(now, from, id),
            Event::Done {
                ticket,
                result,
                report,
            } => self.done(now, ticket, result, &report),
            Event::Tick => self.tick(now),
            Event::View(view) => self.refit(now, view),
            Event::Hold { backend, hold } => self.set_hold(now, &backend, hold),
            Event::Acquired { backend, transfer } => {
                self.adopt(now, &backend, transfer);
                Vec::new()
            }
        }
    }

    /// When [`Event::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.first().map(|(time, _)| *time)
    }

    /// The servers and their state, for operators.
    pub fn servers(&self) -> impl Iterator<Item = (&id::Backend, &Server)> {
        self.servers.iter()
    }

    /// Counts of decisions since they were last taken.
    pub fn counts(&mut self) -> &mut Counts {
        &mut self.counts
    }

    fn accept(&mut self, now: Time, from: id::Host, sub: Sub) -> Vec<Effect> {
        let deadline = now + sub.allowance;
        let waiting = Waiting {
            from,
            sub,
            deadline,
        };
        let Some(service) = self.service(&waiting.sub) else {
            return vec![self.refuse(now, waiting, Failure::NotOwner)];
        };
        let backend = waiting.sub.backend.clone();
        let fresh = || Server::new(&self.policy, &service);
        self.servers.entry(backend.clone()).or_insert_with(fresh);
        if let Some(failure) = self.objection(now, &waiting.sub) {
            return vec![self.refuse(now, waiting, failure)];
        }
        let job = self.job(now, &service, &waiting);
        if waiting.sub.hedge && (job.long || !self.takes_hedge(now, &backend)) {
            return vec![self.refuse(now, waiting, Failure::Refused)];
        }
        if let Some(failure) = self.is_hopeless(now, &service, &waiting, &job) {
            return vec![self.refuse(now, waiting, failure)];
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if waiting.sub.work.desk() == Desk::Query {
            let key = (waiting.from.clone(), waiting.sub.id);
            self.tickets.insert(key, (ticket, backend.clone()));
        }
        if let Some(server) = self.servers.get_mut(&backend) {
            server.queue.push(ticket, job, waiting);
        }
        self.pump(now, &backend)
    }

    /// Drops the note under which a sub-request can be cancelled.
    fn forget(&mut self, from: &id::Host, id: id::Sub, desk: Desk, ticket: Option<Ticket>) {
        let key = (from.clone(), id);
        let known = self.tickets.get(&key).map(|(ticket, _)| *ticket);
        if desk == Desk::Query && (ticket.is_none() || ticket == known) {
            self.tickets.remove(&key);
        }
    }

    /// Drops what waits in vain for `backend`, and sends what its limits allow.
    fn pump(&mut self, now: Time, backend: &id::Backend) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(server) = self.servers.get_mut(backend)
            && let Some((_, waiting)) = server.queue.pop_expired(now)
        {
            effects.push(self.refuse(now, waiting, Failure::Refused));
        }
        // Without a lease what waits stays, until the lease is back or known to be lost.
        while self.lease(now, backend).is_some()
            && let Some(server) = self.servers.get_mut(backend)
            && server.has_room(&self.policy, now)
            && let slot = server.slot(&self.policy, now)
            && let Some(turn) = server.queue.pop(&self.policy.queue, now, slot)
        {
            effects.push(self.send(now, turn));
        }
        self.set_wake(backend);
        effects
    }

    fn send(&mut self, now: Time, turn: Turn<Waiting>) -> Effect {
        let ticket = turn.ticket;
        let waiting = turn.item;
        // Asked again at the dispatch: the domain may have been taken out while it waited.
        let failure = match waiting.deadline <= now {
            true => Some(Failure::Refused),
            false => self.objection(now, &waiting.sub),
        };
        if let Some(failure) = failure {
            return self.refuse(now, waiting, failure);
        }
        // After the lease another process may send the full limit, so nothing of this one may be
        // under way then. It would show as more requests in flight than the server bears.
        let Some(until) = self.lease(now, &waiting.sub.backend) else {
            return self.refuse(now, waiting, Failure::NotOwner);
        };
        let end = waiting.deadline.min(until);
        let last = self.ends.entry(waiting.sub.backend.clone()).or_default();
        *last = end.max(*last);
        if let Some(server) = self.servers.get_mut(&waiting.sub.backend) {
            server.sent(ticket, now, turn.heavy);
        }
        let flight = Flight {
            from: waiting.from,
            desk: waiting.sub.work.desk(),
            id: waiting.sub.id,
            backend: waiting.sub.backend.clone(),
            caller: waiting.sub.caller.clone(),
            since: now,
            long: turn.job.long,
            cancelled: false,
        };
        self.flights.insert(ticket, flight);
        Effect::Dispatch {
            ticket,
            left: end - now,
            sub: waiting.sub,
        }
    }

    fn cancel(&mut self, now: Time, from: id::Host, id: id::Sub) -> Vec<Effect> {
        let Some((ticket, backend)) = self.tickets.remove(&(from, id)) else {
            return Vec::new();
        };
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.cancelled = true;
            return vec![Effect::Cancel { ticket, backend }];
        }
        if let Some(server) = self.servers.get_mut(&backend) {
            server.queue.remove(ticket);
        }
        self.pump(now, &backend)
    }

    fn tell(&mut self, backend: &id::Backend, changes: Vec<Change>) -> Vec<Effect> {
        let note = |change: Change| {
            self.counts.add(change.counter());
            Effect::Note {
                backend: backend.clone(),
                change,
            }
        };
        changes.into_iter().map(note).collect()
    }

    /// Answers all that waits for a server that may get no new work.
    ///
    /// Were it left waiting, it would be told so only when its time is up, too late for another
    /// replica.
    fn turn_away(&mut self, now: Time, backend: &id::Backend) -> Vec<Effect> {
        let Some(server) = self.servers.get_mut(backend) else {
            return Vec::new();
        };
        if server.limit(&self.policy, now) > 0 {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for waiting in server.queue.drain() {
            let failure = self.objection(now, &waiting.sub);
            effects.push(self.refuse(now, waiting, failure.unwrap_or(Failure::Refused)));
        }
        effects
    }

    fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((time, _)) = self.wakes.first()
            && *time <= now
            && let Some((_, backend)) = self.wakes.pop_first()
        {
            if let Some(server) = self.servers.get_mut(&backend) {
                server.wake = None;
            }
            effects.extend(self.pump(now, &backend));
        }
        effects
    }

    /// Notes when the queue of `backend` next wants attention.
    fn set_wake(&mut self, backend: &id::Backend) {
        let Some(server) = self.servers.get_mut(backend) else {
            return;
        };
        let next = server.queue.next_expiry();
        if server.wake == next {
            return;
        }
        if let Some(old) = std::mem::replace(&mut server.wake, next) {
            self.wakes.remove(&(old, backend.clone()));
        }
        if let Some(next) = next {
            self.wakes.insert((next, backend.clone()));
        }
    }
}
