//! One process's lease on one backend server: grants of a majority of its guardians.
//!
//! A holder counts a grant from when it *sent* the claim, a guardian from when it received it. So
//! the holder stops first, however long messages take, and clocks need no common time, only rates
//! that differ by less than [`Options::drift`] in a term.

use crate::grant::Attempt;
use crate::guardian;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Figures of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a guardian grants.
    pub term: Duration,
    /// How much a holder's clock may fall behind a guardian's in a term.
    pub drift: Duration,
    /// How long after a change of the host list guardians that are gone from it may still grant.
    ///
    /// Matters only when two of three guardians left the list at once; see [`Quorum`].
    pub settle: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
            drift: Duration::from_millis(100),
            settle: Duration::from_secs(10),
        }
    }
}

/// Guardians of an earlier host list that may still grant to someone who goes by it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Prior {
    hosts: Vec<id::Host>,
    /// The revision of the list that took the earlier one's place.
    replaced_by: id::Revision,
    /// When this process saw the list change.
    since: Time,
}

/// The guardians whose grants make a lease.
///
/// After a change of the host list a majority of the earlier guardians is needed too, until a
/// holder had it once: from then on these refuse whoever still goes by the earlier list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// The guardians by the host list in force here.
    pub current: Vec<id::Host>,
    /// The revision of that list.
    pub revision: id::Revision,
    /// Earlier guardians that are not known to go by a newer list, oldest first.
    prior: Vec<Prior>,
    /// Up to this revision of the list no earlier guardians can grant any more.
    // INVARIANT: Never falls, and no member of `prior` was replaced by it or an earlier one.
    sealed: id::Revision,
}

impl Quorum {
    /// Starts with the guardians of the first host list seen.
    pub fn new(current: Vec<id::Host>, revision: id::Revision) -> Self {
        Self {
            current,
            revision,
            prior: Vec::new(),
            sealed: 0,
        }
    }

    /// Goes over to the guardians of a newer host list.
    pub fn change(&mut self, now: Time, current: Vec<id::Host>, revision: id::Revision) {
        self.revision = revision;
        let mut sorted = (self.current.clone(), current.clone());
        sorted.0.sort_unstable();
        sorted.1.sort_unstable();
        let old = std::mem::replace(&mut self.current, current);
        if sorted.0 != sorted.1 && !old.is_empty() && self.sealed < revision {
            let prior = Prior {
                hosts: old,
                replaced_by: revision,
                since: now,
            };
            self.prior.push(prior);
        }
    }

    /// Drops earlier guardians: a holder that goes by list `revision` has had their majority.
    pub fn seal(&mut self, revision: id::Revision) {
        self.sealed = self.sealed.max(revision);
        let sealed = self.sealed;
        self.prior.retain(|prior| prior.replaced_by > sealed);
    }

    /// Up to which revision no earlier guardians can grant any more.
    pub fn sealed(&self) -> id::Revision {
        self.sealed
    }

    /// Since when the list in force has been known, as far as earlier guardians still matter.
    fn since(&self) -> Time {
        let since = self.prior.iter().map(|prior| prior.since);
        since.max().unwrap_or_default()
    }

    /// Drops earlier guardians most of whom are gone from the list for a stated time.
    pub fn settle<F>(&mut self, now: Time, settle: Duration, listed: F)
    where
        F: Fn(&id::Host) -> bool,
    {
        self.prior.retain(|prior| {
            let left = prior.hosts.iter().filter(|host| listed(host)).count();
            left >= guardian::majority(prior.hosts.len()) || now < prior.since + settle
        });
    }

    /// All hosts to ask.
    pub fn hosts(&self) -> Vec<id::Host> {
        let prior = self.prior.iter().flat_map(|prior| &prior.hosts);
        let mut hosts: Vec<_> = self.current.iter().chain(prior).cloned().collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Until when `grants` make a lease.
    fn until(&self, grants: &BTreeMap<id::Host, Time>) -> Time {
        let prior = self.prior.iter().map(|prior| &prior.hosts);
        let sets = std::iter::once(&self.current).chain(prior);
        let untils = sets.map(|hosts| majority_until(hosts, grants));
        untils.min().unwrap_or_default()
    }
}

/// Until when a majority of `hosts` has granted.
fn majority_until(hosts: &[id::Host], grants: &BTreeMap<id::Host, Time>) -> Time {
    if hosts.is_empty() {
        return Time::ZERO;
    }
    let granted = |host| grants.get(host).copied().unwrap_or_default();
    let mut untils: Vec<Time> = hosts.iter().map(granted).collect();
    untils.sort_unstable_by(|a, b| b.cmp(a));
    untils[guardian::majority(hosts.len()) - 1]
}

/// One attempt to hold one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The attempt's number.
    pub attempt: Attempt,
    /// Until when each guardian has granted, by this process's clock.
    grants: BTreeMap<id::Host, Time>,
}

impl Lease {
    /// Starts without grants.
    pub fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            grants: BTreeMap::new(),
        }
    }

    /// Whether no guardian has granted yet.
    pub fn is_new(&self) -> bool {
        self.grants.is_empty()
    }

    /// Notes a grant that answers a claim sent at `sent`.
    pub fn granted(&mut self, host: &id::Host, sent: Time, options: &Options) {
        let until = sent + options.term.saturating_sub(options.drift);
        let old = self.grants.entry(host.clone()).or_default();
        *old = until.max(*old);
    }

    /// Until when work may be under way at the backend server.
    pub fn until(&self, quorum: &Quorum) -> Time {
        quorum.until(&self.grants)
    }

    /// Whether every grant that makes this lease goes by the list in force.
    pub fn seals(&self, quorum: &Quorum, options: &Options) -> bool {
        // Grants for claims that were sent after the change end a term after it at the earliest.
        let least = quorum.since() + options.term.saturating_sub(options.drift);
        self.until(quorum) >= least
    }
}
