//! What processes tell each other in datagrams.

use crate::member::Member;
use crate::value::Key;
use crate::value::Stamp;
use lentillift_core::id;
use std::net::SocketAddr;

/// Number of a probe, unique within the process that sent it.
pub type Sequence = u64;

/// Room for news in one datagram, in bytes.
///
/// With the head it stays under 1,200 bytes, which no network on the way has to split. A datagram
/// that is split is lost with any of its parts.
pub const UPDATES_BYTES: usize = 900;

/// Summary of what a process holds; processes that hold the same have equal ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Of the values in force.
    pub values: u64,
    /// Of the hosts.
    pub members: u64,
}

/// A change worth passing on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// An account of a host.
    Member(Member),
    /// The sender holds a value with this mark.
    Value(Key, Stamp),
}

/// Bytes that anything in the news takes at most beside its strings.
const FIXED_BYTES: usize = 64;

impl Update {
    /// Bytes on the wire, at most.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Member(member) => member.host.len() + member.domain.len() + FIXED_BYTES,
            Self::Value(key, _) => key.len() + FIXED_BYTES,
        }
    }
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// The receiver should answer.
    Ping(Sequence),
    /// Answer to a ping.
    Ack(Sequence),
    /// The receiver should ping a host on the sender's behalf.
    Probe {
        /// The sender's number.
        sequence: Sequence,
        /// The host.
        target: id::Host,
        /// Where it is.
        address: SocketAddr,
    },
    /// The host that the receiver asked the sender to ping has answered.
    Proof(Sequence),
    /// It only carries news.
    Push,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The sender's account of itself.
    pub from: Member,
    /// What the sender holds.
    pub digest: Digest,
    /// What it is for.
    pub body: Body,
    /// News; together no larger than [`NEWS_BYTES`].
    pub updates: Vec<Update>,
}
