//! Runs a scenario: sends each request when it is due and records how it ended.

use crate::arrival;
use crate::arrival::Arrival;
use crate::balancer::Balancer;
use crate::control::Control;
use crate::control::Counts;
use crate::sample::End;
use crate::sample::Sample;
use crate::scenario::Scenario;
use crate::scenario::Stream;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use ureq::Agent;

/// Number of client threads, which limits the requests in flight. Arrivals beyond it wait for a
/// client, and their wait counts in their latency.
const CLIENTS: usize = 256;

/// Time beyond a request's allowance after which its client gives up.
const CLIENT_GRACE: Duration = Duration::from_secs(1);

/// Interval between readiness checks of the balancer, and between checks whether progress is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for all processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Delay between a refused connection and the attempt at another process, as load balancers do it.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Results of a load run.
#[derive(Debug)]
pub struct Outcome {
    /// How each request ended, in the order in which they ended.
    pub samples: Vec<Sample>,
    /// Counters of the stand-ins: at the start, after each second, and at the end of the run.
    pub counts: Vec<Counts>,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// Requests that have ended.
    pub ended: usize,
    /// Requests in the whole run.
    pub requests: usize,
}

/// Runs a scenario against the processes whose files are in `hosts`, after at least `processes` of
/// them are ready; calls `report_progress` every few seconds and at the end.
///
/// # Errors
///
/// When the stand-ins' control interface can't be reached or the processes don't become ready.
pub fn run<T>(
    scenario: &Scenario,
    control: &Control,
    hosts: &Path,
    processes: usize,
    report_progress: T,
) -> anyhow::Result<Outcome>
where
    T: Fn(Progress) + Sync,
{
    let balancer = Balancer::new(hosts);
    await_ready(&balancer, control, processes)?;
    let arrivals = arrival::draw(scenario);
    let load = Run {
        scenario,
        arrivals: &arrivals,
        balancer: &balancer,
        agent: agent(),
        start: Instant::now(),
        next: AtomicUsize::new(0),
        samples: Mutex::new(Vec::with_capacity(arrivals.len())),
    };
    let finished = AtomicBool::new(false);
    let counts = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| load.run_client()))
            .collect();
        let faults = scope.spawn(|| inject_faults(scenario, control, load.start));
        let checks = scope.spawn(|| refresh_until(&balancer, control, &finished));
        let counts = scope.spawn(|| collect_counts(control, load.start, &finished));
        let progress = scope.spawn(|| load.report_progress(&finished, &report_progress));
        for client in clients {
            let _ = client.join();
        }
        finished.store(true, Ordering::Relaxed);
        let _ = checks.join();
        let _ = progress.join();
        let failed = faults.join().unwrap_or(Ok(()));
        failed.map(|()| counts.join().unwrap_or_default())
    })?;
    let samples = load.samples.into_inner();
    Ok(Outcome {
        samples: samples.unwrap_or_else(PoisonError::into_inner),
        counts,
    })
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_idle_connections(CLIENTS)
        .max_idle_connections_per_host(CLIENTS)
        .build();
    config.into()
}

