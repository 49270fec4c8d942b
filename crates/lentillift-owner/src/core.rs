//! State machine of all backend servers that this process owns.

mod admit;
mod lease;
mod result;
mod view_change;

use crate::queue::InFlight;
use crate::queue::Waiting;
use crate::server::Change;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Component;
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
use lentillift_policy::queue::Dequeued;
use lentillift_settings::config::Config;
use lentillift_settings::policy::Policy;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub use lease::HandoverState;
pub use lentillift_policy::queue::Ticket;

/// Input of an owner.
#[derive(Debug)]
pub enum Event {
    /// An entry sent a sub-request.
    Sub {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// An entry no longer needs a sub-request.
    Cancel {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request's number there.
        id: id::Sub,
    },
    /// A request to a backend server has a result.
    Done {
        /// The request's number.
        ticket: Ticket,
        /// Its result.
        result: sub::Result,
        /// The backend server's report that came with it.
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
        /// What the lease allows now.
        hold: LeaseState,
    },
    /// This process acquired a lease on a backend server that it had none on.
    Acquired {
        /// The backend server.
        backend: id::Backend,
        /// What the previous holder passed on; `None` without a hand-over.
        transfer: Option<Transfer>,
    },
}

/// Output of an owner, to be carried out by the process.
#[derive(Debug)]
pub enum Effect {
    /// Send a sub-request to its backend server.
    Dispatch {
        /// The request's number.
        ticket: Ticket,
        /// The sub-request.
        sub: Sub,
        /// Timeout of the request.
        left: Duration,
    },
    /// Cancel a request at its backend server.
    Cancel {
        /// The request's number.
        ticket: Ticket,
        /// The backend server.
        backend: id::Backend,
    },
    /// Send a sub-request's result to its entry.
    Reply {
        /// The host that sent the sub-request.
        to: id::Host,
        /// The component of that host's process that receives the result.
        component: Component,
        /// The sub-request's number there.
        id: id::Sub,
        /// The result.
        result: sub::Result,
        /// The backend server's load, if it is owned here.
        load: Option<Load>,
    },
    /// Forward a sub-request to the host that holds its backend server.
    Forward {
        /// The host that holds it.
        to: id::Host,
        /// The host whose entry sent the sub-request.
        from: id::Host,
        /// The sub-request, its allowance reduced to the time left.
        sub: Sub,
    },
    /// Report a change of state to operators.
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
    /// What the leases of this process allow; no work may be sent to a backend server without an
    /// entry.
    lease_states: HashMap<id::Backend, LeaseState>,
    /// Latest end of the requests sent to each backend server.
    last_ends: HashMap<id::Backend, Time>,
    // INVARIANT: Holds no server that this process has no lease on, except those with a request in
    // flight.
    servers: HashMap<id::Backend, Server>,
    costs: HashMap<id::Service, Costs>,
    in_flight: HashMap<Ticket, InFlight>,
    /// Tickets of queries' sub-requests that wait or are in flight, for cancellation.
    // INVARIANT: At most as long as the sub-requests that wait or are in flight.
    tickets: HashMap<(id::Host, id::Sub), (Ticket, id::Backend)>,
    /// When the queue of each backend server must next be processed.
    wakes: BTreeSet<(Time, id::Backend)>,
    next_ticket: Ticket,
    counts: Counts,
}

impl Owner {
    /// Starts without a view and without leases; owns nothing until it has both.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an event; returns the effects to carry out, in this order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Sub { from, sub } => self.accept(now, from, sub),
            Event::Cancel { from, id } => self.cancel(now, from, id),
            Event::Done {
                ticket,
                result,
                report,
            } => self.finish(now, ticket, result, &report),
            Event::Tick => self.tick(now),
            Event::View(view) => self.set_view(now, view),
            Event::Hold { backend, hold } => self.set_lease_state(now, &backend, hold),
            Event::Acquired { backend, transfer } => {
                self.start_lease(now, &backend, transfer);
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

    /// Counters of decisions, to be exported as metrics.
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
        let cold = || Server::new(&self.policy, &service);
        self.servers.entry(backend.clone()).or_insert_with(cold);
        if let Some(failure) = self.rejection(now, &waiting.sub) {
            return vec![self.refuse(now, waiting, failure)];
        }
        let job = self.job(now, &service, &waiting);
        if waiting.sub.hedge && (job.long || !self.accepts_hedge(now, &backend)) {
            return vec![self.refuse(now, waiting, Failure::Refused)];
        }
        if let Some(failure) = self.late_refusal(now, &service, &waiting, &job) {
            return vec![self.refuse(now, waiting, failure)];
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if waiting.sub.work.component() == Component::Query {
            let key = (waiting.from.clone(), waiting.sub.id);
            self.tickets.insert(key, (ticket, backend.clone()));
        }
        if let Some(server) = self.servers.get_mut(&backend) {
            server.queue.push(ticket, job, waiting);
        }
        self.process_queue(now, &backend)
    }

    /// Removes the entry in `tickets` under which a sub-request can be cancelled.
    fn remove_ticket(
        &mut self,
        from: &id::Host,
        id: id::Sub,
        component: Component,
        ticket: Option<Ticket>,
    ) {
        let key = (from.clone(), id);
        let known = self.tickets.get(&key).map(|(ticket, _)| *ticket);
        if component == Component::Query && (ticket.is_none() || ticket == known) {
            self.tickets.remove(&key);
        }
    }

    /// Refuses expired sub-requests for `backend`, and sends as many of the others as its limits
    /// allow.
    fn process_queue(&mut self, now: Time, backend: &id::Backend) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(server) = self.servers.get_mut(backend)
            && let Some((_, waiting)) = server.queue.pop_expired(now)
        {
            effects.push(self.refuse(now, waiting, Failure::Refused));
        }
        // Without a lease, sub-requests wait until it is renewed or known to be lost.
        while self.lease_end(now, backend).is_some()
            && let Some(server) = self.servers.get_mut(backend)
            && server.has_free_slot(&self.policy, now)
            && let slot = server.next_slot(&self.policy, now)
            && let Some(next) = server.queue.pop(&self.policy.queue, now, slot)
        {
            effects.push(self.send(now, next));
        }
        self.set_wake(backend);
        effects
    }

