//! Holder side of a lease: claims backend servers, renews leases and gives up the rest.

use super::Effect;
use super::LeaseManager;
use super::stage::Entry;
use super::stage::Stage;
use crate::grant::Attempt;
use crate::grant::Claim;
use crate::grant::Verdict;
use crate::lease::Lease;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;

impl LeaseManager {
    /// Drops earlier guardians that can no longer grant.
    pub(super) fn drop_departed_guardians(&mut self, now: Time, name: &id::Backend) {
        let settle = self.options.lease.settle;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let roster = self.view.values.roster.as_ref();
        let listed = |host: &id::Host| roster.is_some_and(|list| list.hosts.contains_key(host));
        entry.quorum.drop_departed(now, settle, listed);
    }

    /// Moves one backend server to its next stage, if one is due.
    pub(super) fn advance(&mut self, now: Time, name: &id::Backend) -> Vec<Effect> {
        let successor = self.successor(name);
        let should_claim = self.should_claim(now, name);
        let attempt = self.attempts + 1;
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        match &entry.stage {
            Stage::Idle { .. } if should_claim => {
                self.attempts = attempt;
                entry.stage = Stage::Claiming {
                    lease: Lease::new(attempt),
                    since: now,
                    transfer: None,
                };
                self.next_retry = now;
                Vec::new()
            }
            Stage::Claiming { since, .. } if now >= *since + self.options.retry * 2 => {
                self.abandon_claim(now, name)
            }
            Stage::Holding { lease } if now >= lease.until(&entry.quorum) => {
                entry.stage = Stage::idle(now);
                vec![Effect::Changed(name.clone())]
            }
            Stage::Holding { .. } => match successor {
                Some(to) => self.cede(now, name, to),
                None => Vec::new(),
            },
            Stage::Ceding { lease, .. } if now >= lease.until(&entry.quorum) => {
                entry.stage = Stage::idle(now);
                vec![Effect::Changed(name.clone())]
            }
            Stage::Ceded { to, since } if now >= *since + self.options.confirm => {
                let holder = Some(to.clone());
                let retry = now + self.options.renew;
                entry.stage = Stage::Idle { retry, holder };
                vec![Effect::Changed(name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Whether this process should claim a backend server that it does not hold.
    pub(super) fn should_claim(&self, now: Time, name: &id::Backend) -> bool {
        let Some(Entry {
            stage: Stage::Idle { retry, .. },
            ..
        }) = self.entries.get(name)
        else {
            return false;
        };
        let candidate = !self.leaving && !self.view.is_out(&self.host);
        if !candidate || now < *retry || !self.grants.is_settled(now) {
            return false;
        }
        let Some(rank) = self.rank(name, &self.host) else {
            return false;
        };
        let vacant = self.grants.vacant_from(name) + self.options.stagger * rank as u32;
        // The first guardian also claims servers that another process holds, once it has run for a
        // while.
        let returns = rank == 0 && now >= self.started + self.options.settle;
        now >= vacant || returns
    }

    /// Position of a guardian in the order in which they should hold a backend server; none for a
    /// host that is no guardian or out of service.
    pub(super) fn rank(&self, name: &id::Backend, host: &id::Host) -> Option<usize> {
        let backend = self.view.backends.get(name)?;
        let able = backend
            .guardians
            .iter()
            .filter(|host| !self.view.is_out(host));
        able.into_iter().position(|guardian| guardian == host)
    }

    /// The host to which this process must hand over a backend server that it should no longer
    /// hold.
    pub(super) fn successor(&self, name: &id::Backend) -> Option<id::Host> {
        let stays = !self.leaving && self.rank(name, &self.host).is_some();
        match stays {
            true => None,
            false => self.likely_holder(name),
        }
    }

    /// The other guardian that most likely holds a backend server, when this process knows of no
    /// holder.
    ///
    /// A process that has just started is the first to be asked for the servers that it guards, but
    /// does not know which hosts took them over before it started. If it refused without naming a
    /// host, shards would be missing until it holds them itself, three seconds at each restart; the
    /// next guardian knows the holder.
    pub(super) fn likely_holder(&self, name: &id::Backend) -> Option<id::Host> {
        let backend = self.view.backends.get(name)?;
        let able = |host: &&id::Host| {
            **host != self.host && self.view.alive.contains(*host) && !self.view.is_out(host)
        };
        backend.guardians.iter().find(able).cloned()
    }

    pub(super) fn is_due(&self, name: &id::Backend, renew: bool, retry: bool) -> bool {
        match self.entries.get(name).map(|entry| &entry.stage) {
            Some(Stage::Holding { .. } | Stage::Ceding { .. }) => renew,
            Some(Stage::Claiming { lease, .. }) => retry || lease.is_new(),
            _ => false,
        }
    }

    /// Claims backend servers from all their guardians, in one message for each guardian.
    pub(super) fn send_claims(&self, now: Time, names: &[id::Backend]) -> Vec<Effect> {
        let mut batches: BTreeMap<id::Host, Vec<Claim>> = BTreeMap::new();
        for name in names {
            let Some(entry) = self.entries.get(name) else {
                continue;
            };
            let Some((lease, transfer)) = entry.stage.lease() else {
                continue;
            };
            let claim = Claim {
                backend: name.clone(),
                attempt: lease.attempt,
                ceded_by: transfer.map(|transfer| transfer.from.clone()),
                revision: entry.quorum.revision,
                sealed: entry.quorum.sealed(),
            };
            for host in entry.quorum.hosts() {
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

    /// Handles a guardian's answers to claims that were sent at `sent`.
    pub fn handle_verdicts(
        &mut self,
        now: Time,
        by: &id::Host,
        sent: Time,
        verdicts: Vec<(id::Backend, Attempt, Verdict)>,
    ) -> Vec<Effect> {
        let verdicts = verdicts.into_iter();
        let effects = verdicts.flat_map(|(name, attempt, verdict)| match verdict {
            Verdict::Granted => self.handle_grant(now, by, sent, &name, attempt),
            Verdict::Held(host) => self.handle_held(now, &name, attempt, host),
            Verdict::Starting | Verdict::Outdated => Vec::new(),
        });
        effects.collect()
    }

    pub(super) fn handle_grant(
        &mut self,
        now: Time,
        by: &id::Host,
        sent: Time,
        name: &id::Backend,
        attempt: Attempt,
    ) -> Vec<Effect> {
        let options = self.options.lease;
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        let Some(lease) = entry.stage.lease_mut(attempt) else {
            return Vec::new();
        };
        lease.record_grant(by, sent, &options);
        if now >= lease.until(&entry.quorum) {
            return Vec::new();
        }
        if lease.seals(&entry.quorum, &options) {
            entry.quorum.seal(entry.quorum.revision);
        }
        let Stage::Claiming {
            lease, transfer, ..
        } = &mut entry.stage
        else {
            return vec![Effect::Changed(name.clone())];
        };
        let transfer = transfer.take();
        let confirm = transfer.as_ref().map(|transfer| Effect::Confirm {
            to: transfer.from.host.clone(),
            backend: name.clone(),
        });
        entry.stage = Stage::Holding {
            lease: lease.clone(),
        };
        let acquired = Effect::Acquired {
            backend: name.clone(),
            transfer,
        };
        std::iter::once(acquired).chain(confirm).collect()
    }

    pub(super) fn handle_held(
        &mut self,
        now: Time,
        name: &id::Backend,
        attempt: Attempt,
        holder: id::Host,
    ) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        match &entry.stage {
            // During a hand-over the other guardians follow; one that is late is no reason to stop.
            Stage::Claiming {
                lease,
                transfer: None,
                ..
            } if lease.attempt == attempt => {
                let effects = self.abandon_claim(now, name);
                if let Some(entry) = self.entries.get_mut(name)
                    && let Stage::Idle { holder: known, .. } = &mut entry.stage
                {
                    *known = Some(holder);
                }
                effects
            }
            _ => Vec::new(),
        }
    }

    /// Releases the grants of an attempt that has failed.
    pub(super) fn abandon_claim(&mut self, now: Time, name: &id::Backend) -> Vec<Effect> {
        let retry = now + self.options.renew;
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        let Some((lease, _)) = entry.stage.lease() else {
            return Vec::new();
        };
        let attempt = lease.attempt;
        entry.stage = Stage::Idle {
            retry,
            holder: None,
        };
        let hosts = entry.quorum.hosts().into_iter();
        let released = hosts.map(|to| Effect::Release {
            to,
            released: vec![(name.clone(), attempt)],
        });
        released.chain([Effect::Changed(name.clone())]).collect()
    }
}
