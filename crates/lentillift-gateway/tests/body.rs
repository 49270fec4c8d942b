//! Bodies that come in parts.

use bytes::Bytes;
use lentillift_gateway::body::Body;
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

/// A body in one part is not copied.
#[test]
fn a_single_part_is_not_copied() {
    let part = Bytes::from(vec![7; 100]);
    let mut body = Body::default();
    body.push(part.clone());
    assert_eq!(body.finish().as_ptr(), part.as_ptr());
}
