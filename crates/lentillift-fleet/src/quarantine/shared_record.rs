//! Records of requests under which servers ended, as exchanged between hosts.

use super::ProcessId;
use lentillift_core::fingerprint::Fingerprint;
use std::time::Duration;

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Servers ended under the request, and none has replied.
    Suspect,
    /// The request is not sent.
    Quarantined {
        /// Time until a canary may be sent; none once all have been.
        left: Option<Duration>,
        /// Number of canaries that were sent since the quarantine began.
        trials: u32,
    },
    /// A server ran the request and replied, or an operator lifted the quarantine.
    Cleared,
}

/// A host's record of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedRecord {
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// Number of times that the request was cleared; of two records the one of the later generation
    /// applies.
    pub generation: u32,
    /// Processes that ended under the request in this generation; no more than are needed to
    /// decide.
    pub ends: Vec<ProcessId>,
    /// Those that ended under a canary; no more than are needed to decide.
    pub canary_ends: Vec<ProcessId>,
    /// Time since the record last changed at its sender.
    pub age: Duration,
    /// Decision at the sender.
    pub state: State,
}
