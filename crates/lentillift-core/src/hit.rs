//! Hits of a search and the merge of ranked lists.

use serde::Deserialize;
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// One hit of a search. Only its id and score are interpreted; the rest is opaque.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Id of the document, as the backend server sent it.
    pub id: String,
    /// Score of the document; higher is better.
    // INVARIANT: Never NaN; the parser of backend replies rejects it.
    pub score: f64,
    /// The whole hit as the JSON text that the backend server sent.
    pub json: String,
}

/// Compares two hits by their order in an answer: descending score, then ascending id.
pub fn order(a: &Hit, b: &Hit) -> Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}

/// First unmerged hit of one shard's list, with the hits after it.
///
/// Ordered in reverse of [`order`], so that the max-heap yields the best hit first.
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

/// Merges lists that are each sorted by [`order`] and returns the first `limit` hits.
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

/// Adds a list to the heap, unless it is exhausted.
fn push(heads: &mut BinaryHeap<Head>, mut rest: std::vec::IntoIter<Hit>) {
    if let Some(hit) = rest.next() {
        heads.push(Head { hit, rest });
    }
}
