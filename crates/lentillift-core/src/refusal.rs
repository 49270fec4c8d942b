//! Refusals: answers to requests that are not served, with cause and retry time.

use crate::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No such service is configured.
    UnknownService,
    /// No such caller is configured.
    UnknownCaller,
    /// The request could not be parsed.
    Malformed,
    /// The time allowance is missing or outside the configured bounds.
    Allowance,
    /// The system is at capacity and the priority class or the caller exceeds its share.
    Overload,
    /// The process has no view of the fleet that is recent enough.
    Stale,
    /// The process is shutting down.
    Leaving,
    /// The service has no snapshot that can be searched.
    NoSnapshot,
    /// The coverage reached is below the minimum that the caller accepts.
    Coverage,
    /// Requests with this content are quarantined because they make backend servers terminate.
    Quarantined,
    /// The idempotency key is closed: no request ran under it, and none ever will.
    Closed,
    /// The idempotency key was used for a different request.
    Mismatch,
}

/// A refusal as it is sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was refused.
    pub cause: Cause,
    /// Time after which the caller may retry; none if a retry would not help.
    pub retry_after: Option<Duration>,
    /// Explanation for people: what was found and what was expected.
    pub detail: String,
    /// Whether any part of the request ran, as far as it is known.
    pub outcome: Outcome,
}

impl Refusal {
    /// Creates a refusal of a request that did not run, without a retry time.
    pub fn new(cause: Cause, detail: impl Into<String>) -> Self {
        Self {
            cause,
            retry_after: None,
            detail: detail.into(),
            outcome: Outcome::NotRun,
        }
    }

    /// Sets the outcome; the default is [`Outcome::NotRun`].
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
