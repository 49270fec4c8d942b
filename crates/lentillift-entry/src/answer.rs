//! The request of a search and its answer.

use lentillift_core::coverage::Coverage;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// A query as its caller sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// Name of the service to search.
    pub service: id::Service,
    /// Name of the caller.
    pub caller: id::Caller,
    /// Time that the caller waits for the answer, counted from the arrival of the query.
    pub allowance: Duration,
    /// Maximum number of hits in the answer.
    pub limit: usize,
    /// Minimum coverage that the caller accepts, as a share of the data from 0 to 1.
    pub least_coverage: f64,
    /// The body, passed on unchanged to backend servers.
    #[serde(with = "lentillift_core::text")]
    pub body: Arc<[u8]>,
}

/// The answer to a query.
///
/// # Invariants
///
/// All hits come from `snapshot`, and from the shards that `coverage` counts as answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The snapshot that was searched.
    pub snapshot: id::Snapshot,
    /// The shards that the hits come from, and the missing ones with the reason of each.
    pub coverage: Coverage,
    /// The best hits, in the order of [`lentillift_core::hit::order`].
    pub hits: Vec<Hit>,
}
