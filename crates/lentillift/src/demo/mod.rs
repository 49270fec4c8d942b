//! `lentillift demo`: runs a small fleet on loopback, sends it a few hundred requests, and checks the
//! results.

mod fleet;

use crate::exit::Exit;
use anyhow::Context;
use fleet::EXAMPLES;
use fleet::Example;
use fleet::Fleet;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;
use tokio::runtime::Runtime;
use ureq::Agent;

/// Number of queries sent to each example.
const QUERIES: usize = 200;

/// Time allowance of each request, in milliseconds.
const ALLOWANCE_MS: u64 = 500;

/// Longest wait for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the demonstration; fails if any check fails.
///
/// With `--hold`, the fleet of the last example keeps running until the process is interrupted.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let hold = match arguments {
        [] => false,
        [only] if only == "--hold" => true,
        _ => {
            eprintln!("Usage: lentillift demo [--hold]");
            return Exit::Usage.into();
        }
    };
    match try_run(hold) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn try_run(hold: bool) -> anyhow::Result<usize> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut results = Results::default();
    for (number, example) in EXAMPLES.iter().enumerate() {
        let fleet = runtime.block_on(Fleet::start(example))?;
        results.run_example(example, &fleet)?;
        let last = number + 1 == EXAMPLES.len();
        if last && hold {
            wait_for_interrupt(&runtime, &fleet)?;
        }
        runtime.block_on(fleet.stop());
    }
    println!("{}", results.summary());
    Ok(results.violations.len())
}

/// Keeps a fleet running until the process is interrupted.
fn wait_for_interrupt(runtime: &Runtime, fleet: &Fleet) -> anyhow::Result<()> {
    println!("Callers connect to {:?}.", fleet.callers);
    println!("Operators connect to {:?}.", fleet.operators);
    println!("Press Ctrl-C to stop.");
    runtime.block_on(tokio::signal::ctrl_c())?;
    Ok(())
}

