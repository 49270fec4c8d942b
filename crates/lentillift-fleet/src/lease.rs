//! Lease of one process on one backend server: grants of a majority of the server's guardians.
//!
//! The holder counts a grant from when it *sent* the claim, the guardian from when it received it.
//! The holder therefore stops first, however long messages take. Clocks need not be synchronised;
//! only their rates must differ by less than [`Options::drift`] within a term.

use crate::grant::Attempt;
use crate::guardian;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parameters of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Options {
    /// Duration of a grant.
    pub term: Duration,
    /// Largest amount by which a holder's clock may fall behind a guardian's within a term.
    pub drift: Duration,
    /// How long after a change of the host list the guardians removed from it may still grant.
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

/// Guardians of an earlier host list, which may still grant to a process that uses that list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PreviousGuardians {
    hosts: Vec<id::Host>,
    /// Revision of the list that replaced the earlier one.
    replaced_by: id::Revision,
    /// When this process saw the list change.
    since: Time,
}

/// The guardians whose grants make a lease.
///
/// After a change of the host list a majority of the earlier guardians is needed too, until some
/// holder has had it once. From then on the earlier guardians refuse every process that still uses
/// the earlier list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// Guardians according to the host list in force at this process.
    pub current: Vec<id::Host>,
    /// Revision of that list.
    pub revision: id::Revision,
    /// Earlier guardians that are not known to use a newer list, oldest first.
    prior: Vec<PreviousGuardians>,
    /// Revision of the host list; guardians that are only on older lists can no longer grant.
    // INVARIANT: Never decreases, and no element of `prior` was replaced by this or an earlier
    // revision.
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

    /// Switches to the guardians of a newer host list.
    pub fn change(&mut self, now: Time, current: Vec<id::Host>, revision: id::Revision) {
        self.revision = revision;
        let mut sorted = (self.current.clone(), current.clone());
        sorted.0.sort_unstable();
        sorted.1.sort_unstable();
        let old = std::mem::replace(&mut self.current, current);
        if sorted.0 != sorted.1 && !old.is_empty() && self.sealed < revision {
            let prior = PreviousGuardians {
                hosts: old,
                replaced_by: revision,
                since: now,
            };
            self.prior.push(prior);
        }
    }

    /// Drops earlier guardians, because a holder that uses list `revision` has had their majority.
    pub fn seal(&mut self, revision: id::Revision) {
        self.sealed = self.sealed.max(revision);
        let sealed = self.sealed;
        self.prior.retain(|prior| prior.replaced_by > sealed);
    }

    /// Revision of the host list; guardians that are only on older lists can no longer grant.
    pub fn sealed(&self) -> id::Revision {
        self.sealed
    }

    /// When the list in force became known here; zero if no earlier guardians matter any more.
    fn since(&self) -> Time {
        let since = self.prior.iter().map(|prior| prior.since);
        since.max().unwrap_or_default()
    }

    /// Drops earlier guardians most of whom have left the list, once `settle` has passed since the
    /// change.
    pub fn drop_departed<F>(&mut self, now: Time, settle: Duration, listed: F)
    where
        F: Fn(&id::Host) -> bool,
    {
        self.prior.retain(|prior| {
            let left = prior.hosts.iter().filter(|host| listed(host)).count();
            left >= guardian::majority(prior.hosts.len()) || now < prior.since + settle
        });
    }

    /// All guardians that a claim must be sent to, current and earlier ones.
    pub fn hosts(&self) -> Vec<id::Host> {
        let prior = self.prior.iter().flat_map(|prior| &prior.hosts);
        let mut hosts: Vec<_> = self.current.iter().chain(prior).cloned().collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// End of the lease that `grants` make.
    fn until(&self, grants: &BTreeMap<id::Host, Time>) -> Time {
        let prior = self.prior.iter().map(|prior| &prior.hosts);
        let sets = std::iter::once(&self.current).chain(prior);
        let untils = sets.map(|hosts| majority_until(hosts, grants));
        untils.min().unwrap_or_default()
    }
}

/// Time until which a majority of `hosts` has granted.
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
    /// End of each guardian's grant, by this process's clock.
    grants: BTreeMap<id::Host, Time>,
}

impl Lease {
    /// Starts an attempt without grants.
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

    /// Records a grant that answers a claim sent at `sent`.
    pub fn record_grant(&mut self, host: &id::Host, sent: Time, options: &Options) {
        let until = sent + options.term.saturating_sub(options.drift);
        let old = self.grants.entry(host.clone()).or_default();
        *old = until.max(*old);
    }

    /// End of the lease: no work may be in flight at the backend server after it.
    pub fn until(&self, quorum: &Quorum) -> Time {
        quorum.until(&self.grants)
    }

    /// Whether every grant that makes up this lease was given for a claim that used the list in
    /// force.
    pub fn seals(&self, quorum: &Quorum, options: &Options) -> bool {
        // A grant for a claim that was sent after the change ends a term after the change at the
        // earliest.
        let least = quorum.since() + options.term.saturating_sub(options.drift);
        self.until(quorum) >= least
    }
}
