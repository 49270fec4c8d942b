//! All backend servers that this process owns.

use crate::queue::Waiting;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Desk;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of a request on its way to a backend server.
pub type Ticket = u64;

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
    /// The view of the fleet changed.
    View(Arc<View>),
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
    },
}

/// A request that a backend server has.
#[derive(Debug)]
struct Flight {
    from: id::Host,
    desk: Desk,
    id: id::Sub,
    backend: id::Backend,
}

/// All backend servers that this process owns.
#[derive(Debug)]
pub struct Owner {
    host: id::Host,
    view: Arc<View>,
    servers: HashMap<id::Backend, Server>,
    flights: HashMap<Ticket, Flight>,
    next_ticket: Ticket,
}

impl Owner {
    /// Starts without a view, hence owning nothing.
    pub fn new(host: id::Host) -> Self {
        Self {
            host,
            view: Arc::default(),
            servers: HashMap::new(),
            flights: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Sub { from, sub } => self.accept(now, from, sub),
            Event::Cancel { from, id } => self.cancel(&from, id),
            Event::Done {
                ticket,
                result,
                report,
            } => self.done(now, ticket, result, &report),
            Event::View(view) => {
                self.view = view;
                Vec::new()
            }
        }
    }

    /// The servers and their state, for operators.
    pub fn servers(&self) -> impl Iterator<Item = (&id::Backend, &Server)> {
        self.servers.iter()
    }

    fn accept(&mut self, now: Time, from: id::Host, sub: Sub) -> Vec<Effect> {
        if let Some(failure) = self.objection(&sub) {
            return vec![Effect::Reply {
                to: from,
                desk: sub.work.desk(),
                id: sub.id,
                result: sub::Result::not_run(failure),
            }];
        }
        let backend = sub.backend.clone();
        let deadline = now + sub.allowance;
        let waiting = Waiting {
            from,
            sub,
            deadline,
        };
        self.server(&backend).queue.push(waiting);
        self.pump(now, &backend)
    }

    /// Why a sub-request can't be taken at all.
    fn objection(&self, sub: &Sub) -> Option<Failure> {
        if self.view.owner(&sub.backend) != Some(&self.host) {
            return Some(Failure::NotOwner);
        }
        if !self.view.in_service(&sub.backend) {
            return Some(Failure::Out);
        }
        None
    }

    fn server(&mut self, backend: &id::Backend) -> &mut Server {
        let view = &self.view;
        self.servers.entry(backend.clone()).or_insert_with(|| {
            let service = view
                .backends
                .get(backend)
                .and_then(|known| view.values.config.as_ref()?.services.get(&known.service));
            service.map_or_else(Server::unknown, Server::new)
        })
    }

    /// Sends what waits for `backend` as far as its limit allows.
    fn pump(&mut self, now: Time, backend: &id::Backend) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.server(backend).has_room()
            && let Some(waiting) = self.server(backend).queue.pop()
        {
            effects.push(self.send(now, backend, waiting));
        }
        effects
    }

    fn send(&mut self, now: Time, backend: &id::Backend, waiting: Waiting) -> Effect {
        let failure = match waiting.deadline <= now {
            true => Some(Failure::Refused),
            // Asked again at the dispatch: the domain may have been taken out while it waited.
            false => self.objection(&waiting.sub),
        };
        if let Some(failure) = failure {
            return Effect::Reply {
                to: waiting.from,
                desk: waiting.sub.work.desk(),
                id: waiting.sub.id,
                result: sub::Result::not_run(failure),
            };
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.server(backend).in_flight += 1;
        let flight = Flight {
            from: waiting.from,
            desk: waiting.sub.work.desk(),
            id: waiting.sub.id,
            backend: backend.clone(),
        };
        self.flights.insert(ticket, flight);
        Effect::Dispatch {
            ticket,
            left: waiting.deadline - now,
            sub: waiting.sub,
        }
    }

    fn cancel(&mut self, from: &id::Host, id: id::Sub) -> Vec<Effect> {
        for server in self.servers.values_mut() {
            if server.queue.remove(from, id).is_some() {
                return Vec::new();
            }
        }
        let flying = self
            .flights
            .iter()
            .find(|(_, flight)| flight.from == *from && flight.id == id);
        flying
            .map(|(ticket, flight)| Effect::Cancel {
                ticket: *ticket,
                backend: flight.backend.clone(),
            })
            .into_iter()
            .collect()
    }

    fn done(
        &mut self,
        now: Time,
        ticket: Ticket,
        result: sub::Result,
        report: &Report,
    ) -> Vec<Effect> {
        let Some(flight) = self.flights.remove(&ticket) else {
            return Vec::new();
        };
        let backend = flight.backend.clone();
        let server = self.server(&backend);
        server.in_flight -= 1;
        match &result {
            sub::Result::Hits(_) | sub::Result::Reply(_) if !report.cold => {
                server.warmup.success();
            }
            sub::Result::Failed {
                failure: Failure::Connection,
                ..
            } => server.warmup.chill(),
            _ if report.cold => server.warmup.chill(),
            _ => {}
        }
        let mut effects = vec![Effect::Reply {
            to: flight.from,
            desk: flight.desk,
            id: flight.id,
            result,
        }];
        effects.extend(self.pump(now, &backend));
        effects
    }
}
