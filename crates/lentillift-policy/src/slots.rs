//! Adaptive concurrency limit of a warm backend server.
//!
//! Pattern: a backend server slows down under work that its load report does not show. Without
//! this module it keeps its published number of slots, each request takes longer, and callers queue
//! behind it. The published limit is the ceiling. Replies that are slow against the server's own
//! baseline lower the limit by one, down to one; quick replies raise it again. Reported load never
//! moves the limit, because it may be too high or too low.
//!
//! Defaults: with 2 or 3 slots, one is the smallest possible step. With exponential service times,
//! one ordinary reply in four takes twice the median or longer; eight slow replies more than quick
//! ones then happen by chance once in some ten thousand replies.

use lentillift_settings::policy::Slots as Options;

/// Quick replies that one slow reply cancels out in the count towards raising the limit.
const QUICK_PER_SLOW: u32 = 3;

/// Effect of a reply on the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Same,
    /// The limit fell by one.
    Fell,
    /// The limit rose by one.
    Rose,
}

/// The adaptive concurrency limit of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slots {
    ceiling: u32,
    // INVARIANT: From 1 to `ceiling`, or 0 with a ceiling of 0.
    limit: u32,
    /// Slow replies less quick ones, not below 0.
    slow: u32,
    /// Quick replies less [`QUICK_PER_SLOW`] for each slow one, not below 0.
    quick: u32,
}

impl Slots {
    /// Starts at the published limit.
    pub fn new(ceiling: u32) -> Self {
        Self {
            ceiling,
            limit: ceiling,
            slow: 0,
            quick: 0,
        }
    }

    /// How many requests may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Applies the published limit; when it differs, the limit restarts from there.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        if ceiling != self.ceiling {
            *self = Self::new(ceiling);
        }
    }

    /// Records a reply whose latency was `percent` of the server's baseline.
    pub fn record(&mut self, options: &Options, percent: u32) -> Change {
        if !options.on {
            self.limit = self.ceiling;
            return Change::Same;
        }
        match percent > options.slow_percent {
            true => self.record_slow(options),
            false => self.record_quick(options),
        }
    }

    fn record_slow(&mut self, options: &Options) -> Change {
        self.quick = self.quick.saturating_sub(QUICK_PER_SLOW);
        self.slow += 1;
        if self.slow < options.slow_replies {
            return Change::Same;
        }
        self.slow = 0;
        if self.limit <= 1 {
            return Change::Same;
        }
        self.limit -= 1;
        Change::Fell
    }

    fn record_quick(&mut self, options: &Options) -> Change {
        self.slow = self.slow.saturating_sub(1);
        if self.limit == self.ceiling {
            return Change::Same;
        }
        self.quick += 1;
        if self.quick < options.quick_replies {
            return Change::Same;
        }
        self.quick = 0;
        self.limit += 1;
        Change::Rose
    }
}
