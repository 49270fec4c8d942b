//! Log line of a finished request.

use crate::part::RequestResult;
use http::StatusCode;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Version;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;

/// Result of a request and the facts that determined it.
pub(crate) struct RequestLog {
    pub(crate) id: Box<str>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: Arc<Route>,
    pub(crate) outcome: &'static str,
    pub(crate) status: StatusCode,
    pub(crate) late: bool,
    pub(crate) took: Duration,
    /// Time from the request's arrival to the caller's deadline.
    pub(crate) timeout: Duration,
    pub(crate) config: Version,
    pub(crate) age: Duration,
    /// Whether this process ended too soon for another reply.
    pub(crate) ending: bool,
    pub(crate) done: RequestResult,
}

impl RequestLog {
    /// Writes the log line.
    pub(crate) fn log(&self) {
        let missing = self.done.missing.iter().map(|service| &**service);
        let missing: Vec<&str> = missing.collect();
        info!(
            event = "request",
            id = %self.id,
            fingerprint = %self.fingerprint,
            route = %self.route.name,
            outcome = self.outcome,
            status = self.status.as_u16(),
            late = self.late,
            took_ms = self.took.as_millis() as u64,
            left_ms = self.timeout.as_millis() as u64,
            objective_ms = self.route.objective.as_millis() as u64,
            config = self.config,
            age_ms = self.age.as_millis() as u64,
            ending = self.ending,
            repeats = self.done.repeats,
            unpaid = self.done.repeats_denied,
            missing = missing.join(" "),
            notes = self.done.notes,
            "answered"
        );
    }
}
