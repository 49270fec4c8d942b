//! Decides when to request a peer's full state because gossip must have been lost.

use lentillift_core::time::Time;
use std::time::Duration;

/// How long this process's digest has differed from those of its peers.
#[derive(Debug, Default)]
pub(crate) struct Divergence {
    since: Option<Time>,
}

impl Divergence {
    /// Records whether a peer's digest is equal; returns whether the difference has lasted for
    /// `spread_time`, in which gossip should have resolved it.
    pub(crate) fn observe(&mut self, now: Time, equal: bool, spread_time: Duration) -> bool {
        if equal {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = since + spread_time <= now;
        if is_due {
            self.since = None;
        }
        is_due
    }
}

/// Time in which gossip spreads a value; full state is requested only after it.
pub(crate) const VALUE_SPREAD_TIME: Duration = Duration::from_secs(1);

/// Minimum time in which gossip spreads a change of a host; full state is requested only after it.
const MEMBER_SPREAD_TIME: Duration = Duration::from_secs(1);

/// Additional time per host of the fleet.
///
/// Full state takes about 60 bytes per host. Requested this rarely, it uses at most half of the
/// budget of 19 KB per second, however many hosts there are, and only while gossip keeps getting
/// lost.
const MEMBER_SPREAD_TIME_PER_HOST: Duration = Duration::from_millis(7);

/// Time in which gossip spreads a change of a host in a fleet of `hosts`.
pub(crate) fn member_spread_time(hosts: usize) -> Duration {
    MEMBER_SPREAD_TIME.max(MEMBER_SPREAD_TIME_PER_HOST * hosts as u32)
}
