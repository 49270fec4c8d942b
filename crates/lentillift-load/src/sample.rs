//! The end and the latency of one request.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A request of a load run, with its latency and how it ended.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Sample {
    /// Time at which the request was due, from the start of the run.
    pub due: Duration,
    /// Index of its stream in the scenario.
    pub stream: usize,
    /// Time from when the request was due to its end.
    pub latency: Duration,
    /// How it ended.
    pub end: End,
}

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum End {
    /// A query was answered, in full or in part.
    Answered {
        /// Share of the data that the answer covers, 0 to 1.
        coverage: f64,
        /// Number of shards in the answer's snapshot.
        shards: u64,
        /// Number of missing shards, by reason.
        missing: BTreeMap<String, u64>,
    },
    /// An action, which may run at most once, ran.
    Ran,
    /// It was refused, for the given cause.
    Refused(String),
    /// It is unknown whether the request ran.
    Unknown,
    /// The connection broke or the response was malformed, with the error.
    Broken(String),
}
