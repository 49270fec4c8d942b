//! What a home remembers of an id.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use twox_hash::XxHash64;

/// Hash of a body, kept in place of it.
pub type Digest = u64;

/// Where an id stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It was never sent, or certainly reached no backend server.
    Unused,
    /// It was sent to a backend server; there is no reply yet.
    Sent(Digest),
    /// A backend server ran it and this is its reply, unless that was dropped to save memory.
    Done(Digest, Option<Arc<[u8]>>),
    /// It can't be known whether it ran.
    Unknown(Digest),
}

/// What a home remembers of an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The time of issue that stands in the id.
    pub issued: u64,
    /// The secret that stands in the id.
    pub secret: u64,
    /// The caller that the id was issued to.
    pub caller: id::Caller,
    /// When the id's lifetime is over.
    pub expires: Time,
    /// Where the id stands.
    pub state: State,
}

/// A record on its way to the host that takes over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The id's number.
    pub number: u64,
    /// The time of issue that stands in the id.
    pub issued: u64,
    /// The secret that stands in the id.
    pub secret: u64,
    /// The caller that the id was issued to.
    pub caller: id::Caller,
    /// What is left of the id's lifetime.
    pub left: Duration,
    /// Where the id stands; never [`State::Sent`].
    pub state: State,
}

/// Records of one home, handed over by a process that has given them up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverBatch {
    /// Number of the parcel at the process that sent it.
    pub number: u64,
    /// The host that issued the ids.
    pub host: id::Host,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The records, by rising number.
    pub records: Vec<HandoverRecord>,
}

/// Hash of a body and the service it is for.
pub fn digest(service: &str, body: &[u8]) -> Digest {
    let seed = XxHash64::oneshot(body.len() as u64, service.as_bytes());
    XxHash64::oneshot(seed, body)
}
