//! Decides when to request a peer's full state because gossip must have been lost.

use lentillift_core::time::Time;
use std::time::Duration;

/// How long this process's digest has differed from those of its peers.
#[derive(Debug, Default)]
pub(crate) struct Drift {
    since: Option<Time>,
}

impl Drift {
    /// Records whether a peer's digest is equal; returns whether the difference has lasted for
    /// `patience`, in which gossip should have resolved it.
    pub(crate) fn observe(&mut self, now: Time, equal: bool, patience: Duration) -> bool {
        if equal {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let asks = since + patience <= now;
        if asks {
            self.since = None;
        }
        asks
    }
}

/// Time in which gossip spreads a value; full state is requested only after it.
pub(crate) const VALUE_PATIENCE: Duration = Duration::from_secs(1);

/// Minimum time in which gossip spreads a change of a host; full state is requested only after it.
const MEMBER_PATIENCE: Duration = Duration::from_secs(1);

/// Additional time per host of the fleet.
///
/// Full state takes about 60 bytes per host. Requested this rarely, it uses at most half of the
/// budget of 19 KB per second, however many hosts there are, and only while gossip keeps getting
/// lost.
const MEMBER_PATIENCE_PER_HOST: Duration = Duration::from_millis(7);

/// Time in which gossip spreads a change of a host in a fleet of `hosts`.
pub(crate) fn member_patience(hosts: usize) -> Duration {
    MEMBER_PATIENCE.max(MEMBER_PATIENCE_PER_HOST * hosts as u32)
}
