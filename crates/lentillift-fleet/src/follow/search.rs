//! Chooses the origin that a host tries next, and how long it keeps one that is not its best.

use super::Origin;
use lentillift_core::time::Time;
use std::time::Duration;

/// Time for which an origin other than the best is kept before the best is tried again.
const FALLBACK_TIME: Duration = Duration::from_secs(4);

/// Minimum time between two failed calls of one host to the service; calls that were turned away
/// count too.
const SERVICE_RETRY_PAUSE: Duration = Duration::from_millis(1500);

/// Next step of the search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Follow `origin`; if it is not the best one, until `until` at most.
    Try {
        /// Origin to follow.
        origin: Origin,
        /// When the best one should be tried again; none if this is the best.
        until: Option<Time>,
    },
    /// All origins have failed; wait before the next round.
    Pause,
}

/// How much time is left to find an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Enough to try the best origins first.
    Low,
    /// Too little to wait for hosts that may be silent: the service is tried first.
    High,
}

/// Why an origin was left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// It failed, or its data can't be relied on.
    Failed,
    /// The best origin should be tried again.
    Again,
}

/// The search of one host for an origin.
#[derive(Debug, Default)]
pub struct Search {
    /// Origins that failed since the last pause.
    ///
    /// Positions in the order can't be stored instead: the order changes when a host is found not
    /// to answer, and the next origin would be skipped.
    failed: Vec<Origin>,
    /// Number of rounds in which all origins failed since the best one was last tried again.
    round: usize,
    service_failed: Option<Time>,
}

impl Search {
    /// Number of rounds in which all origins failed since the best one was last tried again.
    pub fn round(&self) -> usize {
        self.round
    }

    /// Next step, given the origins with the best first and how much time is left.
    pub fn next(&mut self, order: &[Origin], urgency: Urgency, now: Time) -> Next {
        let is_pausing = self
            .service_failed
            .is_some_and(|at| now < at + SERVICE_RETRY_PAUSE);
        let is_usable = |origin: &&Origin| {
            let refuses = is_pausing && **origin == Origin::Service;
            !refuses && !self.failed.contains(origin)
        };
        let service = order.iter().find(|origin| **origin == Origin::Service);
        let first = service.filter(|_| urgency == Urgency::High);
        let usable = first.into_iter().chain(order).find(is_usable);
        let Some(origin) = usable.cloned() else {
            self.failed.clear();
            self.round += 1;
            return Next::Pause;
        };
        let is_best = order.first() == Some(&origin);
        Next::Try {
            origin,
            until: (!is_best).then(|| now + FALLBACK_TIME),
        }
    }

    /// Records that `origin` was left.
    pub fn left(&mut self, origin: &Origin, left: LeaveReason, now: Time) {
        match left {
            LeaveReason::Again => {
                self.failed.clear();
                self.round = 0;
            }
            LeaveReason::Failed => {
                if *origin == Origin::Service {
                    self.service_failed = Some(now);
                }
                self.failed.push(origin.clone());
            }
        }
    }
}
