//! A small fleet on loopback that is asked a few hundred times, and an account of what happened.

mod fleet;

use anyhow::Context;
use fleet::CALLER;
use fleet::Fleet;
use fleet::SEARCH;
use fleet::SUBMIT;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;
use ureq::Agent;

/// Queries that are asked.
const QUERIES: usize = 200;

/// Time allowance of each request, in milliseconds.
const ALLOWANCE_MS: u64 = 500;

/// Longest wait for the fleet to be ready.
const READY: Duration = Duration::from_secs(10);

/// Runs the demonstration; it fails unless everything was as it should be.
pub(crate) fn run() -> ExitCode {
    match try_run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn try_run() -> anyhow::Result<usize> {
    let runtime = tokio::runtime::Runtime::new()?;
    let fleet = runtime.block_on(Fleet::start())?;
    println!(
        "Started a platform, {} backend servers and {} processes of the system on loopback.",
        fleet.backends.len(),
        fleet.callers.len()
    );
    println!("One backend server straggles, one replica is lost.");
    let since = Instant::now();
    while !fleet.is_ready() {
        anyhow::ensure!(since.elapsed() < READY, "the fleet did not get ready");
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut account = Account::default();
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into();
    for number in 0..QUERIES {
        let entry = fleet.callers[number % fleet.callers.len()];
        account.query(&agent, entry, number)?;
    }
    account.report_queries();
    account.action(&agent, &fleet)?;
    account.check_backends(&fleet);
    println!("{}", account.summary());
    runtime.block_on(fleet.stop());
    Ok(account.violations.len())
}

/// What the demonstration saw.
#[derive(Default)]
struct Account {
    snapshot: u64,
    shards: u64,
    answered: u64,
    full: usize,
    latencies: Vec<Duration>,
    violations: Vec<String>,
}

impl Account {
    fn query(&mut self, agent: &Agent, entry: SocketAddr, number: usize) -> anyhow::Result<()> {
        let started = Instant::now();
        let mut response = agent
            .post(format!("http://{entry}/v1/services/{SEARCH}/query"))
            .header("x-caller", CALLER)
            .header("x-allowance-ms", ALLOWANCE_MS.to_string())
            // Each asks for something else, or an answer that was kept would do.
            .send(format!(r#"{{"q":"Amina {number}","limit":10}}"#))?;
        self.latencies.push(started.elapsed());
        let status = response.status();
        let body = response.body_mut().read_to_string()?;
        if status != 200 {
            self.violate(format!("a query got {status}: {body}"));
            return Ok(());
        }
        let answer: Value = serde_json::from_str(&body)?;
        let coverage = &answer["coverage"];
        let missing = coverage["missing"]
            .as_array()
            .context("no list of missing shards")?;
        self.snapshot = answer["snapshot"].as_u64().context("no snapshot")?;
        self.shards = coverage["shards"].as_u64().context("no shards")?;
        self.answered = coverage["answered"].as_u64().context("no answered")?;
        self.full += usize::from(missing.is_empty());
        if self.answered + missing.len() as u64 != self.shards {
            self.violate(format!("coverage does not add up: {coverage}"));
        }
        if answer["hits"]
            .as_array()
            .is_none_or(|hits| hits.len() != 10)
        {
            self.violate("an answer without its ten hits".to_owned());
        }
        Ok(())
    }

    fn report_queries(&mut self) {
        println!(
            "Asked {QUERIES} queries of {} shards each: {} with full coverage, p50 {:.1} ms, p99 {:.1} ms.",
            self.shards,
            self.full,
            self.quantile(0.5),
            self.quantile(0.99)
        );
        if self.full * 100 < QUERIES * 99 {
            self.violate(format!("only {} answers of {QUERIES} were full", self.full));
        }
    }

    /// Sends one request twice, by two entries, and looks how often it ran.
    fn action(&mut self, agent: &Agent, fleet: &Fleet) -> anyhow::Result<()> {
        let first = fleet.callers[0];
        let second = fleet.callers[1];
        let mut issued = agent
            .post(format!("http://{first}/v1/services/{SUBMIT}/ids"))
            .header("x-caller", CALLER)
            .send_empty()?;
        let issued: Value = serde_json::from_str(&issued.body_mut().read_to_string()?)?;
        let key = issued["id"].as_str().context("no id")?;
        for entry in [first, second] {
            let mut response = agent
                .post(format!("http://{entry}/v1/services/{SUBMIT}/action"))
                .header("x-caller", CALLER)
                .header("x-allowance-ms", ALLOWANCE_MS.to_string())
                .header("idempotency-key", key)
                .send(r#"{"notice":"Amina"}"#)?;
            let outcome = response.headers().get("x-outcome").cloned();
            let body = response.body_mut().read_to_string()?;
            println!("Sent request {key} by {entry}: {outcome:?} {body}");
            if outcome.is_none_or(|outcome| outcome != "done") {
                self.violate(format!("request {key} by {entry}: {body}"));
            }
        }
        let ran: u64 = fleet
            .backends
            .values()
            .filter_map(|backend| backend.count().actions.get(key).copied())
            .sum();
        println!("Request {key} ran {ran} time(s).");
        if ran != 1 {
            self.violate(format!("request {key} ran {ran} times"));
        }
        Ok(())
    }

    fn check_backends(&mut self, fleet: &Fleet) {
        for (name, backend) in &fleet.backends {
            let count = backend.count();
            if count.overloads > 0 {
                self.violate(format!("{name} had {} in flight", count.peak));
            }
        }
    }

    fn violate(&mut self, violation: String) {
        println!("VIOLATION: {violation}");
        self.violations.push(violation);
    }

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
