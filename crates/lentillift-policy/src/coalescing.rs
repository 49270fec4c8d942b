//! Whether identical queries share a run.
//!
//! Pattern: a name is in the news and fifty callers search for it at once. Without this module each
//! search runs on every shard, and the shards do the same work fifty times. Queries of the same
//! service, snapshot and body, all of which may be repeated, share the run that is under way. Each
//! caller still gets an answer of its own, with its own limit, deadline and least coverage, and
//! one that goes away cancels only what nobody else waits for.
//!
//! A run that has lost a shard takes no more queries: a newcomer has time to get that shard.

use lentillift_core::id;
use lentillift_settings::policy::Coalescing as Options;
use std::collections::HashMap;
use std::sync::Arc;

/// What makes queries identical.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// The snapshot.
    pub snapshot: id::Snapshot,
    /// The body.
    pub body: Arc<[u8]>,
}

/// What to do about a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Share a run that is under way.
    Join(id::Request),
    /// Start a run.
    Start,
}

/// The runs under way that take further queries.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    // INVARIANT: Names runs under way only.
    open: HashMap<Key, id::Request>,
}

impl Runs {
    /// Says what to do about a query.
    pub fn decide(&self, options: &Options, key: &Key) -> Decision {
        match self.open.get(key) {
            Some(run) if options.on => Decision::Join(*run),
            _ => Decision::Start,
        }
    }

    /// Notes a run that was started.
    pub fn start(&mut self, key: Key, run: id::Request) {
        self.open.insert(key, run);
    }

    /// Notes that a run takes no more queries.
    pub fn close(&mut self, key: &Key, run: id::Request) {
        if self.open.get(key) == Some(&run) {
            self.open.remove(key);
        }
    }

    /// How many runs take further queries.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no run takes further queries.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
