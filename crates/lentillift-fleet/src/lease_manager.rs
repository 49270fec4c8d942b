//! All backend servers that this process guards, claims or holds.
//!
//! Pattern: a host dies, pauses or is taken out while its backend servers are in use. Without this
//! module two processes may each send a server its full limit. With it a process sends only while a
//! majority of the server's guardians lets it. The first guardian claims; the next takes over when
//! the grant that it gave itself has run out unrenewed; a holder that is not the first guardian
//! hands over to a better one as soon as that one asks.

mod claim;
mod guard;
mod handover;
mod stage;

use crate::grant;
use crate::grant::Attempt;
use crate::grant::Claim;
use crate::grant::Holder;
use crate::grant::Register;
use crate::lease;
use crate::lease::Quorum;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use stage::Place;
use stage::Stage;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Figures of the leases of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long guardians grant, and with what margins holders count it.
    pub lease: lease::Options,
    /// Time between renewals; all renewals for one guardian go in one message.
    pub renew: Duration,
    /// Time between claims of one that is not yet granted, and before it is given up.
    pub retry: Duration,
    /// How much later each further guardian claims what is vacant.
    ///
    /// Without it all guardians claim at once, split the grants and all fail. Longer than the time
    /// that a claim takes between any two hosts of a region.
    pub stagger: Duration,
    /// How long a process must have run before it asks to have its servers handed back.
    ///
    /// Without it a host that restarts over and over moves its servers twice at each start.
    pub settle: Duration,
    /// How long a hand-over waits for requests under way before it passes them on as a count.
    pub drain: Duration,
    /// How long a hand-over that nobody confirms holds queued sub-requests back.
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
    /// It may not; if another host is known to, that one is named.
    No(Option<id::Host>),
    /// It will soon, or another will: work may wait, and must not be sent.
    Pending,
    /// It may until then, by this process's clock.
    Until(Time),
}

/// What a holder passes to its successor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The backend server.
    pub backend: id::Backend,
    /// The holder that gives it up; it sends nothing more.
    pub from: Holder,
    /// Requests that the backend server may run at a time, as far as it has warmed up.
    pub limit: u32,
    /// Requests that it still has from the holder that gives it up.
    pub in_flight: u32,
    /// Time after which it has none of these any more.
    pub left: Duration,
}

/// What a process wants done about its leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send claims to a guardian.
    Claim {
        /// The guardian.
        to: id::Host,
        /// When they are sent, by this process's clock; the answer brings it back.
        sent: Time,
        /// The claims.
        claims: Vec<Claim>,
    },
    /// Give grants back to a guardian.
    Release {
        /// The guardian.
        to: id::Host,
        /// The backend servers, with the attempts that are given up.
        released: Vec<(id::Backend, Attempt)>,
    },
    /// This process may send work; the transfer is there after a hand-over.
    Acquired {
        /// The backend server.
        backend: id::Backend,
        /// What the holder before it passed on.
        transfer: Option<Transfer>,
    },
    /// Tell the holder before this one that the hand-over is complete.
    Confirm {
        /// The holder before this one.
        to: id::Host,
        /// The backend server.
        backend: id::Backend,
    },
    /// What may be done with a backend server has changed.
    Changed(id::Backend),
}

/// All backend servers that this process guards, claims or holds.
#[derive(Debug)]
pub struct LeaseManager {
    host: id::Host,
    incarnation: id::Incarnation,
    options: Options,
    started: Time,
    view: Arc<View>,
    register: Register,
    places: BTreeMap<id::Backend, Place>,
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
            register: Register::new(now, grant::Options { term }),
            places: BTreeMap::new(),
            attempts: 0,
            next_renewal: now,
            next_retry: now,
            leaving: false,
        }
    }

    /// Whether this process grants: a full term has passed since its start.
    pub fn is_settled(&self, now: Time) -> bool {
        self.register.is_settled(now)
    }

    /// Whether the backend servers that this process guards have holders, or had time to get them.
    ///
    /// A process that called itself ready at once would let a rolling restart go on while it grants
    /// nothing yet; with the next one down, no majority would be left.
    pub fn is_ready(&self, now: Time) -> bool {
        let held = |backend| self.register.holder(now, backend).is_some();
        let late = now >= self.started + self.options.lease.term * 2;
        self.is_settled(now) && (late || self.places.keys().all(held))
    }

    /// Whether this process may send work to `backend`.
    pub fn lease_state(&self, now: Time, backend: &id::Backend) -> LeaseState {
        let Some(place) = self.places.get(backend) else {
            return LeaseState::No(None);
        };
        match &place.stage {
            Stage::Idle { holder, .. } => {
                let granted = self.register.holder(now, backend);
                let holder = granted.or(holder.as_ref());
                let other = holder.filter(|holder| **holder != self.host).cloned();
                LeaseState::No(other.or_else(|| self.likely(backend)))
            }
            Stage::Claiming { transfer: None, .. } => LeaseState::No(self.likely(backend)),
            Stage::Claiming { .. } | Stage::Ceding { .. } => LeaseState::Pending,
            Stage::Holding { lease } => LeaseState::Until(lease.until(&place.quorum)),
            Stage::Ceded { .. } => LeaseState::Pending,
        }
    }

    /// The backend servers that this process holds.
    pub fn held(&self) -> impl Iterator<Item = &id::Backend> {
        let places = self.places.iter();
        let held = places.filter(|(_, place)| matches!(place.stage, Stage::Holding { .. }));
        held.map(|(backend, _)| backend)
    }

    /// The backend servers that wait for requests under way before they are handed over, each with
    /// whether the wait is over.
    pub fn ceding(&self, now: Time) -> Vec<(id::Backend, bool)> {
        let ceding = self.places.iter().filter_map(|(backend, place)| {
            let Stage::Ceding { since, .. } = place.stage else {
                return None;
            };
            Some((backend.clone(), now >= since + self.options.drain))
        });
        ceding.collect()
    }

    /// Whether nothing is held or on its way to a successor.
    pub fn is_empty(&self) -> bool {
        let mut stages = self.places.values().map(|place| &place.stage);
        stages.all(|stage| matches!(stage, Stage::Idle { .. }))
    }

    /// Takes a new view of the fleet.
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
            let guards = backend.guardians.contains(&self.host);
            if let Some(place) = self.places.get_mut(name) {
                if place.quorum.revision != roster.revision {
                    let guardians = backend.guardians.clone();
                    place.quorum.change(now, guardians, roster.revision);
                }
            } else if guards {
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
                self.places.insert(name.clone(), Place { quorum, stage });
            }
        }
        let host = &self.host;
        self.register
            .retain(|name| view.backends.contains_key(name));
        self.places.retain(|name, place| {
            let known = view.backends.get(name);
            let idle = matches!(place.stage, Stage::Idle { .. });
            known.is_some_and(|known| !idle || known.guardians.contains(host))
        });
        self.next_renewal = now;
        self.tick(now)
    }

    /// Does what is due: renews, claims what is vacant, hands over what others should hold.
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
        let names: Vec<id::Backend> = self.places.keys().cloned().collect();
        for name in names {
            self.settle(now, &name);
            effects.extend(self.advance(now, &name));
            if self.is_due(&name, renew, retry) {
                due.push(name);
            }
        }
        effects.extend(self.send_claims(now, &due));
        effects
    }
}
