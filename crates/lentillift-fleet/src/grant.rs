//! Grants of one guardian.
//!
//! A guardian grants a backend server to one holder at a time, until its own clock passes the term.
//! Grants are kept in memory only: after a restart the guardian grants nothing until a full term
//! has passed, because its earlier grants may still be in use. Without that wait, a guardian that
//! restarts within a term grants the same backend server twice, which shows as more requests in
//! flight than the server's limit.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of an attempt to hold a backend server, never reused within one incarnation.
pub type Attempt = u64;

/// Holder of a backend server, or a claimant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Host of the holder.
    pub host: id::Host,
    /// Incarnation of the process on that host.
    pub incarnation: id::Incarnation,
    /// Attempt for which the grant was claimed.
    pub attempt: Attempt,
}

/// Request to acquire or renew a lease on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// Backend server that is claimed.
    pub backend: id::Backend,
    /// Attempt that the grant counts for.
    pub attempt: Attempt,
    /// Previous holder, if it has handed the server over to the claimant.
    pub ceded_by: Option<Holder>,
    /// Revision of the host list that the claimant uses.
    pub revision: id::Revision,
    /// Revision of the host list; guardians that are only on older lists can no longer grant.
    pub sealed: id::Revision,
}

/// A guardian's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Granted for a term, which the holder counts from when it sent the claim.
    Granted,
    /// Another host holds it.
    Held(id::Host),
    /// The guardian started less than a term ago.
    Starting,
    /// The claim uses an older host list than one that the guardian has granted by.
    Outdated,
}

/// Parameters of a guardian.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Options {
    /// Duration of a grant.
    ///
    /// Three renewals, one per second, fit in, so that two lost in a row do not end a lease. It is
    /// also how long a backend server goes without an owner after its holder is killed, while its
    /// replicas serve.
    pub term: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
        }
    }
}

/// The latest grant of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grant {
    holder: Holder,
    until: Time,
    /// Newest host list that a grant was based on; claims based on older ones are refused
    /// permanently.
    // INVARIANT: Never decreases, even after the grant itself has ended.
    floor: id::Revision,
}

/// All grants of one guardian.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantTable {
    options: Options,
    started: Time,
    grants: BTreeMap<id::Backend, Grant>,
}

impl GrantTable {
    /// Starts at `now`, without any record of what an earlier incarnation granted.
    pub fn new(now: Time, options: Options) -> Self {
        Self {
            options,
            started: now,
            grants: BTreeMap::new(),
        }
    }

    /// Whether a full term has passed since the start.
    pub fn is_settled(&self, now: Time) -> bool {
        now >= self.started + self.options.term
    }

    /// Decides on a claim by `from` and records a grant.
    pub fn claim(&mut self, now: Time, from: &Holder, claim: &Claim) -> Verdict {
        if !self.is_settled(now) {
            return Verdict::Starting;
        }
        let until = now + self.options.term;
        let Some(grant) = self.grants.get_mut(&claim.backend) else {
            let grant = Grant {
                holder: from.clone(),
                until,
                floor: claim.revision,
            };
            self.grants.insert(claim.backend.clone(), grant);
            return Verdict::Granted;
        };
        if claim.revision < grant.floor {
            return Verdict::Outdated;
        }
        let ceded = claim.ceded_by.as_ref() == Some(&grant.holder);
        if now < grant.until && grant.holder != *from && !ceded {
            return Verdict::Held(grant.holder.host.clone());
        }
        grant.holder = from.clone();
        grant.until = until;
        grant.floor = claim.revision;
        Verdict::Granted
    }

    /// Ends a grant that its holder releases.
    pub fn release(&mut self, now: Time, backend: &id::Backend, from: &Holder) {
        if let Some(grant) = self.grants.get_mut(backend)
            && grant.holder == *from
        {
            grant.until = grant.until.min(now);
        }
    }

    /// When the latest grant of `backend` ends or has ended; the end of the wait after the start,
    /// if there was none.
    pub fn vacant_from(&self, backend: &id::Backend) -> Time {
        let settled = self.started + self.options.term;
        let grant = self.grants.get(backend);
        grant.map_or(settled, |grant| grant.until.max(settled))
    }

    /// The host that holds `backend` according to this guardian's grants.
    pub fn holder(&self, now: Time, backend: &id::Backend) -> Option<&id::Host> {
        let grant = self.grants.get(backend)?;
        (now < grant.until).then_some(&grant.holder.host)
    }

    /// Forgets backend servers that are no longer published.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::Backend) -> bool,
    {
        self.grants.retain(|backend, _| keep(backend));
    }
}
