//! What this host knows of the configuration service's availability.

use super::Host;
use crate::dialect::Dialect;
use crate::source::Source;
use lentillift_core::time::Time;
use lentillift_fleet::follow::outage::Witnesses;
use lentillift_scatter::switch::Mechanism;
use std::time::Duration;

impl<D, S> Host<D, S>
where
    D: Dialect,
    S: Source,
{
    /// Records that a call of this host to the configuration service has just failed.
    pub fn record_own_failure(&self) {
        self.outage.borrow_mut().record_own_failure(self.now());
    }

    /// Records that a call of another host to the configuration service failed `age` ago.
    pub fn record_other_failure(&self, age: Duration) {
        let at = self.now().saturating_sub(age);
        self.outage.borrow_mut().record_other_failure(at);
    }

    /// Records that the configuration service was unavailable until `age` ago, as reported by the
    /// host that read the local state.
    pub fn record_outage(&self, age: Duration) {
        let at = self.now().saturating_sub(age);
        self.outage.borrow_mut().record_report(at);
    }

    /// When the configuration service was last known to be unavailable; none if it never was.
    pub(super) fn outage_at(&self) -> Option<Time> {
        self.outage.borrow().outage_at(self.witnesses())
    }

    /// Hosts that could have noticed an outage.
    fn witnesses(&self) -> Witnesses {
        let swim = self.swim.borrow();
        let has_others = swim.answering().any(|m| swim.is_same_region(m));
        match has_others && self.is_on(Mechanism::Witnesses) {
            true => Witnesses::Others,
            false => Witnesses::Own,
        }
    }

    /// Time since the configuration service was last known to be unavailable; none if it never was.
    pub fn time_since_outage(&self) -> Option<Duration> {
        let at = self.outage_at()?;
        Some(self.now().saturating_sub(at))
    }

    /// Time since the last outage that followers of this host should know of; none if there was
    /// none. Only the host that read the state judges by its own calls.
    pub(crate) fn time_since_reported_outage(&self) -> Option<Duration> {
        let at = match self.path.borrow().hosts() {
            [reader] if *reader == self.name => self.outage_at()?,
            _ => self.outage.borrow().reported()?,
        };
        Some(self.now().saturating_sub(at))
    }

    /// Time since a call of this host to the configuration service last failed; none if none did.
    pub fn time_since_own_failure(&self) -> Option<Duration> {
        let at = self.outage.borrow().own_failure()?;
        Some(self.now().saturating_sub(at))
    }
}
