//! What part of the data an answer covers.

use crate::id;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// The share that is shown when a shard is missing but nearly nothing of the data.
const MOST_WITH_HOLES: f64 = 0.999_999;

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No backend server that may be used holds the shard.
    NoReplica,
    /// The answer was due before the shard replied.
    Deadline,
    /// Every replica that was asked refused.
    Refused,
    /// Every replica is in a cold start and full.
    Cold,
    /// The backend server no longer holds the snapshot.
    SnapshotGone,
    /// All replicas are in a failure domain that is out of service.
    DomainOut,
    /// The backend server failed or sent a malformed reply.
    Failed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoReplica => "no-replica",
            Self::Deadline => "deadline",
            Self::Refused => "refused",
            Self::Cold => "cold",
            Self::SnapshotGone => "snapshot-gone",
            Self::DomainOut => "domain-out",
            Self::Failed => "failed",
        })
    }
}

/// A shard that is missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The shard's number in the answer's snapshot.
    pub shard: id::Shard,
    /// Documents in the shard.
    pub weight: u64,
    /// Why it is missing.
    pub reason: Reason,
}

/// What part of a snapshot an answer covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards in the snapshot.
    pub shards: u32,
    /// Shards whose reply is in the answer.
    // INVARIANT: `answered + missing.len() == shards`.
    pub answered: u32,
    /// Documents in the snapshot.
    pub weight: u64,
    /// Documents in the answered shards.
    pub covered: u64,
    /// The shards that are not in the answer.
    pub missing: Vec<Missing>,
}

impl Coverage {
    /// Whether no shard is missing.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }

    /// Whether a caller that wants at least the share `least` is served.
    ///
    /// An answer of which no shard replied covers nothing and is none. One who wants all gets all:
    /// a share that is rounded to 1, or a missing shard that is said to be empty, doesn't do.
    pub fn satisfies(&self, least: f64) -> bool {
        let covers = self.answered > 0 || self.shards == 0;
        covers && self.share() >= least && (least < 1.0 || self.is_full())
    }

    /// Share of the snapshot's documents that the answer covers, from 0 to 1.
    ///
    /// A snapshot without documents counts by its shards.
    pub fn share(&self) -> f64 {
        match (self.weight, self.shards) {
            (0, 0) => 1.0,
            (0, shards) => f64::from(self.answered) / f64::from(shards),
            (weight, _) => self.covered as f64 / weight as f64,
        }
    }
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut share = self.share();
        if !self.is_full() {
            // Never rounded up to what would look like all of it.
            share = share.min(MOST_WITH_HOLES);
        }
        let millionths = (share * 1e6).floor();
        write!(f, "{:.6}", millionths / 1e6)
    }
}
