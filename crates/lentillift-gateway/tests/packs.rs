//! Compression of published state between hosts.

use lentillift_gateway::pack::Packed;
use proptest::prelude::*;

/// Size limit of decompressed content.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Published text of `count` routes.
fn routes(count: usize) -> Vec<u8> {
    let routes = (0..count).map(|n| {
        let name = n.wrapping_mul(2_654_435_761) % 1_000_000_007;
        format!("{{\"name\":\"r-{name}\",\"prefix\":\"/{n}/\",\"kind\":\"idempotent\",\"timeout_ms\":5000}},")
    });
    routes.collect::<String>().into_bytes()
}

/// A configuration with over a thousand routes goes to each host over links that searches share.
/// Uncompressed it occupies a small link for a second at each host that forwards it, and searches
/// that reach that host meanwhile time out.
#[test]
fn published_text_compresses_to_a_fifth() {
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
fn small_content_is_not_compressed() {
    let content = routes(5);
    assert_eq!(Packed::pack(content.clone()), Packed::Plain(content));
}

/// A host sends invalid compressed data, or data that would exhaust memory once decompressed.
#[test]
fn malformed_and_oversized_content_is_rejected() {
    assert!(Packed::Deflated(vec![0xff; 100]).unpack("origin").is_err());
    let Packed::Deflated(mut truncated) = Packed::pack(routes(1400)) else {
        panic!("it was not packed");
    };
    truncated.truncate(truncated.len() / 2);
    assert!(Packed::Deflated(truncated).unpack("origin").is_err());
    let oversized = Packed::pack(vec![0; MAX_BYTES + 1]);
    assert!(oversized.unpack("origin").is_err());
}

proptest! {
    /// Any content survives the round trip, and content that does not compress does not grow.
    #[test]
    fn content_survives_a_round_trip(
        content in prop::collection::vec(any::<u8>(), 0..9000),
        repeats in 1usize..8,
    ) {
        let content = content.repeat(repeats);
        let packed = Packed::pack(content.clone());
        let (Packed::Plain(bytes) | Packed::Deflated(bytes)) = &packed;
        prop_assert!(bytes.len() <= content.len());
        prop_assert_eq!(packed.unpack("origin").ok(), Some(content));
    }
}