fn await_ready(balancer: &Balancer, control: &Control, processes: usize) -> anyhow::Result<()> {
    let since = Instant::now();
    loop {
        balancer.refresh(control)?;
        if balancer.ready_count() >= processes {
            return Ok(());
        }
        let ready = balancer.ready_count();
        anyhow::ensure!(
            since.elapsed() < READY_TIMEOUT,
            "only {ready} of {processes} processes became ready"
        );
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Injects the scenario's faults when they are due.
fn inject_faults(scenario: &Scenario, control: &Control, start: Instant) -> anyhow::Result<()> {
    for timed in &scenario.faults {
        let due = start + Duration::from_secs_f64(timed.at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        control.fault(&timed.fault)?;
    }
    Ok(())
}

/// Refreshes the balancer until the run is `finished`.
fn refresh_until(balancer: &Balancer, control: &Control, finished: &AtomicBool) {
    while !finished.load(Ordering::Relaxed) {
        // After an error the processes known so far stay in use; the next refresh tries again.
        let _ = balancer.refresh(control);
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Reads the counters of the stand-ins once a second, and once more when the run is `finished`.
fn collect_counts(control: &Control, start: Instant, finished: &AtomicBool) -> Vec<Counts> {
    let mut counts = Vec::new();
    while !finished.load(Ordering::Relaxed) {
        let due = start + Duration::from_secs(counts.len() as u64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        counts.push(control.counts().unwrap_or_default());
    }
    counts.push(control.counts().unwrap_or_default());
    counts
}

/// A load run in progress, shared by its client threads.
struct Run<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    balancer: &'a Balancer,
    agent: Agent,
    start: Instant,
    next: AtomicUsize,
    samples: Mutex<Vec<Sample>>,
}

impl Run<'_> {
    /// Calls `report` at intervals until the run is `finished`, and once more then.
    fn report_progress<T>(&self, finished: &AtomicBool, report: &T)
    where
        T: Fn(Progress),
    {
        let mut due = self.start + PROGRESS_INTERVAL;
        while !finished.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
            if Instant::now() >= due {
                due += PROGRESS_INTERVAL;
                report(self.progress());
            }
        }
        report(self.progress());
    }

    fn progress(&self) -> Progress {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        Progress {
            elapsed: self.start.elapsed(),
            ended: samples.len(),
            requests: self.arrivals.len(),
        }
    }

    /// Takes the next arrival, waits until it is due, sends it and records its end, until none is left.
    fn run_client(&self) {
        while let Some(arrival) = self.arrivals.get(self.next.fetch_add(1, Ordering::Relaxed)) {
            let due = self.start + arrival.due;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let stream = &self.scenario.streams[arrival.stream];
            let end = match stream.once {
                true => self.send_action(stream, arrival.key),
                false => self.send_query(stream, arrival.key),
            };
            let sample = Sample {
                due: arrival.due,
                stream: arrival.stream,
                latency: due.elapsed(),
                end,
            };
            let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
            samples.push(sample);
        }
    }

    /// Sends a query.
    fn send_query(&self, stream: &Stream, key: u64) -> End {
        let body = format!(r#"{{"q":"name {key}","limit":10}}"#);
        let reply = self.post(stream, "query", None, &body);
        reply.map_or_else(End::Broken, |reply| reply.end())
    }

    /// Requests an id, and sends with it an action that may run at most once.
    fn send_action(&self, stream: &Stream, key: u64) -> End {
        let issued = match self.post(stream, "ids", None, "") {
            Ok(issued) if issued.status == 200 => issued,
            Ok(refused) => return refused.end(),
            Err(e) => return End::Broken(e),
        };
        let Some(id) = issued.body["id"].as_str() else {
            return End::Broken("no id".to_owned());
        };
        let body = format!(r#"{{"notice":{key}}}"#);
        let reply = self.post(stream, "action", Some(id), &body);
        reply.map_or_else(End::Broken, |reply| reply.end())
    }

    /// Sends a request to a process that the balancer picks, and to another if it refuses the
    /// connection.
    fn post(
        &self,
        stream: &Stream,
        verb: &str,
        id: Option<&str>,
        body: &str,
    ) -> Result<Reply, String> {
        let entry = self.balancer.pick().ok_or("no process is ready")?;
        match self.post_to(entry, stream, verb, id, body) {
            // A load balancer picks another process when the connection is refused.
            Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                thread::sleep(RECONNECT_DELAY);
                let entry = self.balancer.pick().ok_or("no process is ready")?;
                self.post_to(entry, stream, verb, id, body)
            }
            done => done,
        }
        .map_err(|e| e.to_string())
    }

    fn post_to(
        &self,
        entry: SocketAddr,
        stream: &Stream,
        verb: &str,
        id: Option<&str>,
        body: &str,
    ) -> Result<Reply, ureq::Error> {
        let allowance = Duration::from_millis(stream.allowance_ms);
        let url = format!("http://{entry}/v1/services/{}/{verb}", stream.service);
        let mut request = self
            .agent
            .post(url)
            .header("x-caller", &stream.caller)
            .header("x-allowance-ms", stream.allowance_ms.to_string());
        if let Some(id) = id {
            request = request.header("idempotency-key", id);
        }
        let request = request
            .config()
            .timeout_global(Some(allowance + CLIENT_GRACE));
        let mut response = request.build().send(body)?;
        let header = response.headers().get("x-outcome");
        let outcome = header.and_then(|outcome| outcome.to_str().ok());
        let outcome = outcome.unwrap_or_default().to_owned();
        let text = response.body_mut().read_to_string()?;
        Ok(Reply {
            status: response.status().as_u16(),
            outcome,
            body: serde_json::from_str(&text).unwrap_or(Value::Null),
        })
    }
}

/// Status, `x-outcome` header and JSON body of a response.
struct Reply {
    status: u16,
    outcome: String,
    body: Value,
}

impl Reply {
    /// How the request ended, by its response.
    fn end(&self) -> End {
        let cause = || self.body["cause"].as_str().unwrap_or("refused").to_owned();
        match (self.status, self.outcome.as_str()) {
            (200, _) if self.body["coverage"].is_object() => self.answered(),
            (200, _) => End::Ran,
            (_, "not-run") => End::Refused(cause()),
            (_, "unknown") => End::Unknown,
            // A query that ran, at least in part, and was refused because its coverage was too low.
            (_, "done") => End::Refused(cause()),
            (status, _) => End::Broken(format!("status {status}")),
        }
    }

    /// The end of a query that was answered, with its coverage.
    fn answered(&self) -> End {
        let coverage = &self.body["coverage"];
        let mut missing = BTreeMap::new();
        for shard in coverage["missing"].as_array().into_iter().flatten() {
            let reason = shard["reason"].as_str().unwrap_or("none");
            *missing.entry(reason.to_owned()).or_default() += 1;
        }
        End::Answered {
            coverage: self.body["share"].as_f64().unwrap_or(0.0),
            shards: coverage["shards"].as_u64().unwrap_or(0),
            missing,
        }
    }
}
