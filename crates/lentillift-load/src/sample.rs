//! What became of one request.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Sample {
    /// When the request was due, from the start of the run.
    pub due: Duration,
    /// Position of its stream in the scenario.
    pub stream: usize,
    /// Time from when it was due to its answer.
    pub latency: Duration,
    /// What came of it.
    pub end: End,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum End {
    /// It was answered.
    Answered {
        /// Share of the data that the answer covers.
        coverage: f64,
        /// Shards of the answer's snapshot.
        shards: u64,
        /// Why shards are missing, with how many.
        missing: BTreeMap<String, u64>,
    },
    /// A request that may run at most once ran.
    Ran,
    /// It was refused, and nothing ran.
    Refused(String),
    /// Its outcome is unknown.
    Unknown,
    /// The connection broke or the answer made no sense.
    Broken(String),
}
