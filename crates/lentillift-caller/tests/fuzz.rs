//! Property tests of the parser: any request is either parsed within its bounds or rejected with a
//! cause and a detail, without a panic.

use bytes::Bytes;
use http::Request;
use lentillift_caller::parse;
use lentillift_caller::parse::Route;
use lentillift_caller::parse::RouteError;
use lentillift_core::refusal::Cause;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn body() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..60),
        Just(b"{}".to_vec()),
        Just(br#"{"limit":18446744073709551615}"#.to_vec()),
        Just(br#"{"limit":-1}"#.to_vec()),
        Just(b"[".repeat(60_000)),
        "\\{\"limit\":[0-9]{1,4}\\}".prop_map(String::into_bytes),
    ]
}

fn value() -> impl Strategy<Value = Vec<u8>> {
    let known = [
        "0",
        "1",
        "NaN",
        "inf",
        "-1",
        "1e400",
        "250",
        "newsroom",
        "18446744073709551616",
    ];
    prop_oneof![
        prop::sample::select(known.to_vec()).prop_map(|text| text.as_bytes().to_vec()),
        prop::collection::vec(0x20u8..=0xff, 0..20)
            .prop_map(|bytes| bytes.into_iter().filter(|b| *b != 0x7f).collect()),
    ]
}

fn request() -> impl Strategy<Value = Request<Bytes>> {
    let path = prop_oneof![
        "/v1/services/[a-z%]{0,5}/(query|action|ids|other)",
        "/[a-z0-9/]{0,20}",
    ];
    let names = vec![
        parse::CALLER,
        parse::ALLOWANCE,
        parse::LEAST_COVERAGE,
        parse::IDEMPOTENCY_KEY,
    ];
    let headers = prop::collection::vec((prop::sample::select(names), value()), 0..6);
    let method = prop::sample::select(vec!["POST", "GET"]);
    (path, method, headers, body()).prop_map(|(path, method, headers, body)| {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(name, value);
        }
        request.body(body.into()).expect("a request")
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_request_is_parsed_or_rejected_with_a_reason(request in request()) {
        match parse::route(&request) {
            Ok(Route::Query(query)) => {
                prop_assert!((0.0..=1.0).contains(&query.least_coverage));
                prop_assert!(query.limit <= 1000);
            }
            Ok(_) | Err(RouteError::NoRoute | RouteError::Method) => {}
            Err(RouteError::Refused(refusal)) => {
                prop_assert!(matches!(refusal.cause, Cause::Malformed | Cause::Allowance));
                prop_assert!(!refusal.detail.is_empty());
            }
        }
    }
}

/// A caller with a faulty clock or arithmetic sends an allowance of half a million years. Adding it
/// to the current time must not overflow; the configured bounds reject it later.
#[test]
fn a_huge_allowance_parses_without_overflow() {
    let request = Request::post("/v1/services/names/query")
        .header(parse::CALLER, "newsroom")
        .header(parse::ALLOWANCE, u64::MAX.to_string())
        .body(Bytes::from_static(b"{}"))
        .expect("a request");
    let Ok(Route::Query(query)) = parse::route(&request) else {
        panic!("a query");
    };
    assert_eq!(query.allowance, Duration::from_millis(u64::MAX));
}
