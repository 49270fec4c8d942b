//! Guardians: the few hosts whose majority says who may send work to a backend server.
//!
//! They follow from the backend server's name and one revision of the published host list alone,
//! not from anyone's view of who is alive: two processes that read the same revision name the same
//! guardians, whatever else they believe.

use crate::rendezvous;
use lentillift_core::id;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Guardians of one backend server at most.
///
/// Three outlive the loss of one; five would survive two at the price of two thirds more messages.
pub const MOST: usize = 3;

/// The guardians of `backend` in `domain`: the first hosts of different failure domains, by weight.
///
/// They are in the backend server's region, so that regions which lose each other both keep their
/// majorities; without this half of all backend servers would have no holder on their own side.
/// With fewer domains than [`MOST`], more hosts of the same domains fill the places, so that the
/// loss of one host still leaves a majority.
pub fn choose(backend: &str, domain: &str, roster: &Roster) -> Vec<id::Host> {
    let region = roster.regions.get(domain);
    let live = roster.hosts.iter().filter(|(_, entry)| {
        entry.state == State::Live && roster.regions.get(&entry.domain) == region
    });
    let mut key = rendezvous::Key::new(backend);
    let mut first: BTreeMap<&id::Domain, (u64, &id::Host)> = BTreeMap::new();
    for (host, entry) in live.clone() {
        let weighed = (key.weight(host), host);
        let best = first.entry(&entry.domain).or_insert(weighed);
        *best = weighed.max(*best);
    }
    let mut chosen: Vec<_> = first.into_values().collect();
    if chosen.len() < MOST {
        let taken: BTreeSet<_> = chosen.iter().map(|(_, host)| *host).collect();
        let rest = live.filter(|(host, _)| !taken.contains(host));
        let mut rest: Vec<_> = rest.map(|(host, _)| (key.weight(host), host)).collect();
        rest.sort_unstable_by(|a, b| b.cmp(a));
        rest.truncate(MOST - chosen.len());
        chosen.extend(rest);
    }
    chosen.sort_unstable_by(|a, b| b.cmp(a));
    chosen.truncate(MOST);
    chosen.into_iter().map(|(_, host)| host.clone()).collect()
}

/// Puts the guardian in the backend server's own failure domain in front, if there is one.
///
/// Only the order depends on the domain: a majority of the same set stays the same majority.
pub fn prefer(guardians: &mut [id::Host], roster: &Roster, domain: &id::Domain) {
    let near = |host: &id::Host| {
        let entry = roster.hosts.get(host);
        entry.is_some_and(|entry| entry.domain == *domain)
    };
    guardians.sort_by_key(|host| !near(host));
}

/// How many of `count` guardians are a majority.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
