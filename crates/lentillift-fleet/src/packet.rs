//! Datagrams that processes exchange for probing and gossip.

use crate::member::Member;
use crate::value::Key;
use crate::value::Stamp;
use lentillift_core::id;
use std::net::SocketAddr;

/// Number of a probe, unique within the process that sent it.
pub type Sequence = u64;

/// Space for updates in one datagram, in bytes.
///
/// With the header a datagram stays below 1,200 bytes, which no network on its path has to
/// fragment. A fragmented datagram is lost with any of its fragments.
pub const UPDATES_BYTES: usize = 900;

/// Hashes of a process's state; equal for processes with the same state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Hash of the stamps of the values in force.
    pub values: u64,
    /// Hash of the records of all hosts, the sender included.
    pub members: u64,
}

/// A change that is spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The record of a host has changed.
    Member(Member),
    /// The sender holds a value of this key with this stamp.
    Value(Key, Stamp),
}

/// Maximum encoded size of an update without its strings, in bytes.
const FIXED_BYTES: usize = 64;

impl Update {
    /// Upper bound of the encoded size, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Member(member) => member.host.len() + member.domain.len() + FIXED_BYTES,
            Self::Value(key, _) => key.len() + FIXED_BYTES,
        }
    }
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// The receiver should answer with an ack of the same number.
    Ping(Sequence),
    /// Answer to a ping.
    Ack(Sequence),
    /// The receiver should ping a host on the sender's behalf.
    Probe {
        /// Number of the sender's probe.
        sequence: Sequence,
        /// Host to ping.
        target: id::Host,
        /// Address of that host.
        address: SocketAddr,
    },
    /// The host that the receiver asked the sender to ping has answered.
    Proof(Sequence),
    /// The datagram only carries updates.
    Push,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The sender's record of itself.
    pub from: Member,
    /// Digest of the sender's state, compared with the receiver's.
    pub digest: Digest,
    /// What the receiver should do.
    pub body: Body,
    /// Updates; together no larger than [`UPDATES_BYTES`].
    pub updates: Vec<Update>,
}
