//! Handles requests during which servers ended.
//!
//! The content of the request may be what ends them. Sent on as usual, it would end every replica
//! of every shard; not sent at all, a request that was only in flight at the time would not be
//! served. So one send at a time, the canary, tests the request while all other legs wait.

use super::Query;
use super::retry::RejectedServers;
use crate::core::Choice;
use crate::core::Core;
use crate::ledger::Purpose;
use crate::outcome::Next;
use crate::outcome::Send;
use crate::server::Server;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine;
use lentillift_fleet::quarantine::Admission;
use lentillift_fleet::quarantine::Verdict;
use std::time::Duration;

impl Query {
    /// Decides how the request is treated.
    ///
    /// A request from another host is refused if it is suspect or quarantined here. That host knows
    /// the caller and decides how to treat the request.
    pub(super) fn admit(&mut self, core: &mut Core, now: Time) -> Admission {
        let fingerprint = self.plan.fingerprint;
        if self.plan.local_only {
            return match core.verdict(fingerprint, now) {
                Verdict::Clear => Admission::Serve,
                Verdict::Suspect => Admission::Refuse(Duration::ZERO),
                Verdict::Quarantined(left) => Admission::Refuse(left),
            };
        }
        let admission = core.admit(fingerprint, now);
        let is_quarantined = matches!(core.verdict(fingerprint, now), Verdict::Quarantined(_));
        self.is_quarantine_canary = admission == Admission::Canary && is_quarantined;
        admission
    }

    /// Sends the canary for one leg; all others wait for its result.
    pub(super) fn first_canary(
        &mut self,
        core: &mut Core,
        mut choices: Vec<Option<Choice>>,
        now: Time,
    ) -> Vec<Send> {
        for (leg, choice) in self.legs.iter_mut().zip(&choices) {
            leg.waits_for_canary = choice.is_some();
        }
        let mut order = self.canary_order();
        let chosen = order.find_map(|leg| Some((leg, choices[leg].take()?)));
        let send = chosen.map(|(leg, choice)| self.send_canary(core, leg, choice, now, false));
        send.into_iter().collect()
    }

    /// Returns the legs in the order in which a canary is tried for them.
    ///
    /// The order differs between requests. Otherwise several that become suspect at once, because
    /// servers ended during all of them, would be sent to the same server, and the one that ends it
    /// would be blamed on all.
    fn canary_order(&self) -> impl Iterator<Item = usize> + use<> {
        let count = self.legs.len();
        let fingerprint = self.plan.fingerprint.map_or([0; 16], |known| known.0);
        let (first, _) = fingerprint.split_first_chunk().unwrap_or((&[0; 8], &[]));
        let start = u64::from_le_bytes(*first) % (count as u64).max(1);
        (0..count).map(move |step| (start as usize + step) % count)
    }

    /// Sends a canary for a leg, with all of the remaining time as its timeout.
    fn send_canary(
        &mut self,
        core: &mut Core,
        leg: usize,
        choice: Choice,
        now: Time,
        repeat: bool,
    ) -> Send {
        self.legs[leg].waits_for_canary = false;
        let mut send = self.send_direct(core, leg, choice.server, now, repeat);
        send.canary = true;
        // With a shorter timeout it would miss a server that ends a little later.
        send.timeout = self.plan.deadline.saturating_sub(now);
        if let Some(last) = self.legs[leg].in_flight.last_mut() {
            last.canary = true;
        }
        send
    }

    /// Whether some leg may still be sent to another backend server.
    pub(super) fn has_attempts(&self) -> bool {
        let limit = self.attempt_limit();
        let mut legs = self.legs.iter();
        legs.any(|leg| leg.done.is_none() && leg.possible_runs() < limit)
    }

    /// Gives up all legs without a send in flight.
    pub(super) fn give_up_legs(&mut self) {
        for leg in &mut self.legs {
            leg.waits_for_canary = false;
            leg.hedge_at = None;
        }
    }

