//! Where the tasks of a process leave what operators may want to know.

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

/// What a process tells its operators.
#[derive(Debug, Default)]
struct State {
    metrics: Metrics,
    timeline: Timeline,
    trend: Trend,
    ready: bool,
    /// Whether backend servers that are to be owned here may still be without owners.
    unsettled: bool,
    sections: BTreeMap<&'static str, (Time, Value)>,
}

impl State {
    fn is_ready(&self) -> bool {
        self.ready && !self.unsettled
    }
}

/// Where the tasks of a process leave what operators may want to know.
///
/// Tasks add to it on their way; each call holds the lock for a look-up and an addition. What
/// takes longer, such as a section of the status, is put together before the lock is taken.
#[derive(Debug, Clone)]
pub struct Board {
    host: id::Host,
    incarnation: id::Incarnation,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl Board {
    /// Starts with nothing to tell, and not ready.
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

    /// Notes a latency.
    pub fn observe(&self, name: &'static str, labels: &[(&str, &str)], latency: Duration) {
        let now = self.clock.now();
        self.lock().metrics.observe(now, name, labels, latency);
    }

    /// Notes the answer to a query, which covered `share` of the data.
    pub fn answered(&self, service: &id::Service, latency: Duration, share: f64) {
        let now = wall();
        self.lock().trend.answer(now, service, latency, share);
    }

    /// Notes the refusal of a query to a service that is configured.
    pub fn refused(&self, service: &id::Service) {
        self.lock().trend.refusal(wall(), service);
    }

    /// Appends to the time line.
    pub fn event(&self, kind: &str, subject: &str, detail: impl Into<String>) {
        self.note(Note::new(kind, subject, detail));
    }

    /// Appends a note to the time line.
    pub fn note(&self, note: Note) {
        let now = self.clock.now();
        self.lock().timeline.push(now, wall(), note);
    }

    /// Sets whether the balancer may send callers here; a change goes to the time line.
    pub fn set_ready(&self, ready: bool) {
        self.change(|state| state.ready = ready);
    }

    /// Sets whether the leases of this process are in order; without that it is not ready either.
    pub fn set_settled(&self, settled: bool) {
        self.change(|state| state.unsettled = !settled);
    }

    /// Changes the state and notes whether that changed readiness.
    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        let was = state.is_ready();
        change(&mut state);
        let ready = state.is_ready();
        drop(state);
        if was != ready {
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

    /// Sets a section of what `/status` returns; each task has its own.
    pub fn set_section<T>(&self, name: &'static str, section: &T)
    where
        T: Serialize,
    {
        let section = serde_json::to_value(section).unwrap_or(Value::Null);
        let now = self.clock.now();
        self.lock().sections.insert(name, (now, section));
    }

    /// Everything in numbers, as Prometheus text.
    pub fn metrics(&self) -> String {
        let now = self.clock.now();
        let mut state = self.lock();
        let ready = u8::from(state.is_ready());
        state.metrics.set("lentillift_ready", &[], ready.into());
        state.metrics.text(now)
    }

    /// How the process stands.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let state = self.lock();
        let ages = state.sections.iter().map(|(name, (at, _))| {
            let age = now.saturating_sub(*at);
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

    /// The events from number `since` on.
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

/// Time since 1970.
fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
