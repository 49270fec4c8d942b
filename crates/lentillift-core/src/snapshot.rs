//! Index snapshots and the shard maps that belong to them.

use crate::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;

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
#[serde(try_from = "Unchecked")]
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
        let weights = self.parts.iter().map(|part| part.weight);
        weights.fold(0, u64::saturating_add)
    }
}

/// A map as it was published, which may break the rules of [`Map`].
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
            return Err(format!("snapshot {snapshot}: no parts"));
        }
        let mut shards = BTreeSet::new();
        // Two parts under one number would be counted twice, with one's hits in place of both.
        if let Some(part) = map.parts.iter().find(|part| !shards.insert(part.shard)) {
            return Err(format!("snapshot {snapshot}: shard {} twice", part.shard));
        }
        Ok(Self {
            snapshot,
            parts: map.parts,
        })
    }
}
