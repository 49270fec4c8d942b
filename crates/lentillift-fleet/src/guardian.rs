//! Guardians: the few hosts whose majority decides who may send work to a backend server.
//!
//! They are computed only from the backend server's name and one revision of the published host
//! list, not from anyone's view of who is alive. Two processes that use the same revision choose
//! the same guardians, however much the rest of their state differs.

use crate::rendezvous;
use lentillift_core::id;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Maximum number of guardians of one backend server.
///
/// Three tolerate the loss of one; five would tolerate two at the cost of two thirds more messages.
pub const MAX_COUNT: usize = 3;

/// Chooses the guardians of `backend` in `domain`: the hosts with the highest weights, of different
/// failure domains.
///
/// They are in the backend server's region, so that regions that lose contact with each other both
/// keep their majorities; otherwise half of all backend servers would have no holder on their own
/// side. With fewer domains than [`MAX_COUNT`], further hosts of the same domains fill the places,
/// so that the loss of one host still leaves a majority.
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
    if chosen.len() < MAX_COUNT {
        let taken: BTreeSet<_> = chosen.iter().map(|(_, host)| *host).collect();
        let rest = live.filter(|(host, _)| !taken.contains(host));
        let mut rest: Vec<_> = rest.map(|(host, _)| (key.weight(host), host)).collect();
        rest.sort_unstable_by(|a, b| b.cmp(a));
        rest.truncate(MAX_COUNT - chosen.len());
        chosen.extend(rest);
    }
    chosen.sort_unstable_by(|a, b| b.cmp(a));
    chosen.truncate(MAX_COUNT);
    chosen.into_iter().map(|(_, host)| host.clone()).collect()
}

/// Moves the guardian in the backend server's own failure domain to the front, if there is one.
///
/// Only the order depends on the domain; a majority of the same set stays the same majority.
pub fn prefer_domain(guardians: &mut [id::Host], roster: &Roster, domain: &id::Domain) {
    let is_local = |host: &id::Host| {
        let entry = roster.hosts.get(host);
        entry.is_some_and(|entry| entry.domain == *domain)
    };
    guardians.sort_by_key(|host| !is_local(host));
}

/// Size of a majority of `count` guardians.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