    fn send(&mut self, now: Time, next: Dequeued<Waiting>) -> Effect {
        let ticket = next.ticket;
        let waiting = next.item;
        // Checked again here: the domain may have been taken out of service while it waited.
        let failure = match waiting.deadline <= now {
            true => Some(Failure::Refused),
            false => self.rejection(now, &waiting.sub),
        };
        if let Some(failure) = failure {
            return self.refuse(now, waiting, failure);
        }
        // After the lease another process may send up to the full limit, so no request of this one
        // may still be in flight then: together they would exceed what the server can handle.
        let Some(lease_end) = self.lease_end(now, &waiting.sub.backend) else {
            return self.refuse(now, waiting, Failure::NotOwner);
        };
        let end = waiting.deadline.min(lease_end);
        let last = self
            .last_ends
            .entry(waiting.sub.backend.clone())
            .or_default();
        *last = end.max(*last);
        if let Some(server) = self.servers.get_mut(&waiting.sub.backend) {
            server.record_sent(ticket, now, next.heavy);
        }
        let request = InFlight {
            from: waiting.from,
            component: waiting.sub.work.component(),
            id: waiting.sub.id,
            backend: waiting.sub.backend.clone(),
            caller: waiting.sub.caller.clone(),
            sent_at: now,
            long: next.job.long,
            cancelled: false,
        };
        self.in_flight.insert(ticket, request);
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
        if let Some(request) = self.in_flight.get_mut(&ticket) {
            request.cancelled = true;
            return vec![Effect::Cancel { ticket, backend }];
        }
        if let Some(server) = self.servers.get_mut(&backend) {
            server.queue.remove(ticket);
        }
        self.process_queue(now, &backend)
    }

    /// Counts changes of a server's state and reports them to operators.
    fn report_changes(&mut self, backend: &id::Backend, changes: Vec<Change>) -> Vec<Effect> {
        let note = |change: Change| {
            self.counts.add(change.counter());
            Effect::Note {
                backend: backend.clone(),
                change,
            }
        };
        changes.into_iter().map(note).collect()
    }

    /// Refuses all waiting sub-requests of a server that may get no new work.
    ///
    /// Otherwise they would be refused only at their expiry, too late for a retry at another
    /// replica.
    fn refuse_waiting(&mut self, now: Time, backend: &id::Backend) -> Vec<Effect> {
        let Some(server) = self.servers.get_mut(backend) else {
            return Vec::new();
        };
        if server.limit(&self.policy, now) > 0 {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for waiting in server.queue.drain() {
            let failure = self.rejection(now, &waiting.sub);
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
            effects.extend(self.process_queue(now, &backend));
        }
        effects
    }

    /// Schedules the next wake-up for the queue of `backend`, at its next expiry.
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
