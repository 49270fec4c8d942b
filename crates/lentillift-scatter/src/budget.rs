//! A budget of repeated sends that holds over all hosts and any window of time.
//!
//! Whatever makes requests slow or fail also makes more of them eligible for hedges and retries,
//! which would double the load just when there is no spare capacity. The operators of a backend
//! server allow a ratio of the requests plus a fixed number of repeats, over every span of a given
//! length. Each host keeps to the ratio of its own requests and to its share of the fixed number,
//! so the total holds without any messages between hosts.
//!
//! A new process does not know what the previous process of its host sent. For its first window it
//! spends only what the ratio allows, never the fixed number.

use lentillift_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets in a window; sends are counted per bucket.
const BUCKETS: u32 = 10;

/// Parameters of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeated sends allowed for each request.
    pub ratio: f64,
    /// Repeated sends allowed beyond the ratio, over all hosts together.
    pub extra: u32,
    /// Length of the window over which both limits hold.
    pub window: Duration,
}

/// Sends counted in one bucket of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The budget of repeated sends to one service.
#[derive(Debug, Default)]
pub struct Budget {
    // INVARIANT: Ordered by bucket number; none is older than one window plus one bucket.
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Returns the current bucket, dropping those that are too old.
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

    /// Counts the first send of a request.
    pub fn earn(&mut self, options: &Options, now: Time) {
        self.current(options, now).requests += 1;
    }

    /// Counts a repeated send if the budget, with `extra` on top of the ratio, allows it; false if
    /// not.
    pub fn spend(&mut self, options: &Options, extra: f64, now: Time) -> bool {
        if self.left(options, extra, now) < 1.0 {
            return false;
        }
        self.note(options, now);
        true
    }

    /// Counts a repeated send without checking the budget.
    pub fn note(&mut self, options: &Options, now: Time) {
        self.current(options, now).repeats += 1;
    }

    /// Takes back a repeated send that never reached a backend server.
    pub fn refund(&mut self, options: &Options, now: Time) {
        let bucket = self.current(options, now);
        bucket.repeats = bucket.repeats.saturating_sub(1);
    }

    /// Returns how many repeated sends are allowed now.
    pub fn left(&mut self, options: &Options, extra: f64, now: Time) -> f64 {
        (self.allowed(options, extra, now) - self.repeats(options, now)).max(0.0)
    }

    /// Returns the repeated sends of the last window plus up to one bucket.
    pub fn repeats(&mut self, options: &Options, now: Time) -> f64 {
        self.current(options, now);
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        f64::from(repeats)
    }

    /// Returns the repeated sends that the requests of the last window plus `extra` allow.
    pub fn allowed(&mut self, options: &Options, extra: f64, now: Time) -> f64 {
        let current = self.current(options, now).number;
        // A window that ends now begins inside the oldest bucket: the repeats of that bucket have
        // to count, but its requests must not.
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
