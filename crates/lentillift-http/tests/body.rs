//! Bodies that come in parts.

use bytes::Bytes;
use lentillift_http::body::Body;
use proptest::prelude::*;

proptest! {
    /// However a body is divided, it is put together as it was sent.
    #[test]
    fn parts_keep_their_order(sizes in prop::collection::vec(prop_oneof![0..9usize, 0..40_000usize], 0..40)) {
        let parts = sizes.iter().enumerate().map(|(n, size)| vec![n as u8; *size]);
        let parts: Vec<Vec<u8>> = parts.collect();
        let mut body = Body::default();
        for part in &parts {
            body.push(Bytes::copy_from_slice(part));
        }
        prop_assert_eq!(body.finish(), parts.concat());
    }
}

proptest! {
    /// What a body takes is known before each part is added, and is at most twice its content beside a small block.
    #[test]
    fn memory_is_known_before_a_part_is_added(sizes in prop::collection::vec(prop_oneof![0..9usize, 0..40_000usize], 0..60)) {
        let mut body = Body::default();
        for size in sizes {
            let allowed = body.memory() + body.growth(size);
            body.push(vec![7; size].into());
            prop_assert!(body.memory() <= allowed, "{} of {allowed}", body.memory());
            prop_assert!(body.memory() <= 2 * body.len() + 1024);
        }
    }
}

/// Guards against parts of one byte that each cost more than their content.
#[test]
fn parts_of_one_byte_cost_little() {
    let mut body = Body::default();
    for _ in 0..300_000 {
        body.push(Bytes::from_static(b"x"));
    }
    assert!(body.memory() <= 300_000 + 64 * 1024, "{}", body.memory());
}

/// A body in one part is not copied.
#[test]
fn a_single_part_is_not_copied() {
    let part = Bytes::from(vec![7; 100]);
    let mut body = Body::default();
    body.push(part.clone());
    assert_eq!(body.finish().as_ptr(), part.as_ptr());
}
