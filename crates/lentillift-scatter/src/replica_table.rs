//! Chooses the backend server of a service that a request is sent to.
//!
//! The replica with the earliest expected reply is chosen, see [`crate::replica`]. A replica in
//! another failure domain is charged a penalty: without one, two replicas in different domains
//! share the load and half of all bytes cross between failure domains; with too high a penalty,
//! requests queue at a slow local server while the remote one is idle.

use crate::limit;
use crate::replica::Replica;
use crate::server::Server;
use crate::share::Share;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Penalty for a server in another failure domain: the round trip, and the cost of its bytes as
/// time.
///
/// The round trip between failure domains is 1 to 2 ms. A queue of one request outweighs the
/// penalty.
const REMOTE_PENALTY: Duration = Duration::from_millis(3);

/// Fraction of the typical reply time by which a server in another failure domain must be faster.
///
/// Reply times vary by this much by chance; without it two equally fast replicas would share the
/// load, and half of all bytes would cross between failure domains.
const REMOTE_PENALTY_FRACTION: f64 = 1.0;

/// Inputs to the choice of a replica.
#[derive(Debug)]
pub struct ChoiceContext<'a> {
    /// Current time.
    pub now: Time,
    /// Failure domain of this host.
    pub domain: &'a str,
    /// This host's share of fleet-wide limits.
    pub share: &'a Share,
    /// Typical (median) reply time of the route.
    pub typical: Duration,
    /// Connections that a server of the service accepts from all hosts together.
    pub connections: u32,
    /// Requests a second that a cold server of the service can take; none if unbounded.
    pub cold_rate: Option<f64>,
    /// Limits on requests to cold servers.
    pub cold: limit::Cold,
    /// A hash of the host's name, used to distribute limits of less than one request per host.
    pub host_hash: u64,
    /// Whether servers that are backed off may be tried, one request at a time.
    pub includes_backed_off: bool,
}

/// State of every backend server that this host has considered.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: HashMap<id::Backend, Replica>,
}

impl ReplicaTable {
    /// Returns the state of `backend`, creating it if necessary.
    pub fn get(&mut self, backend: &id::Backend) -> &mut Replica {
        self.replicas.entry(backend.clone()).or_default()
    }

    /// Iterates over the state of all backend servers, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Backend, &Replica)> {
        self.replicas.iter()
    }

    /// Returns the state of `backend` if it was ever considered.
    pub(crate) fn find(&mut self, backend: &id::Backend) -> Option<&mut Replica> {
        self.replicas.get_mut(backend)
    }

    /// Drops the state of all backend servers except those that `keeps` accepts and those with
    /// sends in flight.
    pub fn retain<F>(&mut self, keeps: F)
    where
        F: Fn(&id::Backend) -> bool,
    {
        self.replicas
            .retain(|backend, replica| keeps(backend) || replica.pending() > 0);
    }

    /// Returns the server with the earliest expected reply, and the time until that reply.
    pub fn choose<'a, I>(
        &mut self,
        context: &ChoiceContext<'_>,
        servers: I,
    ) -> Option<(&'a Arc<Server>, Duration)>
    where
        I: Iterator<Item = &'a Arc<Server>>,
    {
        let mut best: Option<(&Arc<Server>, Duration, Time)> = None;
        for server in servers {
            let Some((expected, last_used)) = self.expected(context, server) else {
                continue;
            };
            let better = best
                .as_ref()
                .is_none_or(|(_, least, last)| (expected, last_used) < (*least, *last));
            if better {
                best = Some((server, expected, last_used));
            }
        }
        best.map(|(server, expected, _)| (server, expected))
    }

    /// Returns the time until a reply of `server` and when it was last used; none if it must not be
    /// used now.
    fn expected(
        &mut self,
        context: &ChoiceContext<'_>,
        server: &Server,
    ) -> Option<(Duration, Time)> {
        let now = context.now;
        let replica = self.get(&server.entry.id);
        if replica.has_reused_address(&server.entry) {
            return None;
        }
        if replica.is_backed_off(now) && !(context.includes_backed_off && replica.pending() == 0) {
            return None;
        }
        let slots = server.entry.slots;
        let max_pending = limit::max_in_flight(context.share, context.connections, slots, now);
        if replica.pending() >= max_pending {
            return None;
        }
        if server.cold_until > now
            && let Some(rate) = context.cold_rate
            && replica.cold_sends(now)
                >= context.cold.allowed(context.share, rate, context.host_hash)
        {
            return None;
        }
        let mut expected = replica.expected(now, context.typical, server.entry.slots);
        if *server.entry.domain != *context.domain {
            expected += REMOTE_PENALTY.max(context.typical.mul_f64(REMOTE_PENALTY_FRACTION));
        }
        Some((expected, replica.last_used()))
    }
}
