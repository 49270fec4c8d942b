//! Which of a service's backend servers a request is sent to.
//!
//! Pattern: two replicas hold a shard, one near and one in another failure domain. Without a price on the
//! way, half of all bytes cross between failure domains; with too high a one, requests queue at a
//! slow server near by while the other is idle. The replica with the earliest reply is taken, by what
//! is known of it, see [`crate::replica`].

use crate::limit;
use crate::replica::Replica;
use crate::server::Server;
use crate::share::Share;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Round trip to another failure domain, with the bytes that it costs, as a time.
///
/// About the round trip between failure domains (1 to 2 ms). A queue of one request outweighs it.
const REMOTE_PENALTY: Duration = Duration::from_millis(3);

/// Part of an ordinary reply time that another failure domain has to be better by.
///
/// Reply times differ by as much by chance; without it two replicas that are equally good share the
/// load, and half of all bytes cross between failure domains.
const REMOTE_PENALTY_FRACTION: f64 = 1.0;

/// The surroundings of a choice.
#[derive(Debug)]
pub struct ChoiceContext<'a> {
    /// The time.
    pub now: Time,
    /// Failure domain of this host.
    pub domain: &'a str,
    /// This host's share.
    pub share: &'a Share,
    /// Ordinary reply time of the route.
    pub typical: Duration,
    /// Connections that a server of the service accepts.
    pub connections: u32,
    /// Requests a second that a cold server of the service bears.
    pub cold_rate: Option<f64>,
    /// Bounds on cold servers.
    pub cold: limit::Cold,
    /// A number that differs between hosts, to deal out what is less than one for each.
    pub host_hash: u64,
    /// Whether servers that are left alone may be tried, one request at a time.
    pub includes_backed_off: bool,
}

/// All backend servers that this host has used.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: HashMap<id::Backend, Replica>,
}

impl ReplicaTable {
    /// What is known of `backend`.
    pub fn get(&mut self, backend: &id::Backend) -> &mut Replica {
        self.replicas.entry(backend.clone()).or_default()
    }

    /// All of them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Backend, &Replica)> {
        self.replicas.iter()
    }

    /// What is known of `backend`, if it was ever considered.
    pub(crate) fn find(&mut self, backend: &id::Backend) -> Option<&mut Replica> {
        self.replicas.get_mut(backend)
    }

    /// Forgets all backend servers but those that `keeps` names and those with sends in flight.
    pub fn retain<F>(&mut self, keeps: F)
    where
        F: Fn(&id::Backend) -> bool,
    {
        self.replicas
            .retain(|backend, replica| keeps(backend) || replica.pending() > 0);
    }

    /// The best of `servers`, and the time until its reply.
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

    /// Time until a reply of `server`, and when it was last used; none if it must not be asked now.
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
