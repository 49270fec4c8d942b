//! Replay of the traces in `traces/` against the outcomes stated beside them.

use lentillift_trace::replay::Decision;
use lentillift_trace::replay::holds;
use lentillift_trace::replay::replay;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// What a trace must come to.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stated {
    /// How many sub-requests are sent for each shard or id that is named.
    sent: BTreeMap<String, usize>,
    /// What callers get, in order, and nothing else.
    #[serde(rename = "final")]
    answers: Vec<Answer>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Answer {
    at_ms: Option<u64>,
    effect: Value,
}

/// Whether a decision is one that a caller sees.
fn is_final(decision: &&Decision) -> bool {
    let kinds = ["answer", "refuse", "settle", "issued"];
    kinds.iter().any(|kind| decision.effect.get(kind).is_some())
}

/// What a sub-request's name says it is for.
fn sent_for(decision: &Decision) -> Option<&str> {
    let name = decision.effect.pointer("/send/sub/id")?.as_str()?;
    name.split('#').next()
}

fn check(name: &str, trace: &str, stated: &str) {
    let outcome = replay(name, trace).expect("a trace that can be read");
    let stated: Stated = serde_json::from_str(stated).expect("stated outcomes");
    let found: Vec<&Decision> = outcome.decisions.iter().filter(is_final).collect();
    assert_eq!(found.len(), stated.answers.len(), "{found:#?}");
    for (wanted, found) in stated.answers.iter().zip(found) {
        assert!(
            holds(&wanted.effect, &found.effect),
            "{wanted:#?}\n{found:#?}"
        );
        if let Some(at) = wanted.at_ms {
            assert_eq!(found.at.as_millis() as u64, at, "{found:#?}");
        }
    }
    for (what, count) in &stated.sent {
        let sent = outcome.decisions.iter().filter_map(sent_for);
        assert_eq!(sent.filter(|sent| sent == what).count(), *count, "{what}");
    }
}

macro_rules! trace {
    ($name:ident, $file:literal) => {
        #[test]
        fn $name() {
            let trace = include_str!(concat!("../traces/", $file, ".jsonl"));
            let stated = include_str!(concat!("../traces/", $file, ".json"));
            check($file, trace, stated);
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
fn a_broken_trace_is_named() {
    let trace = include_str!("../traces/resend.jsonl").replace("\"issue\"", "\"isue\"");
    let error = replay("resend", &trace).expect_err("a line that is no event");
    assert!(error.to_string().contains("resend line 3"), "{error}");
}
