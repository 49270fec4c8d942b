//! `lentillift query`: sends one query as a caller.

use crate::command::Command;
use crate::command::Unreachable;
use crate::command::UsageError;
use crate::command::show;
use crate::exit::Exit;
use crate::fetch;
use anyhow::Context;
use getopts::Matches;
use getopts::Options;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

/// Default time allowance, in milliseconds.
const DEFAULT_ALLOWANCE_MS: u64 = 1000;

/// Time beyond the allowance after which the tool gives up.
const CLIENT_GRACE: Duration = Duration::from_secs(2);

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "query",
    arguments: "ADDR SERVICE [BODY]",
    summary: "send one query and show its answer and coverage",
    about:
        "Sends BODY, a JSON object, as a query to SERVICE through the callers' port at ADDR. Shows
the coverage of the answer, the missing shards with reasons, and the hits.",
    examples: &[
        (
            "lentillift query --caller phones 10.0.0.1:7070 notice-search-01 '{\"q\":\"Amina\"}'",
            "Send the query as the caller `phones`.",
        ),
        (
            "lentillift query --caller phones --json 10.0.0.1:7070 archive",
            "Show the response body unchanged.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt("c", "caller", "name of the caller (required)", "NAME");
    options.optopt("", "allowance-ms", "how long the caller waits (1000)", "MS");
    options.optopt(
        "",
        "least-coverage",
        "minimum coverage that is accepted",
        "0..1",
    );
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let (address, service, body) = match matches.free.as_slice() {
        [address, service] => (address, service, "{}"),
        [address, service, body] => (address, service, body.as_str()),
        _ => return Err(UsageError("expected ADDR SERVICE [BODY]".to_owned()).into()),
    };
    let address = fetch::parse_address(address)?;
    let caller = matches.opt_str("caller");
    let caller = caller.ok_or_else(|| UsageError("--caller is missing".to_owned()))?;
    let allowance = matches.opt_get_default("allowance-ms", DEFAULT_ALLOWANCE_MS);
    let allowance = allowance.map_err(|e| UsageError(format!("--allowance-ms: {e}")))?;
    let agent = fetch::agent(Duration::from_millis(allowance) + CLIENT_GRACE);
    let mut request = agent
        .post(format!("http://{address}/v1/services/{service}/query"))
        .header("x-caller", caller)
        .header("x-allowance-ms", allowance.to_string());
    if let Some(least) = matches.opt_str("least-coverage") {
        request = request.header("x-least-coverage", least);
    }
    let started = Instant::now();
    let sent = request.send(body);
    let mut response = sent.map_err(|e| Unreachable(format!("{address}: {e}")))?;
    let latency = started.elapsed();
    let status = response.status().as_u16();
    let text = response
        .body_mut()
        .read_to_string()
        .context("read answer")?;
    let answer: Value = serde_json::from_str(&text).unwrap_or(Value::String(text.clone()));
    match (matches.opt_present("json"), status) {
        (true, _) => show(&(text + "\n")),
        (false, 200) => show(&summary(&answer, latency)),
        (false, _) => eprintln!("Refused ({status}): {answer}"),
    }
    Ok(match status {
        200 => Exit::Done,
        _ => Exit::Failed,
    })
}

/// Describes an answer: coverage, latency, missing shards and hits.
fn summary(answer: &Value, latency: Duration) -> String {
    let coverage = &answer["coverage"];
    let mut text = format!(
        "Snapshot {}: {} of {} shards, {:.3}% of the data, in {:.1} ms.\n",
        answer["snapshot"],
        coverage["answered"],
        coverage["shards"],
        answer["share"].as_f64().unwrap_or(0.0) * 100.0,
        latency.as_secs_f64() * 1e3
    );
    let mut reasons: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for missing in coverage["missing"].as_array().into_iter().flatten() {
        let reason = missing["reason"].as_str().unwrap_or("unknown");
        let shards = reasons.entry(reason).or_default();
        shards.push(missing["shard"].to_string());
    }
    for (reason, shards) in reasons {
        let _ = writeln!(text, "Missing ({reason}): shards {}.", shards.join(", "));
    }
    for hit in answer["hits"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "{hit}");
    }
    text
}
