//! Limits on what this host sends to one backend server: connections, and the rate while it is
//! cold.

use crate::share::Share;
use lentillift_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Percentage of a backend server's connections that hosts use.
///
/// The rest is for hosts that have just joined and are not counted yet, and for the fewer
/// connections that a backend server accepts while its queue is long.
const USED_PERCENT: u32 = 75;

/// Time during which a new process uses only one connection to each backend server.
///
/// When all hosts lose power at once, a backend server holds the connections of their previous
/// processes until its own timeouts, and a new process does not know how many others there are. A
/// server resets new connections above its limit; searches failed for six seconds because of this.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// Window over which the rate of a cold backend server is limited.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Returns how many requests this host may have in flight at a backend server that accepts `total`
/// connections from all hosts and runs `slots` requests at a time. Each takes one connection.
///
/// At least two, since with one the next request would go to another failure domain, and at most
/// one more than its slots, since further requests would only wait there. With more hosts than
/// connections the sum over all hosts exceeds `total`; there only few hosts ask a server, see
/// [`crate::host::Hosts::owner`].
pub fn max_in_flight(share: &Share, total: u32, slots: u32, now: Time) -> usize {
    if !share.is_settled(now, STARTUP_PERIOD) {
        return 1;
    }
    let used = u64::from(total) * u64::from(USED_PERCENT) / 100;
    let part = share.rounded_part(used as u32).max(1).saturating_add(1);
    part.min(slots.saturating_add(1)) as usize
}

/// Limit on the requests to a cold backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Factor on the rate that the server can take, over all hosts.
    pub factor: f64,
    /// Requests a second that all hosts together may send on top of that.
    pub extra: f64,
}

impl Cold {
    /// Returns how many requests a second this host may send to a backend server that can take
    /// `rate`.
    ///
    /// With fewer requests than hosts, those with a low remainder of `host_hash` get one each.
    pub fn allowed(&self, share: &Share, rate: f64, host_hash: u64) -> usize {
        let total = (rate * self.factor + self.extra).floor().max(0.0) as u64;
        let hosts = u64::from(share.place().hosts.max(1));
        let remainder = u64::from(host_hash % hosts < total % hosts);
        (total / hosts + remainder) as usize
    }
}

/// Recent sends of this host to a cold backend server.
#[derive(Debug, Default, Clone)]
pub struct RecentSends {
    // INVARIANT: In ascending order.
    sent: VecDeque<Time>,
}

impl RecentSends {
    /// Returns the number of sends in the window that ends now.
    pub fn count(&mut self, now: Time) -> usize {
        while self
            .sent
            .front()
            .is_some_and(|sent| *sent + COLD_WINDOW <= now)
        {
            self.sent.pop_front();
        }
        self.sent.len()
    }

    /// Adds a send.
    pub fn note(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}
