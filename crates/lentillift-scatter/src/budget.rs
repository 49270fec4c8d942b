//! A budget of repeated sends that holds over all hosts and any window of time.
//!
//! Pattern: whatever makes requests slow or fail makes more of them look worth repeating, and hedges
//! and retries double the load just when there is none to spare. A backend server's operators allow
//! a share of the requests and a fixed number besides, over every span of a given length. Each host
//! keeps to the share of its own requests and to its part of the fixed number, so the sum holds
//! without messages.
//!
//! When the budget is scarce it goes first to what decides whether there is an answer at all. Pattern:
//! half of the backend servers turn most requests away, each search lacks a few shards, and there is
//! a repeat for one shard in four. Spent on whichever came first, half of the searches lack one shard
//! too many and fail, while others are complete that need not be.
//!
//! A process that starts has no memory of what the former one of its host sent; for one window it
//! spends only the share, never the fixed number.

use crate::share::Share;
use lentillift_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Parts into which a window is divided; sends are counted by part.
const PARTS: u32 = 10;

/// Figures of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beyond that, over all hosts.
    pub extra: u32,
    /// Length of the spans over which both hold.
    pub window: Duration,
}

/// What a repeated send is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Without it there may be no answer.
    Answer,
    /// It makes an answer more complete.
    Part,
}

/// Part of the budget that may go into making answers more complete; the rest is kept for answers
/// that would fail. On calm days repeats take a quarter of the budget.
const PART_SHARE: f64 = 0.5;

/// What was sent in one part of the window.
#[derive(Debug, Clone, Copy)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The budget for one service.
#[derive(Debug, Default)]
pub struct Budget {
    // INVARIANT: In the order of their numbers; none older than a window and one part.
    parts: VecDeque<Part>,
}

impl Budget {
    fn current(&mut self, options: &Options, now: Time) -> &mut Part {
        let number = number(options, now);
        while self
            .parts
            .front()
            .is_some_and(|part| part.number + u64::from(PARTS) < number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    /// Notes the first send of a request.
    pub fn earn(&mut self, options: &Options, now: Time) {
        self.current(options, now).requests += 1;
    }

    /// Pays for a repeated send, if the budget allows.
    pub fn spend(&mut self, options: &Options, share: &Share, now: Time, purpose: Purpose) -> bool {
        if !self.allows(options, share, now, purpose) {
            return false;
        }
        self.current(options, now).repeats += 1;
        true
    }

    /// Takes back a repeated send that never reached a backend server.
    pub fn refund(&mut self, options: &Options, now: Time) {
        let part = self.current(options, now);
        part.repeats = part.repeats.saturating_sub(1);
    }

    /// Whether one more repeated send is within the bounds.
    pub fn allows(
        &mut self,
        options: &Options,
        share: &Share,
        now: Time,
        purpose: Purpose,
    ) -> bool {
        f64::from(1 + self.repeats(options, now)) <= self.usable(options, share, now, purpose)
    }

    /// Repeated sends that may still be made now, if they decide whether there is an answer.
    pub fn left(&mut self, options: &Options, share: &Share, now: Time) -> f64 {
        let usable = self.usable(options, share, now, Purpose::Answer);
        (usable - f64::from(self.repeats(options, now))).max(0.0)
    }

    fn repeats(&mut self, options: &Options, now: Time) -> u32 {
        self.current(options, now);
        self.parts.iter().map(|part| part.repeats).sum()
    }

    fn usable(&mut self, options: &Options, share: &Share, now: Time, purpose: Purpose) -> f64 {
        let current = self.current(options, now).number;
        // A span that ends now begins inside the oldest part: its repeats may count, and its requests
        // may not.
        let whole = self
            .parts
            .iter()
            .filter(|part| part.number + u64::from(PARTS) > current);
        let requests: u32 = whole.map(|part| part.requests).sum();
        let extra = match share.is_settled(now, options.window) {
            true => share.of(options.extra),
            false => 0,
        };
        let allowed = f64::from(requests) * options.ratio + f64::from(extra);
        match purpose {
            Purpose::Answer => allowed,
            Purpose::Part => allowed * PART_SHARE,
        }
    }
}

fn number(options: &Options, now: Time) -> u64 {
    let part = (options.window / PARTS).max(Duration::from_millis(1));
    (now.as_nanos() / part.as_nanos()) as u64
}
