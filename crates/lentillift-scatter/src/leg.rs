//! A leg: one shard's part of a request, with its sends in flight and whether one has returned the
//! part.

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
        /// Name of the host.
        host: id::Host,
        /// Failure domain of the host.
        domain: id::Domain,
    },
}

/// One send that has not ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id of the send.
    pub send_id: SendId,
    /// Where it went.
    pub target: Target,
    /// When it was sent.
    pub sent: Time,
    /// Whether it was taken from the budget as a repeated send.
    pub repeat: bool,
    /// Whether it is a canary: a single send that tests whether its request ends servers.
    pub canary: bool,
}

/// Progress of a leg.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// A send is in flight or scheduled.
    Open,
    /// This send returned the part.
    Done(SendId),
    /// No send can have reached a backend server.
    Declined,
    /// Every send ended without returning the part.
    Failed,
}

/// One shard's part of a request.
#[derive(Debug)]
pub struct Leg {
    /// The service that holds the shard.
    pub service: id::Service,
    /// Sends that have not ended.
    pub in_flight: Vec<Attempt>,
    /// Backend servers that may have run the request.
    pub may_have_run: Vec<id::Backend>,
    /// Failure domains in which a backend server chosen by another host may have run the request.
    pub may_have_run_in: Vec<id::Domain>,
    /// Backend servers that rejected the request or could not be reached.
    pub rejected_by: Vec<id::Backend>,
    /// Number of sends that reached a backend server, or may have.
    pub arrivals: u32,
    /// Whether the request was counted towards the budget.
    pub is_counted: bool,
    /// The send that returned the part.
    pub done: Option<SendId>,
    /// The last send that ended in a failure of the backend server's own.
    pub failed: Option<SendId>,
    /// When another replica is to be tried.
    pub hedge_at: Option<Time>,
    /// Whether it waits for the result of a canary.
    pub waits_for_canary: bool,
}

impl Leg {
    /// Creates a leg without any sends.
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

    /// Returns the progress of the leg.
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

    /// Whether its part is missing and no send is in flight or scheduled.
    pub fn is_lost(&self) -> bool {
        matches!(self.state(), State::Declined | State::Failed)
    }

    /// Returns how many backend servers run the request or may have run it.
    pub fn possible_runs(&self) -> usize {
        self.in_flight.len() + self.may_have_run.len() + self.may_have_run_in.len()
    }

    /// Whether no backend server can have run the request.
    pub fn cannot_have_run(&self) -> bool {
        self.possible_runs() == 0
    }

    /// Removes and returns a send that ended; none if it is not in flight.
    pub fn remove(&mut self, send_id: SendId) -> Option<Attempt> {
        let place = self
            .in_flight
            .iter()
            .position(|sent| sent.send_id == send_id)?;
        Some(self.in_flight.remove(place))
    }

    /// Whether `server` was sent the request, or may have been by another host.
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
