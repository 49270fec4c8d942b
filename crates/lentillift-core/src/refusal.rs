//! Refusals: a request that was turned away.

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
    /// The request itself is malformed.
    Malformed,
    /// The time allowance is missing or out of bounds.
    Allowance,
    /// The class or the caller is over its share while the system is full.
    Overload,
    /// The process has no fresh view of the fleet.
    Stale,
    /// The process is shutting down.
    Leaving,
    /// No snapshot of the service can be served.
    NoSnapshot,
    /// The coverage reached is below what the caller accepts.
    Coverage,
    /// Backend servers end under requests with this content.
    Quarantined,
    /// The id is closed: the request never ran under it and never will.
    Closed,
    /// The id was used for another request.
    Mismatch,
}

/// A refusal as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was refused.
    pub cause: Cause,
    /// When the caller may try again, where that helps.
    pub retry_after: Option<Duration>,
    /// What was found and what would be right.
    pub detail: String,
    /// What is known of whether any part of the request ran.
    pub outcome: Outcome,
}

impl Refusal {
    /// Makes a refusal that asking again will not change.
    pub fn new(cause: Cause, detail: impl Into<String>) -> Self {
        Self {
            cause,
            retry_after: None,
            detail: detail.into(),
            outcome: Outcome::NotRun,
        }
    }

    /// Says whether any part of the request ran; without it, none did.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
