//! When to compare everything with a peer, because news must have been lost.

use lentillift_core::time::Time;
use std::time::Duration;

/// For how long digests have differed from those of others.
#[derive(Debug, Default)]
pub(crate) struct Drift {
    since: Option<Time>,
}

impl Drift {
    /// Notes whether a peer's digest is equal; says whether news had time enough to even it out.
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

/// Time for news of values to come round before everything is compared.
pub(crate) const VALUE_PATIENCE: Duration = Duration::from_secs(1);

/// Least time for news of hosts to come round before everything is compared.
const MEMBER_PATIENCE: Duration = Duration::from_secs(1);

/// What each host adds to it.
///
/// A full account takes some 60 bytes a host. Asked for that seldom it takes half the budget of
/// 19 KB a second at most, however many hosts there are, and only while news keeps getting lost.
const MEMBER_PATIENCE_PER_HOST: Duration = Duration::from_millis(7);

/// Time for news of `hosts` to come round before everything is compared.
pub(crate) fn member_patience(hosts: usize) -> Duration {
    MEMBER_PATIENCE.max(MEMBER_PATIENCE_PER_HOST * hosts as u32)
}
