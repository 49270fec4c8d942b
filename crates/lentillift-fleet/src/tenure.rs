//! All backend servers that this process guards, claims or holds.
//!
//! Pattern: a host dies, pauses or is taken out while its backend servers are in use. Without this
//! module two processes may each send a server its full limit. With it a process sends only while a
//! majority of the server's guardians lets it. The first guardian claims; the next takes over when
//! the grant that it gave itself has run out unrenewed; a holder that is not the first guardian
//! hands over to a better one as soon as that one asks.

use crate::grant;
use crate::grant::Attempt;
use crate::grant::Claim;
use crate::grant::Holder;
use crate::grant::Register;
use crate::grant::Verdict;
use crate::lease;
use crate::lease::Lease;
use crate::lease::Quorum;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
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
pub enum Hold {
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

/// Where a process stands with a backend server.
#[derive(Debug)]
enum Stage {
    /// It does not hold it; nothing is claimed before `retry`.
    Idle {
        retry: Time,
        holder: Option<id::Host>,
    },
    /// It has asked for grants and has too few so far.
    Claiming {
        lease: Lease,
        since: Time,
        transfer: Option<Transfer>,
    },
    /// It may send work while the lease lasts.
    Holding { lease: Lease },
    /// It sends nothing more and waits for requests under way, to hand over.
    Ceding {
        lease: Lease,
        to: id::Host,
        since: Time,
    },
    /// It has handed over and will never use the attempt again.
    Ceded { to: id::Host, since: Time },
}

/// A backend server that this process guards, claims or holds.
#[derive(Debug)]
struct Place {
    quorum: Quorum,
    stage: Stage,
}

/// All backend servers that this process guards, claims or holds.
#[derive(Debug)]
pub struct Tenure {
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

impl Tenure {
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
    pub fn hold(&self, now: Time, backend: &id::Backend) -> Hold {
        let Some(place) = self.places.get(backend) else {
            return Hold::No(None);
        };
        match &place.stage {
            Stage::Idle { holder, .. } => {
                let granted = self.register.holder(now, backend);
                let holder = granted.or(holder.as_ref());
                Hold::No(holder.filter(|holder| **holder != self.host).cloned())
            }
            Stage::Claiming { transfer: None, .. } => Hold::No(None),
            Stage::Claiming { .. } | Stage::Ceding { .. } => Hold::Pending,
            Stage::Holding { lease } => Hold::Until(lease.until(&place.quorum)),
            Stage::Ceded { .. } => Hold::Pending,
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

    /// Forgets earlier guardians that can no longer grant.
    fn settle(&mut self, now: Time, name: &id::Backend) {
        let settle = self.options.lease.settle;
        let Some(place) = self.places.get_mut(name) else {
            return;
        };
        let roster = self.view.values.roster.as_ref();
        let listed = |host: &id::Host| roster.is_some_and(|list| list.hosts.contains_key(host));
        place.quorum.settle(now, settle, listed);
    }

    /// Moves one backend server to its next stage, if one is due.
    fn advance(&mut self, now: Time, name: &id::Backend) -> Vec<Effect> {
        let successor = self.successor(name);
        let wants = self.wants(now, name);
        let attempt = self.attempts + 1;
        let Some(place) = self.places.get_mut(name) else {
            return Vec::new();
        };
        match &place.stage {
            Stage::Idle { .. } if wants => {
                self.attempts = attempt;
                place.stage = Stage::Claiming {
                    lease: Lease::new(attempt),
                    since: now,
                    transfer: None,
                };
                self.next_retry = now;
                Vec::new()
            }
            Stage::Claiming { since, .. } if now >= *since + self.options.retry * 2 => {
                self.give_up(now, name)
            }
            Stage::Holding { lease } if now >= lease.until(&place.quorum) => {
                place.stage = Stage::idle(now);
                vec![Effect::Changed(name.clone())]
            }
            Stage::Holding { .. } => match successor {
                Some(to) => self.cede(now, name, to),
                None => Vec::new(),
            },
            Stage::Ceding { lease, .. } if now >= lease.until(&place.quorum) => {
                place.stage = Stage::idle(now);
                vec![Effect::Changed(name.clone())]
            }
            Stage::Ceded { to, since } if now >= *since + self.options.confirm => {
                let holder = Some(to.clone());
                let retry = now + self.options.renew;
                place.stage = Stage::Idle { retry, holder };
                vec![Effect::Changed(name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Whether this process should claim a backend server that it does not hold.
    fn wants(&self, now: Time, name: &id::Backend) -> bool {
        let Some(Place {
            stage: Stage::Idle { retry, .. },
            ..
        }) = self.places.get(name)
        else {
            return false;
        };
        let candidate = !self.leaving && !self.view.is_out(&self.host);
        if !candidate || now < *retry || !self.register.is_settled(now) {
            return false;
        }
        let Some(rank) = self.rank(name, &self.host) else {
            return false;
        };
        let vacant = self.register.vacant_from(name) + self.options.stagger * rank as u32;
        // The first guardian also asks for what another holds, once it has run for a while.
        let returns = rank == 0 && now >= self.started + self.options.settle;
        now >= vacant || returns
    }

    /// A guardian's place in the order in which they should hold a backend server.
    fn rank(&self, name: &id::Backend, host: &id::Host) -> Option<usize> {
        let backend = self.view.backends.get(name)?;
        let able = backend
            .guardians
            .iter()
            .filter(|host| !self.view.is_out(host));
        able.into_iter().position(|guardian| guardian == host)
    }

    /// To whom this process must hand over a backend server that it is not to hold any longer.
    fn successor(&self, name: &id::Backend) -> Option<id::Host> {
        let stays = !self.leaving && self.rank(name, &self.host).is_some();
        if stays {
            return None;
        }
        let backend = self.view.backends.get(name)?;
        let able = |host: &&id::Host| {
            **host != self.host && self.view.alive.contains(*host) && !self.view.is_out(host)
        };
        backend.guardians.iter().find(able).cloned()
    }

    fn is_due(&self, name: &id::Backend, renew: bool, retry: bool) -> bool {
        match self.places.get(name).map(|place| &place.stage) {
            Some(Stage::Holding { .. } | Stage::Ceding { .. }) => renew,
            Some(Stage::Claiming { lease, .. }) => retry || lease.is_new(),
            _ => false,
        }
    }

    /// Claims backend servers from all their guardians, in one message for each.
    fn send_claims(&self, now: Time, names: &[id::Backend]) -> Vec<Effect> {
        let mut batches: BTreeMap<id::Host, Vec<Claim>> = BTreeMap::new();
        for name in names {
            let Some(place) = self.places.get(name) else {
                continue;
            };
            let Some((lease, transfer)) = place.stage.lease() else {
                continue;
            };
            let claim = Claim {
                backend: name.clone(),
                attempt: lease.attempt,
                ceded_by: transfer.map(|transfer| transfer.from.clone()),
                revision: place.quorum.revision,
                sealed: place.quorum.sealed(),
            };
            for host in place.quorum.hosts() {
                batches.entry(host).or_default().push(claim.clone());
            }
        }
        let claims = batches.into_iter().map(|(to, claims)| Effect::Claim {
            to,
            sent: now,
            claims,
        });
        claims.collect()
    }

    /// Decides on claims as a guardian.
    pub fn claimed(
        &mut self,
        now: Time,
        host: &id::Host,
        incarnation: id::Incarnation,
        claims: &[Claim],
    ) -> (Vec<Verdict>, Vec<Effect>) {
        let mut verdicts = Vec::with_capacity(claims.len());
        let mut effects = Vec::new();
        for claim in claims {
            let from = Holder {
                host: host.clone(),
                incarnation,
                attempt: claim.attempt,
            };
            let verdict = self.register.claim(now, &from, claim);
            if let Some(place) = self.places.get_mut(&claim.backend) {
                place.quorum.seal(claim.sealed);
            }
            if matches!(&verdict, Verdict::Held(holder) if *holder == self.host) {
                effects.extend(self.asked(now, &claim.backend, host));
            }
            verdicts.push(verdict);
        }
        (verdicts, effects)
    }

    /// Hands over to a guardian that should rather hold a backend server and asks for it.
    fn asked(&mut self, now: Time, name: &id::Backend, by: &id::Host) -> Vec<Effect> {
        let holding = self.places.get(name);
        let holding = holding.is_some_and(|p| matches!(p.stage, Stage::Holding { .. }));
        let (Some(theirs), Some(ours)) = (self.rank(name, by), self.rank(name, &self.host)) else {
            return Vec::new();
        };
        if holding && theirs < ours {
            return self.cede(now, name, by.clone());
        }
        Vec::new()
    }

    /// Stops sending work to a backend server, to hand it over.
    fn cede(&mut self, now: Time, name: &id::Backend, to: id::Host) -> Vec<Effect> {
        let Some(place) = self.places.get_mut(name) else {
            return Vec::new();
        };
        let Stage::Holding { lease } = &place.stage else {
            return Vec::new();
        };
        place.stage = Stage::Ceding {
            lease: lease.clone(),
            to,
            since: now,
        };
        vec![Effect::Changed(name.clone())]
    }

    /// Gives a backend server up for good and names its successor, with the attempt given up.
    ///
    /// The caller must not send work after this, whatever becomes of the hand-over.
    pub fn hand_over(&mut self, now: Time, name: &id::Backend) -> Option<(id::Host, Holder)> {
        let place = self.places.get_mut(name)?;
        let Stage::Ceding { lease, to, .. } = &place.stage else {
            return None;
        };
        let from = Holder {
            host: self.host.clone(),
            incarnation: self.incarnation,
            attempt: lease.attempt,
        };
        let to = to.clone();
        place.stage = Stage::Ceded {
            to: to.clone(),
            since: now,
        };
        Some((to, from))
    }

    /// Takes up what another process hands over.
    pub fn handed(&mut self, now: Time, transfer: Transfer) -> Vec<Effect> {
        let name = transfer.backend.clone();
        if self.leaving || self.view.is_out(&self.host) {
            return Vec::new();
        }
        let Some(place) = self.places.get_mut(&name) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        match &place.stage {
            Stage::Idle { .. } => {}
            Stage::Claiming { .. } => effects.extend(self.give_up(now, &name)),
            _ => return Vec::new(),
        }
        self.attempts += 1;
        let stage = Stage::Claiming {
            lease: Lease::new(self.attempts),
            since: now,
            transfer: Some(transfer),
        };
        if let Some(place) = self.places.get_mut(&name) {
            place.stage = stage;
        }
        effects.push(Effect::Changed(name.clone()));
        effects.extend(self.send_claims(now, &[name]));
        effects
    }

    /// Notes that a successor has taken over.
    pub fn confirmed(&mut self, now: Time, name: &id::Backend, by: &id::Host) -> Vec<Effect> {
        let Some(place) = self.places.get_mut(name) else {
            return Vec::new();
        };
        match &place.stage {
            Stage::Ceded { to, .. } if to == by => {
                let retry = now + self.options.renew;
                let holder = Some(by.clone());
                place.stage = Stage::Idle { retry, holder };
                vec![Effect::Changed(name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Takes in a guardian's answers to claims that were sent at `sent`.
    pub fn granted(
        &mut self,
        now: Time,
        by: &id::Host,
        sent: Time,
        verdicts: Vec<(id::Backend, Attempt, Verdict)>,
    ) -> Vec<Effect> {
        let verdicts = verdicts.into_iter();
        let effects = verdicts.flat_map(|(name, attempt, verdict)| match verdict {
            Verdict::Granted => self.one_granted(now, by, sent, &name, attempt),
            Verdict::Held(host) => self.one_held(now, &name, attempt, host),
            Verdict::Starting | Verdict::Outdated => Vec::new(),
        });
        effects.collect()
    }

    fn one_granted(
        &mut self,
        now: Time,
        by: &id::Host,
        sent: Time,
        name: &id::Backend,
        attempt: Attempt,
    ) -> Vec<Effect> {
        let options = self.options.lease;
        let Some(place) = self.places.get_mut(name) else {
            return Vec::new();
        };
        let Some(lease) = place.stage.lease_mut(attempt) else {
            return Vec::new();
        };
        lease.granted(by, sent, &options);
        if now >= lease.until(&place.quorum) {
            return Vec::new();
        }
        if lease.seals(&place.quorum, &options) {
            place.quorum.seal(place.quorum.revision);
        }
        let Stage::Claiming {
            lease, transfer, ..
        } = &mut place.stage
        else {
            return vec![Effect::Changed(name.clone())];
        };
        let transfer = transfer.take();
        let confirm = transfer.as_ref().map(|transfer| Effect::Confirm {
            to: transfer.from.host.clone(),
            backend: name.clone(),
        });
        place.stage = Stage::Holding {
            lease: lease.clone(),
        };
        let acquired = Effect::Acquired {
            backend: name.clone(),
            transfer,
        };
        std::iter::once(acquired).chain(confirm).collect()
    }

    fn one_held(
        &mut self,
        now: Time,
        name: &id::Backend,
        attempt: Attempt,
        holder: id::Host,
    ) -> Vec<Effect> {
        let Some(place) = self.places.get_mut(name) else {
            return Vec::new();
        };
        match &place.stage {
            // With a hand-over under way the others follow; one that is late is no reason to stop.
            Stage::Claiming {
                lease,
                transfer: None,
                ..
            } if lease.attempt == attempt => {
                let effects = self.give_up(now, name);
                if let Some(place) = self.places.get_mut(name)
                    && let Stage::Idle { holder: known, .. } = &mut place.stage
                {
                    *known = Some(holder);
                }
                effects
            }
            _ => Vec::new(),
        }
    }

    /// Gives back what was granted to an attempt that has failed.
    fn give_up(&mut self, now: Time, name: &id::Backend) -> Vec<Effect> {
        let retry = now + self.options.renew;
        let Some(place) = self.places.get_mut(name) else {
            return Vec::new();
        };
        let Some((lease, _)) = place.stage.lease() else {
            return Vec::new();
        };
        let attempt = lease.attempt;
        place.stage = Stage::Idle {
            retry,
            holder: None,
        };
        let hosts = place.quorum.hosts().into_iter();
        let released = hosts.map(|to| Effect::Release {
            to,
            released: vec![(name.clone(), attempt)],
        });
        released.chain([Effect::Changed(name.clone())]).collect()
    }

    /// Takes back a grant as a guardian.
    pub fn released(
        &mut self,
        now: Time,
        host: &id::Host,
        incarnation: id::Incarnation,
        released: &[(id::Backend, Attempt)],
    ) {
        for (name, attempt) in released {
            let from = Holder {
                host: host.clone(),
                incarnation,
                attempt: *attempt,
            };
            self.register.release(now, name, &from);
        }
    }

    /// Starts to hand over everything, because the process is to end.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        self.leaving = true;
        self.tick(now)
    }

    /// The number of backend servers that this process guards.
    pub fn guarded(&self) -> usize {
        self.places.len()
    }
}

impl Stage {
    fn idle(now: Time) -> Self {
        Self::Idle {
            retry: now,
            holder: None,
        }
    }

    /// The lease that is to be renewed, if any.
    fn lease(&self) -> Option<(&Lease, Option<&Transfer>)> {
        match self {
            Self::Claiming {
                lease, transfer, ..
            } => Some((lease, transfer.as_ref())),
            Self::Holding { lease } | Self::Ceding { lease, .. } => Some((lease, None)),
            Self::Idle { .. } | Self::Ceded { .. } => None,
        }
    }

    /// The lease that an answer to `attempt` counts for.
    fn lease_mut(&mut self, attempt: Attempt) -> Option<&mut Lease> {
        let lease = match self {
            Self::Claiming { lease, .. } | Self::Holding { lease } | Self::Ceding { lease, .. } => {
                lease
            }
            Self::Idle { .. } | Self::Ceded { .. } => return None,
        };
        (lease.attempt == attempt).then_some(lease)
    }
}
