//! Tells an outage of the service that publishes from a host that is cut off from it.
//!
//! Scenario: the link between the service and the host that reads it breaks, and backend servers
//! leave meanwhile. The calls of that host time out, and it tells its followers. If they took this
//! for an outage, the removed entries would seem to have lapsed because nobody could renew them, and
//! hosts that were never cut off would send requests to servers whose processes are gone.
//!
//! So the failed calls of one host prove nothing about the service. A host that reads the service
//! counts it as unavailable once its own calls and those of another host have failed; one that is
//! alone has only its own. Hosts that follow it rely on what it reports.

use lentillift_core::time::Time;

/// Whether other hosts could have noticed an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Witnesses {
    /// This host is alone, or relies on its own calls.
    Own,
    /// Other hosts answer this one.
    Others,
}

/// What a host knows of failed calls to the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Last failed call of this host.
    own_failure: Option<Time>,
    /// Last failed call of any other host.
    other_failure: Option<Time>,
    /// Last outage that was reported with this host's state, by the host that read it.
    reported: Option<Time>,
}

impl Evidence {
    /// Records that a call of this host to the service failed at `at`.
    pub fn record_own_failure(&mut self, at: Time) {
        self.own_failure = self.own_failure.max(Some(at));
    }

    /// Records that a call of another host to the service failed at `at`.
    pub fn record_other_failure(&mut self, at: Time) {
        self.other_failure = self.other_failure.max(Some(at));
    }

    /// Records that, according to the host that read this host's state, the service was unavailable
    /// until `at`.
    pub fn record_report(&mut self, at: Time) {
        self.reported = self.reported.max(Some(at));
    }

    /// Returns when a call of this host last failed; none if none did.
    pub fn own_failure(&self) -> Option<Time> {
        self.own_failure
    }

    /// Returns the last outage that was reported with this host's state; none if there was none.
    pub fn reported(&self) -> Option<Time> {
        self.reported
    }

    /// Returns the last time at which the service is known to have been unavailable; none if it
    /// never was.
    pub fn outage_at(&self, witnesses: Witnesses) -> Option<Time> {
        let witnessed = match witnesses {
            Witnesses::Own => self.own_failure,
            // None is less than any time.
            Witnesses::Others => self.own_failure.min(self.other_failure),
        };
        witnessed.max(self.reported)
    }
}
