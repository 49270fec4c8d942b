//! A backend server that searches nothing and says so quickly, or slowly.

pub use crate::behavior::Behavior;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::json;
use lentillift_http::listener::plain;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Hits that a reply holds.
const HITS: u64 = 10;

/// What a backend server has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Requests that were started.
    pub requests: u64,
    /// Requests under way, waiting ones included.
    pub in_flight: u32,
    /// Most requests under way at a time.
    pub peak: u32,
    /// Times that more requests were under way than it bears.
    pub overloads: u64,
    /// Times that it fell back to a cold start, because it got too much in one.
    pub falls: u64,
    /// Requests that it shed.
    pub shed: u64,
    /// Cancellations.
    pub cancelled: u64,
    /// How often each idempotency key was run.
    pub actions: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct State {
    behavior: Behavior,
    count: Count,
    /// Requests that it works on now.
    busy: u32,
    running: HashMap<String, Arc<Notify>>,
    rng: StdRng,
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    state: Arc<Mutex<State>>,
    /// Told whenever a request ends, so that one that waits may start.
    ended: Arc<Notify>,
}

impl Default for Backend {
    fn default() -> Self {
        Self::new(Behavior::default())
    }
}

impl Backend {
    /// Makes a backend server that behaves as told.
    pub fn new(behavior: Behavior) -> Self {
        let state = State {
            rng: StdRng::seed_from_u64(behavior.seed),
            behavior,
            count: Count::default(),
            busy: 0,
            running: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            ended: Arc::default(),
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
            (&Method::DELETE, path) => match path.strip_prefix("/v1/requests/") {
                Some(id) => self.cancel(id),
                None => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
            },
            _ => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
        }
    }

    async fn search(&self, headers: &HeaderMap) -> Response<Bytes> {
        let snapshot = header::<u64>(headers, "x-snapshot");
        let shard = header::<u32>(headers, "x-shard");
        let (Some(snapshot), Some(shard)) = (snapshot, shard) else {
            return plain(StatusCode::BAD_REQUEST, "x-snapshot, x-shard".to_owned());
        };
        if !self.lock().behavior.holds(snapshot) {
            return self.reply(StatusCode::GONE, "snapshot gone".to_owned());
        }
        if !self.work(headers).await {
            return self.shed();
        }
        let hits: Vec<_> = (0..HITS)
            .map(|n| {
                // Scores interleave over shards, so that a merge has to look at all of them.
                let score = (HITS - n) as f64 + f64::from(shard % 97) / 100.0;
                serde_json::json!({ "id": format!("{shard}-{n}"), "score": score })
            })
            .collect();
        let body = serde_json::json!({ "snapshot": snapshot, "shard": shard, "hits": hits });
        self.reply(StatusCode::OK, body.to_string())
    }

    async fn action(&self, headers: &HeaderMap) -> Response<Bytes> {
        let Some(key) = header::<String>(headers, "idempotency-key") else {
            return plain(StatusCode::BAD_REQUEST, "idempotency-key".to_owned());
        };
        if self.is_full() {
            return self.shed();
        }
        *self.lock().count.actions.entry(key.clone()).or_default() += 1;
        self.work(headers).await;
        self.reply(
            StatusCode::OK,
            serde_json::json!({ "ran": key }).to_string(),
        )
    }

    fn cancel(&self, id: &str) -> Response<Bytes> {
        let mut state = self.lock();
        let Some(running) = state.running.get(id).cloned() else {
            return plain(StatusCode::NOT_FOUND, "no such request".to_owned());
        };
        state.count.cancelled += 1;
        running.notify_one();
        plain(StatusCode::OK, "cancelled".to_owned())
    }

    fn is_full(&self) -> bool {
        let state = self.lock();
        state.count.in_flight >= state.behavior.slots + state.behavior.queue
    }

    /// Waits for a slot and works; false if the request was shed.
    async fn work(&self, headers: &HeaderMap) -> bool {
        if self.is_full() {
            return false;
        }
        let id = header::<String>(headers, "x-request-id").unwrap_or_default();
        let running = Running::start(self, id);
        let left =
            header::<u64>(headers, "x-deadline-ms").map_or(Duration::MAX, Duration::from_millis);
        tokio::select! {
            () = self.serve_one() => {}
            () = running.cancelled.notified() => {}
            () = tokio::time::sleep(left.min(Duration::from_secs(60))) => {}
        }
        true
    }

    async fn serve_one(&self) {
        let _slot = loop {
            let ended = self.ended.notified();
            if let Some(slot) = Slot::take(self) {
                break slot;
            }
            ended.await;
        };
        let time = {
            let state = &mut *self.lock();
            state.behavior.time(state.count.requests, &mut state.rng)
        };
        tokio::time::sleep(time).await;
    }

    fn shed(&self) -> Response<Bytes> {
        self.lock().count.shed += 1;
        let mut response = self.reply(StatusCode::SERVICE_UNAVAILABLE, "shed".to_owned());
        let outcome = HeaderValue::from_static("not-run");
        response.headers_mut().insert("x-outcome", outcome);
        response
    }

    fn reply(&self, status: StatusCode, body: String) -> Response<Bytes> {
        let state = self.lock();
        let slots = f64::from(state.behavior.slots.max(1));
        let load = f64::from(state.count.in_flight) / slots;
        let load = state.behavior.reported_load.unwrap_or(load);
        let word = state.behavior.word();
        drop(state);
        let mut response = json(status, body.into_bytes());
        let headers = response.headers_mut();
        headers.insert("x-state", HeaderValue::from_static(word));
        if let Ok(load) = format!("{load:.2}").parse() {
            headers.insert("x-load", load);
        }
        response
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request under way; it ends when dropped, also when its connection is cut.
struct Running<'a> {
    backend: &'a Backend,
    id: String,
    cancelled: Arc<Notify>,
}

impl<'a> Running<'a> {
    fn start(backend: &'a Backend, id: String) -> Self {
        let cancelled: Arc<Notify> = Arc::default();
        let state = &mut *backend.lock();
        let bears = state.behavior.bears();
        let count = &mut state.count;
        count.requests += 1;
        count.in_flight += 1;
        count.peak = count.peak.max(count.in_flight);
        let overload = count.in_flight > bears;
        count.overloads += u64::from(overload);
        if overload && state.behavior.is_cold() {
            count.falls += 1;
            state.behavior.fall();
        }
        state.running.insert(id.clone(), cancelled.clone());
        Self {
            backend,
            id,
            cancelled,
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.backend.lock();
        state.count.in_flight -= 1;
        state.running.remove(&self.id);
    }
}

/// One of the requests that a backend server works on at a time.
struct Slot<'a> {
    backend: &'a Backend,
}

impl<'a> Slot<'a> {
    fn take(backend: &'a Backend) -> Option<Self> {
        let mut state = backend.lock();
        if state.busy >= state.behavior.slots {
            return None;
        }
        state.busy += 1;
        Some(Self { backend })
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.backend.lock().busy -= 1;
        self.backend.ended.notify_one();
    }
}

/// When a backend server that is told to be cold for `time` is warm again.
pub fn cold_for(time: Duration) -> Option<Instant> {
    Some(Instant::now() + time)
}

fn header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}
