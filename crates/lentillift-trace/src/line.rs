//! The lines of a trace file.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;

/// Version of the trace format; the only one that is written and read.
pub const VERSION: u32 = 1;

/// The core of a process that a trace records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CoreKind {
    /// The core that serves queries of callers.
    Entry,
    /// The core that serves actions, which run at most once.
    Once,
}

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the trace format, [`VERSION`].
    pub trace: u32,
    /// The core that the trace records.
    pub part: CoreKind,
    /// Name of the host that the process ran on.
    pub host: id::Host,
    /// Failure domain of the host; none if it is not known.
    pub domain: Option<id::Domain>,
    /// The incarnation of the process.
    pub incarnation: id::Incarnation,
    /// Seed of the core's random number generator.
    pub seed: u64,
    /// Whether the trace contains the ticks. Otherwise a replay inserts them when they are due.
    pub ticks: bool,
    /// Description of the trace for people; not read by a replay.
    #[serde(default)]
    pub about: String,
}

/// A line after the head: one event and its effects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Time of the event, in nanoseconds since the process started.
    pub at_ns: u64,
    /// The event, with generated ids replaced as described in [`crate::names`].
    pub event: Value,
    /// The effects that the core returned; none if they were not recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub effects: Option<Vec<Value>>,
}

impl Line {
    /// Time of the event, since the process started.
    pub fn at(&self) -> Time {
        Duration::from_nanos(self.at_ns)
    }
}
