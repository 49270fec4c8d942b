//! From whom a host learns what is published.
//!
//! Pattern: each read of the service that publishes is counted over the whole fleet, and 760 hosts
//! that each watch it would use up its rate. One host of a region reads it; one host of each failure
//! domain follows that one; the others follow the one in their failure domain. So the reads do not
//! grow with the fleet, and each change crosses once into each failure domain.
//!
//! Nobody elects anybody: each host ranks those that it knows of by rendezvous hashing. Two that
//! disagree cost some reads. Whoever is followed says how old its knowledge is and over which hosts it
//! came, so a host that is cut off from the service shows by its age, a ring of hosts that follow each
//! other by the way, and followers go on to the next in their order, which holds the service itself.

pub mod search;
pub mod way;

use crate::rendezvous;
use lentillift_core::id;
use std::time::Duration;

/// Hosts that are tried in one round once all that should know have failed: those may be the very ones
/// that the service turns away. Each round tries others, so whoever knows is found in the end, and while
/// the service is away for all, a search stays at eight requests a round or less.
const OTHERS: usize = 3;

/// Key under which hosts are ranked.
const KEY: &str = "reader";

/// How soon news has to be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time from a change to its being in force everywhere.
    pub bound: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bound: Duration::from_secs(3),
        }
    }
}

impl Options {
    /// How long the service may hold a watch when nothing changes. Each return proves that nothing was
    /// missed, so a service that falls silent shows after this time and [`Options::slack`].
    pub fn watch(&self) -> Duration {
        self.bound / 3
    }

    /// Time beyond it after which a watch is given up.
    pub fn slack(&self) -> Duration {
        self.bound / 6
    }

    /// Pause between two watches after a change, so that changes in quick succession cost one call.
    pub fn pause(&self) -> Duration {
        self.bound / 12
    }

    /// Time between two frames to a follower when nothing changes.
    pub fn heartbeat(&self) -> Duration {
        self.bound / 9
    }

    /// Time without a frame after which whoever is followed is given up: three heartbeats.
    pub fn frame(&self) -> Duration {
        self.heartbeat() * 3
    }

    /// Time in which a host that is asked to be followed has told something. What it knows it tells at
    /// once, so this is for the way and a busy processor. A host that was cut off finds its own origin
    /// silent after a third of the bound, then asks three others at most before the service.
    pub fn open(&self) -> Duration {
        self.bound / 8
    }

    /// Longest pause once all origins have failed; a host draws it between half of it and the whole, so
    /// that they do not all ask at once.
    pub fn rest(&self) -> Duration {
        self.bound / 6
    }

    /// Age of knowledge at which another origin is tried: a watch, its slack and a heartbeat, which
    /// leaves more than a third of the bound to find one.
    pub fn stale(&self) -> Duration {
        self.watch() + self.slack() + self.heartbeat()
    }
}

/// Where a host learns what is published.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// From the service itself.
    Service,
    /// From another host.
    Host(id::Host),
}

/// A host that could be followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// Where `me` should learn, the best first, given the other hosts of its region that answer, in the
/// given round of its search.
pub fn order(me: &Candidate, others: &[Candidate], round: usize) -> Vec<Origin> {
    let mut ranked: Vec<&Candidate> = others.iter().chain(std::iter::once(me)).collect();
    ranked.sort_by_cached_key(|one| std::cmp::Reverse(rendezvous::weight(KEY, &one.host)));
    ranked.dedup_by(|a, b| a.host == b.host);
    let heads = heads(&ranked);
    let near: Vec<&Candidate> = ranked
        .iter()
        .filter(|one| one.domain == me.domain)
        .copied()
        .collect();
    let is_head = near.first().is_some_and(|first| first.host == me.host);
    let mut order = Vec::new();
    if ranked.first().is_some_and(|first| first.host == me.host) {
        order.push(Origin::Service);
    }
    if !is_head {
        let two = near.iter().filter(|one| one.host != me.host).take(2);
        order.extend(two.map(|one| Origin::Host(one.host.clone())));
    }
    let first = heads.first().filter(|head| head.host != me.host);
    order.extend(first.map(|head| Origin::Host(head.host.clone())));
    if !order.contains(&Origin::Service) {
        order.push(Origin::Service);
    }
    let rest = heads.iter().skip(1).filter(|head| head.host != me.host);
    order.extend(rest.map(|head| Origin::Host(head.host.clone())));
    // A cycle over no host at all ends at once.
    let others = ranked.iter().filter(|one| one.host != me.host).cycle();
    let first = round * OTHERS % ranked.len();
    let others = others.skip(first).take(OTHERS);
    order.extend(others.map(|one| Origin::Host(one.host.clone())));
    let mut seen = Vec::new();
    order.retain(|origin| {
        let new = !seen.contains(origin);
        seen.push(origin.clone());
        new
    });
    order
}

/// The first host of each failure domain, in the order of rank.
fn heads<'a>(ranked: &[&'a Candidate]) -> Vec<&'a Candidate> {
    let mut heads: Vec<&Candidate> = Vec::new();
    for one in ranked {
        if heads.iter().all(|head| head.domain != one.domain) {
            heads.push(one);
        }
    }
    heads
}
