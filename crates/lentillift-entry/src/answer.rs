//! What a caller asks and what it gets.

use lentillift_core::coverage::Coverage;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// A query as its caller put it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// The service to search.
    pub service: id::Service,
    /// The caller.
    pub caller: id::Caller,
    /// How long the caller waits for the answer.
    pub allowance: Duration,
    /// How many hits the caller wants at most.
    pub limit: usize,
    /// The least share of the data that the caller accepts, from 0 to 1.
    pub least_coverage: f64,
    /// The body, passed on to backend servers as it came.
    #[serde(with = "lentillift_core::text")]
    pub body: Arc<[u8]>,
}

/// The answer to a query.
///
/// # Invariants
///
/// All hits are of `snapshot`, and of the shards that `coverage` counts as answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The snapshot that was searched.
    pub snapshot: id::Snapshot,
    /// What part of the snapshot the hits come from.
    pub coverage: Coverage,
    /// The best hits, in the order of [`lentillift_core::hit::order`].
    pub hits: Vec<Hit>,
}
