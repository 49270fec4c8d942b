//! The report of a load run: latency, coverage, requests served and extra load, with their causes.

use crate::control::BackendCounts;
use crate::control::Counts;
use crate::run::Outcome;
use crate::sample::End;
use crate::sample::Sample;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Figures of a load run, for its table, page and baselines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's title.
    pub title: String,
    /// Figures of each stream, in the scenario's order.
    pub streams: Vec<Stream>,
    /// Figures of the backend servers, summed.
    pub backends: Backends,
    /// Figures of each second of the run.
    pub seconds: Vec<Second>,
    /// Faults that were injected: seconds from the start of the run, and the fault as JSON.
    pub marks: Vec<(f64, String)>,
}

/// Results of the requests of one stream, after the scenario's warm-up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stream {
    /// Service and caller, separated by a space.
    pub name: String,
    /// Requests that were due.
    pub requests: u64,
    /// Queries that were answered, in full or in part, and actions that ran.
    pub served: u64,
    /// Queries that were answered in full, and actions that ran.
    pub full: u64,
    /// Mean share of the data over all answers.
    pub coverage: f64,
    /// Median latency of those served, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Refusals by cause.
    pub refused: BTreeMap<String, u64>,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that failed with a broken connection or a malformed response, by error.
    pub broken: BTreeMap<String, u64>,
    /// Missing shards by reason.
    pub missing: BTreeMap<String, u64>,
}

/// Figures of all backend servers over the whole run, warm-up included.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Backends {
    /// Requests that were started.
    pub requests: u64,
    /// Requests that the answers needed at least: one per shard, or one per action.
    pub needed: u64,
    /// Requests beyond those needed, as a ratio to those needed.
    pub extra: f64,
    /// Times that a backend server had more requests in flight than it has capacity for.
    pub overloads: u64,
    /// Times that a backend server restarted cold.
    pub falls: u64,
    /// Requests that backend servers shed.
    pub shed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Idempotency keys that ran more than once.
    pub doubled: u64,
    /// Calls to the configuration service.
    pub platform_calls: u64,
}

/// Figures of all streams together in one second of the run, warm-up included.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests that were due.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed with a broken connection or have an unknown outcome.
    pub lost: u64,
    /// Median latency of those served, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Mean share of the data over all answers.
    pub coverage: f64,
    /// Requests that the busiest backend server started in this second.
    pub busiest: u64,
    /// Requests that all backend servers started in this second.
    pub backend_requests: u64,
}

/// Computes the report of a run.
pub fn summarise(scenario: &Scenario, outcome: &Outcome) -> Report {
    let measured: Vec<&Sample> = outcome
        .samples
        .iter()
        .filter(|sample| sample.due.as_secs() >= scenario.warmup_seconds)
        .collect();
    let streams = scenario.streams.iter().enumerate().map(|(index, stream)| {
        let name = format!("{} {}", stream.service, stream.caller);
        let own = measured
            .iter()
            .copied()
            .filter(|sample| sample.stream == index);
        summarise_stream(name, own)
    });
    let marks = scenario.faults.iter().map(|timed| {
        let text = serde_json::to_string(&timed.fault).unwrap_or_default();
        (timed.at, text)
    });
    Report {
        title: scenario.title.clone(),
        streams: streams.collect(),
        backends: summarise_backends(&outcome.samples, &outcome.counts),
        seconds: summarise_seconds(scenario, outcome),
        marks: marks.collect(),
    }
}

fn summarise_stream<'a, I>(name: String, samples: I) -> Stream
where
    I: Iterator<Item = &'a Sample>,
{
    let mut stream = Stream {
        name,
        requests: 0,
        served: 0,
        full: 0,
        coverage: 0.0,
        p50_ms: 0.0,
        p99_ms: 0.0,
        p999_ms: 0.0,
        refused: BTreeMap::new(),
        unknown: 0,
        broken: BTreeMap::new(),
        missing: BTreeMap::new(),
    };
    let mut latencies = Latencies::new();
    let mut covered = 0.0;
    for sample in samples {
        stream.requests += 1;
        match &sample.end {
            End::Answered {
                coverage, missing, ..
            } => {
                stream.served += 1;
                stream.full += u64::from(missing.is_empty());
                covered += coverage;
                latencies.record(sample);
                for (reason, count) in missing {
                    *stream.missing.entry(reason.clone()).or_default() += count;
                }
            }
            End::Ran => {
                stream.served += 1;
                stream.full += 1;
                covered += 1.0;
                latencies.record(sample);
            }
            End::Refused(cause) => *stream.refused.entry(cause.clone()).or_default() += 1,
            End::Unknown => stream.unknown += 1,
            End::Broken(cause) => *stream.broken.entry(cause.clone()).or_default() += 1,
        }
    }
    stream.coverage = covered / stream.served.max(1) as f64;
    stream.p50_ms = latencies.quantile(0.5);
    stream.p99_ms = latencies.quantile(0.99);
    stream.p999_ms = latencies.quantile(0.999);
    stream
}

fn summarise_backends(samples: &[Sample], counts: &[Counts]) -> Backends {
    let Some(last) = counts.last() else {
        return Backends::default();
    };
    let mut sum = Backends {
        platform_calls: last.platform_calls,
        ..Backends::default()
    };
    for count in last.backends.values() {
        sum.requests += count.requests;
        sum.overloads += count.overloads;
        sum.falls += count.falls;
        sum.shed += count.shed;
        sum.cancelled += count.cancelled;
        sum.doubled += count.actions.values().filter(|runs| **runs > 1).count() as u64;
    }
    sum.needed = samples.iter().map(needed_requests).sum();
    sum.extra = sum.requests as f64 / sum.needed.max(1) as f64 - 1.0;
    sum
}

