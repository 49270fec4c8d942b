//! Random and deeply nested published values are parsed or rejected with an error that names the
//! key; they never crash the process.

use lentillift_settings::config::Config;
use lentillift_settings::jsonc;
use lentillift_settings::placement::Placement;
use lentillift_settings::roster::Roster;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Random sequences of fragments of JSON with comments.
fn pieces() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just("{".to_owned()),
        Just("}".to_owned()),
        Just("[".to_owned()),
        Just("]".to_owned()),
        Just(":".to_owned()),
        Just(",".to_owned()),
        Just("//".to_owned()),
        Just("/*".to_owned()),
        Just("\n".to_owned()),
        Just("\"".to_owned()),
        Just("\\u12".to_owned()),
        Just("-1e999".to_owned()),
        Just("18446744073709551616".to_owned()),
        Just("\"revision\":1".to_owned()),
        Just("\"services\":{".to_owned()),
        Just("\"maps\":[{\"snapshot\":1,\"parts\":[".to_owned()),
        "\\PC{0,6}",
    ];
    prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

/// Parses `text` as each kind of published value and checks that errors name the key.
fn parse_all(text: &str) {
    let errors = [
        jsonc::parse::<Config>("config", text).map(|_| ()).err(),
        jsonc::parse::<Placement>("service/x", text)
            .map(|_| ())
            .err(),
        jsonc::parse::<Roster>("hosts", text).map(|_| ()).err(),
    ];
    for (error, name) in errors.into_iter().zip(["config", "service/x", "hosts"]) {
        if let Some(error) = error {
            let shown = error.to_string();
            assert!(shown.starts_with(&format!("decode {name}: ")), "{shown}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in pieces()) {
        parse_all(&text);
    }
}

/// A megabyte of opening brackets, published by mistake, would overflow the stack of every process,
/// and again at each restart.
#[test]
fn a_megabyte_of_brackets_is_rejected() {
    for bracket in ["[", "{\"a\":", "[/* [ */"] {
        parse_all(&bracket.repeat(1024 * 1024 / bracket.len()));
    }
}

/// A shard map lists a shard number twice. Its documents would be counted twice, and the hits of one
/// of the two parts would be lost.
#[test]
fn a_duplicate_shard_is_rejected() {
    let part = r#"{"shard":3,"weight":1,"replicas":["b"]}"#;
    let text = format!(
        r#"{{"revision":1,"servers":{{}},"maps":[{{"snapshot":9,"parts":[{part},{part}]}}]}}"#
    );
    let error = jsonc::parse::<Placement>("service/x", &text).expect_err("duplicate shard");
    assert!(
        error
            .to_string()
            .contains("snapshot 9: shard 3 is listed twice"),
        "{error}"
    );
}
