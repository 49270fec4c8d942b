//! Guardian side of leases: grants each backend server to one holder at a time.

use super::Effect;
use super::LeaseManager;
use crate::grant::Attempt;
use crate::grant::Claim;
use crate::grant::Holder;
use crate::grant::Verdict;
use lentillift_core::id;
use lentillift_core::time::Time;

impl LeaseManager {
    /// Decides on claims as a guardian.
    pub fn handle_claims(
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
            let verdict = self.grants.claim(now, &from, claim);
            if let Some(entry) = self.entries.get_mut(&claim.backend) {
                entry.quorum.seal(claim.sealed);
            }
            if matches!(&verdict, Verdict::Held(holder) if *holder == self.host) {
                effects.extend(self.handle_preferred_claim(now, &claim.backend, host));
            }
            verdicts.push(verdict);
        }
        (verdicts, effects)
    }

    /// Handles the release of grants as a guardian.
    pub fn handle_release(
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
            self.grants.release(now, name, &from);
        }
    }

    /// Number of backend servers that this process guards, or still claims or holds.
    pub fn guarded_count(&self) -> usize {
        self.entries.len()
    }
}