    /// Sends a canary for the first leg that has a replica available; all others wait.
    pub(super) fn next_canary(&mut self, core: &mut Core, now: Time) -> Vec<Send> {
        let limit = self.attempt_limit();
        for leg in self.canary_order() {
            let state = &self.legs[leg];
            let is_open = state.done.is_none() && state.possible_runs() < limit;
            if !is_open {
                continue;
            }
            let Some(choice) = self.other_replica(core, leg, now, RejectedServers::Retry) else {
                continue;
            };
            let repeat = self.legs[leg].arrivals > 0;
            let service = self.legs[leg].service.clone();
            if repeat && !core.spend(&service, now, Purpose::Answer) {
                self.repeats_denied += 1;
                continue;
            }
            return vec![self.send_canary(core, leg, choice, now, repeat)];
        }
        Vec::new()
    }

    /// Returns whether and how one more send may be made.
    pub(super) fn next_send(&mut self, core: &Core, now: Time) -> quarantine::Next {
        if self.has_reply() {
            return quarantine::Next::Send;
        }
        let verdict = core.verdict(self.plan.fingerprint, now);
        let has_sends_in_flight = self.legs.iter().any(|leg| !leg.in_flight.is_empty());
        let next = verdict.next(self.is_quarantine_canary, has_sends_in_flight);
        if next == quarantine::Next::GiveUp
            && let Verdict::Quarantined(left) = verdict
        {
            self.quarantined = Some(left);
        }
        next
    }

    /// Whether a server has replied.
    pub(super) fn has_reply(&self) -> bool {
        self.legs.iter().any(|leg| leg.done.is_some())
    }

    /// Makes all legs that wait for a canary due now.
    pub(super) fn release_waiting(&mut self, now: Time) {
        for leg in &mut self.legs {
            if std::mem::take(&mut leg.waits_for_canary) && leg.done.is_none() {
                leg.hedge_at = Some(now);
            }
        }
    }

    /// Records that a server ran the request and replied.
    pub(super) fn server_answered(&mut self, core: &mut Core, now: Time) {
        core.server_answered(self.plan.fingerprint, now);
        self.is_quarantine_canary = false;
        self.release_waiting(now);
    }

    /// Records that a server ended while it had the request.
    ///
    /// If another server has already returned a part of the request, the request is not what ended
    /// this one.
    pub(super) fn server_ended(
        &mut self,
        core: &mut Core,
        server: &Server,
        canary: bool,
        now: Time,
    ) {
        if !self.has_reply() {
            core.server_ended(self.plan.fingerprint, server, canary, now);
        }
    }

    /// Records that a canary ended without a reply: the next waiting leg may be tried.
    pub(super) fn canary_ended(&mut self, now: Time) {
        self.is_quarantine_canary = false;
        self.release_waiting(now);
    }

    /// Whether as many legs were sent twice as an answer may lack, without any reply.
    ///
    /// A late send may be about to end its server. The limit doubles with each half of the
    /// objective, to allow for hosts and connections that are stalled.
    pub(super) fn hedges_exhausted(&self, core: &Core, now: Time) -> bool {
        if self.legs.len() < 2 || core.tracked(self.plan.fingerprint).is_none() {
            return false;
        }
        let coverage = self.plan.min_coverage.unwrap_or(1.0);
        let dispensable = (self.legs.len() as f64 * (1.0 - coverage)) as usize;
        let step = self.plan.route.objective / 2;
        let waited = now.saturating_sub(self.plan.arrived);
        let steps = waited.as_millis() / step.as_millis().max(1);
        let doublings = u32::try_from(steps.saturating_sub(1)).unwrap_or(u32::MAX);
        let allowed = dispensable
            .max(1)
            .saturating_mul(2_usize.saturating_pow(doublings));
        let sent_twice = self.legs.iter().filter(|leg| leg.arrivals > 1).count();
        !self.has_reply() && sent_twice >= allowed
    }

    /// Returns the result of a quarantined request.
    pub(super) fn quarantine_result(&self, left: Duration) -> Next {
        let cannot_have_run = self.legs.iter().all(|leg| leg.cannot_have_run());
        match cannot_have_run {
            true => Next::Quarantine(left),
            false => Next::Fail,
        }
    }
}
