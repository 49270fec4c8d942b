//! Monotonic time that can be simulated.

use std::time::Duration;
use std::time::Instant;

/// Monotonic time, as the duration since the start of a [`Clock`].
///
/// Code that depends on time takes this in place of [`Instant`], because tests can create any value
/// of it without a clock.
pub type Time = Duration;

/// Monotonic clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            epoch: Instant::now(),
        }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Time {
        self.epoch.elapsed()
    }
}
