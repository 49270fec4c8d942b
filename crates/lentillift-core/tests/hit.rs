//! Compares the merge of ranked lists with a sort of all their hits.

use lentillift_core::hit;
use lentillift_core::hit::Hit;
use proptest::prelude::*;

/// A sorted list of hits, drawn so that ids and scores recur within and across lists.
fn hits() -> impl Strategy<Value = Vec<Hit>> {
    let hit = (0u32..50, 0u32..20).prop_map(|(id, score)| Hit {
        id: format!("{id:02}"),
        score: f64::from(score),
        json: String::new(),
    });
    prop::collection::vec(hit, 0..20).prop_map(|mut hits| {
        hits.sort_by(hit::order);
        hits
    })
}

proptest! {
    #[test]
    fn merge_equals_truncated_sort(lists in prop::collection::vec(hits(), 0..10), limit in 0usize..30) {
        let mut sorted: Vec<Hit> = lists.concat();
        sorted.sort_by(hit::order);
        sorted.truncate(limit);
        prop_assert_eq!(hit::merge(lists, limit), sorted);
    }
}
