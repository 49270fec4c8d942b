//! Effects of this process's leases on its backend servers: holding, losing, handing over.

use super::Effect;
use super::Owner;
use crate::queue::Waiting;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::sub::Failure;
use lentillift_core::time::Time;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::lease_manager::Transfer;
use std::time::Duration;

/// State of a backend server that a hand-over passes to the next holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandoverState {
    /// Concurrency limit that its warm-up has reached.
    pub limit: u32,
    /// Number of requests in flight from this process and, until they end, from its predecessor.
    pub in_flight: u32,
    /// Time until the last of these ends at the latest.
    pub left: Duration,
}

impl Owner {
    /// End of the lease on `backend`, by which all requests to it must have ended; `None` if none
    /// may be sent now.
    pub(super) fn lease_end(&self, now: Time, backend: &id::Backend) -> Option<Time> {
        match self.lease_states.get(backend) {
            Some(LeaseState::Until(until)) if now < *until && self.view.is_fresh(now) => {
                Some(*until)
            }
            _ => None,
        }
    }

    /// Whether sub-requests for `backend` may be queued here.
    pub fn may_queue(&self, backend: &id::Backend) -> bool {
        let state = self.lease_states.get(backend);
        matches!(state, Some(LeaseState::Until(_) | LeaseState::Pending))
    }

    /// Applies a change of the lease on `backend`; when it is lost, waiting sub-requests are
    /// forwarded to the new holder.
    pub(super) fn set_lease_state(
        &mut self,
        now: Time,
        backend: &id::Backend,
        state: LeaseState,
    ) -> Vec<Effect> {
        let lost = matches!(state, LeaseState::No(_));
        self.lease_states.insert(backend.clone(), state);
        if !lost {
            return self.process_queue(now, backend);
        }
        let mut effects = Vec::new();
        let server = self.servers.get_mut(backend);
        let waiting = server.map_or_else(Vec::new, |server| server.queue.drain());
        for waiting in waiting {
            effects.push(self.forward(now, waiting));
        }
        self.set_wake(backend);
        self.remove_if_lost(backend);
        effects
    }

    /// Forwards a sub-request to the host that holds its backend server, or refuses it if that host
    /// is unknown.
    fn forward(&mut self, now: Time, mut waiting: Waiting) -> Effect {
        let left = waiting.deadline.saturating_sub(now);
        let Some(LeaseState::No(Some(holder))) = self.lease_states.get(&waiting.sub.backend) else {
            return self.refuse(now, waiting, Failure::NotOwner);
        };
        let to = holder.clone();
        self.remove_ticket(
            &waiting.from,
            waiting.sub.id,
            waiting.sub.work.component(),
            None,
        );
        waiting.sub.allowance = left;
        Effect::Forward {
            to,
            from: waiting.from,
            sub: waiting.sub,
        }
    }

    /// State of `backend` for a hand-over to the next holder.
    pub fn handover_state(&self, now: Time, backend: &id::Backend) -> HandoverState {
        let Some(server) = self.servers.get(backend) else {
            return HandoverState::default();
        };
        let end = self.last_ends.get(backend).copied().unwrap_or_default();
        let end = end.max(server.inherited_until());
        let in_flight = server.occupied(now);
        HandoverState {
            limit: server.warmup.limit(),
            in_flight,
            left: if in_flight == 0 {
                Duration::ZERO
            } else {
                end.saturating_sub(now)
            },
        }
    }

    /// Starts a lease on a backend server: cold, or in the state that the previous holder handed
    /// over.
    pub(super) fn start_lease(
        &mut self,
        now: Time,
        backend: &id::Backend,
        transfer: Option<Transfer>,
    ) {
        let service = self.view.backends.get(backend).and_then(|known| {
            let config = self.config.as_ref()?;
            config.services.get(&known.service).cloned()
        });
        let Some(service) = service else {
            return;
        };
        let policy = &self.policy;
        let cold = || Server::new(policy, &service);
        let server = self.servers.entry(backend.clone()).or_insert_with(cold);
        server.start_lease(policy, now, &service, transfer.as_ref());
        if let Some(transfer) = transfer {
            self.wakes.insert((now + transfer.left, backend.clone()));
        }
    }
}
