//! What hosts tell each other of requests under which servers ended.

use super::ProcessId;
use lentillift_core::fingerprint::Fingerprint;
use std::time::Duration;

/// How far it is decided what a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Servers ended under it, and none has replied.
    Suspect,
    /// It is not sent.
    Quarantined {
        /// Time until a canary may be sent; none once all have been.
        left: Option<Duration>,
        /// Canaries that were sent since it was quarantined.
        trials: u32,
    },
    /// A server ran it and replied, or an operator lifted the quarantine.
    Cleared,
}

/// What a host holds of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Times that it was cleared; of two accounts the later generation holds.
    pub generation: u32,
    /// Processes that ended under it in this generation; no more than decide.
    pub ends: Vec<ProcessId>,
    /// Those that ended under a canary; no more than decide.
    pub canary_ends: Vec<ProcessId>,
    /// Time since something last changed where it comes from.
    pub age: Duration,
    /// What follows.
    pub state: State,
}
