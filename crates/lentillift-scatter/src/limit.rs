//! Bounds on what one backend server gets from this host: connections, and the rate while it is cold.

use crate::share::Share;
use lentillift_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Share of a backend server's connections that hosts use, in hundredths.
///
/// The rest is for hosts that have just joined and are not counted yet, and for the fewer
/// connections that a backend server takes while its queue is long.
const USED_PERCENT: u32 = 75;

/// Time for which a process that has started uses one connection to each backend server.
///
/// When all hosts lose power at once, a backend server still holds the connections of their former
/// processes until its own timeouts, and a process that starts does not know how many others there
/// are. Beyond its connections a server resets new ones; searches failed for six seconds for it.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// Span over which the rate of a cold backend server holds.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Requests that this host may have under way at a backend server, each on its own connection, if the
/// server takes `total` connections from all hosts and runs `slots` requests at a time.
///
/// At least two, since one alone would send the next request to another failure domain, and no more
/// than one beyond its slots, which only wait there. With more hosts than connections the sum of the
/// parts is no bound; there a server is asked by few hosts, see [`crate::host::Hosts::owner`].
pub fn max_in_flight(share: &Share, total: u32, slots: u32, now: Time) -> usize {
    if !share.is_settled(now, STARTUP_PERIOD) {
        return 1;
    }
    let part = share.rounded_part(total * USED_PERCENT / 100).max(1) + 1;
    part.min(slots + 1) as usize
}

/// Bound on the requests to cold backend servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// What all hosts may send beyond the rate, as a factor.
    pub factor: f64,
    /// What all hosts may send beyond that, in requests a second.
    pub extra: f64,
}

impl Cold {
    /// Requests a second that this host may send to a backend server that bears `rate`.
    ///
    /// With fewer requests than hosts, those whose `ticket` is low get one each.
    pub fn allowed(&self, share: &Share, rate: f64, host_hash: u64) -> usize {
        let total = (rate * self.factor + self.extra).floor().max(0.0) as u64;
        let hosts = u64::from(share.place().hosts.max(1));
        let rest = u64::from(host_hash % hosts < total % hosts);
        (total / hosts + rest) as usize
    }
}

/// When this host sent to a cold backend server.
#[derive(Debug, Default, Clone)]
pub struct RecentSends {
    // INVARIANT: In rising order.
    sent: VecDeque<Time>,
}

impl RecentSends {
    /// Requests within the span that ends now.
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

    /// Notes a request.
    pub fn note(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}
