//! State of a process that its tasks write and the operators' interface reads.

use crate::event::Note;
use crate::event::Page;
use crate::event::Timeline;
use crate::metric::Metrics;
use crate::status::Status;
use crate::trend::Trend;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Everything that the operators' interface shows.
#[derive(Debug, Default)]
struct State {
    metrics: Metrics,
    timeline: Timeline,
    trend: Trend,
    ready: bool,
    /// Whether leases on backend servers assigned to this process are still to be acquired.
    leases_pending: bool,
    sections: BTreeMap<&'static str, (Time, Value)>,
}

impl State {
    fn is_ready(&self) -> bool {
        self.ready && !self.leases_pending
    }
}

/// Metrics, status and time line of a process, shared by its tasks.
///
/// Tasks write to it from their request paths; each such call holds the lock for a look-up and an
/// addition. What takes longer, such as serialising a section of the status, is done before the
/// lock is taken.
#[derive(Debug, Clone)]
pub struct Board {
    host: id::Host,
    incarnation: id::Incarnation,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl Board {
    /// Creates an empty board whose process is not ready.
    pub fn new(host: id::Host, incarnation: id::Incarnation, clock: Clock) -> Self {
        Self {
            host,
            incarnation,
            clock,
            state: Arc::default(),
        }
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, labels: &[(&str, &str)], count: u64) {
        self.lock().metrics.add(name, labels, count);
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, labels: &[(&str, &str)], value: f64) {
        self.lock().metrics.set(name, labels, value);
    }

    /// Records a latency in a summary.
    pub fn observe(&self, name: &'static str, labels: &[(&str, &str)], latency: Duration) {
        let now = self.clock.now();
        self.lock().metrics.observe(now, name, labels, latency);
    }

    /// Records the answer to a query in the trend; `share` of the data, 0 to 1, was covered.
    pub fn record_answer(&self, service: &id::Service, latency: Duration, share: f64) {
        let now = unix_time();
        self.lock()
            .trend
            .record_answer(now, service, latency, share);
    }

    /// Records the refusal of a query to a configured service in the trend.
    pub fn record_refusal(&self, service: &id::Service) {
        self.lock().trend.record_refusal(unix_time(), service);
    }

    /// Appends an event without further fields to the time line.
    pub fn event(&self, kind: &str, subject: &str, detail: impl Into<String>) {
        self.note(Note::new(kind, subject, detail));
    }

    /// Appends a note to the time line, with the current time.
    pub fn note(&self, note: Note) {
        let now = self.clock.now();
        self.lock().timeline.push(now, unix_time(), note);
    }

    /// Sets whether the balancer may send callers here; a change goes to the time line.
    pub fn set_ready(&self, ready: bool) {
        self.update(|state| state.ready = ready);
    }

    /// Sets whether this process holds the leases that it needs; until then it is not ready.
    pub fn set_leases_ready(&self, ready: bool) {
        self.update(|state| state.leases_pending = !ready);
    }

    /// Updates the state, and adds an event to the time line if readiness changed.
    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        let was_ready = state.is_ready();
        change(&mut state);
        let ready = state.is_ready();
        drop(state);
        if was_ready != ready {
            let detail = match ready {
                true => "serves callers",
                false => "takes no more callers",
            };
            self.event("ready", &self.host, detail);
        }
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready()
    }

    /// Replaces a section of what `/status` returns; each task writes its own section.
    pub fn set_section<T>(&self, name: &'static str, section: &T)
    where
        T: Serialize,
    {
        let section = serde_json::to_value(section).unwrap_or(Value::Null);
        let now = self.clock.now();
        self.lock().sections.insert(name, (now, section));
    }

    /// All metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let now = self.clock.now();
        let mut state = self.lock();
        let ready = u8::from(state.is_ready());
        state.metrics.set("lentillift_ready", &[], ready.into());
        state.metrics.text(now)
    }

    /// The status of the process, as `/status` returns it.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let state = self.lock();
        let ages = state.sections.iter().map(|(name, (set_at, _))| {
            let age = now.saturating_sub(*set_at);
            ((*name).to_owned(), age.as_millis() as u64)
        });
        let sections = state.sections.iter();
        Status {
            host: self.host.clone(),
            incarnation: self.incarnation,
            ready: state.is_ready(),
            uptime_s: now.as_secs(),
            ages_ms: ages.collect(),
            sections: sections
                .map(|(name, (_, section))| ((*name).to_owned(), section.clone()))
                .collect(),
            trend: state.trend.spans(),
        }
    }

    /// The events whose number is `since` or higher.
    pub fn timeline(&self, since: u64) -> Page {
        Page {
            host: self.host.clone(),
            incarnation: self.incarnation,
            events: self.lock().timeline.since(since).cloned().collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time since the Unix epoch.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
