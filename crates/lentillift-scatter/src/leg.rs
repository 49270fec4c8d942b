//! One shard's part of a request: which sends are under way, and whether one has brought the part.

use crate::replica::Number;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::sync::Arc;

/// Where a send went.
#[derive(Debug, Clone)]
pub enum Target {
    /// To a backend server.
    Server(Arc<Server>),
    /// To another host that asks the backend server in its failure domain.
    Host(id::Host),
}

/// One send that has not ended.
#[derive(Debug, Clone)]
pub struct Try {
    /// Its number.
    pub number: Number,
    /// Where it went.
    pub target: Target,
    /// When it was sent.
    pub sent: Time,
    /// Whether it was paid for as a repeated send.
    pub repeat: bool,
}

/// One shard's part of a request.
#[derive(Debug)]
pub struct Leg {
    /// The service that holds the shard.
    pub service: id::Service,
    /// Sends that have not ended.
    pub tries: Vec<Try>,
    /// Backend servers that may have run it.
    pub ran: Vec<id::Backend>,
    /// Backend servers that turned it away or could not be reached.
    pub turned_away: Vec<id::Backend>,
    /// Whether a send has left this host.
    pub begun: bool,
    /// The send that brought the part.
    pub done: Option<Number>,
    /// The last send that ended in a failure of the backend server's own.
    pub failed: Option<Number>,
    /// When another replica is to be asked.
    pub hedge_at: Option<Time>,
}

impl Leg {
    /// A leg for which nothing was sent.
    pub fn new(service: id::Service) -> Self {
        Self {
            service,
            tries: Vec::new(),
            ran: Vec::new(),
            turned_away: Vec::new(),
            begun: false,
            done: None,
            failed: None,
            hedge_at: None,
        }
    }

    /// Whether its part is neither here nor on its way, and no send is due.
    pub fn is_lost(&self) -> bool {
        self.done.is_none() && self.tries.is_empty() && self.hedge_at.is_none()
    }

    /// Takes out a send that ended.
    pub fn take(&mut self, number: Number) -> Option<Try> {
        let place = self.tries.iter().position(|sent| sent.number == number)?;
        Some(self.tries.remove(place))
    }

    /// Whether `backend` has been asked.
    pub fn has_asked(&self, backend: &id::Backend) -> bool {
        let pending = self.tries.iter().any(|sent| match &sent.target {
            Target::Server(server) => server.entry.id == *backend,
            Target::Host(_) => false,
        });
        pending || self.ran.contains(backend)
    }
}
