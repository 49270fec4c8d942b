//! What is asked of a sub-request before it may wait.

use super::Effect;
use super::Owner;
use crate::queue::Waiting;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_policy::queue::Job;
use lentillift_settings::config::Service;
use lentillift_settings::policy::millis;
use std::time::Duration;

/// Least time that a sub-request may wait, lest one that is due at once is dropped unasked.
const LEAST_WAIT: Duration = Duration::from_micros(1);

impl Owner {
    /// The service of a sub-request whose backend server is owned here.
    pub(super) fn service(&self, sub: &Sub) -> Option<Service> {
        if !self.keeps(&sub.backend) {
            return None;
        }
        let known = self.view.backends.get(&sub.backend)?;
        self.config.as_ref()?.services.get(&known.service).cloned()
    }

    /// Why a sub-request can't be taken at all, whatever the load.
    pub(super) fn objection(&self, now: Time, sub: &Sub) -> Option<Failure> {
        if !self.keeps(&sub.backend) {
            return Some(Failure::NotOwner);
        }
        // A process that was paused can't know what was taken out meanwhile.
        if !self.view.is_fresh(now) || !self.view.in_service(&sub.backend) {
            return Some(Failure::Out);
        }
        let server = self.servers.get(&sub.backend)?;
        server.objection(&self.policy, now)
    }

    /// What the queue needs to know of a sub-request.
    pub(super) fn job(&self, now: Time, service: &Service, waiting: &Waiting) -> Job {
        let sub = &waiting.sub;
        let Some(config) = self.config.as_ref().filter(|_| self.policy.queue.on) else {
            return Job {
                rank: 0,
                caller: "".into(),
                weight: 1,
                cost: Duration::ZERO,
                long: false,
                expiry: waiting.deadline,
            };
        };
        let class = config.class(service, &sub.caller);
        let costs = self.costs.get(&sub.service);
        let cost = costs.map_or(Duration::ZERO, |costs| costs.of(&sub.caller));
        let long = self.policy.queue.long_factor;
        let server = self.servers.get(&sub.backend);
        let run = server.map_or(cost, |server| server.expected(cost));
        let patience = class.map_or(sub.allowance, |class| millis(class.queue_ms));
        let latest = waiting.deadline.saturating_sub(run);
        Job {
            rank: class.map_or(u8::MAX, |class| class.rank),
            caller: sub.caller.clone(),
            weight: config.callers.get(&sub.caller).map_or(1, |c| c.weight),
            cost,
            long: costs.is_some_and(|costs| costs.is_long(&sub.caller, long)),
            expiry: latest.min(now + patience).max(now + LEAST_WAIT),
        }
    }

    /// Whether a hedge may go to `backend`: only where it takes nothing from others.
    pub(super) fn takes_hedge(&self, now: Time, backend: &id::Backend) -> bool {
        self.servers.get(backend).is_some_and(|server| {
            server.warmup.is_warm() && server.queue.is_empty() && server.has_room(&self.policy, now)
        })
    }

    /// Whether a sub-request's turn would come too late, so that it is refused at once.
    ///
    /// A server with a free slot is asked in any case: its figures may be out of date, and nothing
    /// but new results would mend them.
    pub(super) fn is_hopeless(
        &self,
        now: Time,
        service: &Service,
        waiting: &Waiting,
        job: &Job,
    ) -> Option<Failure> {
        if !self.policy.queue.on {
            return None;
        }
        let server = self.servers.get(&waiting.sub.backend)?;
        let wait = server.wait(&self.policy, now, job);
        if wait.is_zero() || now + wait <= job.expiry {
            return None;
        }
        match server.warmup.limit() < service.slots {
            true => Some(Failure::Cold),
            false => Some(Failure::Refused),
        }
    }

    /// Answers a sub-request that certainly was not sent.
    pub(super) fn refuse(&mut self, now: Time, waiting: Waiting, failure: Failure) -> Effect {
        self.counts.add(match failure {
            _ if waiting.sub.hedge => "lentillift_owner_refused_hedges_total",
            Failure::Cold => "lentillift_owner_refused_cold_total",
            Failure::NotOwner | Failure::Out => "lentillift_owner_misrouted_total",
            Failure::Connection => "lentillift_owner_refused_unwell_total",
            _ => "lentillift_owner_refused_late_total",
        });
        self.forget(&waiting.from, waiting.sub.id, waiting.sub.work.desk(), None);
        Effect::Reply {
            to: waiting.from,
            desk: waiting.sub.work.desk(),
            id: waiting.sub.id,
            result: sub::Result::not_run(failure),
            load: self.load(now, &waiting.sub.backend, &waiting.sub.caller),
        }
    }

    /// A server's load as an entry is told it.
    pub(super) fn load(
        &self,
        now: Time,
        backend: &id::Backend,
        caller: &id::Caller,
    ) -> Option<Load> {
        let server = self.servers.get(backend)?;
        let config = self.config.as_ref()?;
        let service = config
            .services
            .get(&self.view.backends.get(backend)?.service)?;
        let job = Job {
            rank: config.class(service, caller).map_or(0, |class| class.rank),
            caller: "".into(),
            weight: 1,
            cost: Duration::ZERO,
            long: false,
            expiry: now,
        };
        Some(server.load(&self.policy, now, &job))
    }
}
