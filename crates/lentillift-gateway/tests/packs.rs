//! What is published, packed for its way between hosts.

use lentillift_gateway::pack::Packed;
use proptest::prelude::*;

/// Largest content that is published, with much to spare.
const MOST_BYTES: usize = 64 * 1024 * 1024;

/// So many routes, as an operator publishes them.
fn routes(count: usize) -> Vec<u8> {
    let routes = (0..count).map(|n| {
        let name = n.wrapping_mul(2_654_435_761) % 1_000_000_007;
        format!("{{\"name\":\"r-{name}\",\"prefix\":\"/{n}/\",\"kind\":\"idempotent\",\"timeout_ms\":5000}},")
    });
    routes.collect::<String>().into_bytes()
}

/// A configuration that has grown by a thousand routes goes to each host over links that searches share.
/// As published it takes a small link for a second at each host that passes it on, and searches that come
/// to that host time out meanwhile.
#[test]
fn published_text_shrinks_to_a_fifth() {
    let content = routes(1400);
    let Packed::Deflated(deflated) = Packed::pack(content.clone()) else {
        panic!("it was not packed");
    };
    assert!(deflated.len() * 5 < content.len(), "{}", deflated.len());
    assert_eq!(
        Packed::Deflated(deflated).unpack("origin").ok(),
        Some(content)
    );
}

#[test]
fn small_content_is_left_as_it_is() {
    let content = routes(5);
    assert_eq!(Packed::pack(content.clone()), Packed::Plain(content));
}

/// A host sends bytes that are no packed content, or that would fill the memory once unpacked.
#[test]
fn malformed_and_boundless_content_is_refused() {
    assert!(Packed::Deflated(vec![0xff; 100]).unpack("origin").is_err());
    let Packed::Deflated(mut cut) = Packed::pack(routes(1400)) else {
        panic!("it was not packed");
    };
    cut.truncate(cut.len() / 2);
    assert!(Packed::Deflated(cut).unpack("origin").is_err());
    let boundless = Packed::pack(vec![0; MOST_BYTES + 1]);
    assert!(boundless.unpack("origin").is_err());
}

proptest! {
    /// Any content comes back as it was, and what can't be packed does not grow.
    #[test]
    fn content_comes_back_as_it_was(
        content in prop::collection::vec(any::<u8>(), 0..9000),
        again in 1usize..8,
    ) {
        let content = content.repeat(again);
        let packed = Packed::pack(content.clone());
        let (Packed::Plain(bytes) | Packed::Deflated(bytes)) = &packed;
        prop_assert!(bytes.len() <= content.len());
        prop_assert_eq!(packed.unpack("origin").ok(), Some(content));
    }
}
