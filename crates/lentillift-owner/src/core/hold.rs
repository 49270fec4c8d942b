//! What a process's leases allow its owner.

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

/// What a successor must know of a backend server that is handed over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Requests that it may run at a time, as far as it has warmed up.
    pub limit: u32,
    /// Requests that it has from this process.
    pub in_flight: u32,
    /// Time after which it has none of these any more.
    pub left: Duration,
}

impl Owner {
    /// Until when work may be under way at `backend`, if any may be sent now.
    pub(super) fn lease(&self, now: Time, backend: &id::Backend) -> Option<Time> {
        match self.holds.get(backend) {
            Some(LeaseState::Until(until)) if now < *until && self.view.is_fresh(now) => {
                Some(*until)
            }
            _ => None,
        }
    }

    /// Whether work for `backend` may wait here.
    pub fn keeps(&self, backend: &id::Backend) -> bool {
        let hold = self.holds.get(backend);
        matches!(hold, Some(LeaseState::Until(_) | LeaseState::Pending))
    }

    /// Takes in what may be done with `backend` from now on.
    pub(super) fn set_hold(
        &mut self,
        now: Time,
        backend: &id::Backend,
        hold: LeaseState,
    ) -> Vec<Effect> {
        let lost = matches!(hold, LeaseState::No(_));
        self.holds.insert(backend.clone(), hold);
        if !lost {
            return self.pump(now, backend);
        }
        let mut effects = Vec::new();
        let server = self.servers.get_mut(backend);
        let waiting = server.map_or_else(Vec::new, |server| server.queue.drain());
        for waiting in waiting {
            effects.push(self.pass_on(now, waiting));
        }
        self.set_wake(backend);
        self.drop_if_lost(backend);
        effects
    }

    /// Sends what waits for a backend server that is not held here to the host that holds it.
    fn pass_on(&mut self, now: Time, mut waiting: Waiting) -> Effect {
        let left = waiting.deadline.saturating_sub(now);
        let Some(LeaseState::No(Some(holder))) = self.holds.get(&waiting.sub.backend) else {
            return self.refuse(now, waiting, Failure::NotOwner);
        };
        let to = holder.clone();
        self.forget(&waiting.from, waiting.sub.id, waiting.sub.work.desk(), None);
        waiting.sub.allowance = left;
        Effect::Forward {
            to,
            from: waiting.from,
            sub: waiting.sub,
        }
    }

    /// How `backend` stands, for a hand-over.
    pub fn standing(&self, now: Time, backend: &id::Backend) -> Standing {
        let Some(server) = self.servers.get(backend) else {
            return Standing::default();
        };
        let end = self.ends.get(backend).copied().unwrap_or_default();
        let end = end.max(server.inherited_until());
        let in_flight = server.occupied(now);
        Standing {
            limit: server.warmup.limit(),
            in_flight,
            left: if in_flight == 0 {
                Duration::ZERO
            } else {
                end.saturating_sub(now)
            },
        }
    }

    /// Starts with a backend server: cold, or as the holder before has left it.
    pub(super) fn adopt(&mut self, now: Time, backend: &id::Backend, transfer: Option<Transfer>) {
        let service = self.view.backends.get(backend).and_then(|known| {
            let config = self.config.as_ref()?;
            config.services.get(&known.service).cloned()
        });
        let Some(service) = service else {
            return;
        };
        let policy = &self.policy;
        let fresh = || Server::new(policy, &service);
        let server = self.servers.entry(backend.clone()).or_insert_with(fresh);
        server.adopt(policy, now, &service, transfer.as_ref());
        if let Some(transfer) = transfer {
            self.wakes.insert((now + transfer.left, backend.clone()));
        }
    }
}
