//! Merging records.

use lentillift_scatter::record;
use proptest::prelude::*;

fn filled(byte: u8) -> Vec<u8> {
    vec![byte; record::LENGTH]
}

macro_rules! merges {
    ($($(#[$doc:meta])* $name:ident: $parts:expr, $limit:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let parts: Vec<Vec<u8>> = $parts;
            let merged = record::merge(parts.iter().map(Vec::as_slice), $limit);
            let expected: Vec<Vec<u8>> = $expected;
            assert_eq!(merged, expected.concat());
        }
    )*};
}

merges! {
    greatest_first: vec![[filled(1), filled(3)].concat(), filled(2)], 10 => vec![filled(3), filled(2), filled(1)];
    only_as_many_as_wanted: vec![[filled(1), filled(3)].concat(), filled(2)], 2 => vec![filled(3), filled(2)];
    equal_records_all_count: vec![filled(7), filled(7)], 10 => vec![filled(7), filled(7)];
    /// A server's reply ends in the middle of a record; the remainder is ignored.
    a_remainder_is_no_record: vec![[filled(1), vec![9; 5]].concat()], 10 => vec![filled(1)];
    nothing_of_nothing: vec![], 10 => vec![];
    none_wanted: vec![filled(1)], 0 => vec![];
}

proptest! {
    /// Merging some parts first, on another host, does not change the result.
    #[test]
    fn in_two_steps_as_in_one(
        parts in prop::collection::vec(prop::collection::vec(0u8..4, 0..100), 0..8),
        cut in 0usize..8,
        limit in 0usize..12,
    ) {
        let cut = cut.min(parts.len());
        let slices = |parts: &[Vec<u8>]| {
            record::merge(parts.iter().map(Vec::as_slice), limit)
        };
        let two = [slices(&parts[..cut]), slices(&parts[cut..])];
        let two = record::merge(two.iter().map(|part| &part[..]), limit);
        prop_assert_eq!(two, slices(&parts));
    }
}
