//! Asking another replica: after a send that brought nothing, or because it takes too long.

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

/// Largest part of the shards that are hedged as stragglers.
///
/// If more are late than that, this host is what is slow: it has not got round to sending or reading
/// yet, and to send everything twice would make it slower still.
const STRAGGLERS: f64 = 0.25;

/// Time after which it is looked again whether replies have come in.
const HOLD: Duration = Duration::from_millis(4);

/// Part of the objective after which that no longer counts: a reply that is sent for later comes late.
const LAST_HEDGE: f64 = 0.5;

/// Shortest pause before a replica that turned a request away is asked again.
const AGAIN: Duration = Duration::from_millis(8);

/// Refusals by backend servers after which a request is given up.
const MOST_REJECTIONS: usize = 3;

/// Whether backend servers that turned a leg away may be asked again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turned {
    /// It has just happened: they would do it again.
    Leave,
    /// Some time has passed.
    Ask,
}

impl Query {
    /// Asks another replica for a leg whose send ended without a part.
    pub(super) fn retry(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        let state = &self.legs[leg];
        if state.done.is_some() {
            return Vec::new();
        }
        if self.rejections_exhausted() {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        self.again(core, leg, now, Turned::Leave)
    }

    /// Whether a request to a single service was turned away too often to go on.
    fn rejections_exhausted(&self) -> bool {
        self.legs.len() == 1 && self.rejections >= MOST_REJECTIONS
    }

    /// Sends once more for a leg, or sets the time of the next look.
    fn again(&mut self, core: &mut Core, leg: usize, now: Time, turned: Turned) -> Vec<Send> {
        if self.plan.near_only && self.legs[leg].arrivals > 0 {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let is_late = !self.legs[leg].tries.is_empty();
        if is_late && self.exhausts_hedges(core, now) {
            return self.look_later(core, leg, now);
        }
        let next = self.next_send(core, now);
        self.legs[leg].held = next == Next::Wait;
        match next {
            Next::Send => {}
            Next::Canary => return self.again_as_canary(core, leg, now),
            Next::Wait | Next::GiveUp => {
                self.legs[leg].hedge_at = None;
                return Vec::new();
            }
        }
        if self.legs[leg].attempts() >= self.attempt_limit() {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let other = self.other(core, leg, now, turned);
        if self.plan.near_only && other.as_ref().is_none_or(|other| core.is_down(other, now)) {
            // Whoever asked has other replicas and can go there without a repeat.
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let Some(choice) = other else {
            return self.look_later(core, leg, now);
        };
        let repeat = self.legs[leg].arrivals > 0;
        let service = self.legs[leg].service.clone();
        let purpose = self.purpose(leg);
        if repeat && !core.spend(&service, now, purpose) {
            self.unpaid += 1;
            return self.look_later(core, leg, now);
        }
        vec![self.direct(core, leg, choice.server, now, repeat)]
    }

    /// Sends a canary, for this leg or another one; looks again later if no replica is left for now.
    fn again_as_canary(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        if !self.has_attempts() {
            self.give_up_legs();
            return Vec::new();
        }
        let sends = self.next_canary(core, now);
        if sends.is_empty() {
            return self.look_later(core, leg, now);
        }
        if self.legs[leg].tries.is_empty() {
            self.legs[leg].held = true;
            self.legs[leg].hedge_at = None;
        }
        sends
    }

    /// Backend servers that each leg may be sent to.
    pub(super) fn attempt_limit(&self) -> usize {
        match self.plan.route.kind {
            Kind::Once => 1,
            Kind::Idempotent => self.plan.attempts as usize,
        }
    }

    /// What one more send for a leg is for: whether the caller would accept the answer without it and
    /// without the others that are in the same state.
    fn purpose(&self, leg: usize) -> Purpose {
        let Some(coverage) = self.plan.coverage else {
            return Purpose::Part;
        };
        let is_dead = self.legs[leg].tries.is_empty();
        let alike = self.legs.iter().filter(|other| {
            let open = other.done.is_none();
            open && (!is_dead || other.tries.is_empty())
        });
        let without = self.legs.len() - alike.count();
        let share = without as f64 / self.legs.len() as f64;
        match share >= coverage {
            true => Purpose::Part,
            false => Purpose::Answer,
        }
    }

    /// A replica that was not asked for this leg, and whose reply would come in time.
    pub(super) fn other(
        &self,
        core: &mut Core,
        leg: usize,
        now: Time,
        turned: Turned,
    ) -> Option<Choice> {
        let typical = core.reply_times(&self.plan.route).typical;
        let state = &self.legs[leg];
        let view = &self.plan.view;
        let domain = self.plan.near_only.then(|| core.domain.clone());
        let may = |server: &Server| {
            let near = domain.as_ref().is_none_or(|d| server.entry.domain == *d);
            near && !state.has_asked(server)
        };
        let fresh = |server: &Server| may(server) && !state.turned_away.contains(&server.entry.id);
        let choice = core.choose(view, &state.service, typical, now, fresh);
        let choice = choice.or_else(|| {
            let idle = state.tries.is_empty() && turned == Turned::Ask;
            let again = |server: &Server| idle && may(server);
            core.choose(view, &state.service, typical, now, again)
        })?;
        (now + choice.expected < self.plan.deadline).then_some(choice)
    }

    fn look_later(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        let pause = core.reply_times(&self.plan.route).typical.max(AGAIN);
        let at = now + pause;
        let in_time = at < self.plan.deadline;
        let single = self.legs.len() == 1 && self.legs[leg].tries.is_empty();
        // Nothing is to be gained by waiting for a service that nobody serves now.
        let hopeless = single && self.legs[leg].is_untouched() && self.rejections == 0;
        self.legs[leg].hedge_at = (in_time && !hopeless).then_some(at);
        Vec::new()
    }

    /// Says what to send now that time has passed.
    pub fn tick(&mut self, core: &mut Core, now: Time) -> Vec<Send> {
        let mut sends = Vec::new();
        let held = self.holds_hedges(now);
        for leg in 0..self.legs.len() {
            let state = &mut self.legs[leg];
            if state.done.is_some() || state.hedge_at.is_none_or(|at| at > now) {
                continue;
            }
            if let Some(until) = held
                && !state.tries.is_empty()
            {
                state.hedge_at = Some(until);
                continue;
            }
            self.doubt_hosts(core, leg, now);
            sends.extend(self.again(core, leg, now, Turned::Ask));
        }
        sends
    }

    /// Until when hedges wait because too much is late for it to be the servers' fault.
    fn holds_hedges(&self, now: Time) -> Option<Time> {
        let open = self.legs.iter().filter(|leg| leg.done.is_none()).count();
        let few = (self.legs.len() as f64 * STRAGGLERS).max(2.0);
        let last = self.plan.arrived + self.plan.route.objective.mul_f64(LAST_HEDGE);
        let held = open as f64 > few && now < last;
        held.then(|| last.min(now + HOLD))
    }

    /// Holds a host that is late for one in trouble.
    fn doubt_hosts(&self, core: &mut Core, leg: usize, now: Time) {
        for sent in &self.legs[leg].tries {
            let heard = self.branches.get(&sent.number).is_some_and(|b| b.told);
            if let Target::Host { host, .. } = &sent.target
                && !heard
            {
                core.hosts.doubt(host, now);
            }
        }
    }
}
