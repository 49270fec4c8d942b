//! Warm-up (slow start) of a cold backend server.
//!
//! Pattern: a backend server restarts with empty caches and can handle only one request at a time.
//! Without this module it gets its full share at once, is overloaded, and restarts cold again.
//! The concurrency limit starts at the cold limit and rises by one for every
//! [`Options::successes`] requests that succeed, so that the server shows at each step that it can
//! handle the load. All work for a server goes through its owner, so this one limit holds for all
//! entries together.
//!
//! Defaults: 20 successes are about 100 ms of work at 5 ms each; for a server with 2 slots that one
//! step is the whole ramp. A reply that is slow against the baseline shows nothing and is not
//! counted.

use lentillift_core::time::Time;
use lentillift_settings::policy::Warmup as Options;
use lentillift_settings::policy::millis;

/// Evidence that a backend server has gone cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdSignal {
    /// Its connection was refused, reset or timed out.
    Connection,
    /// Its incarnation differs from that of the last reply.
    Incarnation,
    /// Several replies in a row took far longer than its baseline.
    Latency,
    /// Its own report says that it is cold.
    Report,
}

/// Effect of a success on the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The limit stays.
    Same,
    /// The limit rose by one.
    Rose,
}

/// The warm-up state of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warmup {
    cold_limit: u32,
    warm_limit: u32,
    // INVARIANT: Between `cold_limit` and `warm_limit`.
    limit: u32,
    /// Successes since the limit last changed.
    successes: u32,
    /// Consecutive replies with the latency of a cold start.
    latency_jumps: u32,
    /// Start of the unbroken series of reports that say that the server is cold.
    reported_since: Option<Time>,
}

impl Warmup {
    /// Starts cold, because any server may be cold at first contact.
    pub fn new(options: &Options, cold_limit: u32, warm_limit: u32) -> Self {
        let cold_limit = cold_limit.min(warm_limit);
        Self {
            cold_limit,
            warm_limit,
            limit: if options.on { cold_limit } else { warm_limit },
            successes: 0,
            latency_jumps: 0,
            reported_since: None,
        }
    }

    /// How many requests may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the limit has reached the warm limit.
    pub fn is_warm(&self) -> bool {
        self.limit == self.warm_limit
    }

    /// Continues from the limit that the previous owner had reached.
    pub fn resume(&mut self, limit: u32) {
        self.limit = limit.clamp(self.cold_limit, self.warm_limit);
    }

    /// Applies newly published limits; when they differ, the warm-up restarts from cold.
    pub fn set_limits(&mut self, options: &Options, cold_limit: u32, warm_limit: u32) {
        if (self.cold_limit, self.warm_limit) != (cold_limit.min(warm_limit), warm_limit) {
            *self = Self::new(options, cold_limit, warm_limit);
        }
    }

    /// Records a reply whose latency was `percent` of the baseline; returns a signal once
    /// [`Options::jump_replies`] in a row were at [`Options::jump_percent`] or above.
    pub fn record_latency(&mut self, options: &Options, percent: u32) -> Option<ColdSignal> {
        if percent < options.jump_percent {
            self.latency_jumps = 0;
            return None;
        }
        self.latency_jumps += 1;
        let is_signal = self.latency_jumps >= options.jump_replies;
        is_signal.then_some(ColdSignal::Latency)
    }

    /// Records whether a reply's report said that the server is cold; returns a signal if it did.
    ///
    /// Reports that say so without a break for longer than [`Options::report_ms`] are ignored:
    /// a false report would otherwise keep the server at its cold limit for ever, whatever its
    /// results.
    pub fn record_report(
        &mut self,
        options: &Options,
        now: Time,
        cold: bool,
    ) -> Option<ColdSignal> {
        if !cold {
            self.reported_since = None;
            return None;
        }
        let since = *self.reported_since.get_or_insert(now);
        let is_signal = now.saturating_sub(since) < millis(options.report_ms);
        is_signal.then_some(ColdSignal::Report)
    }

    /// Records a request that succeeded without a slow reply.
    pub fn record_success(&mut self, options: &Options) -> Change {
        if !options.on {
            self.limit = self.warm_limit;
        }
        if self.is_warm() {
            return Change::Same;
        }
        self.successes += 1;
        if self.successes < options.successes {
            return Change::Same;
        }
        self.successes = 0;
        self.limit += 1;
        Change::Rose
    }

    /// Resets the limit to the cold limit; returns whether that lowered it.
    pub fn reset_to_cold(&mut self, options: &Options) -> bool {
        if !options.on {
            return false;
        }
        let before = self.limit;
        self.limit = self.cold_limit;
        self.successes = 0;
        self.limit < before
    }
}
