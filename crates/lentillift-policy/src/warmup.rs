//! Warm-up of a cold backend server.
//!
//! Pattern: a backend server comes back from a restart with empty caches and can bear one request
//! at a time. Without this module it gets its full share at once, falls over, and comes back cold.
//! The limit starts at the cold limit and rises by one for every [`Options::successes`] requests
//! that succeed, so that a server proves each step before the next. The owner sends a server all
//! its work, so that this one limit holds for all entries together.
//!
//! Figures: 20 successes at a time are about 100 ms of work at 5 ms each, and the whole ramp of a
//! server with 2 slots. A reply that is slow against the baseline proves nothing and counts for
//! nothing.

use lentillift_core::time::Time;
use lentillift_settings::policy::Warmup as Options;
use lentillift_settings::policy::millis;

/// A sign that a backend server has gone cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Sign {
    /// Its connection was refused, reset or timed out.
    Connection,
    /// It is another incarnation than the one that answered before.
    Incarnation,
    /// Replies take far longer than its baseline.
    Latency,
    /// It says so itself.
    Report,
}

/// Whether a success counts towards the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The limit stays.
    Same,
    /// The limit rose by one.
    Rose,
}

/// The warm-up state of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warmup {
    cold: u32,
    warm: u32,
    // INVARIANT: Between `cold` and `warm`.
    limit: u32,
    successes: u32,
    /// Replies in a row with the latency of a cold start.
    jumps: u32,
    /// Since when the server has said without a break that it is cold.
    reported: Option<Time>,
}

impl Warmup {
    /// Starts cold, as any server is at first contact.
    pub fn new(options: &Options, cold: u32, warm: u32) -> Self {
        let cold = cold.min(warm);
        Self {
            cold,
            warm,
            limit: if options.on { cold } else { warm },
            successes: 0,
            jumps: 0,
            reported: None,
        }
    }

    /// How many requests may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the server has its full share.
    pub fn is_warm(&self) -> bool {
        self.limit == self.warm
    }

    /// Goes on where another owner has left off.
    pub fn resume(&mut self, limit: u32) {
        self.limit = limit.clamp(self.cold, self.warm);
    }

    /// Takes in newly published limits; a higher one has to be earned.
    pub fn set_limits(&mut self, options: &Options, cold: u32, warm: u32) {
        if (self.cold, self.warm) != (cold.min(warm), warm) {
            *self = Self::new(options, cold, warm);
        }
    }

    /// Notes a reply that took `percent` of the baseline; says if its latency is a sign.
    pub fn note_latency(&mut self, options: &Options, percent: u32) -> Option<Sign> {
        if percent < options.jump_percent {
            self.jumps = 0;
            return None;
        }
        self.jumps += 1;
        let sign = self.jumps >= options.jump_replies;
        sign.then_some(Sign::Latency)
    }

    /// Notes whether a reply's report said that the server is cold; says if that is a sign.
    ///
    /// A server that says so for longer than [`Options::report_ms`] is no longer believed against
    /// its own results, or a false report would hold it down for good.
    pub fn note_report(&mut self, options: &Options, now: Time, cold: bool) -> Option<Sign> {
        if !cold {
            self.reported = None;
            return None;
        }
        let since = *self.reported.get_or_insert(now);
        let believed = now.saturating_sub(since) < millis(options.report_ms);
        believed.then_some(Sign::Report)
    }

    /// Notes a request that succeeded in good time.
    pub fn success(&mut self, options: &Options) -> Step {
        if !options.on {
            self.limit = self.warm;
        }
        if self.is_warm() {
            return Step::Same;
        }
        self.successes += 1;
        if self.successes < options.successes {
            return Step::Same;
        }
        self.successes = 0;
        self.limit += 1;
        Step::Rose
    }

    /// Goes cold; says whether that lowered the limit.
    pub fn chill(&mut self, options: &Options) -> bool {
        if !options.on {
            return false;
        }
        let before = self.limit;
        self.limit = self.cold;
        self.successes = 0;
        self.limit < before
    }
}
