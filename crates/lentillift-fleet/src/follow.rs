//! From whom a host learns what is published.
//!
//! Pattern: each read of the service that publishes is counted over the whole fleet, and 760 hosts
//! that each watch it would use up its rate. One host of a region reads it; the first host of each
//! failure domain follows that one; the others follow one in their failure domain. So the reads do not
//! grow with the fleet, and each change crosses once into each failure domain.
//!
//! Pattern: a configuration grows to hundreds of kilobytes, and hosts have links of a few megabytes a
//! second. Did the first host of a failure domain send each other host its copy, the last would wait for
//! as many copies as there are hosts, searches and membership of that host would wait behind them, and
//! callers would be answered by the old configuration. So each host passes news on to [`FAN`] others of
//! its failure domain, and those to as many each: the wait grows with the logarithm of the hosts.
//!
//! Nobody elects anybody: each host ranks those that it knows of by rendezvous hashing. Two that
//! disagree cost some reads. Whoever is followed proves how old its knowledge is ([`proof`]) and says over which
//! hosts it came, so a host that is cut off from the service shows by its age, a ring of hosts that follow each
//! other by the way, and followers go on to the next in their order, which holds the service itself.

pub mod proof;
pub mod relay_path;
pub mod search;

use crate::rendezvous;
use lentillift_core::id;
use lentillift_core::time::Time;
use search::Urgency;
use std::time::Duration;

/// Hosts that are tried in one round once all that should know have failed: those may be the very ones
/// that the service turns away. Each round tries others, so whoever knows is found in the end, and while
/// the service is away for all, a search stays at eight requests a round or less.
const OTHERS: usize = 3;

/// Hosts of its failure domain that a host passes news on to, and first hosts of others. More make fewer
/// steps of more copies each; the product of the two is least for three.
pub const FANOUT: usize = 3;

/// Hosts of its failure domain that a host tries before the first of all.
const NEAR: usize = 2;

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

    /// How long the service may hold the next watch, given the age of what is known: until that is as old as
    /// it gets when nothing changes.
    ///
    /// What a change brought has been under way for a while and followers have taken it in for as long;
    /// held for the whole time, a watch would return when they have left for other origins.
    pub fn next_watch(&self, age: Duration) -> Duration {
        self.watch().saturating_sub(age)
    }

    /// Time beyond it after which a watch is given up.
    pub fn slack(&self) -> Duration {
        self.bound / 6
    }

    /// Pause between two watches after a change, so that changes in quick succession cost one call.
    pub fn pause(&self) -> Duration {
        self.bound / 12
    }

    /// Time between two questions of a follower when nothing changes.
    pub fn heartbeat(&self) -> Duration {
        self.bound / 9
    }

    /// Time without a frame after which whoever is followed is given up: three heartbeats.
    pub fn frame_timeout(&self) -> Duration {
        self.heartbeat() * 3
    }

    /// Time in which a host that is asked to be followed has told something. What it knows it tells at
    /// once, so this is for the way and a busy processor. A host that was cut off finds its own origin
    /// silent after a third of the bound, then asks three others at most before the service.
    pub fn open_timeout(&self) -> Duration {
        self.bound / 8
    }

    /// Longest pause once all origins have failed; a host draws it between half of it and the whole, so
    /// that they do not all ask at once.
    pub fn retry_pause(&self) -> Duration {
        self.bound / 6
    }

    /// Whether followers are told at once that what was proved at `before` is now proved at `proved`.
    ///
    /// Were they told with the next message that is due anyway, knowledge would be older by up to that
    /// time at each host that it passes, and the last hosts would leave origins that are well. Ages are
    /// told in whole milliseconds, so a proof that is later by less than half a heartbeat is no new one.
    pub fn is_newer_proof(&self, before: Option<Time>, proved: Option<Time>) -> bool {
        match (before, proved) {
            (Some(before), Some(proved)) => proved.saturating_sub(before) >= self.heartbeat() / 2,
            (before, proved) => before != proved,
        }
    }

    /// Whether a request is served by knowledge of this age, given the time since the service was last known to be
    /// away.
    ///
    /// Pattern: a process stands still, and when it runs again requests wait in its sockets beside the news that
    /// it missed. Served first, they would go by what was replaced long ago.
    pub fn admit(&self, age: Duration, away: Option<Duration>) -> Admission {
        // Nobody can know more then.
        let is_away = away.is_some_and(|away| away <= self.bound);
        match age <= self.bound || is_away {
            true => Admission::Serve,
            false => Admission::Await(self.frame_timeout()),
        }
    }

    /// How much time is left to find an origin, given the age of what is known: what one that is silent costs has to
    /// end before that gets too old.
    pub fn urgency(&self, age: Option<Duration>) -> Urgency {
        match age.is_some_and(|age| age + self.open_timeout() > self.max_age()) {
            true => Urgency::High,
            false => Urgency::Low,
        }
    }

    /// Age of knowledge at which another origin is tried: a watch, its slack and a heartbeat, which
    /// leaves more than a third of the bound to find one.
    pub fn max_age(&self) -> Duration {
        self.watch() + self.slack() + self.heartbeat()
    }
}

