//! What callers received.

use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::time::Time;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use std::collections::HashMap;
use std::time::Duration;

/// What a caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Whole,
    Partial,
    Refused,
}

/// A query that has ended.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    pub label: &'static str,
    pub asked: Time,
    pub ended: Time,
    pub allowance: Duration,
    pub kind: Kind,
    /// Whether a refusal said when to come back.
    pub retry_after: bool,
}

/// All that callers received.
#[derive(Debug, Default)]
pub struct Caught {
    open: HashMap<id::Request, (Time, &'static str, Duration)>,
    pub ended: Vec<Ended>,
    /// Requests sent to backend servers.
    pub runs: u64,
    /// Requests sent to backend servers with no time left.
    pub sent_late: u64,
    /// Most runs at a time of one shard for the body that many queries share, hedges aside.
    pub most_same: usize,
    /// Answers and refusals beyond the first for a query.
    pub doubled: u64,
    /// Answers whose hits are not those of the shards that they count as answered.
    pub untrue: u64,
}

/// What the callers of one stream received.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    pub offered: usize,
    pub whole: usize,
    pub partial: usize,
    pub refused: usize,
    /// Answers after the caller's allowance.
    pub late: usize,
    pub p50: Duration,
    pub p99: Duration,
    /// Longest time to a refusal.
    pub slowest_refusal: Duration,
    /// Refusals that did not say when to come back.
    pub silent: usize,
}

impl Caught {
    pub fn ask(
        &mut self,
        now: Time,
        request: id::Request,
        label: &'static str,
        ask: &SearchRequest,
    ) {
        self.open.insert(request, (now, label, ask.allowance));
    }

    pub fn answer(&mut self, now: Time, request: id::Request, answer: &Answer) {
        let answered = answer.coverage.answered as usize;
        self.untrue += u64::from(answer.hits.len() != answered.min(100));
        let kind = match answer.coverage.is_full() {
            true => Kind::Whole,
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
        let Some((asked, label, allowance)) = self.open.remove(&request) else {
            self.doubled += 1;
            return;
        };
        self.ended.push(Ended {
            label,
            asked,
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

    /// What callers received for queries that they asked from `from` to `until`, in seconds.
    pub fn summary(&self, label: &str, from: f64, until: f64) -> Summary {
        let from = Duration::from_secs_f64(from);
        let until = Duration::from_secs_f64(until);
        let of: Vec<&Ended> = self
            .ended
            .iter()
            .filter(|e| e.label == label && e.asked >= from && e.asked < until)
            .collect();
        let count = |kind| of.iter().filter(|e| e.kind == kind).count();
        let refusals = of.iter().filter(|e| e.kind == Kind::Refused);
        let answers = of.iter().filter(|e| e.kind != Kind::Refused);
        let mut times: Vec<Duration> = answers.map(|e| e.ended - e.asked).collect();
        times.sort_unstable();
        let at = |percent: usize| {
            let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
            times.get(index).copied().unwrap_or_default()
        };
        let late = |e: &&&Ended| e.kind != Kind::Refused && e.ended - e.asked > e.allowance;
        Summary {
            offered: of.len(),
            whole: count(Kind::Whole),
            partial: count(Kind::Partial),
            refused: count(Kind::Refused),
            late: of.iter().filter(late).count(),
            p50: at(50),
            p99: at(99),
            slowest_refusal: refusals
                .clone()
                .map(|e| e.ended - e.asked)
                .max()
                .unwrap_or_default(),
            silent: refusals.filter(|e| !e.retry_after).count(),
        }
    }
}

impl Summary {
    /// Share of queries with a whole answer in time, from 0 to 1.
    pub fn success(&self) -> f64 {
        (self.whole as f64) / (self.offered.max(1) as f64)
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