/// Number of requests to backend servers that the answer to a request needs.
fn needed_requests(sample: &Sample) -> u64 {
    match &sample.end {
        End::Answered { shards, .. } => *shards,
        End::Ran => 1,
        _ => 0,
    }
}

fn summarise_seconds(scenario: &Scenario, outcome: &Outcome) -> Vec<Second> {
    let mut seconds = vec![Second::default(); scenario.seconds as usize];
    let mut latencies: Vec<Latencies> = seconds.iter().map(|_| Latencies::new()).collect();
    for sample in &outcome.samples {
        let at = sample.due.as_secs() as usize;
        let Some(second) = seconds.get_mut(at) else {
            continue;
        };
        second.requests += 1;
        match &sample.end {
            End::Answered { coverage, .. } => {
                second.served += 1;
                second.coverage += coverage;
                latencies[at].record(sample);
            }
            End::Ran => {
                second.served += 1;
                second.coverage += 1.0;
                latencies[at].record(sample);
            }
            End::Refused(_) => second.refused += 1,
            End::Unknown | End::Broken(_) => second.lost += 1,
        }
    }
    for (at, second) in seconds.iter_mut().enumerate() {
        second.coverage /= second.served.max(1) as f64;
        second.p50_ms = latencies[at].quantile(0.5);
        second.p99_ms = latencies[at].quantile(0.99);
        if let (Some(from), Some(to)) = (outcome.counts.get(at), outcome.counts.get(at + 1)) {
            let loads = to
                .backends
                .iter()
                .map(|(name, to)| requests_since(from, name, to));
            let loads: Vec<u64> = loads.collect();
            second.busiest = loads.iter().copied().max().unwrap_or(0);
            second.backend_requests = loads.iter().sum();
        }
    }
    seconds
}

/// Requests that the backend server `name` started between two readings of its counters.
fn requests_since(from: &Counts, name: &str, to: &BackendCounts) -> u64 {
    let before = from.backends.get(name).map_or(0, |count| count.requests);
    to.requests.saturating_sub(before)
}

/// A histogram of latencies in microseconds; none if it can't be created.
struct Latencies(Option<Histogram<u64>>);

impl Latencies {
    fn new() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).ok())
    }

    fn record(&mut self, sample: &Sample) {
        if let Some(histogram) = &mut self.0 {
            // Can't fail: the histogram resizes to hold any value.
            let _ = histogram.record(sample.latency.as_micros() as u64);
        }
    }

    /// A quantile in milliseconds.
    fn quantile(&self, quantile: f64) -> f64 {
        let histogram = self.0.as_ref();
        histogram.map_or(0.0, |h| h.value_at_quantile(quantile) as f64 / 1e3)
    }
}

impl Report {
    /// The report as a text table.
    pub fn table(&self) -> String {
        let mut text = format!("{}\n", self.title);
        let _ = writeln!(
            text,
            "{:40} {:>8} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9}",
            "stream", "requests", "served", "full %", "coverage", "p50 ms", "p99 ms", "p99.9 ms"
        );
        for stream in &self.streams {
            stream.write(&mut text);
        }
        let b = &self.backends;
        let _ = writeln!(
            text,
            "backend servers: {} requests, {:+.2}% beyond those needed, {} overloads, {} falls, {} shed, {} cancelled, {} doubled; {} platform calls",
            b.requests,
            b.extra * 100.0,
            b.overloads,
            b.falls,
            b.shed,
            b.cancelled,
            b.doubled,
            b.platform_calls
        );
        text
    }

    /// Ratios of this report's figures to those of a baseline, for streams at the same position.
    pub fn ratios(&self, baseline: &Self) -> String {
        let mut text = String::from("ratios to the baseline (p99, coverage, served):\n");
        for (own, base) in self.streams.iter().zip(&baseline.streams) {
            let _ = writeln!(
                text,
                "{:40} p99 {:.2}  coverage {:.4}  served {:.3}",
                own.name,
                own.p99_ms / base.p99_ms,
                own.coverage / base.coverage,
                own.served as f64 / base.served.max(1) as f64
            );
        }
        text
    }
}

impl Stream {
    /// Appends the stream's row, and a line for each kind of failure that occurred.
    fn write(&self, text: &mut String) {
        let full = self.full as f64 * 100.0 / self.served.max(1) as f64;
        let _ = writeln!(
            text,
            "{:40} {:>8} {:>8} {:>7.2} {:>9.5} {:>9.2} {:>9.2} {:>9.2}",
            self.name,
            self.requests,
            self.served,
            full,
            self.coverage,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms
        );
        if !self.refused.is_empty() {
            let _ = writeln!(text, "  refused: {:?}", self.refused);
        }
        if self.unknown > 0 {
            let _ = writeln!(text, "  unknown: {}", self.unknown);
        }
        if !self.broken.is_empty() {
            let _ = writeln!(text, "  broken: {:?}", self.broken);
        }
        if !self.missing.is_empty() {
            let _ = writeln!(text, "  missing shards: {:?}", self.missing);
        }
    }
}
