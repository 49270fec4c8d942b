//! Index snapshots and the shard maps that belong to them.

use crate::id;
use serde::Deserialize;
use serde::Serialize;

/// One shard of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard's number within this snapshot.
    pub shard: id::Shard,
    /// How much data the shard holds, in documents.
    pub weight: u64,
    /// The backend servers that hold the shard.
    pub replicas: Vec<id::Backend>,
}

/// The shard map of one snapshot.
///
/// # Invariants
///
/// Every document of the snapshot is in exactly one part. A query that keeps to one map can
/// therefore neither count a document twice nor lose one, whatever repartitioning is under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Map {
    /// The snapshot that the map describes.
    pub snapshot: id::Snapshot,
    /// The parts of the snapshot.
    // INVARIANT: No two parts have the same shard number.
    pub parts: Vec<Part>,
}

impl Map {
    /// Documents in all parts together.
    pub fn weight(&self) -> u64 {
        self.parts.iter().map(|part| part.weight).sum()
    }
}
