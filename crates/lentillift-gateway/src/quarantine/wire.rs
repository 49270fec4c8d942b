//! Wire format of the quarantine gossip.

use bincode::Decode;
use bincode::Encode;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_fleet::quarantine;
use std::time::Duration;

/// Records that one host sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Message {
    pub(crate) records: Vec<SharedRecord>,
}

/// What a host knows about one request under which backend servers ended.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SharedRecord {
    pub(crate) fingerprint: [u8; 16],
    /// Number of times that the request was cleared.
    pub(crate) generation: u32,
    /// Incarnations of server processes that ended while they ran it, in this generation.
    pub(crate) ends: Vec<u64>,
    /// Those of them that ended while they ran a canary.
    pub(crate) canary_ends: Vec<u64>,
    /// Time since the record last changed on the sending host, in milliseconds.
    pub(crate) age_ms: u64,
    pub(crate) state: State,
}

/// Quarantine state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub(crate) enum State {
    Suspect,
    Quarantined {
        /// Time until a canary may be sent, in milliseconds; none once all canaries have been sent.
        left_ms: Option<u64>,
        trials: u32,
    },
    Cleared,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<&[quarantine::SharedRecord]> for Message {
    fn from(records: &[quarantine::SharedRecord]) -> Self {
        Self {
            records: records.iter().map(SharedRecord::from).collect(),
        }
    }
}

impl From<&quarantine::SharedRecord> for SharedRecord {
    fn from(record: &quarantine::SharedRecord) -> Self {
        Self {
            fingerprint: record.fingerprint.0,
            generation: record.generation,
            ends: record.ends.clone(),
            canary_ends: record.canary_ends.clone(),
            age_ms: millis(record.age),
            state: record.state.into(),
        }
    }
}

impl From<&SharedRecord> for quarantine::SharedRecord {
    fn from(record: &SharedRecord) -> Self {
        Self {
            fingerprint: Fingerprint(record.fingerprint),
            generation: record.generation,
            ends: record.ends.clone(),
            canary_ends: record.canary_ends.clone(),
            age: Duration::from_millis(record.age_ms),
            state: record.state.into(),
        }
    }
}

impl From<quarantine::State> for State {
    fn from(state: quarantine::State) -> Self {
        match state {
            quarantine::State::Suspect => Self::Suspect,
            quarantine::State::Quarantined { left, trials } => Self::Quarantined {
                left_ms: left.map(millis),
                trials,
            },
            quarantine::State::Cleared => Self::Cleared,
        }
    }
}

impl From<State> for quarantine::State {
    fn from(state: State) -> Self {
        match state {
            State::Suspect => Self::Suspect,
            State::Quarantined { left_ms, trials } => Self::Quarantined {
                left: left_ms.map(Duration::from_millis),
                trials,
            },
            State::Cleared => Self::Cleared,
        }
    }
}
