//! Chooses the origin from which a host receives published data.
//!
//! Scenario: each read of the service that publishes is counted over the whole fleet, and 760 hosts
//! that each watch it would use up its rate. One host of a region reads it; the first host of each
//! failure domain follows that one; the others follow one in their failure domain. So the reads do
//! not grow with the fleet, and each change is sent once into each failure domain.
//!
//! Scenario: a configuration grows to hundreds of kilobytes, and hosts have links of a few
//! megabytes a second. If the first host of a failure domain sent each other host its copy, the
//! last would wait for as many copies as there are hosts, searches and membership of that host
//! would wait behind them, and callers would be answered by the old configuration. So each host
//! forwards updates to [`FANOUT`] others of its failure domain, and those to as many each: the wait
//! grows with the logarithm of the number of hosts.
//!
//! There is no election: each host ranks the hosts that it knows by rendezvous hashing. Two that
//! disagree cost some reads. Every origin proves the age of its data ([`proof`]) and states the
//! hosts by which it was relayed ([`relay_path`]). So a host that is cut off from the service shows
//! by its age, and hosts that follow each other in a ring show by the relay path. Followers then
//! try the next origin in their order, which includes the service itself.

pub mod outage;
pub mod proof;
pub mod relay_path;
pub mod search;

use crate::rendezvous;
use lentillift_core::id;
use lentillift_core::time::Time;
use search::Urgency;
use std::time::Duration;

/// Number of further hosts that are tried in one round after all preferred origins have failed,
/// since those may be the very ones that the service turns away. Each round tries others, so a host
/// with current data is found in the end, and while the service is unavailable to all, a search
/// stays at eight requests a round or less.
const FALLBACKS: usize = 3;

/// Number of hosts of its failure domain that a host forwards updates to, and of first hosts of
/// other domains. A larger value means fewer steps of more copies each; the product of the two is
/// least for three.
pub const FANOUT: usize = 3;

/// Number of hosts of its failure domain that a host tries before the first host of all.
const MAX_NEAR: usize = 2;

/// Rendezvous key under which hosts are ranked.
const RANK_KEY: &str = "reader";

/// Timing of the distribution, derived from one bound.
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
    /// Time for which the service may hold a watch when nothing changes.
    ///
    /// Each return proves that nothing was missed, so a service that stops answering is noticed
    /// after this time and [`Options::slack`].
    pub fn watch(&self) -> Duration {
        self.bound / 3
    }

    /// Time for which the service may hold the next watch, given the age of the data: until the
    /// data is as old as it gets when nothing changes.
    ///
    /// The data of a change has been in transit for a while, and followers have counted it as that
    /// old. Held for the whole time, a watch would return after they have left for other origins.
    pub fn next_watch(&self, age: Duration) -> Duration {
        self.watch().saturating_sub(age)
    }

    /// Time beyond [`Options::watch`] after which a watch is given up.
    pub fn slack(&self) -> Duration {
        self.bound / 6
    }

    /// Pause between two watches after a change, so that changes in quick succession cost one call.
    pub fn pause(&self) -> Duration {
        self.bound / 12
    }

    /// Period of a follower's polls when nothing changes.
    pub fn heartbeat(&self) -> Duration {
        self.bound / 9
    }

    /// Time without a frame after which an origin is given up: three heartbeats.
    pub fn frame_timeout(&self) -> Duration {
        self.heartbeat() * 3
    }

    /// Time in which a new origin has to send its first frame.
    ///
    /// It sends what it has at once, so this allows for the network and a busy processor. A host
    /// that was cut off finds its own origin silent after a third of the bound, then tries at most
    /// three others before the service.
    pub fn open_timeout(&self) -> Duration {
        self.bound / 8
    }

    /// Longest pause after all origins have failed. A host draws a pause between half of it and the
    /// whole, so that hosts do not all retry at once.
    pub fn retry_pause(&self) -> Duration {
        self.bound / 6
    }

    /// Whether followers are informed at once when data proved current at `before` is now proved
    /// current at `proved`.
    ///
    /// If they were informed with the next message that is due anyway, data would be older by up to
    /// that time at each hop, and the last hosts would leave working origins. Ages are sent in
    /// whole milliseconds, so a proof that is later by less than half a heartbeat does not count as
    /// new.
    pub fn is_newer_proof(&self, before: Option<Time>, proved: Option<Time>) -> bool {
        match (before, proved) {
            (Some(before), Some(proved)) => proved.saturating_sub(before) >= self.heartbeat() / 2,
            (before, proved) => before != proved,
        }
    }

    /// Whether a request is served with data of this age, given the time since the service was last
    /// known to be unavailable.
    ///
    /// Scenario: a process is paused, and when it resumes, requests wait in its sockets beside the
    /// updates that it missed. Served first, they would use data that was replaced long ago.
    pub fn admit(&self, age: Duration, since_unavailable: Option<Duration>) -> Admission {
        // No host can have newer data while the service is unavailable.
        let is_unavailable = since_unavailable.is_some_and(|since| since <= self.bound);
        match age <= self.bound || is_unavailable {
            true => Admission::Serve,
            false => Admission::Await(self.frame_timeout()),
        }
    }

    /// How much time is left to find an origin, given the age of the data: the attempt at an origin
    /// that stays silent has to end before the data gets too old.
    pub fn urgency(&self, age: Option<Duration>) -> Urgency {
        match age.is_some_and(|age| age + self.open_timeout() > self.max_age()) {
            true => Urgency::High,
            false => Urgency::Low,
        }
    }

    /// Age of the data at which another origin is tried: a watch, its slack and a heartbeat, which
    /// leaves more than a third of the bound to find one.
    pub fn max_age(&self) -> Duration {
        self.watch() + self.slack() + self.heartbeat()
    }
}

