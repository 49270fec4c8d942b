//! A backend server that searches nothing and says so quickly, or slowly.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::json;
use lentillift_http::listener::plain;
use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Hits that a reply holds.
const HITS: u64 = 10;

/// How a backend server behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Time that a request takes.
    pub latency: Duration,
    /// Every so many requests one takes `slow` in place of `latency`; 0 for none.
    pub slow_every: u64,
    /// Time that a slow request takes.
    pub slow: Duration,
    /// Requests that it bears at a time; more are a violation.
    pub slots: u32,
    /// Requests that it bears at a time while cold.
    pub cold_slots: u32,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Whether it says that it is leaving.
    pub draining: bool,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(2),
            slow_every: 0,
            slow: Duration::from_millis(20),
            slots: 2,
            cold_slots: 1,
            cold_until: None,
            draining: false,
        }
    }
}

/// What a backend server has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that were started.
    pub requests: u64,
    /// Requests under way.
    pub in_flight: u32,
    /// Most requests under way at a time.
    pub peak: u32,
    /// Times that more requests were under way than it bears.
    pub overloads: u64,
    /// Cancellations.
    pub cancelled: u64,
    /// How often each idempotency key was run.
    pub actions: HashMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    behavior: Behavior,
    count: Count,
}

/// A backend server.
#[derive(Debug, Clone, Default)]
pub struct Backend {
    state: Arc<Mutex<State>>,
}

impl Backend {
    /// Makes a backend server that behaves as told.
    pub fn new(behavior: Behavior) -> Self {
        let state = State {
            behavior,
            count: Count::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes how it behaves from now on.
    pub fn set(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.lock().behavior);
    }

    /// What it has seen so far.
    pub fn count(&self) -> Count {
        self.lock().count.clone()
    }

    /// Serves requests until `stop` turns true.
    pub async fn serve(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |request: Request<Bytes>| {
            let backend = self.clone();
            async move { backend.handle(&request).await }
        };
        listener::serve(listener, Options::default(), stop, handler).await;
    }

    async fn handle(&self, request: &Request<Bytes>) -> Response<Bytes> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/search") => self.search(request.headers()).await,
            (&Method::POST, "/v1/action") => self.action(request.headers()).await,
            (&Method::DELETE, path) if path.starts_with("/v1/requests/") => self.cancel(),
            _ => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
        }
    }

    async fn search(&self, headers: &HeaderMap) -> Response<Bytes> {
        let snapshot = header::<u64>(headers, "x-snapshot");
        let shard = header::<u32>(headers, "x-shard");
        let (Some(snapshot), Some(shard)) = (snapshot, shard) else {
            return plain(StatusCode::BAD_REQUEST, "x-snapshot, x-shard".to_owned());
        };
        self.work().await;
        let hits: Vec<_> = (0..HITS)
            .map(|n| {
                // Scores interleave over shards, so that a merge has to look at all of them.
                let score = (HITS - n) as f64 + f64::from(shard % 97) / 100.0;
                serde_json::json!({ "id": format!("{shard}-{n}"), "score": score })
            })
            .collect();
        let body = serde_json::json!({ "snapshot": snapshot, "shard": shard, "hits": hits });
        self.reply(body.to_string())
    }

    async fn action(&self, headers: &HeaderMap) -> Response<Bytes> {
        let Some(key) = header::<String>(headers, "idempotency-key") else {
            return plain(StatusCode::BAD_REQUEST, "idempotency-key".to_owned());
        };
        *self.lock().count.actions.entry(key.clone()).or_default() += 1;
        self.work().await;
        self.reply(serde_json::json!({ "ran": key }).to_string())
    }

    fn cancel(&self) -> Response<Bytes> {
        self.lock().count.cancelled += 1;
        plain(StatusCode::OK, "cancelled".to_owned())
    }

    async fn work(&self) {
        let running = Running::start(self);
        tokio::time::sleep(running.time).await;
    }

    fn reply(&self, body: String) -> Response<Bytes> {
        let state = self.lock();
        let load = f64::from(state.count.in_flight) / f64::from(state.behavior.slots.max(1));
        let word = match (state.behavior.draining, state.behavior.is_cold()) {
            (true, _) => "draining",
            (false, true) => "cold",
            (false, false) => "ready",
        };
        drop(state);
        let mut response = json(StatusCode::OK, body.into_bytes());
        let headers = response.headers_mut();
        headers.insert("x-state", http::HeaderValue::from_static(word));
        if let Ok(load) = format!("{load:.2}").parse() {
            headers.insert("x-load", load);
        }
        response
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Behavior {
    fn is_cold(&self) -> bool {
        self.cold_until.is_some_and(|until| Instant::now() < until)
    }
}

/// A request under way; it ends when dropped, also when its connection is cut.
struct Running<'a> {
    backend: &'a Backend,
    time: Duration,
}

impl<'a> Running<'a> {
    fn start(backend: &'a Backend) -> Self {
        let mut state = backend.lock();
        let bears = match state.behavior.is_cold() {
            true => state.behavior.cold_slots,
            false => state.behavior.slots,
        };
        let count = &mut state.count;
        count.requests += 1;
        count.in_flight += 1;
        count.peak = count.peak.max(count.in_flight);
        count.overloads += u64::from(count.in_flight > bears);
        let every = state.behavior.slow_every;
        let slow = every > 0 && state.count.requests.is_multiple_of(every);
        let time = match slow {
            true => state.behavior.slow,
            false => state.behavior.latency,
        };
        drop(state);
        Self { backend, time }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.backend.lock().count.in_flight -= 1;
    }
}

fn header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}
