//! Hands a backend server over to a better holder, with its state.

use super::Effect;
use super::LeaseManager;
use super::Transfer;
use super::stage::Stage;
use crate::grant::Holder;
use crate::lease::Lease;
use lentillift_core::id;
use lentillift_core::time::Time;

impl LeaseManager {
    /// Hands over a backend server to a guardian that has claimed it and is to be preferred as its
    /// holder.
    pub(super) fn handle_preferred_claim(
        &mut self,
        now: Time,
        name: &id::Backend,
        by: &id::Host,
    ) -> Vec<Effect> {
        let holding = self.entries.get(name);
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
    pub(super) fn cede(&mut self, now: Time, name: &id::Backend, to: id::Host) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        let Stage::Holding { lease } = &entry.stage else {
            return Vec::new();
        };
        entry.stage = Stage::Ceding {
            lease: lease.clone(),
            to,
            since: now,
        };
        vec![Effect::Changed(name.clone())]
    }

    /// Gives a backend server up permanently and returns its successor, with the attempt given up.
    ///
    /// The caller must not send work after this, whatever becomes of the hand-over.
    pub fn hand_over(&mut self, now: Time, name: &id::Backend) -> Option<(id::Host, Holder)> {
        let entry = self.entries.get_mut(name)?;
        let Stage::Ceding { lease, to, .. } = &entry.stage else {
            return None;
        };
        let from = Holder {
            host: self.host.clone(),
            incarnation: self.incarnation,
            attempt: lease.attempt,
        };
        let to = to.clone();
        entry.stage = Stage::Ceded {
            to: to.clone(),
            since: now,
        };
        Some((to, from))
    }

    /// Accepts a backend server that another process hands over.
    pub fn accept_transfer(&mut self, now: Time, transfer: Transfer) -> Vec<Effect> {
        let name = transfer.backend.clone();
        if self.leaving || self.view.is_out(&self.host) {
            return Vec::new();
        }
        let Some(entry) = self.entries.get_mut(&name) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        match &entry.stage {
            Stage::Idle { .. } => {}
            Stage::Claiming { .. } => effects.extend(self.abandon_claim(now, &name)),
            _ => return Vec::new(),
        }
        self.attempts += 1;
        let stage = Stage::Claiming {
            lease: Lease::new(self.attempts),
            since: now,
            transfer: Some(transfer),
        };
        if let Some(entry) = self.entries.get_mut(&name) {
            entry.stage = stage;
        }
        effects.push(Effect::Changed(name.clone()));
        effects.extend(self.send_claims(now, &[name]));
        effects
    }

    /// Records that a successor has taken over.
    pub fn handle_confirmation(
        &mut self,
        now: Time,
        name: &id::Backend,
        by: &id::Host,
    ) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        match &entry.stage {
            Stage::Ceded { to, .. } if to == by => {
                let retry = now + self.options.renew;
                let holder = Some(by.clone());
                entry.stage = Stage::Idle { retry, holder };
                vec![Effect::Changed(name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Starts to hand over everything, because the process is about to end.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        self.leaving = true;
        self.tick(now)
    }
}
