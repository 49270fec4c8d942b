//! What is held of one request.

use super::Account;
use super::End;
use super::FOREVER;
use super::Options;
use super::Process;
use super::State;
use super::Verdict;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use std::time::Duration;

/// How far it is decided what a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
enum Stage {
    Cleared,
    #[default]
    Suspect,
    Quarantined {
        /// When a canary may be sent; none once all have been.
        until: Option<Time>,
        /// Canaries that were sent since.
        canaries: u32,
    },
}

/// What is held of one request.
#[derive(Debug, Default)]
pub(super) struct Record {
    // INVARIANT: All differ.
    ends: Vec<Process>,
    canary: bool,
    /// When a server last ended under it, or when it was cleared.
    latest: Time,
    stage: Stage,
    /// Whether others should be told.
    is_news: bool,
    /// Whether others were told.
    is_told: bool,
}

impl Record {
    pub(super) fn verdict(&self, now: Time) -> Verdict {
        match self.stage {
            Stage::Cleared => Verdict::Clear,
            Stage::Suspect if self.ends.is_empty() => Verdict::Clear,
            Stage::Suspect => Verdict::Suspect,
            Stage::Quarantined { until, .. } => Verdict::Quarantined(left(until, now)),
        }
    }

    /// Renews a quarantine that is over, if a canary may be sent.
    pub(super) fn renew(&mut self, options: &Options, now: Time) -> bool {
        let Stage::Quarantined {
            until: Some(until),
            canaries,
        } = self.stage
        else {
            return false;
        };
        if now < until {
            return false;
        }
        let canaries = canaries + 1;
        let is_last = canaries >= options.canaries;
        let hold = options.hold * 2_u32.saturating_pow(canaries);
        self.stage = Stage::Quarantined {
            until: (!is_last).then_some(now + hold),
            canaries,
        };
        self.is_news = true;
        true
    }

    /// Notes a server that ended; says whether others should be told.
    pub(super) fn ended(&mut self, options: &Options, end: End, now: Time) -> bool {
        if self.stage == Stage::Cleared {
            *self = Self::default();
        }
        self.latest = now;
        let is_new = self.add(options, &[end.process], end.canary);
        self.decide(options, now);
        self.is_news |= is_new;
        is_new
    }

    /// Adds processes that ended; says whether that changed anything.
    fn add(&mut self, options: &Options, ends: &[Process], canary: bool) -> bool {
        let known = self.ends.len();
        for process in ends {
            if self.ends.len() < options.ends && !self.ends.contains(process) {
                self.ends.push(*process);
            }
        }
        let is_first = canary && !self.canary;
        self.canary |= canary;
        self.ends.len() > known || is_first
    }

    fn decide(&mut self, options: &Options, now: Time) {
        if self.stage == Stage::Suspect && self.ends.len() >= options.ends && self.canary {
            self.stage = Stage::Quarantined {
                until: Some(now + options.hold),
                canaries: 0,
            };
        }
    }

    /// Notes that it is clear; says whether it was not before.
    pub(super) fn clear(&mut self, now: Time) -> bool {
        if self.stage == Stage::Cleared {
            return false;
        }
        self.stage = Stage::Cleared;
        self.ends.clear();
        self.canary = false;
        self.latest = now;
        // Nobody needs to know of a doubt that is over before it was told.
        self.is_news = self.is_told;
        true
    }

    pub(super) fn is_news(&self) -> bool {
        self.is_news
    }

    /// Takes in what another host holds; says whether that changed anything.
    pub(super) fn hear(&mut self, options: &Options, account: &Account, now: Time) -> bool {
        let at = now.saturating_sub(account.age);
        let changed = match account.state {
            State::Cleared => self.hear_cleared(at),
            _ if self.stage == Stage::Cleared && at <= self.latest => false,
            State::Suspect => self.hear_ends(options, account, at, now),
            State::Quarantined { left, canaries } => {
                let ends = self.hear_ends(options, account, at, now);
                let until = left.map(|left| now + left);
                self.hear_quarantine(until, canaries) || ends
            }
        };
        self.is_news |= changed;
        // Whoever told it knows it.
        self.is_told = true;
        changed
    }

    fn hear_cleared(&mut self, at: Time) -> bool {
        let is_older = at < self.latest;
        if self.stage == Stage::Cleared || is_older {
            return false;
        }
        let changed = !self.ends.is_empty();
        self.stage = Stage::Cleared;
        self.ends.clear();
        self.canary = false;
        self.latest = at;
        changed
    }

    fn hear_ends(&mut self, options: &Options, account: &Account, at: Time, now: Time) -> bool {
        if self.stage == Stage::Cleared {
            *self = Self::default();
        }
        self.latest = self.latest.max(at);
        let changed = self.add(options, &account.ends, account.canary);
        self.decide(options, now);
        changed
    }

    /// Takes over another host's quarantine if more canaries were sent in it, or there is none here.
    fn hear_quarantine(&mut self, until: Option<Time>, canaries: u32) -> bool {
        let is_known = match self.stage {
            Stage::Quarantined { canaries: own, .. } => own >= canaries,
            _ => false,
        };
        if !is_known {
            self.stage = Stage::Quarantined { until, canaries };
        }
        !is_known
    }

    /// Whether others should be told; they are from now on.
    pub(super) fn take_news(&mut self) -> bool {
        let is_news = std::mem::replace(&mut self.is_news, false);
        self.is_told |= is_news;
        is_news
    }

    pub(super) fn account(&self, fingerprint: Fingerprint, now: Time) -> Account {
        let state = match self.stage {
            Stage::Cleared => State::Cleared,
            Stage::Suspect => State::Suspect,
            Stage::Quarantined { until, canaries } => State::Quarantined {
                left: until.map(|until| until.saturating_sub(now)),
                canaries,
            },
        };
        Account {
            fingerprint,
            ends: self.ends.clone(),
            canary: self.canary,
            age: now.saturating_sub(self.latest),
            state,
        }
    }

    /// Whether it can be forgotten.
    pub(super) fn is_over(&self, options: &Options, now: Time) -> bool {
        let is_quarantined = matches!(self.stage, Stage::Quarantined { .. });
        !is_quarantined && now >= self.latest + options.memory
    }

    /// Orders records by what would be lost with them.
    pub(super) fn worth(&self) -> (u8, Time) {
        let rank = match self.stage {
            Stage::Cleared => 0,
            Stage::Suspect => 1,
            Stage::Quarantined { .. } => 2,
        };
        (rank, self.latest)
    }
}

fn left(until: Option<Time>, now: Time) -> Duration {
    until.map_or(FOREVER, |until| until.saturating_sub(now))
}
