//! Lease state of all backend servers that this process guards, claims or holds.
//!
//! Scenario: a host dies, pauses or is taken out of service while its backend servers are in use.
//! Without leases two processes may each send a server its full limit. With them a process sends
//! only while a majority of the server's guardians allows it. The first guardian claims; the next
//! one takes over when the grant that it gave has expired without renewal; a holder that is not the
//! first guardian hands over to a better one as soon as that one claims.

mod claim;
mod guard;
mod handover;
mod stage;

use crate::grant;
use crate::grant::Attempt;
use crate::grant::Claim;
use crate::grant::GrantTable;
use crate::grant::Holder;
use crate::lease;
use crate::lease::Quorum;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use stage::Entry;
use stage::Stage;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Parameters of the leases of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Duration of grants, and the margins that holders subtract.
    pub lease: lease::Options,
    /// Renewal period; all renewals for one guardian go in one message.
    pub renew: Duration,
    /// Time between two claims of a server that is not yet granted; after twice this time the
    /// attempt is given up.
    pub retry: Duration,
    /// Delay with which each further guardian claims a vacant server.
    ///
    /// Without it all guardians claim at once, split the grants and all fail. It is longer than the
    /// time that a claim takes between any two hosts of a region.
    pub stagger: Duration,
    /// Time that a process must have run before it requests servers from their present holders.
    ///
    /// Without it a host that restarts over and over moves its servers twice at each start.
    pub settle: Duration,
    /// Time for which a hand-over waits for requests in flight before it passes them on as a count.
    pub drain: Duration,
    /// Time for which a hand-over that is not confirmed holds queued sub-requests back.
    pub confirm: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: lease::Options::default(),
            renew: Duration::from_secs(1),
            retry: Duration::from_millis(200),
            stagger: Duration::from_millis(500),
            settle: Duration::from_secs(6),
            drain: Duration::from_millis(500),
            confirm: Duration::from_millis(500),
        }
    }
}

/// Whether this process may send work to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseState {
    /// It may not; the host is the holder, if one is known.
    No(Option<id::Host>),
    /// It will soon, or another process will: work may wait, and must not be sent.
    Pending,
    /// It may until this time, by this process's clock.
    Until(Time),
}

/// State of a backend server that a holder passes to its successor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Backend server that is handed over.
    pub backend: id::Backend,
    /// Previous holder; it sends nothing more.
    pub from: Holder,
    /// Number of concurrent requests that the backend server may run, as far as it has warmed up.
    pub limit: u32,
    /// Number of requests of the previous holder that are still in flight.
    pub in_flight: u32,
    /// Time after which none of these is in flight any more.
    pub left: Duration,
}

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send claims to a guardian.
    Claim {
        /// Guardian that receives the claims.
        to: id::Host,
        /// When the claims are sent, by this process's clock; the answer returns it.
        sent: Time,
        /// One claim per backend server.
        claims: Vec<Claim>,
    },
    /// Release grants of a guardian.
    Release {
        /// Guardian that gave the grants.
        to: id::Host,
        /// Backend servers with the attempts that are given up.
        released: Vec<(id::Backend, Attempt)>,
    },
    /// This process may send work to the backend server.
    Acquired {
        /// Backend server that was acquired.
        backend: id::Backend,
        /// State that the previous holder passed on; none without a hand-over.
        transfer: Option<Transfer>,
    },
    /// Tell the previous holder that the hand-over is complete.
    Confirm {
        /// Previous holder.
        to: id::Host,
        /// Backend server that was handed over.
        backend: id::Backend,
    },
    /// The lease state of a backend server has changed.
    Changed(id::Backend),
}

/// Lease state of all backend servers that this process guards, claims or holds.
#[derive(Debug)]
pub struct LeaseManager {
    host: id::Host,
    incarnation: id::Incarnation,
    options: Options,
    started: Time,
    view: Arc<View>,
    grants: GrantTable,
    entries: BTreeMap<id::Backend, Entry>,
    attempts: Attempt,
    next_renewal: Time,
    next_retry: Time,
    leaving: bool,
}
impl LeaseManager {
    /// Starts at `now` without a view.
    pub fn new(now: Time, host: id::Host, incarnation: id::Incarnation, options: Options) -> Self {
        let term = options.lease.term;
        Self {
            host,
            incarnation,
            options,
            started: now,
            view: Arc::default(),
            grants: GrantTable::new(now, grant::Options { term }),
            entries: BTreeMap::new(),
            attempts: 0,
            next_renewal: now,
            next_retry: now,
            leaving: false,
        }
    }

    /// Whether this process grants: a full term has passed since its start.
    pub fn is_settled(&self, now: Time) -> bool {
        self.grants.is_settled(now)
    }

