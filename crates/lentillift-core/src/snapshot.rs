//! Shard maps of index snapshots.

use crate::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;

/// One shard of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard's number within this snapshot.
    pub shard: id::Shard,
    /// Number of documents in the shard.
    pub weight: u64,
    /// Names of the backend servers that hold the shard.
    pub replicas: Vec<id::Backend>,
}

/// The shard map of one snapshot.
///
/// # Invariants
///
/// Every document of the snapshot is in exactly one part. A query that uses a single map therefore
/// neither counts a document twice nor loses one, even while the index is being repartitioned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Unchecked")]
pub struct Map {
    /// The snapshot that the map describes.
    pub snapshot: id::Snapshot,
    /// The shards of the snapshot; never empty once decoded.
    // INVARIANT: No two parts have the same shard number.
    pub parts: Vec<Part>,
}

impl Map {
    /// Number of documents in all parts together; saturates at `u64::MAX`.
    pub fn weight(&self) -> u64 {
        let weights = self.parts.iter().map(|part| part.weight);
        weights.fold(0, u64::saturating_add)
    }
}

/// A shard map as published, before its validation as a [`Map`].
#[derive(Debug, Deserialize)]
struct Unchecked {
    snapshot: id::Snapshot,
    parts: Vec<Part>,
}

impl TryFrom<Unchecked> for Map {
    type Error = String;

    fn try_from(map: Unchecked) -> Result<Self, Self::Error> {
        let snapshot = map.snapshot;
        if map.parts.is_empty() {
            return Err(format!("snapshot {snapshot}: the shard map has no parts"));
        }
        let mut shards = BTreeSet::new();
        // With a duplicate number, the hits of one part would be counted for both, and the hits of
        // the other would be lost.
        if let Some(part) = map.parts.iter().find(|part| !shards.insert(part.shard)) {
            return Err(format!(
                "snapshot {snapshot}: shard {} is listed twice",
                part.shard
            ));
        }
        Ok(Self {
            snapshot,
            parts: map.parts,
        })
    }
}
