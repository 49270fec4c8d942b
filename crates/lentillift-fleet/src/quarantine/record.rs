//! What is held of one request.
//!
//! Hosts' clocks differ and messages take time, so what is newer is not told by times. A record has a generation,
//! which rises with each reply of a server; of two accounts the one of the later generation holds, and
//! two of the same generation are joined. Told by ages, a doubt and its end followed each other round the fleet
//! for ever, each a little newer by the time that it took on its way.

use super::End;
use super::FOREVER;
use super::Options;
use super::ProcessId;
use super::SharedRecord;
use super::State;
use super::Verdict;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use std::time::Duration;

/// Whether it is decided what a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    #[default]
    Open,
    Quarantined {
        /// When a canary may be sent; none once all have been.
        until: Option<Time>,
        /// Canaries that were sent since.
        trials: u32,
    },
}

/// What is held of one request.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Times that it was cleared.
    generation: u32,
    /// Processes that ended under it in this generation.
    // INVARIANT: All differ.
    ends: Vec<ProcessId>,
    /// Those under canaries.
    // INVARIANT: All differ.
    canary_ends: Vec<ProcessId>,
    /// When something last changed.
    latest: Time,
    stage: Stage,
    /// Whether others should be told.
    is_news: bool,
    /// Whether others know of this generation.
    is_told: bool,
}

impl Record {
    pub(super) fn verdict(&self, now: Time) -> Verdict {
        match self.stage {
            Stage::Open if self.ends.is_empty() => Verdict::Clear,
            Stage::Open => Verdict::Suspect,
            Stage::Quarantined { until, .. } => Verdict::Quarantined(left(until, now)),
        }
    }

    /// Renews a quarantine that is over, if a canary may be sent.
    pub(super) fn renew(&mut self, options: &Options, now: Time) -> bool {
        let Stage::Quarantined {
            until: Some(until),
            trials,
        } = self.stage
        else {
            return false;
        };
        if now < until {
            return false;
        }
        let trials = trials + 1;
        let is_last = trials >= options.trials;
        let hold = options.hold * 2_u32.saturating_pow(trials);
        self.stage = Stage::Quarantined {
            until: (!is_last).then_some(now + hold),
            trials,
        };
        self.is_news = true;
        true
    }

    /// Notes a server that ended; says whether others should be told.
    pub(super) fn ended(
        &mut self,
        options: &Options,
        canary_ends: usize,
        end: End,
        now: Time,
    ) -> bool {
        let mut is_new = add(&mut self.ends, &[end.process], options.ends);
        if end.canary {
            let most = options.proven_canary_ends;
            is_new |= add(&mut self.canary_ends, &[end.process], most);
        }
        if is_new {
            self.latest = now;
            self.decide(options, canary_ends, now);
        }
        self.is_news |= is_new;
        is_new
    }

    fn decide(&mut self, options: &Options, canary_ends: usize, now: Time) {
        let is_enough = self.ends.len() >= options.ends && self.canary_ends.len() >= canary_ends;
        if self.stage == Stage::Open && is_enough {
            self.stage = Stage::Quarantined {
                until: Some(now + options.hold),
                trials: 0,
            };
        }
    }

    /// Notes that it is clear; says whether it was not before.
    pub(super) fn clear(&mut self, now: Time) -> bool {
        if self.stage == Stage::Open && self.ends.is_empty() {
            return false;
        }
        // Nobody needs to know of a doubt that is over before it was told.
        let is_told = self.is_told;
        self.enter(self.generation.saturating_add(1), now);
        self.is_news = is_told;
        true
    }

    /// Starts a generation without ends.
    fn enter(&mut self, generation: u32, now: Time) {
        *self = Self {
            generation,
            latest: now,
            ..Self::default()
        };
    }

    pub(super) fn is_news(&self) -> bool {
        self.is_news
    }

    /// Takes in what another host holds; says whether that changed anything.
    pub(super) fn hear(
        &mut self,
        options: &Options,
        canary_ends: usize,
        account: &SharedRecord,
        now: Time,
    ) -> bool {
        if account.generation < self.generation {
            return false;
        }
        let was_clear = self.verdict(now) == Verdict::Clear;
        let mut changed = false;
        if account.generation > self.generation {
            self.enter(account.generation, now);
            changed = !was_clear;
        }
        let most = options.proven_canary_ends;
        changed |= add(&mut self.ends, &account.ends, options.ends);
        changed |= add(&mut self.canary_ends, &account.canary_ends, most);
        if let State::Quarantined { left, trials } = account.state {
            let until = left.map(|left| now + left);
            changed |= self.hear_quarantine(until, trials);
        } else {
            self.decide(options, canary_ends, now);
        }
        if changed {
            self.latest = now;
        }
        self.is_news |= changed;
        // Whoever told it knows it.
        self.is_told = true;
        changed
    }

    /// Takes over another host's quarantine if more canaries were sent in it, or there is none here.
    fn hear_quarantine(&mut self, until: Option<Time>, trials: u32) -> bool {
        let is_known = match self.stage {
            Stage::Quarantined { trials: own, .. } => own >= trials,
            Stage::Open => false,
        };
        if !is_known {
            self.stage = Stage::Quarantined { until, trials };
        }
        !is_known
    }

    /// Whether others should be told; they are from now on.
    pub(super) fn take_news(&mut self) -> bool {
        let is_news = std::mem::replace(&mut self.is_news, false);
        self.is_told |= is_news;
        is_news
    }

    pub(super) fn account(&self, fingerprint: Fingerprint, now: Time) -> SharedRecord {
        let state = match self.stage {
            Stage::Open if self.ends.is_empty() => State::Cleared,
            Stage::Open => State::Suspect,
            Stage::Quarantined { until, trials } => State::Quarantined {
                left: until.map(|until| until.saturating_sub(now)),
                trials,
            },
        };
        SharedRecord {
            fingerprint,
            generation: self.generation,
            ends: self.ends.clone(),
            canary_ends: self.canary_ends.clone(),
            age: now.saturating_sub(self.latest),
            state,
        }
    }

    /// Whether it can be forgotten.
    pub(super) fn is_over(&self, options: &Options, now: Time) -> bool {
        self.stage == Stage::Open && now >= self.latest + options.memory
    }

    /// Orders records by what would be lost with them.
    pub(super) fn worth(&self) -> (u8, Time) {
        let rank = match self.stage {
            Stage::Open if self.ends.is_empty() => 0,
            Stage::Open => 1,
            Stage::Quarantined { .. } => 2,
        };
        (rank, self.latest)
    }
}

fn left(until: Option<Time>, now: Time) -> Duration {
    until.map_or(FOREVER, |until| until.saturating_sub(now))
}

/// Adds processes that are not among `known`, up to `most`; says whether there were any.
fn add(known: &mut Vec<ProcessId>, processes: &[ProcessId], most: usize) -> bool {
    let before = known.len();
    for process in processes {
        if known.len() < most && !known.contains(process) {
            known.push(*process);
        }
    }
    known.len() > before
}
