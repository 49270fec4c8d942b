//! What a load run does.

use lentillift_standin::fault::Fault;
use serde::Deserialize;

/// What a load run does.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario shows, in a line.
    pub title: String,
    /// How long the load lasts, in seconds.
    pub seconds: u64,
    /// Seconds at the start that don't count: cold servers warm up.
    #[serde(default)]
    pub warmup_seconds: u64,
    /// Seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The streams of requests.
    pub streams: Vec<Stream>,
    /// Faults in the order of their time.
    #[serde(default)]
    pub faults: Vec<Timed>,
}

/// One caller's requests to one service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The service.
    pub service: String,
    /// The caller.
    pub caller: String,
    /// Requests per second, on average.
    pub rate: f64,
    /// Time allowance, in milliseconds.
    pub allowance_ms: u64,
    /// How many different queries there are.
    #[serde(default = "one")]
    pub keys: u64,
    /// Exponent of the Zipf distribution of the queries; 0 makes all equally frequent.
    #[serde(default)]
    pub zipf: f64,
    /// A time at which the rate is higher.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Whether these are requests that may run at most once.
    #[serde(default)]
    pub once: bool,
}

/// A time at which a stream's rate is higher.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// How many times higher the rate is.
    pub factor: f64,
}

/// A fault at its time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// When, in seconds from the start.
    pub at: f64,
    /// What.
    pub fault: Fault,
}

fn one() -> u64 {
    1
}
