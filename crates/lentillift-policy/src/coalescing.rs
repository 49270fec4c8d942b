//! Request coalescing: identical queries share one run.
//!
//! Pattern: a name is in the news and fifty callers search for it at once. Without this module each
//! search runs on every shard, and the shards do the same work fifty times. Idempotent queries with
//! the same service, snapshot and body share the run in flight. Each caller still gets its own
//! answer, with its own limit, deadline and least coverage; when a caller disconnects, only work
//! that no other caller waits for is cancelled.
//!
//! A run that has lost a shard is closed to further queries, because a new query still has time to
//! get that shard.

use lentillift_core::id;
use lentillift_settings::policy::Coalescing as Options;
use std::collections::HashMap;
use std::sync::Arc;

/// Queries with equal keys are identical.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The service that is searched.
    pub service: id::Service,
    /// The snapshot that is searched.
    pub snapshot: id::Snapshot,
    /// The query's body, compared byte by byte.
    pub body: Arc<[u8]>,
}

/// What to do with a new query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Share this run, which is in flight.
    Join(id::Request),
    /// Start a run.
    Start,
}

/// Runs in flight that further queries may join.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    // INVARIANT: Names runs in flight only.
    open: HashMap<Key, id::Request>,
}

impl Runs {
    /// Decides whether a query joins an open run or starts one.
    pub fn decide(&self, options: &Options, key: &Key) -> Decision {
        match self.open.get(key) {
            Some(run) if options.on => Decision::Join(*run),
            _ => Decision::Start,
        }
    }

    /// Records a run that was started, open to further queries.
    pub fn start(&mut self, key: Key, run: id::Request) {
        self.open.insert(key, run);
    }

    /// Closes a run to further queries.
    pub fn close(&mut self, key: &Key, run: id::Request) {
        if self.open.get(key) == Some(&run) {
            self.open.remove(key);
        }
    }

    /// Number of runs that further queries may join.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no run is open to further queries.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
