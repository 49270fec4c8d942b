//! From whom a host learns what is published.
//!
//! Pattern: each read of the service that publishes is counted over the whole fleet, and 760 hosts
//! that each watch it would use up its rate. One host of a region reads it; one host of each failure
//! domain follows that one; the others follow the one in their failure domain. So the reads do not
//! grow with the fleet, and each change crosses once into each failure domain.
//!
//! Nobody elects anybody: each host ranks those that it knows of by rendezvous hashing. Two that
//! disagree cost some reads. Whoever is followed says how old its knowledge is, so a host that is cut
//! off from the service, or a circle of hosts that follow each other, shows by its age, and its
//! followers go on to the next in their order, which ends with the service itself.

use crate::rendezvous;
use lentillift_core::id;

/// Key under which hosts are ranked.
const KEY: &str = "reader";

/// Where a host learns what is published.
#[derive(Debug, Clone, PartialEq, Eq)]
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

/// Where `me` should learn, the best first, given the other hosts of its region that answer.
pub fn order(me: &Candidate, others: &[Candidate]) -> Vec<Origin> {
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