    /// Whether the backend servers that this process guards have holders, or had time to get them.
    ///
    /// If a process reported itself ready at once, a rolling restart would go on while it grants
    /// nothing yet; with the next one down, no majority would be left.
    pub fn is_ready(&self, now: Time) -> bool {
        let held = |backend| self.grants.holder(now, backend).is_some();
        let late = now >= self.started + self.options.lease.term * 2;
        self.is_settled(now) && (late || self.entries.keys().all(held))
    }

    /// Whether this process may send work to `backend`.
    pub fn lease_state(&self, now: Time, backend: &id::Backend) -> LeaseState {
        let Some(entry) = self.entries.get(backend) else {
            return LeaseState::No(None);
        };
        match &entry.stage {
            Stage::Idle { holder, .. } => {
                let granted = self.grants.holder(now, backend);
                let holder = granted.or(holder.as_ref());
                let other = holder.filter(|holder| **holder != self.host).cloned();
                LeaseState::No(other.or_else(|| self.likely_holder(backend)))
            }
            Stage::Claiming { transfer: None, .. } => LeaseState::No(self.likely_holder(backend)),
            Stage::Claiming { .. } | Stage::Ceding { .. } => LeaseState::Pending,
            Stage::Holding { lease } => LeaseState::Until(lease.until(&entry.quorum)),
            Stage::Ceded { .. } => LeaseState::Pending,
        }
    }

    /// The backend servers that this process holds.
    pub fn held(&self) -> impl Iterator<Item = &id::Backend> {
        let entries = self.entries.iter();
        let held = entries.filter(|(_, entry)| matches!(entry.stage, Stage::Holding { .. }));
        held.map(|(backend, _)| backend)
    }

    /// The backend servers that wait for requests in flight before they are handed over, each with
    /// whether the wait is over.
    pub fn ceding(&self, now: Time) -> Vec<(id::Backend, bool)> {
        let ceding = self.entries.iter().filter_map(|(backend, entry)| {
            let Stage::Ceding { since, .. } = entry.stage else {
                return None;
            };
            Some((backend.clone(), now >= since + self.options.drain))
        });
        ceding.collect()
    }

    /// Whether nothing is held, claimed or being handed over.
    pub fn is_empty(&self) -> bool {
        let mut stages = self.entries.values().map(|entry| &entry.stage);
        stages.all(|stage| matches!(stage, Stage::Idle { .. }))
    }

    /// Adopts a new view of the fleet.
    pub fn set_view(&mut self, now: Time, view: Arc<View>) -> Vec<Effect> {
        let old = std::mem::replace(&mut self.view, view.clone());
        if old.generation == view.generation && view.generation > 0 {
            return Vec::new();
        }
        let Some(roster) = &view.values.roster else {
            return Vec::new();
        };
        let old_revision = old.values.roster.as_ref().map(|old| old.revision);
        for (name, backend) in view.backends.iter() {
            let is_guardian = backend.guardians.contains(&self.host);
            if let Some(entry) = self.entries.get_mut(name) {
                if entry.quorum.revision != roster.revision {
                    let guardians = backend.guardians.clone();
                    entry.quorum.change(now, guardians, roster.revision);
                }
            } else if is_guardian {
                let known = old.backends.get(name);
                let known = known.filter(|known| known.guardians != backend.guardians);
                let mut quorum = match (known, old_revision) {
                    (Some(known), Some(revision)) => Quorum::new(known.guardians.clone(), revision),
                    _ => Quorum::new(backend.guardians.clone(), roster.revision),
                };
                if quorum.revision != roster.revision {
                    quorum.change(now, backend.guardians.clone(), roster.revision);
                }
                let stage = Stage::idle(now);
                self.entries.insert(name.clone(), Entry { quorum, stage });
            }
        }
        let host = &self.host;
        self.grants.retain(|name| view.backends.contains_key(name));
        self.entries.retain(|name, entry| {
            let known = view.backends.get(name);
            let idle = matches!(entry.stage, Stage::Idle { .. });
            known.is_some_and(|known| !idle || known.guardians.contains(host))
        });
        self.next_renewal = now;
        self.tick(now)
    }

    /// Does what is due: renews leases, claims vacant servers, hands over servers that others
    /// should hold.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let renew = now >= self.next_renewal;
        let retry = now >= self.next_retry;
        if renew {
            self.next_renewal = now + self.options.renew;
        }
        if retry {
            self.next_retry = now + self.options.retry;
        }
        let mut effects = Vec::new();
        let mut due = Vec::new();
        let names: Vec<id::Backend> = self.entries.keys().cloned().collect();
        for name in names {
            self.drop_departed_guardians(now, &name);
            effects.extend(self.advance(now, &name));
            if self.is_due(&name, renew, retry) {
                due.push(name);
            }
        }
        effects.extend(self.send_claims(now, &due));
        effects
    }
}
