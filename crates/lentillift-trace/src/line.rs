//! Lines of a trace.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;

/// The version of the format that is written and read.
pub const VERSION: u32 = 1;

/// Which part of a process a trace is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// Queries of callers.
    Entry,
    /// Requests that may run at most once.
    Once,
}

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The version of the format.
    pub trace: u32,
    /// The part that the trace is of.
    pub part: Part,
    /// The host.
    pub host: id::Host,
    /// The failure domain of the host.
    pub domain: Option<id::Domain>,
    /// The incarnation of the process.
    pub incarnation: id::Incarnation,
    /// What the part's random numbers start from.
    pub seed: u64,
    /// Whether ticks stand in the trace; else they come when they are due.
    pub ticks: bool,
    /// What happens, for a reader.
    #[serde(default)]
    pub about: String,
}

/// Any further line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When it happened, in nanoseconds since the process started.
    pub at_ns: u64,
    /// What happened.
    pub event: Value,
    /// What was decided, where that was recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub effects: Option<Vec<Value>>,
}

impl Line {
    /// When it happened.
    pub fn at(&self) -> Time {
        Duration::from_nanos(self.at_ns)
    }
}
