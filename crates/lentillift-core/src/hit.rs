//! Ranked hits and their merge.

use serde::Deserialize;
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// One hit of a search; all but its id and score is opaque.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The document's id.
    pub id: String,
    /// The document's score; higher is better.
    // INVARIANT: Never NaN; the parser of backend replies refuses it.
    pub score: f64,
    /// The hit as the backend server wrote it, as JSON.
    pub json: String,
}

/// Order of hits in an answer: by falling score, then by rising id.
pub fn order(a: &Hit, b: &Hit) -> Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}

/// The head of one shard's list while lists are merged.
struct Head {
    hit: Hit,
    rest: std::vec::IntoIter<Hit>,
}

impl PartialEq for Head {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Head {}

impl PartialOrd for Head {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Head {
    fn cmp(&self, other: &Self) -> Ordering {
        order(&other.hit, &self.hit)
    }
}

/// Merges sorted lists of hits and keeps the first `limit`.
pub fn merge<I>(lists: I, limit: usize) -> Vec<Hit>
where
    I: IntoIterator<Item = Vec<Hit>>,
{
    let mut heads = BinaryHeap::new();
    for list in lists {
        push(&mut heads, list.into_iter());
    }
    let mut merged = Vec::with_capacity(limit.min(1024));
    while merged.len() < limit
        && let Some(Head { hit, rest }) = heads.pop()
    {
        merged.push(hit);
        push(&mut heads, rest);
    }
    merged
}

fn push(heads: &mut BinaryHeap<Head>, mut rest: std::vec::IntoIter<Hit>) {
    if let Some(hit) = rest.next() {
        heads.push(Head { hit, rest });
    }
}
