//! A budget of repeated sends that holds over all hosts and any window of time.
//!
//! Pattern: whatever makes requests slow or fail makes more of them look worth repeating, and hedges
//! and retries double the load just when there is none to spare. A backend server's operators allow
//! a share of the requests and a fixed number besides, over every span of a given length. Each host
//! keeps to the share of its own requests and to its part of the fixed number, so the sum holds
//! without messages.
//!
//! A process that starts has no memory of what the former one of its host sent; for one window it
//! spends only the share, never the fixed number.

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

    /// Pays for a repeated send, if the budget allows with `extra` beyond what requests earn.
    pub fn spend(&mut self, options: &Options, extra: f64, now: Time) -> bool {
        if self.left(options, extra, now) < 1.0 {
            return false;
        }
        self.note(options, now);
        true
    }

    /// Notes a repeated send that was paid for.
    pub fn note(&mut self, options: &Options, now: Time) {
        self.current(options, now).repeats += 1;
    }

    /// Takes back a repeated send that never reached a backend server.
    pub fn refund(&mut self, options: &Options, now: Time) {
        let part = self.current(options, now);
        part.repeats = part.repeats.saturating_sub(1);
    }

    /// Repeated sends that may still be made now.
    pub fn left(&mut self, options: &Options, extra: f64, now: Time) -> f64 {
        (self.allowed(options, extra, now) - self.repeats(options, now)).max(0.0)
    }

    /// Repeated sends within the last window, and a little longer.
    pub fn repeats(&mut self, options: &Options, now: Time) -> f64 {
        self.current(options, now);
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        f64::from(repeats)
    }

    /// Repeated sends that the requests of the last window and `extra` allow.
    pub fn allowed(&mut self, options: &Options, extra: f64, now: Time) -> f64 {
        let current = self.current(options, now).number;
        // A span that ends now begins inside the oldest part: its repeats may count, and its requests
        // may not.
        let whole = self
            .parts
            .iter()
            .filter(|part| part.number + u64::from(PARTS) > current);
        let requests: u32 = whole.map(|part| part.requests).sum();
        f64::from(requests) * options.ratio + extra
    }
}

fn number(options: &Options, now: Time) -> u64 {
    let part = (options.window / PARTS).max(Duration::from_millis(1));
    (now.as_nanos() / part.as_nanos()) as u64
}