/// How a request is treated, by the age of its host's data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Serve the request now.
    Serve,
    /// Wait for an update for at most this long; most likely it has arrived already.
    Await(Duration),
}

/// Source from which a host receives published data.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// From the service itself.
    Service,
    /// From another host.
    Host(id::Host),
}

/// A host that can be followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the host.
    pub host: id::Host,
    /// Failure domain of the host.
    pub domain: id::Domain,
}

/// Origins for `me`, the best first, given the other hosts of its region that answer, the number of
/// hosts that each forwards updates to, and the round of the search.
///
/// The best origin of a host ranks above it, so hosts that agree on who answers never follow each
/// other in a ring.
pub fn rank_origins(
    me: &Candidate,
    others: &[Candidate],
    fanout: usize,
    round: usize,
) -> Vec<Origin> {
    let ranked = rank(me, others);
    let heads = heads(&ranked);
    let near: Vec<&Candidate> = ranked
        .iter()
        .filter(|candidate| candidate.domain == me.domain)
        .copied()
        .collect();
    let position =
        |hosts: &[&Candidate]| hosts.iter().position(|candidate| candidate.host == me.host);
    let mut order = Vec::new();
    match position(&heads) {
        Some(0) => order.push(Origin::Service),
        Some(head) => order.extend(ancestors(&heads, head, fanout).next()),
        None => order.extend(
            position(&near)
                .map(|me| local_origins(&near, me, fanout))
                .unwrap_or_default(),
        ),
    }
    order.extend(heads.first().map(|head| origin(head)));
    order.push(Origin::Service);
    order.extend(heads.iter().map(|head| origin(head)));
    let first = round * FALLBACKS % ranked.len();
    let fallbacks = ranked.iter().filter(|candidate| candidate.host != me.host);
    // Without any other host the cycle is empty and ends at once.
    let fallbacks = fallbacks.cycle().skip(first).take(FALLBACKS);
    order.extend(fallbacks.map(|candidate| origin(candidate)));
    let order = order.into_iter().filter(|other| *other != origin(me));
    distinct(order)
}

fn origin(host: &Candidate) -> Origin {
    Origin::Host(host.host.clone())
}

/// Removes duplicates and keeps the first of each.
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

/// Hosts of a failure domain that the one at `position` tries first: those by which updates reach
/// it, then the first by rank.
fn local_origins(near: &[&Candidate], position: usize, fanout: usize) -> Vec<Origin> {
    let me = origin(near[position]);
    let rest = near.iter().map(|candidate| origin(candidate));
    let all = ancestors(near, position, fanout).chain(rest);
    let mut local_origins = distinct(all.filter(|origin| *origin != me));
    local_origins.truncate(MAX_NEAR);
    local_origins
}

/// All hosts in order of rank.
fn rank<'a>(me: &'a Candidate, others: &'a [Candidate]) -> Vec<&'a Candidate> {
    let mut ranked: Vec<&Candidate> = others.iter().chain(std::iter::once(me)).collect();
    ranked.sort_by_cached_key(|candidate| {
        std::cmp::Reverse(rendezvous::weight(RANK_KEY, &candidate.host))
    });
    ranked.dedup_by(|a, b| a.host == b.host);
    ranked
}

/// The hosts by which updates reach the one at `position` if each forwards them to `fanout` others,
/// the nearest first.
fn ancestors<'a>(
    ranked: &'a [&Candidate],
    position: usize,
    fanout: usize,
) -> impl Iterator<Item = Origin> + use<'a> {
    let parent = move |position: usize| Some(position.checked_sub(1)? / fanout);
    let positions = std::iter::successors(parent(position), move |position| parent(*position));
    positions.map(|position| origin(ranked[position]))
}

/// The first host of each failure domain, in order of rank.
fn heads<'a>(ranked: &[&'a Candidate]) -> Vec<&'a Candidate> {
    let mut heads: Vec<&Candidate> = Vec::new();
    for candidate in ranked {
        if heads.iter().all(|head| head.domain != candidate.domain) {
            heads.push(candidate);
        }
    }
    heads
}
