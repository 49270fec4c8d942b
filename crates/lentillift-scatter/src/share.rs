//! This host's share of fleet-wide limits.
//!
//! A limit of the whole fleet has to hold although no host counts for the others, so each host
//! takes an equal share of it. What has to be prevented: hosts that are partitioned from each
//! other, or that restart without memory, each assume that there are only few hosts, and together
//! exceed the limit.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// This host's rank among all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of hosts in the fleet, including this one.
    pub hosts: u32,
    /// Number of hosts whose names sort before this one's.
    pub rank: u32,
}

impl Place {
    /// Returns this host's share of `total`. The shares of all hosts add up to `total` if the hosts
    /// agree on the set of hosts. `offset` rotates which hosts get the remainder.
    fn part(self, total: u32, offset: u64) -> u32 {
        let hosts = u64::from(self.hosts.max(1));
        let number = (u64::from(self.rank) + offset % hosts) % hosts;
        let until = |number: u64| u64::from(total) * number / hosts;
        (until(number + 1) - until(number)) as u32
    }
}

/// This host's share of fleet-wide limits.
///
/// Hosts that stopped answering still count: they may be partitioned from this host only. Hosts
/// that announced their end stop counting after a window, see [`Roster`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    place: Place,
    /// Former places and until when they still apply.
    former: Vec<(Place, Time)>,
    /// When this process started.
    pub started: Time,
}

impl Share {
    /// Creates the share of a process that started at `started`.
    pub fn new(place: Place, started: Time) -> Self {
        Self {
            place,
            former: Vec::new(),
            started,
        }
    }

    /// Returns this host's place.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Changes the place at `now`; the former one still applies for two windows.
    ///
    /// Without this, when a host leaves and the others learn of it one after the other, a host that
    /// gets more under the new places and one that had more under the old ones, and has spent it,
    /// exceed the limit together. Two windows: one in which others may not have learned of the
    /// change yet, and one in which what they spent until then still counts.
    pub fn update(&mut self, place: Place, now: Time, window: Duration) {
        self.former.retain(|(_, until)| *until > now);
        if place != self.place {
            self.former.retain(|(former, _)| *former != self.place);
            self.former.push((self.place, now + window * 2));
            self.place = place;
        }
    }

    /// Returns this host's share of `total`, rounded down.
    pub fn rounded_part(&self, total: u32) -> u32 {
        total / self.place.hosts.max(1)
    }

    /// Returns this host's share of `total`, where the remainder is distributed too.
    ///
    /// 158 repeats over fifty-nine hosts, rounded down at each, would be forty less.
    pub fn part(&self, total: u32, offset: u64, now: Time) -> u32 {
        let applicable = self.former.iter().filter(|(_, until)| *until > now);
        let former = applicable.map(|(place, _)| place.part(total, offset));
        former.fold(self.place.part(total, offset), u32::min)
    }

    /// Whether sends of a former process of this host are all older than `window`.
    pub fn is_settled(&self, now: Time, window: Duration) -> bool {
        now >= self.started + window
    }
}

/// The hosts that a limit is shared with.
///
/// A host that announced its end counts for one more window, since its sends still count.
#[derive(Debug, Default)]
pub struct Roster {
    last_seen: BTreeMap<id::Host, Time>,
}

impl Roster {
    /// Applies the set of hosts present at `now`, including `me`; returns the place of `me`.
    pub fn update<'a, I>(&mut self, me: &str, present: I, now: Time, window: Duration) -> Place
    where
        I: IntoIterator<Item = &'a id::Host>,
    {
        for host in present {
            match self.last_seen.get_mut(host) {
                Some(last_seen) => *last_seen = now,
                None => drop(self.last_seen.insert(host.clone(), now)),
            }
        }
        self.last_seen
            .retain(|_, last_seen| *last_seen + window > now);
        Place {
            hosts: self.last_seen.len() as u32,
            rank: self.last_seen.keys().filter(|host| ***host < *me).count() as u32,
        }
    }
}
