//! Coverage and latency of each service by hour and by day.
//!
//! What users fear most is a search that gets a little later and a little less complete each
//! month. No counter of the moment shows that; a row of days does.

use crate::histogram::Histogram;
use crate::latency;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Hours that are kept.
const HOURS: usize = 48;

/// Days that are kept.
const DAYS: usize = 62;

/// Services that are kept; a fleet has a few hundred.
const MOST_SERVICES: usize = 1000;

const HOUR: u64 = 3600;
const DAY: u64 = 24 * HOUR;

/// One hour or day of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Its start, in seconds since 1970.
    pub start_s: u64,
    /// Queries that were answered.
    pub answers: u64,
    /// Answers that covered all shards.
    pub full: u64,
    /// Queries that were refused.
    pub refusals: u64,
    /// Mean share of the data that answers covered.
    pub coverage: f64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: f64,
    /// Times to an answer, to be added to those of other processes; without counts from a process that
    /// does not tell them yet.
    #[serde(default)]
    pub times: Histogram,
}

/// Spans of one length; only the current one keeps a histogram.
#[derive(Debug)]
struct Row {
    length: u64,
    most: usize,
    past: VecDeque<Span>,
    current: Span,
    shares: f64,
    latencies: hdrhistogram::Histogram<u64>,
}

impl Row {
    fn new(length: u64, most: usize, now: Duration) -> Option<Self> {
        Some(Self {
            length,
            most,
            past: VecDeque::new(),
            current: Self::span(length, now),
            shares: 0.0,
            latencies: latency::histogram()?,
        })
    }

    fn span(length: u64, now: Duration) -> Span {
        Span {
            start_s: now.as_secs() / length * length,
            ..Span::default()
        }
    }

    fn turn(&mut self, now: Duration) {
        // A clock that was set back stays in the span that it was in.
        if now.as_secs() < self.current.start_s + self.length {
            return;
        }
        let closed = self.closed();
        self.past.push_back(closed);
        if self.past.len() >= self.most {
            self.past.pop_front();
        }
        self.current = Self::span(self.length, now);
        self.shares = 0.0;
        self.latencies.reset();
    }

    /// The current span with its figures worked out.
    fn closed(&self) -> Span {
        let mut span = self.current.clone();
        if span.answers > 0 {
            span.coverage = self.shares / span.answers as f64;
            span.p99_ms = latency::quantile(&self.latencies, 0.99).as_secs_f64() * 1e3;
        }
        span
    }

    fn spans(&self) -> Vec<Span> {
        let past = self.past.iter().cloned();
        past.chain([self.closed()]).collect()
    }
}

/// Hours and days of one service, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// Hours; those without a query are left out.
    pub hours: Vec<Span>,
    /// Days; those without a query are left out.
    pub days: Vec<Span>,
}

/// Hours and days of all services.
#[derive(Debug, Default)]
pub struct Trend {
    services: BTreeMap<id::Service, [Row; 2]>,
}

impl Trend {
    /// Notes an answer; `now` is the time since 1970.
    pub fn answer(&mut self, now: Duration, service: &id::Service, latency: Duration, share: f64) {
        for row in self.rows(now, service) {
            row.current.answers += 1;
            row.current.full += u64::from(share >= 1.0);
            row.current.times.record(latency);
            row.shares += share;
            latency::record(&mut row.latencies, latency);
        }
    }

    /// Notes a refusal; `now` is the time since 1970.
    pub fn refusal(&mut self, now: Duration, service: &id::Service) {
        for row in self.rows(now, service) {
            row.current.refusals += 1;
        }
    }

    /// All hours and days.
    pub fn spans(&self) -> BTreeMap<id::Service, Rows> {
        let services = self.services.iter();
        let spans = services.map(|(service, [hours, days])| {
            let (hours, days) = (hours.spans(), days.spans());
            (service.clone(), Rows { hours, days })
        });
        spans.collect()
    }

    fn rows(&mut self, now: Duration, service: &id::Service) -> &mut [Row] {
        if !self.services.contains_key(service) {
            let rows = (Row::new(HOUR, HOURS, now), Row::new(DAY, DAYS, now));
            let (Some(hours), Some(days)) = rows else {
                return &mut [];
            };
            if self.services.len() >= MOST_SERVICES {
                return &mut [];
            }
            self.services.insert(service.clone(), [hours, days]);
        }
        let Some(rows) = self.services.get_mut(service) else {
            return &mut [];
        };
        rows.iter_mut().for_each(|row| row.turn(now));
        rows
    }
}
