//! Coverage of an answer: the share of a snapshot's documents that it includes.

use crate::id;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// Largest share shown for an answer that lacks a shard, so that it never reads as complete.
const MAX_INCOMPLETE_SHARE: f64 = 0.999_999;

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No usable backend server holds a replica of the shard.
    NoReplica,
    /// The deadline of the answer passed before the shard replied.
    Deadline,
    /// Every replica that received a sub-request refused it.
    Refused,
    /// Every replica is in a cold start and already runs as many requests as it may then.
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
    /// Number of the shard in the answer's snapshot.
    pub shard: id::Shard,
    /// Number of documents in the shard.
    pub weight: u64,
    /// Why the answer lacks the shard.
    pub reason: Reason,
}

/// Shards and documents of a snapshot, and those that an answer covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards in the snapshot.
    pub shards: u32,
    /// Number of shards whose reply is part of the answer.
    // INVARIANT: `answered + missing.len() == shards`.
    pub answered: u32,
    /// Number of documents in the snapshot.
    pub weight: u64,
    /// Number of documents in the shards that replied.
    pub covered: u64,
    /// Shards that did not reply, with the reason for each.
    pub missing: Vec<Missing>,
}

impl Coverage {
    /// Whether every shard of the snapshot replied.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }

    /// Whether the answer satisfies a caller that requires at least the share `min_share`, from 0
    /// to 1.
    ///
    /// An answer without any reply never does, unless the snapshot has no shards. A `min_share` of 1
    /// requires every shard: a share that is rounded to 1, or a missing shard that reports no
    /// documents, is not enough.
    pub fn satisfies(&self, min_share: f64) -> bool {
        let covers = self.answered > 0 || self.shards == 0;
        covers && self.share() >= min_share && (min_share < 1.0 || self.is_full())
    }

    /// Share of the snapshot's documents that the answer covers, from 0 to 1.
    ///
    /// For a snapshot without documents, the share of its shards that replied; 1 if it has none.
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
            // A tiny or empty missing shard must not round the share up to 1.
            share = share.min(MAX_INCOMPLETE_SHARE);
        }
        let millionths = (share * 1e6).floor();
        write!(f, "{:.6}", millionths / 1e6)
    }
}
