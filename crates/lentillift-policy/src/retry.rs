//! When a failed sub-request is retried at another replica.
//!
//! Pattern: a service is overloaded and refuses; each refused sub-request is retried, the load
//! doubles, and the overload outlasts its cause. Without this module a short burst turns into an
//! outage that does not end by itself. A retry must be safe (the request did not run, or is
//! idempotent), is paid from a budget, and is not sent while most of the service refuses.
//!
//! Defaults: a budget of 10% bounds the load to 1.1 times the ordinary one. At a refusal rate of
//! one half, the next replica is as likely to refuse as not.

use crate::budget::Budget;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub::Failure;
use lentillift_settings::policy::Retry as Options;

/// Weight of the newest result in the refusal rate: about the last fifty results count.
const RECENT_WEIGHT: f64 = 0.02;

/// What to do about a failed sub-request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another replica.
    Retry,
    /// Give up: it may have run and is not idempotent.
    Unsafe,
    /// Give up: the maximum number of replicas was tried.
    Tried,
    /// Give up: the refusal rate of the service is too high.
    Refusing,
    /// Give up: the budget is spent.
    Spent,
}

/// A failed sub-request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// Why it failed.
    pub failure: Failure,
    /// Whether it may have run.
    pub outcome: Outcome,
    /// Whether it is safe to run more than once.
    pub idempotent: bool,
    /// Replicas that were tried so far.
    pub tries: u32,
}

/// Retry budget and refusal rate of one service's sub-requests.
#[derive(Debug, Clone, Default)]
pub struct Retry {
    budget: Budget,
    /// Moving average of the fraction of sub-requests that were refused, from 0 to 1.
    refusal_rate: f64,
}

impl Retry {
    /// Records an ordinary sub-request (not a retry or hedge), which earns part of a retry.
    pub fn record_sent(&mut self, options: &Options) {
        self.budget.earn(options.budget_percent);
    }

    /// Records a sub-request that succeeded.
    pub fn record_success(&mut self) {
        self.refusal_rate -= RECENT_WEIGHT * self.refusal_rate;
    }

    /// Records a sub-request that failed, and decides whether it is retried.
    pub fn decide(&mut self, options: &Options, failed: &Failed) -> Decision {
        if is_refusal(failed.failure) {
            self.refusal_rate += RECENT_WEIGHT * (1.0 - self.refusal_rate);
        }
        if failed.outcome != Outcome::NotRun && !failed.idempotent {
            return Decision::Unsafe;
        }
        if failed.tries >= options.tries {
            return Decision::Tried;
        }
        if !options.on || is_misrouted(failed.failure) {
            // A misrouted request did not reach a backend server, so a retry adds no load.
            return Decision::Retry;
        }
        if 100.0 * self.refusal_rate >= f64::from(options.refusing_percent) {
            return Decision::Refusing;
        }
        match self.budget.spend() {
            true => Decision::Retry,
            false => Decision::Spent,
        }
    }
}

/// Whether a failure means that a backend server, or its queue, is full.
pub fn is_refusal(failure: Failure) -> bool {
    matches!(failure, Failure::Refused | Failure::Cold | Failure::Shed)
}

/// Whether a failure means that the request was sent to the wrong process or to a server that is
/// out of service.
fn is_misrouted(failure: Failure) -> bool {
    matches!(failure, Failure::NotOwner | Failure::Out)
}
