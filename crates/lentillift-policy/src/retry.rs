//! When a failed sub-request is sent to another replica.
//!
//! Pattern: a service is overloaded and refuses; each refusal is tried again, the load doubles, and
//! the overload outlives its cause. Without this module a short burst turns into an outage that
//! does not end by itself. A retry must be safe (the request did not run, or may be repeated), is
//! paid from a budget, and is not made while most of the service refuses.
//!
//! Figures: with 10% the worst case is 1.1 times the load. One failure in two means that the next
//! replica refuses as likely as not.

use crate::budget::Budget;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub::Failure;
use lentillift_settings::policy::Retry as Options;

/// Weight of the newest result in the share of refusals: about the last fifty count.
const RECENT: f64 = 0.02;

/// What to do about a failed sub-request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another replica.
    Retry,
    /// It may have run and must not be repeated.
    Unsafe,
    /// Enough replicas were tried.
    Tried,
    /// The service refuses as a whole.
    Refusing,
    /// The budget is spent.
    Spent,
}

/// A failed sub-request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failed {
    /// Why it failed.
    pub failure: Failure,
    /// Whether it may have run.
    pub outcome: Outcome,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Replicas that were tried so far.
    pub tries: u32,
}

/// Retries of one service's sub-requests.
#[derive(Debug, Clone, Default)]
pub struct Retry {
    budget: Budget,
    /// Share of sub-requests that were refused lately, from 0 to 1.
    refusing: f64,
}

impl Retry {
    /// Notes an ordinary sub-request.
    pub fn record_sent(&mut self, options: &Options) {
        self.budget.earn(options.budget_percent);
    }

    /// Notes a sub-request that succeeded.
    pub fn record_success(&mut self) {
        self.refusing -= RECENT * self.refusing;
    }

    /// Says what to do about a sub-request that failed.
    pub fn decide(&mut self, options: &Options, failed: &Failed) -> Decision {
        if is_refusal(failed.failure) {
            self.refusing += RECENT * (1.0 - self.refusing);
        }
        if failed.outcome != Outcome::NotRun && !failed.idempotent {
            return Decision::Unsafe;
        }
        if failed.tries >= options.tries {
            return Decision::Tried;
        }
        if !options.on || is_misrouted(failed.failure) {
            // It never came near a backend server, so that trying elsewhere adds no load.
            return Decision::Retry;
        }
        if 100.0 * self.refusing >= f64::from(options.refusing_percent) {
            return Decision::Refusing;
        }
        match self.budget.spend() {
            true => Decision::Retry,
            false => Decision::Spent,
        }
    }
}

/// Whether a failure says that a backend server, or its queue, is full.
pub fn is_refusal(failure: Failure) -> bool {
    matches!(failure, Failure::Refused | Failure::Cold | Failure::Shed)
}

/// Whether a failure says that the request was sent to the wrong place.
fn is_misrouted(failure: Failure) -> bool {
    matches!(failure, Failure::NotOwner | Failure::Out)
}