/// What to do with a request, by the age of what its host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Serve it now.
    Serve,
    /// Wait for news that long at most; most likely it is there already.
    Await(Duration),
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

/// Where `me` should learn, the best first, given the other hosts of its region that answer, to how many
/// others each passes news on, and the round of the search.
///
/// Whoever is best ranks above `me`, so hosts that agree on who answers never follow each other in a ring.
pub fn rank_origins(me: &Candidate, others: &[Candidate], fan: usize, round: usize) -> Vec<Origin> {
    let ranked = rank(me, others);
    let heads = heads(&ranked);
    let near: Vec<&Candidate> = ranked
        .iter()
        .filter(|one| one.domain == me.domain)
        .copied()
        .collect();
    let place = |hosts: &[&Candidate]| hosts.iter().position(|one| one.host == me.host);
    let mut order = Vec::new();
    match place(&heads) {
        Some(0) => order.push(Origin::Service),
        Some(head) => order.extend(above(&heads, head, fan).next()),
        None => order.extend(
            place(&near)
                .map(|me| nearest(&near, me, fan))
                .unwrap_or_default(),
        ),
    }
    order.extend(heads.first().map(|head| origin(head)));
    order.push(Origin::Service);
    order.extend(heads.iter().map(|head| origin(head)));
    let first = round * OTHERS % ranked.len();
    let strangers = ranked.iter().filter(|one| one.host != me.host);
    // A cycle over no host at all ends at once.
    let strangers = strangers.cycle().skip(first).take(OTHERS);
    order.extend(strangers.map(|one| origin(one)));
    let order = order.into_iter().filter(|one| *one != origin(me));
    distinct(order)
}

fn origin(host: &Candidate) -> Origin {
    Origin::Host(host.host.clone())
}

/// Each origin once, in the order of the first time.
fn distinct<T>(origins: T) -> Vec<Origin>
where
    T: Iterator<Item = Origin>,
{
    let mut distinct = Vec::new();
    for origin in origins {
        if !distinct.contains(&origin) {
            distinct.push(origin);
        }
    }
    distinct
}

/// Hosts of a failure domain that the one at `place` tries first: those over which news comes to it, then
/// the first by rank.
fn nearest(near: &[&Candidate], place: usize, fan: usize) -> Vec<Origin> {
    let me = origin(near[place]);
    let rest = near.iter().map(|one| origin(one));
    let all = above(near, place, fan).chain(rest);
    let mut nearest = distinct(all.filter(|one| *one != me));
    nearest.truncate(NEAR);
    nearest
}

/// All hosts, the first by rank first.
fn rank<'a>(me: &'a Candidate, others: &'a [Candidate]) -> Vec<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = others.iter().chain(std::iter::once(me)).collect();
    ranked.sort_by_cached_key(|one| std::cmp::Reverse(rendezvous::weight(KEY, &one.host)));
    ranked.dedup_by(|a, b| a.host == b.host);
    ranked
}

/// The hosts over which news comes to the one at `place` if each passes it on to `fan` others, the nearest
/// first.
fn above<'a>(
    ranked: &'a [&Candidate],
    place: usize,
    fan: usize,
) -> impl Iterator<Item = Origin> + use<'a> {
    let parent = move |place: usize| Some(place.checked_sub(1)? / fan);
    let places = std::iter::successors(parent(place), move |place| parent(*place));
    places.map(|place| origin(ranked[place]))
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
