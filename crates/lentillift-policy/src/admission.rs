//! Which queries an entry takes.
//!
//! Pattern: more is asked than the backend servers can bear. Without this module each query is
//! taken, owners refuse some of its 68 shards, the other 67 have run for nothing, and hardly any
//! answer is whole. Here a query is refused as a whole before any of it runs.
//!
//! A service is ungated until queries come back with shards refused for load. Then the rate at
//! which its shards were answered is the first guess of its capacity; the rate falls after a window
//! with refusals and rises after one without, as in TCP. Within the rate:
//!
//! - classes better than the best class that suffers are not gated at all;
//! - a caller over its fair share finds the bucket empty before one below its share does;
//! - a query costs as many tokens as it has shards.
//!
//! Figures: a window of 100 ms is about the longest allowance in a rush, so that a window sees its
//! own effect. Down 10%, up 5%: about two windows in three are free of refusals. Below 2% of
//! queries with refusals there is no overload but chance.

use crate::share::Shares;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::policy::Admission as Options;
use lentillift_settings::policy::millis;
use std::cmp::Ordering;
use std::time::Duration;

/// Queries in a window from which its share of refusals means something.
const LEAST_QUERIES: u64 = 5;

/// Windows in a row with half the rate unused after which the gate opens.
const CALM_WINDOWS: u32 = 10;

/// Queries that the bucket holds at least, so that the highest floor leaves room for one.
const DEEPEST_FLOOR: f64 = 4.0;

/// Bounds of the time after which a refused caller may come back.
pub const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// A query that asks to be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Rank of its class; 0 is refused last.
    pub rank: u8,
    /// Its caller.
    pub caller: id::Caller,
    /// The caller's weight.
    pub weight: u32,
    /// Its shards.
    pub cost: u32,
}

/// What became of a query that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// Rank of its class.
    pub rank: u8,
    /// Shards that answered.
    pub answered: u32,
    /// Whether a shard was refused for load.
    pub refused: bool,
}

/// What to do about a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Take it.
    Take,
    /// Refuse it.
    Refuse {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Counts of the window under way.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    since: Time,
    queries: u64,
    refused: u64,
    answered: u64,
    /// The best class with a refusal.
    worst_off: Option<u8>,
    /// Shards of the queries that were taken.
    taken: f64,
}

/// The gate in force.
#[derive(Debug, Clone, Copy)]
struct Gate {
    /// Shards a second.
    rate: f64,
    // INVARIANT: From minus to plus the bucket's depth.
    tokens: f64,
    filled: Time,
    /// Classes from this rank on are gated.
    rank: u8,
    /// Shards of the largest query.
    cost: f64,
    calm: u32,
}

/// Admission to one service.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    window: Window,
    gate: Option<Gate>,
    shares: Shares,
}

impl Admission {
    /// Says what to do about a query.
    pub fn decide(&mut self, options: &Options, now: Time, ask: &Request) -> Decision {
        self.turn(options, now);
        let cost = f64::from(ask.cost.max(1));
        let over = self.is_over_share(now, ask, cost);
        if let Some(gate) = self.gate.as_mut().filter(|_| options.on) {
            gate.cost = gate.cost.max(cost);
            gate.fill(options, now);
            let depth = gate.depth(options);
            let floor = gate.floor(ask.rank, over) * depth;
            if gate.tokens - cost < floor {
                let missing = floor + cost - gate.tokens;
                return Decision::Refuse {
                    retry_after: come_back(missing / gate.rate),
                };
            }
            gate.tokens = (gate.tokens - cost).max(-depth);
        }
        self.window.taken += cost;
        self.shares.note(now, &ask.caller, ask.weight, cost);
        Decision::Take
    }

    /// Takes in what became of a query that was taken.
    pub fn record_completion(&mut self, options: &Options, now: Time, done: &Completion) {
        self.turn(options, now);
        let window = &mut self.window;
        window.queries += 1;
        window.answered += u64::from(done.answered);
        if done.refused {
            window.refused += 1;
            let best = window.worst_off.unwrap_or(u8::MAX).min(done.rank);
            window.worst_off = Some(best);
        }
    }

    /// Whether queries are refused at present.
    pub fn is_gated(&self) -> bool {
        self.gate.is_some()
    }

    /// Whether a caller has used more than its share of the rate lately.
    fn is_over_share(&self, now: Time, ask: &Request, cost: f64) -> bool {
        let Some(gate) = &self.gate else {
            return false;
        };
        let share = gate.rate * self.shares.share(&ask.caller);
        self.shares.rate(now, &ask.caller) + cost > share.max(cost)
    }

    /// Closes the window when its time is over, and sets the rate by it.
    fn turn(&mut self, options: &Options, now: Time) {
        let length = now.saturating_sub(self.window.since);
        if length < millis(options.window_ms) {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.since = now;
        let seconds = length.as_secs_f64();
        let refused = 100 * window.refused >= u64::from(options.refused_percent) * window.queries;
        match window.worst_off {
            Some(rank) if refused && window.queries >= LEAST_QUERIES => {
                self.tighten(options, now, rank, window.answered as f64 / seconds);
            }
            _ => self.loosen(options, window.taken / seconds),
        }
    }

    fn tighten(&mut self, options: &Options, now: Time, rank: u8, answered: f64) {
        let fall = 1.0 - f64::from(options.fall_percent) / 100.0;
        match &mut self.gate {
            Some(gate) => {
                // Below half of what was answered there is nothing to gain.
                gate.rate = (gate.rate * fall).max(answered / 2.0).max(1.0);
                gate.rank = rank;
                gate.calm = 0;
            }
            None => {
                self.gate = Some(Gate {
                    rate: answered.max(1.0),
                    tokens: 0.0,
                    filled: now,
                    rank,
                    cost: 1.0,
                    calm: 0,
                });
            }
        }
    }

    fn loosen(&mut self, options: &Options, taken: f64) {
        let Some(gate) = &mut self.gate else {
            return;
        };
        gate.rate *= 1.0 + f64::from(options.rise_percent) / 100.0;
        gate.calm = match taken < gate.rate / 2.0 {
            true => gate.calm + 1,
            false => 0,
        };
        if gate.calm >= CALM_WINDOWS {
            self.gate = None;
        }
    }
}

impl Gate {
    /// Tokens that the bucket holds: a window's worth, and enough for any query.
    fn depth(&self, options: &Options) -> f64 {
        let window = self.rate * millis(options.window_ms).as_secs_f64();
        window.max(DEEPEST_FLOOR * self.cost)
    }

    /// Least tokens that a query leaves behind, as a share of the bucket.
    fn floor(&self, rank: u8, over: bool) -> f64 {
        match (rank.cmp(&self.rank), over) {
            (Ordering::Less, _) => f64::NEG_INFINITY,
            (Ordering::Equal, false) => -0.5,
            (Ordering::Equal, true) | (Ordering::Greater, false) => 0.0,
            (Ordering::Greater, true) => 0.5,
        }
    }

    fn fill(&mut self, options: &Options, now: Time) {
        let seconds = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        let depth = self.depth(options);
        self.tokens = (self.tokens + self.rate * seconds).clamp(-depth, depth);
    }
}

fn come_back(seconds: f64) -> Duration {
    let after = Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_AFTER_BOUNDS.1);
    after.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
}
