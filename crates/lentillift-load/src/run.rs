//! A load run: arrivals in, samples out.

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

/// Requests that are under way at a time at most; more arrivals wait, which their latency shows.
const CLIENTS: usize = 256;

/// Time over a request's allowance after which its client gives up.
const GRACE: Duration = Duration::from_secs(1);

/// How often the balancer looks at the processes.
const CHECK: Duration = Duration::from_millis(100);

/// Longest wait for all processes to be ready.
const READY: Duration = Duration::from_secs(15);

/// How often it is told how far the run is.
const TELL: Duration = Duration::from_secs(5);

/// Time between a failed connection and a try at another process, as a balancer does it.
const RECONNECT: Duration = Duration::from_millis(20);

/// What a load run gave.
#[derive(Debug)]
pub struct Outcome {
    /// What became of each request.
    pub samples: Vec<Sample>,
    /// What the stand-ins had seen, at the end of each second.
    pub counts: Vec<Counts>,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since the start of the load.
    pub after: Duration,
    /// Requests that ended.
    pub ended: usize,
    /// Requests of the whole run.
    pub requests: usize,
}

/// Runs a scenario against the processes whose files are in `hosts`; tells every few seconds, and at
/// the end, how far it is.
///
/// # Errors
///
/// When the stand-ins can't be driven or the processes don't get ready.
pub fn run<T>(
    scenario: &Scenario,
    control: &Control,
    hosts: &Path,
    processes: usize,
    tell: T,
) -> anyhow::Result<Outcome>
where
    T: Fn(Progress) + Sync,
{
    let balancer = Balancer::new(hosts);
    await_ready(&balancer, control, processes)?;
    let arrivals = arrival::draw(scenario);
    let load = Load {
        scenario,
        arrivals: &arrivals,
        balancer: &balancer,
        agent: agent(),
        start: Instant::now(),
        next: AtomicUsize::new(0),
        samples: Mutex::new(Vec::with_capacity(arrivals.len())),
    };
    let over = AtomicBool::new(false);
    let counts = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| load.client()))
            .collect();
        let faults = scope.spawn(|| bring_about(scenario, control, load.start));
        let checks = scope.spawn(|| watch(&balancer, control, &over));
        let counts = scope.spawn(|| count(control, load.start, &over));
        let told = scope.spawn(|| load.tell(&over, &tell));
        for client in clients {
            let _ = client.join();
        }
        over.store(true, Ordering::Relaxed);
        let _ = checks.join();
        let _ = told.join();
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
        balancer.check(control)?;
        if balancer.ready() >= processes {
            return Ok(());
        }
        let ready = balancer.ready();
        anyhow::ensure!(since.elapsed() < READY, "{ready} of {processes} are ready");
        thread::sleep(CHECK);
    }
}

fn bring_about(scenario: &Scenario, control: &Control, start: Instant) -> anyhow::Result<()> {
    for timed in &scenario.faults {
        let due = start + Duration::from_secs_f64(timed.at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        control.fault(&timed.fault)?;
    }
    Ok(())
}

fn watch(balancer: &Balancer, control: &Control, over: &AtomicBool) {
    while !over.load(Ordering::Relaxed) {
        // A process that can't be asked counts as not ready; the next check may find it again.
        let _ = balancer.check(control);
        thread::sleep(CHECK);
    }
}

fn count(control: &Control, start: Instant, over: &AtomicBool) -> Vec<Counts> {
    let mut counts = Vec::new();
    while !over.load(Ordering::Relaxed) {
        let due = start + Duration::from_secs(counts.len() as u64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        counts.push(control.counts().unwrap_or_default());
    }
    counts.push(control.counts().unwrap_or_default());
    counts
}

/// A load run under way.
struct Load<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    balancer: &'a Balancer,
    agent: Agent,
    start: Instant,
    next: AtomicUsize,
    samples: Mutex<Vec<Sample>>,
}

impl Load<'_> {
    /// Tells how far the run is until it is `over`.
    fn tell<T>(&self, over: &AtomicBool, tell: &T)
    where
        T: Fn(Progress),
    {
        let mut due = self.start + TELL;
        while !over.load(Ordering::Relaxed) {
            thread::sleep(CHECK);
            if Instant::now() >= due {
                due += TELL;
                tell(self.progress());
            }
        }
        tell(self.progress());
    }

    fn progress(&self) -> Progress {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        Progress {
            after: self.start.elapsed(),
            ended: samples.len(),
            requests: self.arrivals.len(),
        }
    }

    /// Takes arrivals one after the other until there are no more.
    fn client(&self) {
        while let Some(arrival) = self.arrivals.get(self.next.fetch_add(1, Ordering::Relaxed)) {
            let due = self.start + arrival.due;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let stream = &self.scenario.streams[arrival.stream];
            let end = match stream.once {
                true => self.once(stream, arrival.key),
                false => self.query(stream, arrival.key),
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

    fn query(&self, stream: &Stream, key: u64) -> End {
        let body = format!(r#"{{"q":"name {key}","limit":10}}"#);
        let reply = self.post(stream, "query", None, &body);
        reply.map_or_else(End::Broken, |reply| reply.end())
    }

    fn once(&self, stream: &Stream, key: u64) -> End {
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

    fn post(
        &self,
        stream: &Stream,
        verb: &str,
        id: Option<&str>,
        body: &str,
    ) -> Result<Reply, String> {
        let entry = self.balancer.pick().ok_or("no process is ready")?;
        match self.post_to(entry, stream, verb, id, body) {
            // A balancer goes to another process when it can't connect.
            Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                thread::sleep(RECONNECT);
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
        let request = request.config().timeout_global(Some(allowance + GRACE));
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

/// A process's reply.
struct Reply {
    status: u16,
    outcome: String,
    body: Value,
}

impl Reply {
    fn end(&self) -> End {
        let cause = || self.body["cause"].as_str().unwrap_or("refused").to_owned();
        match (self.status, self.outcome.as_str()) {
            (200, _) if self.body["coverage"].is_object() => self.answered(),
            (200, _) => End::Ran,
            (_, "not-run") => End::Refused(cause()),
            (_, "unknown") => End::Unknown,
            // A query that was refused for its coverage, or ran in part.
            (_, "done") => End::Refused(cause()),
            (status, _) => End::Broken(format!("status {status}")),
        }
    }

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
