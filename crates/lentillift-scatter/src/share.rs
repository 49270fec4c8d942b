//! This host's share of what all hosts may do together.
//!
//! Pattern: a bound of the whole fleet has to hold though no host counts for the others. Each takes
//! an equal part of it. What goes wrong otherwise: hosts that are cut off from each other, or that
//! start anew with no memory, each take themselves for one of few, and together go beyond the bound.

use lentillift_core::time::Time;
use std::time::Duration;

/// How many hosts this one shares with.
///
/// Hosts that stopped answering still count: they may be cut off from this one alone. Only hosts that
/// said that they ended do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Hosts of the fleet, this one included.
    pub hosts: u32,
    /// When this process started.
    pub started: Time,
}

impl Share {
    /// This host's part of `total`, rounded down.
    pub fn of(&self, total: u32) -> u32 {
        total / self.hosts.max(1)
    }

    /// Whether a former process of this host can no longer have an effect within `window`.
    pub fn is_settled(&self, now: Time, window: Duration) -> bool {
        now >= self.started + window
    }
}
