//! A request that may run at most once, and what became of it.

use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// A request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRequest {
    /// The id that its home issued.
    pub key: String,
    /// The service.
    pub service: id::Service,
    /// The caller.
    pub caller: id::Caller,
    /// Time left until its outcome is of no more use.
    pub allowance: Duration,
    /// The body, passed on as it came.
    #[serde(with = "lentillift_core::text")]
    pub body: Arc<[u8]>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// What became of it.
    ///
    /// [`Outcome::NotRun`] is final: no copy of the request that is still on its way will run, and
    /// the id is closed.
    pub outcome: Outcome,
    /// Why it was turned away, where it was.
    pub cause: Option<Cause>,
    /// When to ask again, where that helps.
    pub retry_after: Option<Duration>,
    /// The backend server's reply, or a line that says what is wrong.
    #[serde(with = "lentillift_core::text")]
    pub body: Vec<u8>,
}

impl ActionResponse {
    /// A backend server ran it; its reply may have been dropped since.
    pub fn done(reply: Option<Arc<[u8]>>) -> Self {
        let body = reply.map_or_else(
            || line(Outcome::Done, "it ran; its reply is no longer kept"),
            |reply| reply.to_vec(),
        );
        Self {
            outcome: Outcome::Done,
            cause: None,
            retry_after: None,
            body,
        }
    }

    /// No backend server ran it and none will.
    pub fn not_run(cause: Cause, detail: &str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            cause: Some(cause),
            retry_after: None,
            body: line(Outcome::NotRun, detail),
        }
    }

    /// It may or may not have run.
    pub fn unknown(detail: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            cause: None,
            retry_after: None,
            body: line(Outcome::Unknown, detail),
        }
    }

    /// Tells the caller when to ask again.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

fn line(outcome: Outcome, detail: &str) -> Vec<u8> {
    serde_json::json!({ "outcome": outcome, "detail": detail })
        .to_string()
        .into_bytes()
}
