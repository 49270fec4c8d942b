//! One shard's part of a request: which sends are under way, and whether one has brought the part.

use crate::replica::SendId;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::sync::Arc;

/// Where a send went.
#[derive(Debug, Clone)]
pub enum Target {
    /// To a backend server.
    Server(Arc<Server>),
    /// To another host, which asks a backend server of its failure domain.
    Host {
        /// The host.
        host: id::Host,
        /// Its failure domain.
        domain: id::Domain,
    },
}

/// One send that has not ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number.
    pub send_id: SendId,
    /// Where it went.
    pub target: Target,
    /// When it was sent.
    pub sent: Time,
    /// Whether it was paid for as a repeated send.
    pub repeat: bool,
    /// Whether it finds out by itself what its request does to a server.
    pub canary: bool,
}

/// How far a leg has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// A send is under way, or will be.
    Open,
    /// This send brought the part.
    Done(SendId),
    /// Nothing was sent that could have arrived.
    Declined,
    /// What was sent brought nothing.
    Failed,
}

/// One shard's part of a request.
#[derive(Debug)]
pub struct Leg {
    /// The service that holds the shard.
    pub service: id::Service,
    /// Sends that have not ended.
    pub in_flight: Vec<Attempt>,
    /// Backend servers that may have run it.
    pub may_have_run: Vec<id::Backend>,
    /// Failure domains in which a backend server that another host chose may have run it.
    pub may_have_run_in: Vec<id::Domain>,
    /// Backend servers that turned it away or could not be reached.
    pub rejected_by: Vec<id::Backend>,
    /// Sends that arrived at a backend server, or may have.
    pub arrivals: u32,
    /// Whether the request was counted for the budget.
    pub is_counted: bool,
    /// The send that brought the part.
    pub done: Option<SendId>,
    /// The last send that ended in a failure of the backend server's own.
    pub failed: Option<SendId>,
    /// When another replica is to be asked.
    pub hedge_at: Option<Time>,
    /// Whether it waits for a canary.
    pub waits_for_canary: bool,
}

impl Leg {
    /// A leg for which nothing was sent.
    pub fn new(service: id::Service) -> Self {
        Self {
            service,
            in_flight: Vec::new(),
            may_have_run: Vec::new(),
            may_have_run_in: Vec::new(),
            rejected_by: Vec::new(),
            arrivals: 0,
            is_counted: false,
            done: None,
            failed: None,
            hedge_at: None,
            waits_for_canary: false,
        }
    }

    /// How far it has come.
    pub fn state(&self) -> State {
        match self.done {
            Some(send_id) => State::Done(send_id),
            None if !self.in_flight.is_empty()
                || self.hedge_at.is_some()
                || self.waits_for_canary =>
            {
                State::Open
            }
            None if self.arrivals == 0 => State::Declined,
            None => State::Failed,
        }
    }

    /// Whether its part is neither here nor on its way, and no send is due.
    pub fn is_lost(&self) -> bool {
        matches!(self.state(), State::Declined | State::Failed)
    }

    /// Backend servers that run it or may have.
    pub fn possible_runs(&self) -> usize {
        self.in_flight.len() + self.may_have_run.len() + self.may_have_run_in.len()
    }

    /// Whether no backend server can have run it.
    pub fn cannot_have_run(&self) -> bool {
        self.possible_runs() == 0
    }

    /// Takes out a send that ended.
    pub fn remove(&mut self, send_id: SendId) -> Option<Attempt> {
        let place = self
            .in_flight
            .iter()
            .position(|sent| sent.send_id == send_id)?;
        Some(self.in_flight.remove(place))
    }

    /// Whether `server` has been asked, or may have been by another host.
    pub fn was_sent_to(&self, server: &Server) -> bool {
        let entry = &server.entry;
        let pending = self.in_flight.iter().any(|sent| match &sent.target {
            Target::Server(target) => target.entry.id == entry.id,
            Target::Host { domain, .. } => *domain == entry.domain,
        });
        pending
            || self.may_have_run.contains(&entry.id)
            || self.may_have_run_in.contains(&entry.domain)
    }
}
