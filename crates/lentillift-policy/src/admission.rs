//! Admission control: which queries an entry accepts.
//!
//! Pattern: more queries arrive than the backend servers can handle. Without this module each query
//! is accepted, owners refuse some of its 68 shards, the work of the other 67 is wasted, and hardly
//! any answer is complete. With it, a query is refused as a whole before any of it runs.
//!
//! A service has no rate limit until queries come back with shards that were refused for load. The
//! rate at which its shards were answered is then the first estimate of its capacity. After a
//! window with refusals the rate falls, after one without it rises, as in TCP congestion control.
//! Within the rate, which a token bucket enforces:
//!
//! - classes better than the best class with a refusal are not limited at all;
//! - a caller over its fair share finds the bucket empty before one below its share does;
//! - a query costs as many tokens as it has shards.
//!
//! Defaults: a window of 100 ms is about the longest allowance during a burst, so that a window
//! sees the effect of its own rate. With 10% down and 5% up, about two windows in three are free of
//! refusals. Refusals for less than 2% of the queries are chance, not overload.

use crate::share::Shares;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::policy::Admission as Options;
use lentillift_settings::policy::millis;
use std::cmp::Ordering;
use std::time::Duration;

/// Queries in a window below which its share of refusals is not significant.
const MIN_QUERIES: u64 = 5;

/// Consecutive windows with half the rate unused after which the rate limit is removed.
const CALM_WINDOWS: u32 = 10;

/// Minimum capacity of the bucket in queries; the highest floor then leaves tokens for a query.
const MIN_CAPACITY_QUERIES: f64 = 4.0;

/// Minimum and maximum of the `Retry-After` time in a refusal.
pub const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// A query that requests admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Rank of its class; 0 is refused last.
    pub rank: u8,
    /// The caller whose share it counts towards.
    pub caller: id::Caller,
    /// The caller's weight; 0 counts as 1.
    pub weight: u32,
    /// Number of its shards; 0 counts as 1.
    pub cost: u32,
}

/// Result of an admitted query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Rank of its class.
    pub rank: u8,
    /// Number of shards that answered.
    pub answered: u32,
    /// Whether a shard was refused for load.
    pub refused: bool,
}

/// What to do with a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Admit it.
    Take,
    /// Refuse it.
    Refuse {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Counts of the current window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    since: Time,
    /// Queries that were completed.
    queries: u64,
    /// Completed queries with a shard that was refused for load.
    refused: u64,
    /// Shards that answered.
    answered: u64,
    /// Rank of the best class with a refusal.
    best_refused_rank: Option<u8>,
    /// Shards of the queries that were admitted.
    admitted: f64,
}

/// The rate limit of a service: a token bucket whose tokens are shards.
#[derive(Debug, Clone, Copy)]
struct RateLimit {
    /// Shards per second.
    rate: f64,
    // INVARIANT: From minus to plus the bucket's capacity.
    tokens: f64,
    filled_at: Time,
    /// Classes from this rank on are limited.
    rank: u8,
    /// Shards of the largest query so far.
    max_cost: f64,
    /// Consecutive windows with half the rate unused.
    calm_windows: u32,
}

/// Admission control of one service.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    window: Window,
    limit: Option<RateLimit>,
    shares: Shares,
}

impl Admission {
    /// Decides whether to admit a query, and counts it if so.
    pub fn decide(&mut self, options: &Options, now: Time, request: &Request) -> Decision {
        self.update_window(options, now);
        let cost = f64::from(request.cost.max(1));
        let over_share = self.is_over_share(now, request, cost);
        if let Some(limit) = self.limit.as_mut().filter(|_| options.on) {
            limit.max_cost = limit.max_cost.max(cost);
            limit.fill(options, now);
            let capacity = limit.capacity(options);
            let floor = limit.floor(request.rank, over_share) * capacity;
            if limit.tokens - cost < floor {
                let missing = floor + cost - limit.tokens;
                return Decision::Refuse {
                    retry_after: retry_after(missing / limit.rate),
                };
            }
            limit.tokens = (limit.tokens - cost).max(-capacity);
        }
        self.window.admitted += cost;
        self.shares
            .record(now, &request.caller, request.weight, cost);
        Decision::Take
    }

