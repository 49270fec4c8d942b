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
const BUCKETS: u32 = 10;

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
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The budget for one service.
#[derive(Debug, Default)]
pub struct Budget {
    // INVARIANT: In the order of their numbers; none older than a window and one part.
    buckets: VecDeque<Bucket>,
}

impl Budget {
    fn current(&mut self, options: &Options, now: Time) -> &mut Bucket {
        let number = bucket_number(options, now);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + u64::from(BUCKETS) < number)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
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
        let bucket = self.current(options, now);
        bucket.repeats = bucket.repeats.saturating_sub(1);
    }

    /// Repeated sends that may still be made now.
    pub fn left(&mut self, options: &Options, extra: f64, now: Time) -> f64 {
        (self.allowed(options, extra, now) - self.repeats(options, now)).max(0.0)
    }

    /// Repeated sends within the last window, and a little longer.
    pub fn repeats(&mut self, options: &Options, now: Time) -> f64 {
        self.current(options, now);
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        f64::from(repeats)
    }

    /// Repeated sends that the requests of the last window and `extra` allow.
    pub fn allowed(&mut self, options: &Options, extra: f64, now: Time) -> f64 {
        let current = self.current(options, now).number;
        // A span that ends now begins inside the oldest part: its repeats may count, and its requests
        // may not.
        let complete = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + u64::from(BUCKETS) > current);
        let requests: u32 = complete.map(|bucket| bucket.requests).sum();
        f64::from(requests) * options.ratio + extra
    }
}

fn bucket_number(options: &Options, now: Time) -> u64 {
    let bucket = (options.window / BUCKETS).max(Duration::from_millis(1));
    (now.as_nanos() / bucket.as_nanos()) as u64
}
