//! A small fleet on loopback that is asked a few hundred times, and an account of what happened.

mod fleet;

use crate::exit::Exit;
use anyhow::Context;
use fleet::BOARDS;
use fleet::Board;
use fleet::Fleet;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;
use tokio::runtime::Runtime;
use ureq::Agent;

/// Queries that are asked.
const QUERIES: usize = 200;

/// Time allowance of each request, in milliseconds.
const ALLOWANCE_MS: u64 = 500;

/// Longest wait for the fleet to be ready.
const READY: Duration = Duration::from_secs(10);

/// Runs the demonstration; it fails unless everything was as it should be.
///
/// With `--hold` the last board's fleet goes on until the process is interrupted.
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
    let mut account = Account::default();
    for (number, board) in BOARDS.iter().enumerate() {
        let fleet = runtime.block_on(Fleet::start(board))?;
        account.show(board, &fleet)?;
        let last = number + 1 == BOARDS.len();
        if last && hold {
            hold_on(&runtime, &fleet)?;
        }
        runtime.block_on(fleet.stop());
    }
    println!("{}", account.summary());
    Ok(account.violations.len())
}

/// Keeps a fleet running until the process is interrupted.
fn hold_on(runtime: &Runtime, fleet: &Fleet) -> anyhow::Result<()> {
    println!("Callers connect to {:?}.", fleet.callers);
    println!("Operators connect to {:?}.", fleet.operators);
    println!("Interrupt to end.");
    runtime.block_on(tokio::signal::ctrl_c())?;
    Ok(())
}

fn await_ready(fleet: &Fleet) -> anyhow::Result<()> {
    let since = Instant::now();
    while !fleet.is_ready() {
        anyhow::ensure!(since.elapsed() < READY, "the fleet did not get ready");
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
    /// Asks a board's fleet and tells what happened.
    fn show(&mut self, board: &Board, fleet: &Fleet) -> anyhow::Result<()> {
        println!(
            "{}: started a platform, {} backend servers and {} processes of the system.",
            board.name,
            fleet.running.backends.len(),
            fleet.callers.len()
        );
        println!(
            "{}: of {}, server 0 is slow at times and server 1 is lost.",
            board.name, board.search
        );
        await_ready(fleet)?;
        let agent = agent();
        self.full = 0;
        let before = std::mem::take(&mut self.latencies);
        for number in 0..QUERIES {
            let entry = fleet.callers[number % fleet.callers.len()];
            self.query(&agent, board, entry, number)?;
        }
        self.report_queries(board);
        self.latencies.extend(before);
        self.action(&agent, board, fleet)?;
        self.check_backends(fleet);
        Ok(())
    }

    fn query(
        &mut self,
        agent: &Agent,
        board: &Board,
        entry: SocketAddr,
        number: usize,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        let mut response = agent
            .post(format!("http://{entry}/v1/services/{}/query", board.search))
            .header("x-caller", board.caller)
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
        let shards = coverage["shards"].as_u64().context("no shards")?;
        let answered = coverage["answered"].as_u64().context("no answered")?;
        // The summary shows the board with the larger search.
        if shards >= self.shards {
            (self.shards, self.answered) = (shards, answered);
        }
        self.full += usize::from(missing.is_empty());
        if answered + missing.len() as u64 != shards {
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

    fn report_queries(&mut self, board: &Board) {
        println!(
            "{}: asked {QUERIES} queries of {} shards each: {} with full coverage, p50 {:.1} ms, p99 {:.1} ms.",
            board.name,
            board.shards,
            self.full,
            self.quantile(0.5),
            self.quantile(0.99)
        );
        if self.full * 100 < QUERIES * 99 {
            self.violate(format!("only {} answers of {QUERIES} were full", self.full));
        }
    }

    /// Sends one request twice, by two entries, and looks how often it ran.
    fn action(&mut self, agent: &Agent, board: &Board, fleet: &Fleet) -> anyhow::Result<()> {
        let first = fleet.callers[0];
        let second = fleet.callers[1];
        let mut issued = agent
            .post(format!("http://{first}/v1/services/{}/ids", board.action))
            .header("x-caller", board.caller)
            .send_empty()?;
        let issued: Value = serde_json::from_str(&issued.body_mut().read_to_string()?)?;
        let key = issued["id"].as_str();
        let key = key.with_context(|| format!("no id: {issued}"))?;
        for entry in [first, second] {
            let mut response = agent
                .post(format!(
                    "http://{entry}/v1/services/{}/action",
                    board.action
                ))
                .header("x-caller", board.caller)
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
            .running
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
        for (name, backend) in &fleet.running.backends {
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
