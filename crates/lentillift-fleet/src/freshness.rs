//! Until when this process may act on what it knows.
//!
//! Load pattern: a process is stopped, or its host is starved, for seconds, and wakes up with old
//! work at hand; or it is cut off while callers still reach it. Without this it would go on sending
//! work to a failure domain that was taken out meanwhile, or to a backend server that another
//! process has been given.

use lentillift_core::time::Time;
use std::time::Duration;

/// Figures of freshness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Longest time between two ticks that does not count as a pause.
    ///
    /// Ten ticks' time: a busy host delays a tick by tens of milliseconds, rarely by more.
    pub pause: Duration,
    /// Longest time without a proof that anybody is reached.
    ///
    /// Six probe periods: with one packet in ten lost, six failing in a row is one in millions.
    pub cut: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            pause: Duration::from_secs(1),
            cut: Duration::from_secs(3),
        }
    }
}

/// Until when this process may act on what it knows.
#[derive(Debug)]
pub struct Freshness {
    options: Options,
    ticked: Time,
    /// When the latest question was sent that was answered.
    proof: Option<Time>,
    /// Questions from before this time prove nothing.
    // INVARIANT: The end of the latest pause.
    awake: Time,
}

impl Freshness {
    /// Starts without any proof.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            ticked: now,
            proof: None,
            awake: now,
        }
    }

    /// Notes that time passes; returns how long the process was paused, if it was.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = now;
        if gap < self.options.pause {
            return None;
        }
        // An answer that waited in a socket through the pause tells nothing of the present. Only a
        // question that is sent from now on can prove that somebody is reached.
        self.awake = now;
        self.proof = None;
        Some(gap)
    }

    /// Notes that a question which was sent at `sent` has been answered.
    pub fn prove(&mut self, sent: Time) {
        if sent >= self.awake {
            self.proof = self.proof.max(Some(sent));
        }
    }

    /// Time since the latest question that was answered.
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.proof.unwrap_or(self.awake))
    }

    /// Until when this process may act on what it knows, unless that is renewed.
    ///
    /// Not later than a pause from the last tick: whoever looks at a clock after a pause, before
    /// this could tell it anything, finds the time over.
    pub fn until(&self) -> Time {
        match self.proof {
            Some(proof) => (proof + self.options.cut).min(self.ticked + self.options.pause),
            None => Time::ZERO,
        }
    }
}
