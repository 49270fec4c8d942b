//! Answers that are kept for callers who ask the same.
//!
//! Pattern: popular names are searched again and again while the index stands still. Without this
//! module each search runs on every shard, and near the limit of the backend servers the rare
//! searches wait behind them. An answer is kept under the snapshot it comes from, which is all
//! that it depends on, and is given only to a query that would be pinned to the same snapshot. The
//! idea of answers validated by version is from Narravula et al., "Architecture for Caching
//! Responses with Multiple Dynamic Dependencies in Multi-Tier Data-Centers over InfiniBand"; here a
//! snapshot takes the place of its dependency lists. Only complete answers are kept.
//!
//! Figures: 4 MB hold about a thousand answers of ten hits, beside 32 MB that a process may use for
//! control. The oldest makes room: a popular query is back at once, and no use has to be counted.

use crate::answer::Answer;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_policy::coalescing::Key;
use std::collections::HashMap;
use std::collections::VecDeque;

/// Bytes of answers that are kept at most, unless told otherwise.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

/// What an answer takes beside its text, in bytes.
const OVERHEAD: usize = 512;

#[derive(Debug)]
struct Entry {
    limit: usize,
    bytes: usize,
    answer: Answer,
}

/// Answers that are kept for callers who ask the same.
#[derive(Debug)]
pub struct Kept {
    most: usize,
    // INVARIANT: The sum of the bytes of `entries`, and at most `most`.
    bytes: usize,
    // INVARIANT: Complete answers, each at the snapshot of its key.
    entries: HashMap<Key, Entry>,
    /// The keys of `entries`, oldest first, and possibly some that were dropped.
    order: VecDeque<Key>,
}

impl Kept {
    /// Starts with nothing, to keep up to `most` bytes.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            bytes: 0,
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The answer to a query that wants up to `limit` hits.
    pub fn get(&self, key: &Key, limit: usize) -> Option<&Answer> {
        let entry = self.entries.get(key)?;
        (entry.limit == limit).then_some(&entry.answer)
    }

    /// Keeps an answer if it is complete and is not kept already.
    pub fn insert(&mut self, key: Key, limit: usize, answer: &Answer) {
        let bytes = size(&key, answer);
        let whole = answer.coverage.is_full() && answer.snapshot == key.snapshot;
        if !whole || bytes > self.most || self.entries.contains_key(&key) {
            return;
        }
        self.bytes += bytes;
        let entry = Entry {
            limit,
            bytes,
            answer: answer.clone(),
        };
        self.entries.insert(key.clone(), entry);
        self.order.push_back(key);
        while self.bytes > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.entries.remove(&oldest).map_or(0, |entry| entry.bytes);
        }
    }

    /// Drops the answers of snapshots that are not published any more.
    pub fn retain(&mut self, is_published: impl Fn(&id::Service, id::Snapshot) -> bool) {
        let entries = &mut self.entries;
        entries.retain(|key, _| is_published(&key.service, key.snapshot));
        self.order.retain(|key| entries.contains_key(key));
        self.bytes = entries.values().map(|entry| entry.bytes).sum();
    }
}

fn size(key: &Key, answer: &Answer) -> usize {
    let text = |hit: &Hit| size_of::<Hit>() + hit.id.len() + hit.json.len();
    OVERHEAD + key.body.len() + answer.hits.iter().map(text).sum::<usize>()
}
