//! Checks on a sub-request before it is queued, and its refusal.

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

/// Minimum time until a sub-request expires in the queue. Without it, one that must start at once
/// would expire before it could be sent to a free slot.
const MIN_QUEUE_TIME: Duration = Duration::from_micros(1);

impl Owner {
    /// The service of a sub-request whose backend server is owned here.
    pub(super) fn service(&self, sub: &Sub) -> Option<Service> {
        if !self.may_queue(&sub.backend) {
            return None;
        }
        let known = self.view.backends.get(&sub.backend)?;
        self.config.as_ref()?.services.get(&known.service).cloned()
    }

    /// Reason to refuse a sub-request whatever the load; `None` if there is none.
    pub(super) fn rejection(&self, now: Time, sub: &Sub) -> Option<Failure> {
        if !self.may_queue(&sub.backend) {
            return Some(Failure::NotOwner);
        }
        // A process that was paused cannot know what was taken out of service meanwhile.
        if !self.view.is_fresh(now) || !self.view.in_service(&sub.backend) {
            return Some(Failure::Out);
        }
        let server = self.servers.get(&sub.backend)?;
        server.rejection(&self.policy, now)
    }

    /// Scheduling parameters of a sub-request.
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
        let cost = costs.map_or(Duration::ZERO, |costs| costs.expected(&sub.caller));
        let long_factor = self.policy.queue.long_factor;
        let server = self.servers.get(&sub.backend);
        let run_time = server.map_or(cost, |server| server.expected_run_time(cost));
        let max_queue_time = class.map_or(sub.allowance, |class| millis(class.queue_ms));
        let latest_start = waiting.deadline.saturating_sub(run_time);
        Job {
            rank: class.map_or(u8::MAX, |class| class.rank),
            caller: sub.caller.clone(),
            weight: config.callers.get(&sub.caller).map_or(1, |c| c.weight),
            cost,
            long: costs.is_some_and(|costs| costs.is_long(&sub.caller, long_factor)),
            expiry: latest_start
                .min(now + max_queue_time)
                .max(now + MIN_QUEUE_TIME),
        }
    }

    /// Whether `backend` accepts a hedge now: only if that delays no other request.
    pub(super) fn accepts_hedge(&self, now: Time, backend: &id::Backend) -> bool {
        self.servers.get(backend).is_some_and(|server| {
            server.warmup.is_warm()
                && server.queue.is_empty()
                && server.has_free_slot(&self.policy, now)
        })
    }

    /// Reason to refuse a sub-request at once because it would be sent too late; `None` if it would
    /// not.
    ///
    /// A server with a free slot is never refused work for this reason: its latencies may be out of
    /// date, and only new results can correct them.
    pub(super) fn late_refusal(
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
        let wait = server.expected_wait(&self.policy, now, job);
        if wait.is_zero() || now + wait <= job.expiry {
            return None;
        }
        match server.warmup.limit() < service.slots {
            true => Some(Failure::Cold),
            false => Some(Failure::Refused),
        }
    }

    /// Refuses a sub-request that was certainly not sent to a backend server.
    pub(super) fn refuse(&mut self, now: Time, waiting: Waiting, failure: Failure) -> Effect {
        self.counts.add(match failure {
            _ if waiting.sub.hedge => "lentillift_owner_refused_hedges_total",
            Failure::Cold => "lentillift_owner_refused_cold_total",
            Failure::NotOwner | Failure::Out => "lentillift_owner_misrouted_total",
            Failure::Connection => "lentillift_owner_refused_unwell_total",
            _ => "lentillift_owner_refused_late_total",
        });
        self.remove_ticket(
            &waiting.from,
            waiting.sub.id,
            waiting.sub.work.component(),
            None,
        );
        Effect::Reply {
            to: waiting.from,
            component: waiting.sub.work.component(),
            id: waiting.sub.id,
            result: sub::Result::not_run(failure),
            load: self.load(now, &waiting.sub.backend, &waiting.sub.caller),
        }
    }

    /// A server's load as sent to an entry, with the wait that a request in the class of `caller`
    /// would have.
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
