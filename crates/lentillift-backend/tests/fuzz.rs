//! Property tests of the reply parser: a reply is either parsed into sorted hits of the requested
//! snapshot and shard, or rejected, without a panic.

use lentillift_backend::reply;
use lentillift_core::hit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn body() -> impl Strategy<Value = String> {
    let hit = prop_oneof![
        4 => ("[a-z]{1,3}", -9i32..9).prop_map(|(id, score)| format!(r#"{{"id":"{id}","score":{score},"x":[1]}}"#)),
        1 => Just(r#"{"id":"a","score":1e999}"#.to_owned()),
        1 => Just(r#"{"id":"a","score":null}"#.to_owned()),
        1 => Just(r#"{"id":1,"score":1}"#.to_owned()),
        1 => "\\PC{0,9}",
    ];
    let hits = prop::collection::vec(hit, 0..6).prop_map(|hits| hits.join(","));
    let whole = (0u64..3, 0u32..3, hits)
        .prop_map(|(s, n, hits)| format!(r#"{{"snapshot":{s},"shard":{n},"hits":[{hits}]}}"#));
    prop_oneof![4 => whole, 1 => "\\PC{0,40}"]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_reply_is_hits_of_the_requested_shard_or_rejected(body in body(), cut in 0usize..200) {
        let cut = &body.as_bytes()[..cut.min(body.len())];
        for bytes in [body.as_bytes(), cut] {
            match reply::hits(bytes, 1, 1) {
                Ok(hits) => {
                    prop_assert!(body.contains(r#""snapshot":1,"shard":1,"#));
                    prop_assert!(hits.iter().all(|hit| hit.score.is_finite()));
                    prop_assert!(hits.is_sorted_by(|a, b| hit::order(a, b).is_le()));
                }
                Err(detail) => prop_assert!(!detail.is_empty()),
            }
        }
    }

    #[test]
    fn any_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        prop_assert!(reply::hits(&bytes, 1, 1).is_err());
    }
}
