//! Record of what callers received.

use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::time::Time;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use std::collections::HashMap;
use std::time::Duration;

/// Kind of the answer to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Complete,
    Partial,
    Refused,
}

/// A query that has ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedQuery {
    pub label: &'static str,
    pub sent_at: Time,
    pub ended: Time,
    pub allowance: Duration,
    pub kind: Kind,
    /// Whether a refusal stated when to retry.
    pub retry_after: bool,
}

/// Everything that callers received, with counters of violations.
#[derive(Debug, Default)]
pub struct Results {
    pending: HashMap<id::Request, (Time, &'static str, Duration)>,
    pub ended: Vec<EndedQuery>,
    /// Number of requests sent to backend servers.
    pub runs: u64,
    /// Number of requests sent to backend servers without time left.
    pub sent_late: u64,
    /// Maximum number of concurrent requests of one shard with the body that many queries share,
    /// hedges not counted.
    pub peak_same: usize,
    /// Number of answers and refusals beyond the first for a query.
    pub duplicates: u64,
    /// Number of answers whose hits do not match the shards that they count as answered.
    pub inconsistent: u64,
}

/// Summary of what the callers of one label received.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    pub offered: usize,
    pub complete: usize,
    pub partial: usize,
    pub refused: usize,
    /// Number of answers after the caller's allowance.
    pub late: usize,
    pub p50: Duration,
    pub p99: Duration,
    /// Longest latency of a refusal.
    pub slowest_refusal: Duration,
    /// Number of refusals that did not state when to retry.
    pub without_retry_after: usize,
}

impl Results {
    pub fn sent(
        &mut self,
        now: Time,
        request: id::Request,
        label: &'static str,
        ask: &SearchRequest,
    ) {
        self.pending.insert(request, (now, label, ask.allowance));
    }

    pub fn answer(&mut self, now: Time, request: id::Request, answer: &Answer) {
        let answered = answer.coverage.answered as usize;
        self.inconsistent += u64::from(answer.hits.len() != answered.min(100));
        let kind = match answer.coverage.is_full() {
            true => Kind::Complete,
            false => Kind::Partial,
        };
        self.end(now, request, kind, false);
    }

    pub fn refuse(&mut self, now: Time, request: id::Request, refusal: &Refusal) {
        let kind = match refusal.cause {
            Cause::Coverage => Kind::Partial,
            _ => Kind::Refused,
        };
        self.end(now, request, kind, refusal.retry_after.is_some());
    }

    fn end(&mut self, now: Time, request: id::Request, kind: Kind, retry_after: bool) {
        let Some((sent_at, label, allowance)) = self.pending.remove(&request) else {
            self.duplicates += 1;
            return;
        };
        self.ended.push(EndedQuery {
            label,
            sent_at,
            ended: now,
            allowance,
            kind,
            retry_after,
        });
    }

    pub fn dispatched(&mut self, left: Duration) {
        self.runs += 1;
        self.sent_late += u64::from(left.is_zero());
    }

    /// Summarises the queries of `label` that were sent from `from` to `until`, in seconds.
    pub fn summary(&self, label: &str, from: f64, until: f64) -> Summary {
        let from = Duration::from_secs_f64(from);
        let until = Duration::from_secs_f64(until);
        let matching: Vec<&EndedQuery> = self
            .ended
            .iter()
            .filter(|e| e.label == label && e.sent_at >= from && e.sent_at < until)
            .collect();
        let count = |kind| matching.iter().filter(|e| e.kind == kind).count();
        let refusals = matching.iter().filter(|e| e.kind == Kind::Refused);
        let answers = matching.iter().filter(|e| e.kind != Kind::Refused);
        let mut latencies: Vec<Duration> = answers.map(|e| e.ended - e.sent_at).collect();
        latencies.sort_unstable();
        let percentile = |percent: usize| {
            let index = (latencies.len() * percent / 100).min(latencies.len().saturating_sub(1));
            latencies.get(index).copied().unwrap_or_default()
        };
        let late = |e: &&&EndedQuery| e.kind != Kind::Refused && e.ended - e.sent_at > e.allowance;
        Summary {
            offered: matching.len(),
            complete: count(Kind::Complete),
            partial: count(Kind::Partial),
            refused: count(Kind::Refused),
            late: matching.iter().filter(late).count(),
            p50: percentile(50),
            p99: percentile(99),
            slowest_refusal: refusals
                .clone()
                .map(|e| e.ended - e.sent_at)
                .max()
                .unwrap_or_default(),
            without_retry_after: refusals.filter(|e| !e.retry_after).count(),
        }
    }
}

impl Summary {
    /// Share of queries with a complete answer, from 0 to 1.
    pub fn success(&self) -> f64 {
        (self.complete as f64) / (self.offered.max(1) as f64)
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        write!(
            f,
            "{:>7} | {:>6.2}% | {:>6.2}% | {:>6.2}% | {:>5} | {:>7.1} | {:>7.1} | {:>5.1}",
            self.offered,
            100.0 * self.success(),
            100.0 * self.partial as f64 / self.offered.max(1) as f64,
            100.0 * self.refused as f64 / self.offered.max(1) as f64,
            self.late,
            ms(self.p50),
            ms(self.p99),
            ms(self.slowest_refusal),
        )
    }
}
