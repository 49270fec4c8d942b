//! Sends to another replica: retries after a send without a part, and hedges of a late one.

use super::Query;
use crate::config::Kind;
use crate::core::Choice;
use crate::core::Core;
use crate::ledger::Purpose;
use crate::leg::Target;
use crate::outcome::Send;
use crate::server::Server;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::Next;
use std::time::Duration;

/// Maximum fraction of the shards that are hedged as stragglers.
///
/// If more are late, this host is what is slow: it has not yet sent or read everything, and sending
/// all of it twice would slow it down further.
const MAX_HEDGED_FRACTION: f64 = 0.25;

/// Time after which paused hedges are checked again for replies that have come in.
const HEDGE_RECHECK: Duration = Duration::from_millis(4);

/// Fraction of the objective after which hedges are no longer paused: the reply to a later one
/// would be late.
const HEDGE_PAUSE_FRACTION: f64 = 0.5;

/// Minimum delay before a replica that rejected a request is tried again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(8);

/// Number of rejections by backend servers after which a request is given up.
const MAX_REJECTIONS: usize = 3;

/// Whether backend servers that rejected a leg may be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RejectedServers {
    /// No: the rejection has just happened, and they would reject it again.
    Skip,
    /// Yes: some time has passed.
    Retry,
}

impl Query {
    /// Sends to another replica for a leg whose send ended without a part.
    pub(super) fn retry(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        let state = &self.legs[leg];
        if state.done.is_some() {
            return Vec::new();
        }
        if self.rejections_exhausted() {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        self.send_again(core, leg, now, RejectedServers::Skip)
    }

    /// Whether a request to a single service was rejected too often to go on.
    fn rejections_exhausted(&self) -> bool {
        self.legs.len() == 1 && self.rejections >= MAX_REJECTIONS
    }

    /// Sends once more for a leg, or schedules the next check.
    fn send_again(
        &mut self,
        core: &mut Core,
        leg: usize,
        now: Time,
        rejected: RejectedServers,
    ) -> Vec<Send> {
        if self.plan.local_only && self.legs[leg].arrivals > 0 {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let is_late = !self.legs[leg].in_flight.is_empty();
        if is_late && self.hedges_exhausted(core, now) {
            return self.check_later(core, leg, now);
        }
        let next = self.next_send(core, now);
        self.legs[leg].waits_for_canary = next == Next::Wait;
        match next {
            Next::Send => {}
            Next::Canary => return self.send_canary_again(core, leg, now),
            Next::Wait | Next::GiveUp => {
                self.legs[leg].hedge_at = None;
                return Vec::new();
            }
        }
        if self.legs[leg].possible_runs() >= self.attempt_limit() {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let other = self.other_replica(core, leg, now, rejected);
        if self.plan.local_only
            && other
                .as_ref()
                .is_none_or(|other| core.is_backed_off(other, now))
        {
            // The host that asked has other replicas and can use them without a repeat.
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let Some(choice) = other else {
            return self.check_later(core, leg, now);
        };
        let repeat = self.legs[leg].arrivals > 0;
        let service = self.legs[leg].service.clone();
        let purpose = self.purpose(leg);
        if repeat && !core.spend(&service, now, purpose) {
            self.repeats_denied += 1;
            return self.check_later(core, leg, now);
        }
        vec![self.send_direct(core, leg, choice.server, now, repeat)]
    }

    /// Sends a canary for this leg or another one; checks again later if no replica is available
    /// for now.
    fn send_canary_again(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        if !self.has_attempts() {
            self.give_up_legs();
            return Vec::new();
        }
        let sends = self.next_canary(core, now);
        if sends.is_empty() {
            return self.check_later(core, leg, now);
        }
        if self.legs[leg].in_flight.is_empty() {
            self.legs[leg].waits_for_canary = true;
            self.legs[leg].hedge_at = None;
        }
        sends
    }

    /// Returns how many backend servers each leg may be sent to.
    pub(super) fn attempt_limit(&self) -> usize {
        match self.plan.route.kind {
            Kind::Once => 1,
            Kind::Idempotent => self.plan.attempts as usize,
        }
    }

    /// Returns what one more send for a leg is for: whether the caller would accept the answer
    /// without this leg and without the others in the same state.
    fn purpose(&self, leg: usize) -> Purpose {
        let Some(coverage) = self.plan.min_coverage else {
            return Purpose::Part;
        };
        let has_no_send = self.legs[leg].in_flight.is_empty();
        let same_state = self.legs.iter().filter(|other| {
            let open = other.done.is_none();
            open && (!has_no_send || other.in_flight.is_empty())
        });
        let without = self.legs.len() - same_state.count();
        let share = without as f64 / self.legs.len() as f64;
        match share >= coverage {
            true => Purpose::Part,
            false => Purpose::Answer,
        }
    }

    /// Chooses a replica that was not tried for this leg and whose reply would come in time.
    pub(super) fn other_replica(
        &self,
        core: &mut Core,
        leg: usize,
        now: Time,
        rejected: RejectedServers,
    ) -> Option<Choice> {
        let typical = core.reply_times(&self.plan.route).typical;
        let state = &self.legs[leg];
        let view = &self.plan.view;
        let domain = self.plan.local_only.then(|| core.domain.clone());
        let is_allowed = |server: &Server| {
            let is_local = domain.as_ref().is_none_or(|d| server.entry.domain == *d);
            is_local && !state.was_sent_to(server)
        };
        let not_rejected =
            |server: &Server| is_allowed(server) && !state.rejected_by.contains(&server.entry.id);
        let choice = core.choose(view, &state.service, typical, now, not_rejected);
        let choice = choice.or_else(|| {
            let may_retry = state.in_flight.is_empty() && rejected == RejectedServers::Retry;
            let retryable = |server: &Server| may_retry && is_allowed(server);
            core.choose(view, &state.service, typical, now, retryable)
        })?;
        (now + choice.expected < self.plan.deadline).then_some(choice)
    }

    /// Schedules the next check of a leg, if one can still be of use.
    fn check_later(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        let pause = core
            .reply_times(&self.plan.route)
            .typical
            .max(MIN_RETRY_DELAY);
        let at = now + pause;
        let in_time = at < self.plan.deadline;
        let single = self.legs.len() == 1 && self.legs[leg].in_flight.is_empty();
        // Waiting is no use for a service that currently has no usable server.
        let hopeless = single && self.legs[leg].cannot_have_run() && self.rejections == 0;
        self.legs[leg].hedge_at = (in_time && !hopeless).then_some(at);
        Vec::new()
    }

    /// Returns the sends that are due now.
    pub fn tick(&mut self, core: &mut Core, now: Time) -> Vec<Send> {
        let mut sends = Vec::new();
        let paused_until = self.hedges_paused_until(now);
        for leg in 0..self.legs.len() {
            let state = &mut self.legs[leg];
            if state.done.is_some() || state.hedge_at.is_none_or(|at| at > now) {
                continue;
            }
            if let Some(until) = paused_until
                && !state.in_flight.is_empty()
            {
                state.hedge_at = Some(until);
                continue;
            }
            self.avoid_late_hosts(core, leg, now);
            sends.extend(self.send_again(core, leg, now, RejectedServers::Retry));
        }
        sends
    }

    /// Returns until when hedges are paused, if too many legs are late for the servers to be the
    /// cause.
    fn hedges_paused_until(&self, now: Time) -> Option<Time> {
        let open = self.legs.iter().filter(|leg| leg.done.is_none()).count();
        let max_open = (self.legs.len() as f64 * MAX_HEDGED_FRACTION).max(2.0);
        let pause_end = self.plan.arrived + self.plan.route.objective.mul_f64(HEDGE_PAUSE_FRACTION);
        let is_paused = open as f64 > max_open && now < pause_end;
        is_paused.then(|| pause_end.min(now + HEDGE_RECHECK))
    }

    /// Avoids the hosts whose first update for this leg is late.
    fn avoid_late_hosts(&self, core: &mut Core, leg: usize, now: Time) {
        for sent in &self.legs[leg].in_flight {
            let has_reported = self
                .branches
                .get(&sent.send_id)
                .is_some_and(|branch| branch.has_reported);
            if let Target::Host { host, .. } = &sent.target
                && !has_reported
            {
                core.hosts.avoid(host, now);
            }
        }
    }
}
