//! The listener for operators.

use crate::event::Page;
use crate::event::Timeline;
use crate::metric::Metrics;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::json;
use lentillift_http::listener::plain;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What a process tells its operators.
#[derive(Debug)]
struct State {
    metrics: Metrics,
    timeline: Timeline,
    ready: bool,
    /// Whether the backend servers that are to be owned here have owners.
    settled: bool,
    status: serde_json::Value,
}

/// Where the tasks of a process leave what operators may want to know.
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
        let state = State {
            metrics: Metrics::default(),
            timeline: Timeline::default(),
            ready: false,
            settled: false,
            status: serde_json::Value::Null,
        };
        Self {
            host,
            incarnation,
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, labels: &[(&str, &str)], count: u64) {
        self.lock().metrics.add(name, labels, count);
    }

    /// Notes a latency.
    pub fn observe(&self, name: &'static str, labels: &[(&str, &str)], latency: Duration) {
        self.lock().metrics.observe(name, labels, latency);
    }

    /// Appends to the time line.
    pub fn event(&self, kind: &str, subject: &str, detail: impl Into<String>) {
        let now = self.clock.now();
        self.lock().timeline.push(now, kind, subject, detail.into());
    }

    /// Sets whether the balancer may send callers here.
    pub fn set_ready(&self, ready: bool) {
        self.lock().ready = ready;
    }

    /// Sets whether the leases of this process are in order; until then it is not ready either.
    pub fn set_settled(&self, settled: bool) {
        self.lock().settled = settled;
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.ready && state.settled
    }

    /// Sets what `/status` returns.
    pub fn set_status(&self, status: serde_json::Value) {
        self.lock().status = status;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Request<Bytes>) -> Response<Bytes> {
        match request.uri().path() {
            "/healthz" => plain(StatusCode::OK, "ok".to_owned()),
            "/readyz" if self.is_ready() => plain(StatusCode::OK, "ready".to_owned()),
            "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned()),
            "/metrics" => plain(StatusCode::OK, self.lock().metrics.text()),
            "/status" => json(StatusCode::OK, self.lock().status.to_string().into_bytes()),
            "/timeline" => self.timeline(request.uri().query()),
            _ => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
        }
    }

    fn timeline(&self, query: Option<&str>) -> Response<Bytes> {
        let since = query.and_then(|query| query.strip_prefix("since="));
        let since = since.and_then(|since| since.parse().ok()).unwrap_or(0);
        let page = Page {
            host: self.host.clone(),
            incarnation: self.incarnation,
            events: self.lock().timeline.since(since).cloned().collect(),
        };
        json(
            StatusCode::OK,
            serde_json::to_vec(&page).unwrap_or_default(),
        )
    }
}

/// Serves operators until `stop` turns true.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    stop: watch::Receiver<bool>,
    board: Board,
) {
    let handler = move |request: Request<Bytes>| {
        let board = board.clone();
        async move { board.handle(&request) }
    };
    listener::serve(listener, options, stop, handler).await;
}