    /// Records the result of an admitted query.
    pub fn record_completion(&mut self, options: &Options, now: Time, completion: &Completion) {
        self.update_window(options, now);
        let window = &mut self.window;
        window.queries += 1;
        window.answered += u64::from(completion.answered);
        if completion.refused {
            window.refused += 1;
            let best = window
                .best_refused_rank
                .unwrap_or(u8::MAX)
                .min(completion.rank);
            window.best_refused_rank = Some(best);
        }
    }

    /// Whether a rate limit is in force.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether a caller has recently used more than its share of the rate.
    fn is_over_share(&self, now: Time, request: &Request, cost: f64) -> bool {
        let Some(limit) = &self.limit else {
            return false;
        };
        let share = limit.rate * self.shares.share(&request.caller);
        self.shares.rate(now, &request.caller) + cost > share.max(cost)
    }

    /// Starts a new window once the current one is over, and adjusts the rate by its counts.
    fn update_window(&mut self, options: &Options, now: Time) {
        let length = now.saturating_sub(self.window.since);
        if length < millis(options.window_ms) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.since = now;
        let seconds = length.as_secs_f64();
        let overloaded =
            100 * window.refused >= u64::from(options.refused_percent) * window.queries;
        match window.best_refused_rank {
            Some(rank) if overloaded && window.queries >= MIN_QUERIES => {
                self.lower_rate(options, now, rank, window.answered as f64 / seconds);
            }
            _ => self.raise_rate(options, window.admitted / seconds),
        }
    }

    fn lower_rate(&mut self, options: &Options, now: Time, rank: u8, answered_rate: f64) {
        let fall = 1.0 - f64::from(options.fall_percent) / 100.0;
        match &mut self.limit {
            Some(limit) => {
                // A rate below half of what was answered gains nothing.
                limit.rate = (limit.rate * fall).max(answered_rate / 2.0).max(1.0);
                limit.rank = rank;
                limit.calm_windows = 0;
            }
            None => {
                self.limit = Some(RateLimit {
                    rate: answered_rate.max(1.0),
                    tokens: 0.0,
                    filled_at: now,
                    rank,
                    max_cost: 1.0,
                    calm_windows: 0,
                });
            }
        }
    }

    fn raise_rate(&mut self, options: &Options, admitted_rate: f64) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.rate *= 1.0 + f64::from(options.rise_percent) / 100.0;
        limit.calm_windows = match admitted_rate < limit.rate / 2.0 {
            true => limit.calm_windows + 1,
            false => 0,
        };
        if limit.calm_windows >= CALM_WINDOWS {
            self.limit = None;
        }
    }
}

impl RateLimit {
    /// Capacity of the bucket in tokens: one window's worth, and enough for any query.
    fn capacity(&self, options: &Options) -> f64 {
        let window = self.rate * millis(options.window_ms).as_secs_f64();
        window.max(MIN_CAPACITY_QUERIES * self.max_cost)
    }

    /// Minimum number of tokens that a query must leave, as a fraction of the capacity.
    fn floor(&self, rank: u8, over_share: bool) -> f64 {
        match (rank.cmp(&self.rank), over_share) {
            (Ordering::Less, _) => f64::NEG_INFINITY,
            (Ordering::Equal, false) => -0.5,
            (Ordering::Equal, true) | (Ordering::Greater, false) => 0.0,
            (Ordering::Greater, true) => 0.5,
        }
    }

    fn fill(&mut self, options: &Options, now: Time) {
        let seconds = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let capacity = self.capacity(options);
        self.tokens = (self.tokens + self.rate * seconds).clamp(-capacity, capacity);
    }
}

fn retry_after(seconds: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_AFTER_BOUNDS.1);
    wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
}
