//! The input of a load run: streams of requests, and faults.

use lentillift_standin::fault::Fault;
use serde::Deserialize;

/// A load run, read from a JSON file with comments.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Title of the report, in one line.
    pub title: String,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seconds at the start that are left out of the streams' figures, while cold servers warm up.
    #[serde(default)]
    pub warmup_seconds: u64,
    /// Seed of all random numbers; stream `n` uses `seed + n`.
    #[serde(default)]
    pub seed: u64,
    /// Streams of requests, which run at the same time.
    pub streams: Vec<Stream>,
    /// Faults to inject, sorted by time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// One caller's requests to one service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Service that the requests are sent to.
    pub service: String,
    /// Caller that the requests are sent as.
    pub caller: String,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time allowance of each request, in milliseconds.
    pub allowance_ms: u64,
    /// Number of distinct queries.
    #[serde(default = "one")]
    pub keys: u64,
    /// Exponent of the Zipf distribution of the queries; 0 makes all of them equally frequent.
    #[serde(default)]
    pub zipf: f64,
    /// A period in which the rate is different, if any.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Whether the requests are actions, which may run at most once, instead of queries.
    #[serde(default)]
    pub once: bool,
}

/// A period in which a stream's rate is multiplied.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds from the start of the run.
    pub at: f64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Factor by which the rate is multiplied.
    pub factor: f64,
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time in seconds from the start of the run.
    pub at: f64,
    /// The fault, as the stand-ins' control interface takes it.
    pub fault: Fault,
}

fn one() -> u64 {
    1
}
