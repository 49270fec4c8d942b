//! A request that may run at most once, and the response to it.

use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// A request to a service of actions, which may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRequest {
    /// Idempotency key: the id that its home issued.
    pub key: String,
    /// Name of the service.
    pub service: id::Service,
    /// Name of the caller.
    pub caller: id::Caller,
    /// Time left until the caller stops waiting for the response.
    pub allowance: Duration,
    /// The body, passed on unchanged to a backend server.
    #[serde(with = "lentillift_core::text")]
    pub body: Arc<[u8]>,
}

/// The response to an [`ActionRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// Whether the request ran.
    ///
    /// [`Outcome::NotRun`] is final: the id is closed, and no copy of the request that is still in
    /// flight will run.
    pub outcome: Outcome,
    /// Why the request was refused; none unless it did not run.
    pub cause: Option<Cause>,
    /// Delay after which a retry makes sense, if it does.
    pub retry_after: Option<Duration>,
    /// The backend server's reply, or a JSON object that states the outcome and its reason.
    #[serde(with = "lentillift_core::text")]
    pub body: Vec<u8>,
}

impl ActionResponse {
    /// Response to a request that ran. The reply is none if it was dropped to save memory.
    pub fn done(reply: Option<Arc<[u8]>>) -> Self {
        let body = reply.map_or_else(
            || detail_body(Outcome::Done, "it ran; its reply is no longer kept"),
            |reply| reply.to_vec(),
        );
        Self {
            outcome: Outcome::Done,
            cause: None,
            retry_after: None,
            body,
        }
    }

    /// Response to a request that no backend server ran or will run.
    pub fn not_run(cause: Cause, detail: &str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            cause: Some(cause),
            retry_after: None,
            body: detail_body(Outcome::NotRun, detail),
        }
    }

    /// Response to a request that may or may not have run.
    pub fn unknown(detail: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            cause: None,
            retry_after: None,
            body: detail_body(Outcome::Unknown, detail),
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

fn detail_body(outcome: Outcome, detail: &str) -> Vec<u8> {
    serde_json::json!({ "outcome": outcome, "detail": detail })
        .to_string()
        .into_bytes()
}
