//! What one guardian has granted.
//!
//! A guardian grants a backend server to one holder at a time, until its own clock passes the term.
//! All of it is in memory only: after a restart the guardian grants nothing until a full term has
//! passed, because what it granted before may still be in use. Without that wait, a guardian that
//! restarts within a term grants the same backend server twice, which shows as more requests in
//! flight than the server's limit.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of an attempt to hold a backend server, never used twice by one incarnation.
pub type Attempt = u64;

/// Who holds a backend server, or wants to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Its host.
    pub host: id::Host,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Its attempt.
    pub attempt: Attempt,
}

/// A request to hold one backend server, or to go on holding it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// The backend server.
    pub backend: id::Backend,
    /// The attempt that the grant is to count for.
    pub attempt: Attempt,
    /// The holder that has handed over to the one that claims.
    pub ceded_by: Option<Holder>,
    /// The host list's revision that the one that claims goes by.
    pub revision: id::Revision,
    /// Up to which revision of the host list no earlier guardians can grant any more.
    pub sealed: id::Revision,
}

/// A guardian's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Granted for a term, counted from when the claim was sent.
    Granted,
    /// Another host holds it.
    Held(id::Host),
    /// The guardian started less than a term ago.
    Starting,
    /// The claim goes by an older host list than one the guardian has granted by.
    Outdated,
}

/// Figures of a guardian.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a grant lasts.
    ///
    /// Three renewals, one a second, fit in: two lost in a row do not end a lease. It is also how
    /// long a backend server goes without an owner after a kill, while its replicas serve.
    pub term: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
        }
    }
}

/// A grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grant {
    holder: Holder,
    until: Time,
    /// Newest host list that was granted by; claims by older ones are refused for good.
    // INVARIANT: Never falls, also when the grant itself has ended.
    floor: id::Revision,
}

/// All grants of one guardian.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Register {
    options: Options,
    started: Time,
    grants: BTreeMap<id::Backend, Grant>,
}

impl Register {
    /// Starts at `now` with no memory of what an earlier incarnation granted.
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

    /// Decides on a claim by `from` and remembers a grant.
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

    /// Ends a grant that its holder gives back.
    pub fn release(&mut self, now: Time, backend: &id::Backend, from: &Holder) {
        if let Some(grant) = self.grants.get_mut(backend)
            && grant.holder == *from
        {
            grant.until = grant.until.min(now);
        }
    }

    /// When the last grant of `backend` ended or will end; the start, if there was none.
    pub fn vacant_from(&self, backend: &id::Backend) -> Time {
        let settled = self.started + self.options.term;
        let grant = self.grants.get(backend);
        grant.map_or(settled, |grant| grant.until.max(settled))
    }

    /// The host that holds `backend` as far as this guardian knows.
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
