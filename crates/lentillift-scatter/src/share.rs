//! This host's share of what all hosts may do together.
//!
//! Pattern: a bound of the whole fleet has to hold though no host counts for the others. Each takes
//! an equal part of it. What goes wrong otherwise: hosts that are cut off from each other, or that
//! start anew with no memory, each take themselves for one of few, and together go beyond the bound.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// This host's place among all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Hosts of the fleet, this one included.
    pub hosts: u32,
    /// Hosts whose names come before this one's.
    pub rank: u32,
}

impl Place {
    /// This host's part of `total`: what all hosts have together is `total`, if they agree on who there
    /// is. `turn` decides who gets what can't be divided.
    fn part(self, total: u32, offset: u64) -> u32 {
        let hosts = u64::from(self.hosts.max(1));
        let number = (u64::from(self.rank) + offset % hosts) % hosts;
        let until = |number: u64| u64::from(total) * number / hosts;
        (until(number + 1) - until(number)) as u32
    }
}

/// How many hosts this one shares with.
///
/// Hosts that stopped answering still count: they may be cut off from this one alone. Only hosts that
/// said that they ended do not, and they for a while, see [`Roster`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    place: Place,
    /// Former places, and until when they bind.
    former: Vec<(Place, Time)>,
    /// When this process started.
    pub started: Time,
}

impl Share {
    /// The share of a process that started at `started`.
    pub fn new(place: Place, started: Time) -> Self {
        Self {
            place,
            former: Vec::new(),
            started,
        }
    }

    /// This host's place.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Takes in a new place at `now`; the former one binds for two windows more.
    ///
    /// What goes wrong otherwise: a host goes and the others hear of it one after the other. One that gets
    /// more by the new places and one that had more by the old ones, and has spent it, go beyond the
    /// bound together. Two windows: one in which others may not have heard yet, and one in which what
    /// they spent until then counts.
    pub fn update(&mut self, place: Place, now: Time, window: Duration) {
        self.former.retain(|(_, until)| *until > now);
        if place != self.place {
            self.former.retain(|(former, _)| *former != self.place);
            self.former.push((self.place, now + window * 2));
            self.place = place;
        }
    }

    /// This host's part of `total`, rounded down.
    pub fn rounded_part(&self, total: u32) -> u32 {
        total / self.place.hosts.max(1)
    }

    /// This host's part of `total`, without a remainder that nobody gets.
    ///
    /// A hundred and fifty-eight repeats over fifty-nine hosts, rounded down, are forty less.
    pub fn part(&self, total: u32, offset: u64, now: Time) -> u32 {
        let binding = self.former.iter().filter(|(_, until)| *until > now);
        let former = binding.map(|(place, _)| place.part(total, offset));
        former.fold(self.place.part(total, offset), u32::min)
    }

    /// Whether a former process of this host can no longer have an effect within `window`.
    pub fn is_settled(&self, now: Time, window: Duration) -> bool {
        now >= self.started + window
    }
}

/// The hosts that a bound is shared with.
///
/// A host that has said that it ended counts for one window more, since what it did still does.
#[derive(Debug, Default)]
pub struct Roster {
    last_seen: BTreeMap<id::Host, Time>,
}

impl Roster {
    /// Takes in which hosts there are at `now`, `me` among them; says which place it has.
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
