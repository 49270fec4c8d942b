//! What is done about a request under which servers ended.
//!
//! Its content may be what ends them. Sent on as usual it would end every replica of every shard; not sent on,
//! a request that was merely there would not be served. So one send at a time finds out, and all other
//! legs wait for it.

use super::Query;
use crate::core::Choice;
use crate::core::Core;
use crate::outcome::Next;
use crate::outcome::Send;
use crate::server::Server;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::Admission;
use lentillift_fleet::quarantine::Verdict;
use std::time::Duration;

/// How one more send for a leg may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// As usual.
    Plain,
    /// As the only send, to find out.
    Canary,
    /// Not before it is known what the canary does.
    Wait,
    /// Not any more.
    Never,
}

impl Query {
    /// How the request is treated.
    ///
    /// Another host that asks for parts knows its caller: it decides, and is told of what is known here.
    pub(super) fn admit(&mut self, core: &mut Core, now: Time) -> Admission {
        let fingerprint = self.plan.fingerprint;
        if self.plan.near_only {
            return match core.verdict(fingerprint, now) {
                Verdict::Clear => Admission::Serve,
                Verdict::Suspect => Admission::Refuse(Duration::ZERO),
                Verdict::Quarantined(left) => Admission::Refuse(left),
            };
        }
        let admission = core.admit(fingerprint, now);
        let is_quarantined = matches!(core.verdict(fingerprint, now), Verdict::Quarantined(_));
        self.trial = admission == Admission::Canary && is_quarantined;
        admission
    }

    /// Sends for one leg; all others wait for what comes of it.
    pub(super) fn first_canary(
        &mut self,
        core: &mut Core,
        choices: Vec<Option<Choice>>,
        now: Time,
    ) -> Vec<Send> {
        let mut sends = Vec::new();
        for (leg, choice) in choices.into_iter().enumerate() {
            match choice {
                Some(choice) if sends.is_empty() => {
                    sends.push(self.direct(core, leg, choice.server, now, false));
                    self.mark_canary(leg, &mut sends);
                }
                Some(_) => self.legs[leg].held = true,
                None => {}
            }
        }
        sends
    }

    /// Marks the last send of a leg as a canary.
    pub(super) fn mark_canary(&mut self, leg: usize, sends: &mut [Send]) {
        if let (Some(last), Some(send)) = (self.legs[leg].tries.last_mut(), sends.last_mut()) {
            last.canary = true;
            send.canary = true;
        }
    }

    /// How one more send for a leg may be made.
    pub(super) fn way(&mut self, core: &Core, leg: usize, now: Time) -> Way {
        if self.is_heard() {
            return Way::Plain;
        }
        match core.verdict(self.plan.fingerprint, now) {
            Verdict::Clear => Way::Plain,
            Verdict::Quarantined(left) if !self.trial => {
                self.quarantined = Some(left);
                Way::Never
            }
            _ => {
                let mut tries = self.legs.iter().flat_map(|leg| &leg.tries);
                let is_out = tries.any(|sent| sent.canary);
                match is_out || !self.legs[leg].tries.is_empty() {
                    true => Way::Wait,
                    false => Way::Canary,
                }
            }
        }
    }

    /// Whether a server has replied.
    fn is_heard(&self) -> bool {
        self.legs.iter().any(|leg| leg.done.is_some())
    }

    /// Lets all legs that wait be looked at.
    pub(super) fn release(&mut self, now: Time) {
        for leg in &mut self.legs {
            if std::mem::take(&mut leg.held) && leg.done.is_none() {
                leg.hedge_at = Some(now);
            }
        }
    }

    /// Notes that a server ran the request and replied.
    pub(super) fn server_answered(&mut self, core: &mut Core, now: Time) {
        core.server_answered(self.plan.fingerprint, now);
        self.trial = false;
        self.release(now);
    }

    /// Notes that a server ended while it had the request.
    ///
    /// A server that ends under a request of which another has brought a part ends for another reason.
    pub(super) fn server_ended(
        &mut self,
        core: &mut Core,
        server: &Server,
        canary: bool,
        now: Time,
    ) {
        if !self.is_heard() {
            core.server_ended(self.plan.fingerprint, server, canary, now);
        }
    }

    /// Notes the end of a canary without a reply: the next leg that waits may find out.
    pub(super) fn canary_ended(&mut self, now: Time) {
        self.trial = false;
        self.release(now);
    }

    /// Whether as many legs have been asked for twice as an answer may lack, and nothing has replied.
    ///
    /// What is late may be ended by its request before it replies. The allowance doubles with each half
    /// of the objective, for hosts and connections that stand still.
    pub(super) fn exhausts_hedges(&self, core: &Core, now: Time) -> bool {
        if self.legs.len() < 2 || core.remembers(self.plan.fingerprint).is_none() {
            return false;
        }
        let coverage = self.plan.coverage.unwrap_or(1.0);
        let dispensable = (self.legs.len() as f64 * (1.0 - coverage)) as usize;
        let step = self.plan.route.objective / 2;
        let waited = now.saturating_sub(self.plan.arrived);
        let steps = waited.as_millis() / step.as_millis().max(1);
        let doublings = u32::try_from(steps.saturating_sub(1)).unwrap_or(u32::MAX);
        let allowed = dispensable
            .max(1)
            .saturating_mul(2_usize.saturating_pow(doublings));
        let twice = self.legs.iter().filter(|leg| leg.arrivals > 1).count();
        !self.is_heard() && twice >= allowed
    }

    /// What follows from the quarantine of the request.
    pub(super) fn give_up(&self, left: Duration) -> Next {
        let is_untouched = self.legs.iter().all(|leg| leg.is_untouched());
        match is_untouched {
            true => Next::Quarantine(left),
            false => Next::Fail,
        }
    }
}
