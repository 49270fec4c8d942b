//! Deadline until which this process may act on its state.
//!
//! Scenario: a process is stopped, or its host is starved, for seconds, and resumes with old work
//! at hand; or it is isolated while callers still reach it. Without the deadline it would go on
//! sending work to a failure domain that was taken out of service meanwhile, or to a backend server
//! that another process now holds.

use lentillift_core::time::Time;
use std::time::Duration;

/// Parameters of the freshness deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Longest time between two ticks that does not count as a pause.
    ///
    /// Ten tick periods: a busy host delays a tick by tens of milliseconds, rarely by more.
    pub max_tick_gap: Duration,
    /// Longest time without proof that any peer or the service can be reached.
    ///
    /// Six probe periods: with one packet in ten lost, six failures in a row happen once in
    /// millions of cases.
    pub max_proof_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_tick_gap: Duration::from_secs(1),
            max_proof_age: Duration::from_secs(3),
        }
    }
}

/// Deadline until which this process may act on its state.
#[derive(Debug)]
pub struct Freshness {
    options: Options,
    last_tick: Time,
    /// When the latest request that was answered had been sent.
    proof: Option<Time>,
    /// Answers to requests sent before this time prove nothing.
    // INVARIANT: The end of the latest pause.
    resumed: Time,
}

impl Freshness {
    /// Starts without any proof.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            last_tick: now,
            proof: None,
            resumed: now,
        }
    }

    /// Records that time has passed; returns how long the process was paused, if it was.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < self.options.max_tick_gap {
            return None;
        }
        // An answer that waited in a socket during the pause says nothing about the present. Only a
        // request that is sent from now on can prove that somebody can be reached.
        self.resumed = now;
        self.proof = None;
        Some(gap)
    }

    /// Records that a request sent at `sent` has been answered.
    pub fn prove(&mut self, sent: Time) {
        if sent >= self.resumed {
            self.proof = self.proof.max(Some(sent));
        }
    }

    /// Time since the latest answered request was sent.
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.proof.unwrap_or(self.resumed))
    }

    /// Deadline until which this process may act on its state, unless it is renewed.
    ///
    /// It is at most one allowed tick gap after the last tick: code that reads the clock right
    /// after a pause, before any tick could detect the pause, finds the deadline passed.
    pub fn deadline(&self) -> Time {
        match self.proof {
            Some(proof) => {
                (proof + self.options.max_proof_age).min(self.last_tick + self.options.max_tick_gap)
            }
            None => Time::ZERO,
        }
    }
}
