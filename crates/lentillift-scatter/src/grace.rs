//! Grace periods: until when a leaving backend server may still be used as a last resort.
//!
//! For a while a leaving backend server may be the only one that can still serve its shard. A host
//! that counted the grace period from when it received the notice, or restarted it with every entry
//! that the leaving server published, would send to the server after it has gone, and lose the
//! request. So the period counts from the latest time at which the server was known to take work:
//! whatever route the update took and however late it came, no request is sent later than the bound
//! allows.

use lentillift_core::time::Time;
use std::time::Duration;

/// How long a backend server whose entry lapsed while the service was unavailable may be used as a
/// last resort: entries are republished within about two seconds of the service's return.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// Number of bounds after the last failed call at which an outage has certainly ended: hosts call a
/// service that fails again several times in that time.
const OUTAGE_END_FACTOR: u32 = 2;

/// Divisor for the part of the bound that is reserved for what lies between the last check and a
/// request's arrival: transit, a busy processor, and the clock error in an age that another host
/// reported.
const RESERVE_DIVISOR: u32 = 6;

/// Divisor for the part of the bound in which a host that was notified at once still uses a server
/// that reports that it is leaving.
const LEAVING_DIVISOR: u32 = 6;

/// Divisor for the part of the bound in which a host that was notified at once still uses a server
/// whose entry is gone: the server may have failed to renew it.
const LAPSED_DIVISOR: u32 = 3;

/// Until when backend servers named in a new update may still be used as a last resort.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    /// For servers that report that they are leaving.
    pub leaving: Time,
    /// For servers whose entry is gone.
    pub lapsed: Time,
}

/// What a host last knew of the published state when an update came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastKnown {
    /// The latest time at which all of its known state was confirmed; none if nothing was.
    pub confirmed_at: Option<Time>,
    /// When the service was last known to be unavailable; none if never.
    pub unavailable_at: Option<Time>,
}

impl Grace {
    /// Computes the grace periods under which nothing reaches a leaving server later than `bound`
    /// after its notice was published.
    pub fn within(bound: Duration, now: Time, last_known: LastKnown) -> Self {
        // The notice was published after `confirmed_at`, so the bound can't end earlier than this.
        let latest = last_known.confirmed_at.map_or(now, |confirmed_at| {
            confirmed_at + bound - bound / RESERVE_DIVISOR
        });
        let outage = last_known
            .unavailable_at
            .filter(|unavailable_at| Some(*unavailable_at) >= last_known.confirmed_at);
        Self {
            leaving: latest.min(now + bound / LEAVING_DIVISOR),
            lapsed: match outage {
                // Nobody could renew an entry, so a lapse says nothing about the server yet.
                Some(unavailable_at) => {
                    now.min(unavailable_at + bound * OUTAGE_END_FACTOR) + OUTAGE_GRACE
                }
                None => latest.min(now + bound / LAPSED_DIVISOR),
            },
        }
    }
}
