//! The record that a home keeps of each id, and its form in a handover.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use twox_hash::XxHash64;

/// Hash of a service and a body, kept instead of the body to detect an id that is used for another
/// request.
pub type Digest = u64;

/// State of an id's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It was never sent, or it is certain that no backend server received it.
    Unused,
    /// It was sent to a backend server and there is no reply yet.
    Sent(Digest),
    /// A backend server ran it; holds the reply unless that was dropped to save memory.
    Done(Digest, Option<Arc<[u8]>>),
    /// It may or may not have run.
    Unknown(Digest),
}

/// The record that a home keeps of an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Time of issue, as written in the id, in milliseconds since the incarnation's epoch.
    pub issued: u64,
    /// Random part of the id; an id with another secret is not valid.
    pub secret: u64,
    /// The caller that the id was issued to.
    pub caller: id::Caller,
    /// End of the id's lifetime, when the record is dropped.
    pub expires_at: Time,
    /// State of the id's request.
    pub state: State,
}

/// A record in a handover to the host that takes over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Sequence number of the id.
    pub number: u64,
    /// Time of issue, as written in the id, in milliseconds since the incarnation's epoch.
    pub issued: u64,
    /// Random part of the id; an id with another secret is not valid.
    pub secret: u64,
    /// The caller that the id was issued to.
    pub caller: id::Caller,
    /// Remaining lifetime of the id.
    pub left: Duration,
    /// State of the id's request; never [`State::Sent`].
    pub state: State,
}

/// Records of one home that are handed over together.
///
/// The sending process no longer uses them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverBatch {
    /// Number that the sender gave the batch, to match its acknowledgement.
    pub number: u64,
    /// The host that issued the ids.
    pub host: id::Host,
    /// The incarnation that issued them.
    pub incarnation: id::Incarnation,
    /// The records in ascending order of their numbers.
    pub records: Vec<HandoverRecord>,
}

/// Hashes a body and the name of the service that it is for.
pub fn digest(service: &str, body: &[u8]) -> Digest {
    let seed = XxHash64::oneshot(body.len() as u64, service.as_bytes());
    XxHash64::oneshot(seed, body)
}
