//! State machine of one request, from its arrival to its answer.
//!
//! Failures that it handles:
//!
//! - A search over twenty shards meets a paused backend server in every second case. Each shard's
//!   part is requested from another replica as soon as it takes longer than most do; the budget
//!   limits how often.
//! - A part that is still missing when the answer has to be sent is left out, if the caller accepts
//!   an answer without it: a late answer is worth little to its caller, and one that lacks a shard
//!   in twenty is worth nearly as much as a complete one. The answer says what it lacks.
//! - Shards without a replica in this failure domain are requested through one host of a failure
//!   domain that has them. It merges their parts, so one small reply crosses domains instead of
//!   twenty.
//! - A request that no backend server can serve is refused at once.
//! - A request during which servers end, without a reply from any, is sent to one server at a time,
//!   see [`lentillift_fleet::quarantine`].

mod ended;
mod first_sends;
mod retry;
mod suspect;

use crate::core::Core;
use crate::leg::Leg;
use crate::leg::State;
use crate::outcome::Next;
use crate::outcome::Send;
use crate::plan::Plan;
use crate::replica::SendId;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::Admission;
use std::collections::BTreeMap;
use std::time::Duration;

/// A branch: a send to another host for several legs.
#[derive(Debug)]
struct Branch {
    host: id::Host,
    domain: id::Domain,
    /// Legs that the host has not reported on.
    legs: Vec<usize>,
    /// When the host's first update is due.
    first_update_due: Time,
    /// Whether the host has sent the update that was due.
    has_reported: bool,
}

impl Branch {
    fn new(host: id::Host, domain: &id::Domain, legs: Vec<usize>) -> Self {
        Self {
            host,
            domain: domain.clone(),
            legs,
            first_update_due: Time::ZERO,
            has_reported: false,
        }
    }

    /// Measures the delay of the first update, if it was sent because it was due rather than
    /// because all parts were complete earlier.
    fn note_reply_delay(&self, core: &mut Core, now: Time) {
        if !self.has_reported && now >= self.first_update_due {
            core.hosts
                .note_reply_delay(now.saturating_sub(self.first_update_due));
        }
    }
}

/// One request.
#[derive(Debug)]
pub struct Query {
    plan: Plan,
    legs: Vec<Leg>,
    /// Branches that have not ended.
    branches: BTreeMap<SendId, Branch>,
    /// Number of sends that were made as repeats.
    repeats: u32,
    /// Number of repeats that the budget denied.
    repeats_denied: u32,
    rejections: usize,
    /// Whether it is the canary of a quarantined request.
    is_quarantine_canary: bool,
    /// Remaining time of the quarantine, if its request was refused for it.
    quarantined: Option<Duration>,
}

impl Query {
    /// Starts the request; returns the first sends.
    pub fn start(core: &mut Core, plan: Plan, now: Time) -> (Self, Vec<Send>) {
        let legs = plan.services.iter().cloned().map(Leg::new).collect();
        let mut query = Self {
            plan,
            legs,
            branches: BTreeMap::new(),
            repeats: 0,
            repeats_denied: 0,
            rejections: 0,
            is_quarantine_canary: false,
            quarantined: None,
        };
        let admission = query.admit(core, now);
        if let Admission::Refuse(left) = admission {
            query.quarantined = Some(left);
            return (query, Vec::new());
        }
        let choices = query.choices(core, now);
        let reachable = choices.iter().flatten().count();
        if !query.is_sufficient(reachable) {
            return (query, Vec::new());
        }
        let sends = match admission {
            Admission::Canary => query.first_canary(core, choices, now),
            _ => query.first_sends(core, choices, now),
        };
        (query, sends)
    }

    /// Returns the plan of the request.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Requires an answer by `end`: parts that can't come until then are not waited for, and no
    /// further send is made that could not be answered.
    pub fn end_by(&mut self, end: Time) {
        self.plan.end_by(end);
    }

    /// Returns the number of sends that were made as repeats.
    pub fn repeats(&self) -> u32 {
        self.repeats
    }

    /// Returns the number of repeats that the budget denied.
    pub fn repeats_denied(&self) -> u32 {
        self.repeats_denied
    }

    /// Whether its request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined.is_some()
    }

    /// Returns the service of a leg; none if there is no such leg.
    pub fn service(&self, leg: usize) -> Option<&id::Service> {
        self.legs.get(leg).map(|leg| &leg.service)
    }

    /// Iterates over the legs whose part is missing.
    pub fn missing(&self) -> impl Iterator<Item = &Leg> {
        self.legs.iter().filter(|leg| leg.done.is_none())
    }

    /// Whether this number of parts makes an answer that the caller accepts.
    fn is_sufficient(&self, parts: usize) -> bool {
        match self.plan.min_coverage {
            Some(least) => {
                let share = parts as f64 / self.legs.len().max(1) as f64;
                parts > 0 && share >= least
            }
            None => true,
        }
    }

    /// Returns what to do next.
    pub fn next(&self, now: Time) -> Next {
        let done = self.legs.iter().filter(|leg| leg.done.is_some()).count();
        let lost = self.legs.iter().filter(|leg| leg.is_lost()).count();
        let is_expired = now >= self.plan.deadline;
        if let Some(left) = self.quarantined {
            return self.quarantine_result(left);
        }
        let settled = done + lost == self.legs.len();
        let hopeless = !self.is_sufficient(self.legs.len() - lost);
        if self.is_sufficient(done) && (settled || is_expired || now >= self.plan.soft_deadline) {
            return self.answer();
        }
        if settled || is_expired || hopeless {
            return self.failure(is_expired);
        }
        Next::Wait(self.next_wakeup(now))
    }

    /// Returns when to call [`Query::tick`] if no send ends before.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let hedges = self.legs.iter().filter(|leg| leg.done.is_none());
        let hedges = hedges.filter_map(|leg| leg.hedge_at);
        let soft_deadline =
            Some(self.plan.soft_deadline).filter(|soft_deadline| *soft_deadline > now);
        let due = hedges
            .chain(soft_deadline)
            .min()
            .unwrap_or(self.plan.deadline);
        due.min(self.plan.deadline)
    }

    /// Iterates over the progress of all legs.
    pub fn states(&self) -> impl Iterator<Item = State> {
        self.legs.iter().map(Leg::state)
    }

    /// Returns the answer made of the parts that are here.
    fn answer(&self) -> Next {
        let mut sends: Vec<SendId> = self.legs.iter().filter_map(|leg| leg.done).collect();
        let missing = self.legs.len() - sends.len();
        sends.sort_unstable();
        sends.dedup();
        Next::Answer { sends, missing }
    }

    /// Returns the result of a request without a sufficient answer.
    fn failure(&self, is_expired: bool) -> Next {
        if let [leg] = self.legs.as_slice()
            && let Some(send_id) = leg.failed
        {
            return Next::Pass(send_id);
        }
        let not_run = self.legs.iter().all(Leg::cannot_have_run);
        match (not_run, is_expired) {
            (true, _) => Next::Refuse(self.retry_after()),
            (false, true) => Next::Timeout,
            (false, false) => Next::Fail,
        }
    }

    /// Returns the time after which a refused caller should retry: half an objective, by when a pause
    /// or a short queue has passed.
    fn retry_after(&self) -> Duration {
        self.plan.route.objective / 2
    }
}
