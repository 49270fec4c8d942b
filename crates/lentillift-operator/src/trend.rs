//! Coverage and latency of each service by hour and by day.
//!
//! Users fear most a search that gets a little slower and a little less complete each month.
//! Momentary counters don't show such a decline; a history of days does.

use crate::histogram::Histogram;
use crate::latency;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of hours kept.
const HOURS: usize = 48;

/// Number of days kept.
const DAYS: usize = 62;

/// Maximum number of services with a history; a fleet has a few hundred.
const MAX_SERVICES: usize = 1000;

const HOUR: u64 = 3600;
const DAY: u64 = 24 * HOUR;

/// Figures of one service in one hour or day.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Start of the hour or day, in seconds since the Unix epoch.
    pub start_s: u64,
    /// Queries that were answered.
    pub answers: u64,
    /// Answers that covered all shards.
    pub full: u64,
    /// Queries that were refused.
    pub refusals: u64,
    /// Mean share of the data that answers covered, 0 to 1.
    pub coverage: f64,
    /// 99th percentile of the latency of answers, in milliseconds.
    pub p99_ms: f64,
    /// Latencies of answers, to be added to those of other processes; empty from a process whose
    /// version doesn't send them yet.
    #[serde(default)]
    pub times: Histogram,
}

/// The latest spans of one length, in seconds; only the current one has a precise histogram.
#[derive(Debug)]
struct History {
    length_s: u64,
    max_spans: usize,
    past: VecDeque<Span>,
    current: Span,
    share_sum: f64,
    latencies: hdrhistogram::Histogram<u64>,
}

impl History {
    /// Creates a history whose current span contains `now`.
    fn new(length_s: u64, max_spans: usize, now: Duration) -> Option<Self> {
        Some(Self {
            length_s,
            max_spans,
            past: VecDeque::new(),
            current: Self::span(length_s, now),
            share_sum: 0.0,
            latencies: latency::histogram()?,
        })
    }

    /// An empty span that contains `now`.
    fn span(length_s: u64, now: Duration) -> Span {
        Span {
            start_s: now.as_secs() / length_s * length_s,
            ..Span::default()
        }
    }

    /// Moves on to the span of `now`.
    fn advance(&mut self, now: Duration) {
        // After the clock was set back, counting goes on in the current span.
        if now.as_secs() < self.current.start_s + self.length_s {
            return;
        }
        let span = self.summarise();
        self.past.push_back(span);
        if self.past.len() >= self.max_spans {
            self.past.pop_front();
        }
        self.current = Self::span(self.length_s, now);
        self.share_sum = 0.0;
        self.latencies.reset();
    }

    /// The current span with its mean coverage and 99th percentile computed.
    fn summarise(&self) -> Span {
        let mut span = self.current.clone();
        if span.answers > 0 {
            span.coverage = self.share_sum / span.answers as f64;
            span.p99_ms = latency::quantile(&self.latencies, 0.99).as_secs_f64() * 1e3;
        }
        span
    }

    /// All spans, oldest first.
    fn spans(&self) -> Vec<Span> {
        let past = self.past.iter().cloned();
        past.chain([self.summarise()]).collect()
    }
}

/// Hours and days of one service, each oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceTrend {
    /// Hours; those without a query are left out.
    pub hours: Vec<Span>,
    /// Days; those without a query are left out.
    pub days: Vec<Span>,
}

/// The histories of all services.
#[derive(Debug, Default)]
pub struct Trend {
    services: BTreeMap<id::Service, [History; 2]>,
}

impl Trend {
    /// Records an answer; `now` is the time since the Unix epoch, `share` the share of the data covered.
    pub fn record_answer(
        &mut self,
        now: Duration,
        service: &id::Service,
        latency: Duration,
        share: f64,
    ) {
        for history in self.histories(now, service) {
            history.current.answers += 1;
            history.current.full += u64::from(share >= 1.0);
            history.current.times.record(latency);
            history.share_sum += share;
            latency::record(&mut history.latencies, latency);
        }
    }

    /// Records a refusal; `now` is the time since the Unix epoch.
    pub fn record_refusal(&mut self, now: Duration, service: &id::Service) {
        for history in self.histories(now, service) {
            history.current.refusals += 1;
        }
    }

    /// The hours and days of each service.
    pub fn spans(&self) -> BTreeMap<id::Service, ServiceTrend> {
        let services = self.services.iter();
        let spans = services.map(|(service, [hours, days])| {
            let (hours, days) = (hours.spans(), days.spans());
            (service.clone(), ServiceTrend { hours, days })
        });
        spans.collect()
    }

    /// The histories of a service, moved on to `now`; empty if there are [`MAX_SERVICES`] others.
    fn histories(&mut self, now: Duration, service: &id::Service) -> &mut [History] {
        if !self.services.contains_key(service) {
            let histories = (History::new(HOUR, HOURS, now), History::new(DAY, DAYS, now));
            let (Some(hours), Some(days)) = histories else {
                return &mut [];
            };
            if self.services.len() >= MAX_SERVICES {
                return &mut [];
            }
            self.services.insert(service.clone(), [hours, days]);
        }
        let Some(histories) = self.services.get_mut(service) else {
            return &mut [];
        };
        histories
            .iter_mut()
            .for_each(|history| history.advance(now));
        histories
    }
}
