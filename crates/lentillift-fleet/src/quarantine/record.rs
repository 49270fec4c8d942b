//! State of one request at one host.
//!
//! Hosts' clocks differ and messages take time, so timestamps don't decide which of two records is
//! newer. A record has a generation, which increases with each reply of a server; of two records
//! the one of the later generation applies, and two of the same generation are merged. When ages
//! decided, a suspicion and its end circulated in the fleet for ever, each made a little newer by
//! the time that it spent in transit.

use super::End;
use super::INDEFINITE;
use super::Options;
use super::ProcessId;
use super::SharedRecord;
use super::State;
use super::Verdict;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use std::time::Duration;

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    #[default]
    Open,
    Quarantined {
        /// When a canary may be sent; none once all have been.
        until: Option<Time>,
        /// Number of canaries that were sent since the quarantine began.
        trials: u32,
    },
}

/// State of one request.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Number of times that the request was cleared.
    generation: u32,
    /// Processes that ended under the request in this generation.
    // INVARIANT: All differ.
    ends: Vec<ProcessId>,
    /// Processes that ended under canaries in this generation.
    // INVARIANT: All differ.
    canary_ends: Vec<ProcessId>,
    /// When the record last changed.
    latest: Time,
    stage: Stage,
    /// Whether the record has changes that were not sent to other hosts.
    has_changes: bool,
    /// Whether other hosts know of this generation.
    is_known_elsewhere: bool,
}

impl Record {
    pub(super) fn verdict(&self, now: Time) -> Verdict {
        match self.stage {
            Stage::Open if self.ends.is_empty() => Verdict::Clear,
            Stage::Open => Verdict::Suspect,
            Stage::Quarantined { until, .. } => Verdict::Quarantined(remaining(until, now)),
        }
    }

    /// Renews a quarantine whose time has passed, if a canary may be sent; returns whether it did.
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
        self.has_changes = true;
        true
    }

    /// Records a server that ended; returns whether other hosts should be informed.
    pub(super) fn ended(
        &mut self,
        options: &Options,
        canary_ends: usize,
        end: End,
        now: Time,
    ) -> bool {
        let mut is_new = add(&mut self.ends, &[end.process], options.ends);
        if end.canary {
            let most = options.answered_canary_ends;
            is_new |= add(&mut self.canary_ends, &[end.process], most);
        }
        if is_new {
            self.latest = now;
            self.decide(options, canary_ends, now);
        }
        self.has_changes |= is_new;
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

    /// Clears the request; returns whether it was suspect or quarantined before.
    pub(super) fn clear(&mut self, now: Time) -> bool {
        if self.stage == Stage::Open && self.ends.is_empty() {
            return false;
        }
        // Other hosts need not learn of a suspicion that ended before it was sent to them.
        let is_known_elsewhere = self.is_known_elsewhere;
        self.start_generation(self.generation.saturating_add(1), now);
        self.has_changes = is_known_elsewhere;
        true
    }

    /// Starts a generation without ends.
    fn start_generation(&mut self, generation: u32, now: Time) {
        *self = Self {
            generation,
            latest: now,
            ..Self::default()
        };
    }

    pub(super) fn has_changes(&self) -> bool {
        self.has_changes
    }

    /// Merges the record of another host; returns whether that changed anything.
    pub(super) fn merge(
        &mut self,
        options: &Options,
        canary_ends: usize,
        received: &SharedRecord,
        now: Time,
    ) -> bool {
        if received.generation < self.generation {
            return false;
        }
        let was_clear = self.verdict(now) == Verdict::Clear;
        let mut changed = false;
        if received.generation > self.generation {
            self.start_generation(received.generation, now);
            changed = !was_clear;
        }
        let most = options.answered_canary_ends;
        changed |= add(&mut self.ends, &received.ends, options.ends);
        changed |= add(&mut self.canary_ends, &received.canary_ends, most);
        if let State::Quarantined { left, trials } = received.state {
            let until = left.map(|left| now + left);
            changed |= self.adopt_quarantine(until, trials);
        } else {
            self.decide(options, canary_ends, now);
        }
        if changed {
            self.latest = now;
        }
        self.has_changes |= changed;
        // The sender knows of this generation.
        self.is_known_elsewhere = true;
        changed
    }

    /// Adopts another host's quarantine if more canaries were sent in it, or if there is none here.
    fn adopt_quarantine(&mut self, until: Option<Time>, trials: u32) -> bool {
        let is_known = match self.stage {
            Stage::Quarantined { trials: own, .. } => own >= trials,
            Stage::Open => false,
        };
        if !is_known {
            self.stage = Stage::Quarantined { until, trials };
        }
        !is_known
    }

    /// Takes the flag that the record has unsent changes; the caller sends them.
    pub(super) fn take_changed(&mut self) -> bool {
        let has_changes = std::mem::replace(&mut self.has_changes, false);
        self.is_known_elsewhere |= has_changes;
        has_changes
    }

    pub(super) fn shared_record(&self, fingerprint: Fingerprint, now: Time) -> SharedRecord {
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

    /// Whether the record can be forgotten.
    pub(super) fn is_expired(&self, options: &Options, now: Time) -> bool {
        self.stage == Stage::Open && now >= self.latest + options.memory
    }

    /// Eviction order: the record with the lowest value is removed first.
    pub(super) fn eviction_rank(&self) -> (u8, Time) {
        let rank = match self.stage {
            Stage::Open if self.ends.is_empty() => 0,
            Stage::Open => 1,
            Stage::Quarantined { .. } => 2,
        };
        (rank, self.latest)
    }
}

fn remaining(until: Option<Time>, now: Time) -> Duration {
    until.map_or(INDEFINITE, |until| until.saturating_sub(now))
}

/// Adds processes that are not among `known`, up to `most` in total; returns whether any was added.
fn add(known: &mut Vec<ProcessId>, processes: &[ProcessId], most: usize) -> bool {
    let before = known.len();
    for process in processes {
        if known.len() < most && !known.contains(process) {
            known.push(*process);
        }
    }
    known.len() > before
}
