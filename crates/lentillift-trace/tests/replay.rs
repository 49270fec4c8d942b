//! Replays the traces in `traces/` and compares them with the expected outcomes stored beside them.

use lentillift_trace::replay::Decision;
use lentillift_trace::replay::includes;
use lentillift_trace::replay::replay;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The expected outcome of a trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    /// Number of sub-requests sent for each listed shard (`SNAPSHOT/SHARD`) or id (`$NUMBER`).
    sent: BTreeMap<String, usize>,
    /// The responses to callers, in order; there must be no others.
    #[serde(rename = "final")]
    answers: Vec<Answer>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Answer {
    at_ms: Option<u64>,
    effect: Value,
}

/// Whether a decision is a response to a caller.
fn is_response(decision: &&Decision) -> bool {
    let kinds = ["answer", "refuse", "settle", "issued"];
    kinds.iter().any(|kind| decision.effect.get(kind).is_some())
}

/// The shard or id that a sub-request was sent for, taken from its name.
fn sub_request_target(decision: &Decision) -> Option<&str> {
    let name = decision.effect.pointer("/send/sub/id")?.as_str()?;
    name.split('#').next()
}

fn check(name: &str, trace: &str, expected: &str) {
    let outcome = replay(name, trace).expect("a trace that can be parsed");
    let expected: Expected = serde_json::from_str(expected).expect("expected outcomes");
    let found: Vec<&Decision> = outcome.decisions.iter().filter(is_response).collect();
    assert_eq!(found.len(), expected.answers.len(), "{found:#?}");
    for (wanted, found) in expected.answers.iter().zip(found) {
        assert!(
            includes(&wanted.effect, &found.effect),
            "{wanted:#?}\n{found:#?}"
        );
        if let Some(at) = wanted.at_ms {
            assert_eq!(found.at.as_millis() as u64, at, "{found:#?}");
        }
    }
    for (target, count) in &expected.sent {
        let sent = outcome.decisions.iter().filter_map(sub_request_target);
        assert_eq!(
            sent.filter(|sent| sent == target).count(),
            *count,
            "{target}"
        );
    }
}

macro_rules! trace {
    ($name:ident, $file:literal) => {
        #[test]
        fn $name() {
            let trace = include_str!(concat!("../traces/", $file, ".jsonl"));
            let expected = include_str!(concat!("../traces/", $file, ".json"));
            check($file, trace, expected);
        }
    };
}

trace!(slow_server, "slow-server");
trace!(cold_return, "cold-return");
trace!(domain_out_and_back, "domain-out-and-back");
trace!(version_change, "version-change");
trace!(repartitioning, "repartitioning");
trace!(partition, "partition");
trace!(pause, "pause");
trace!(resend, "resend");

#[test]
fn an_error_names_the_trace_and_the_line() {
    let trace = include_str!("../traces/resend.jsonl").replace("\"issue\"", "\"isue\"");
    let error = replay("resend", &trace).expect_err("a line that is no event");
    assert!(error.to_string().contains("resend line 3"), "{error}");
}