fn await_ready(fleet: &Fleet) -> anyhow::Result<()> {
    let since = Instant::now();
    while !fleet.is_ready() {
        anyhow::ensure!(
            since.elapsed() < READY_TIMEOUT,
            "the fleet did not become ready"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into()
}

/// Results of the demonstration.
#[derive(Default)]
struct Results {
    snapshot: u64,
    shards: u64,
    answered: u64,
    full: usize,
    latencies: Vec<Duration>,
    violations: Vec<String>,
}

impl Results {
    /// Sends requests to the fleet of an example, and prints and checks the results.
    fn run_example(&mut self, example: &Example, fleet: &Fleet) -> anyhow::Result<()> {
        println!(
            "{}: started a platform, {} backend servers and {} processes.",
            example.name,
            fleet.running.backends.len(),
            fleet.callers.len()
        );
        println!(
            "{}: of {}, server 0 is slow at times and server 1 cannot be reached.",
            example.name, example.search
        );
        await_ready(fleet)?;
        let agent = agent();
        self.full = 0;
        let before = std::mem::take(&mut self.latencies);
        for number in 0..QUERIES {
            let entry = fleet.callers[number % fleet.callers.len()];
            self.send_query(&agent, example, entry, number)?;
        }
        self.report_queries(example);
        self.latencies.extend(before);
        self.check_action(&agent, example, fleet)?;
        self.check_backends(fleet);
        Ok(())
    }

    /// Sends one query and checks its answer.
    fn send_query(
        &mut self,
        agent: &Agent,
        example: &Example,
        entry: SocketAddr,
        number: usize,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        let mut response = agent
            .post(format!(
                "http://{entry}/v1/services/{}/query",
                example.search
            ))
            .header("x-caller", example.caller)
            .header("x-allowance-ms", ALLOWANCE_MS.to_string())
            // Each query is different; otherwise most would be answered from the cache.
            .send(format!(r#"{{"q":"Amina {number}","limit":10}}"#))?;
        self.latencies.push(started.elapsed());
        let status = response.status();
        let body = response.body_mut().read_to_string()?;
        if status != 200 {
            self.record_violation(format!("a query got {status}: {body}"));
            return Ok(());
        }
        let answer: Value = serde_json::from_str(&body)?;
        let coverage = &answer["coverage"];
        let missing = coverage["missing"]
            .as_array()
            .context("answer has no list of missing shards")?;
        self.snapshot = answer["snapshot"]
            .as_u64()
            .context("answer has no snapshot")?;
        let shards = coverage["shards"]
            .as_u64()
            .context("answer has no number of shards")?;
        let answered = coverage["answered"]
            .as_u64()
            .context("answer has no number of answered shards")?;
        // The summary shows the example whose search has more shards.
        if shards >= self.shards {
            (self.shards, self.answered) = (shards, answered);
        }
        self.full += usize::from(missing.is_empty());
        if answered + missing.len() as u64 != shards {
            self.record_violation(format!("coverage does not add up: {coverage}"));
        }
        if answer["hits"]
            .as_array()
            .is_none_or(|hits| hits.len() != 10)
        {
            self.record_violation("an answer does not have ten hits".to_owned());
        }
        Ok(())
    }

    fn report_queries(&mut self, example: &Example) {
        println!(
            "{}: sent {QUERIES} queries to {} shards each: {} with full coverage, p50 {:.1} ms, p99 {:.1} ms.",
            example.name,
            example.shards,
            self.full,
            self.quantile(0.5),
            self.quantile(0.99)
        );
        if self.full * 100 < QUERIES * 99 {
            self.record_violation(format!(
                "only {} of {QUERIES} answers had full coverage",
                self.full
            ));
        }
    }

    /// Sends one action twice with the same id, through two processes, and checks that it ran once.
    fn check_action(
        &mut self,
        agent: &Agent,
        example: &Example,
        fleet: &Fleet,
    ) -> anyhow::Result<()> {
        let first = fleet.callers[0];
        let second = fleet.callers[1];
        let mut issued = agent
            .post(format!("http://{first}/v1/services/{}/ids", example.action))
            .header("x-caller", example.caller)
            .send_empty()?;
        let issued: Value = serde_json::from_str(&issued.body_mut().read_to_string()?)?;
        let key = issued["id"].as_str();
        let key = key.with_context(|| format!("response has no id: {issued}"))?;
        for entry in [first, second] {
            let mut response = agent
                .post(format!(
                    "http://{entry}/v1/services/{}/action",
                    example.action
                ))
                .header("x-caller", example.caller)
                .header("x-allowance-ms", ALLOWANCE_MS.to_string())
                .header("idempotency-key", key)
                .send(r#"{"notice":"Amina"}"#)?;
            let outcome = response.headers().get("x-outcome").cloned();
            let body = response.body_mut().read_to_string()?;
            println!("Sent request {key} to {entry}: {outcome:?} {body}");
            if outcome.is_none_or(|outcome| outcome != "done") {
                self.record_violation(format!("request {key} to {entry}: {body}"));
            }
        }
        let ran: u64 = fleet
            .running
            .backends
            .values()
            .filter_map(|backend| backend.count().actions.get(key).copied())
            .sum();
        println!("Request {key} ran {ran} time(s).");
        if ran != 1 {
            self.record_violation(format!("request {key} ran {ran} times"));
        }
        Ok(())
    }

    /// Checks that no backend server had more requests in flight than it has capacity for.
    fn check_backends(&mut self, fleet: &Fleet) {
        for (name, backend) in &fleet.running.backends {
            let count = backend.count();
            if count.overloads > 0 {
                self.record_violation(format!(
                    "backend server {name} was overloaded: up to {} requests in flight",
                    count.peak
                ));
            }
        }
    }

    /// Prints and records a failed check.
    fn record_violation(&mut self, violation: String) {
        println!("VIOLATION: {violation}");
        self.violations.push(violation);
    }

    /// A quantile of all latencies, in milliseconds.
    fn quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * quantile) as usize;
        let latency = sorted.get(at.min(sorted.len().saturating_sub(1)));
        latency.map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
    }

    fn summary(&self) -> Value {
        serde_json::json!({
            "snapshot": self.snapshot,
            "shards": self.shards,
            "answered": self.answered,
            "p99_ms": self.quantile(0.99),
            "violations": self.violations.len(),
        })
    }
}
