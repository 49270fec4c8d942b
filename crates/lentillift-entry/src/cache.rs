//! A cache of complete answers, keyed by query and snapshot.
//!
//! Guards against popular names that are searched again and again while the index does not change.
//! Without the cache each such search runs on every shard, and close to the capacity of the backend
//! servers rare searches queue behind them. An answer depends only on its query and its snapshot,
//! so it is valid for every query that would be pinned to the same snapshot. Validation by version
//! follows Narravula et al., "Architecture for Caching Responses with Multiple Dynamic Dependencies
//! in Multi-Tier Data-Centers over InfiniBand", with a snapshot in place of its dependency lists.
//!
//! 4 MB hold about a thousand answers of ten hits, compared with 32 MB that a process may use for
//! control state. Eviction is first in, first out: a popular query is cached again at once, and no
//! use counts are needed.

use crate::answer::Answer;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_policy::coalescing::Key;
use std::collections::HashMap;
use std::collections::VecDeque;

/// Default capacity of the cache, in bytes.
pub const DEFAULT_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Size of an entry beside its body and hits, in bytes.
const ENTRY_OVERHEAD: usize = 512;

#[derive(Debug)]
struct CachedAnswer {
    limit: usize,
    bytes: usize,
    answer: Answer,
}

/// A cache of complete answers, bounded in bytes, with the oldest evicted first.
#[derive(Debug)]
pub struct AnswerCache {
    max_bytes: usize,
    // INVARIANT: The sum of the bytes of `entries`, and at most `max_bytes`.
    bytes: usize,
    // INVARIANT: Complete answers, each from the snapshot of its key.
    entries: HashMap<Key, CachedAnswer>,
    /// The keys of `entries`, oldest first, and possibly some that were evicted.
    order: VecDeque<Key>,
}

impl AnswerCache {
    /// Creates an empty cache of up to `max_bytes` bytes; 0 disables it.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The cached answer to a query with the same limit of hits.
    pub fn get(&self, key: &Key, limit: usize) -> Option<&Answer> {
        let entry = self.entries.get(key)?;
        (entry.limit == limit).then_some(&entry.answer)
    }

    /// Caches an answer if it is complete, fits, and is not cached already.
    pub fn insert(&mut self, key: Key, limit: usize, answer: &Answer) {
        let bytes = entry_bytes(&key, answer);
        let is_cacheable = answer.coverage.is_full() && answer.snapshot == key.snapshot;
        if !is_cacheable || bytes > self.max_bytes || self.entries.contains_key(&key) {
            return;
        }
        self.bytes += bytes;
        let entry = CachedAnswer {
            limit,
            bytes,
            answer: answer.clone(),
        };
        self.entries.insert(key.clone(), entry);
        self.order.push_back(key);
        while self.bytes > self.max_bytes
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.entries.remove(&oldest).map_or(0, |entry| entry.bytes);
        }
    }

    /// Evicts the answers from snapshots that are no longer published.
    pub fn retain(&mut self, is_published: impl Fn(&id::Service, id::Snapshot) -> bool) {
        let entries = &mut self.entries;
        entries.retain(|key, _| is_published(&key.service, key.snapshot));
        self.order.retain(|key| entries.contains_key(key));
        self.bytes = entries.values().map(|entry| entry.bytes).sum();
    }
}

/// Approximate size of an entry, in bytes.
fn entry_bytes(key: &Key, answer: &Answer) -> usize {
    let hit_bytes = |hit: &Hit| size_of::<Hit>() + hit.id.len() + hit.json.len();
    ENTRY_OVERHEAD + key.body.len() + answer.hits.iter().map(hit_bytes).sum::<usize>()
}
