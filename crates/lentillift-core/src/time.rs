//! Time as the decisions see it.

use std::time::Duration;
use std::time::Instant;

/// Monotonic time since an epoch that the process chose.
///
/// Decisions take this in place of [`Instant`] because tests must be able to make one from nothing.
pub type Time = Duration;

/// Monotonic clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Instant,
}

impl Clock {
    /// Starts a clock whose epoch is now.
    pub fn start() -> Self {
        Self {
            epoch: Instant::now(),
        }
    }

    /// Time since the epoch.
    pub fn now(&self) -> Time {
        self.epoch.elapsed()
    }
}
