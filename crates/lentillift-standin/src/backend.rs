//! Simulated backend server: replies with generated hits after a simulated service time.

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

/// Number of hits in a reply to a search.
const HITS_PER_REPLY: u64 = 10;

/// Counters of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Requests that were accepted.
    pub requests: u64,
    /// Requests that are executed or wait.
    pub in_flight: u32,
    /// Maximum of `in_flight` so far.
    pub peak: u32,
    /// Requests whose arrival raised `in_flight` above the server's capacity.
    pub overloads: u64,
    /// Times that an overload during a cold start made the cold start begin again.
    pub falls: u64,
    /// Requests that were shed because the queue was full.
    pub shed: u64,
    /// Requests that were cancelled by the client.
    pub cancelled: u64,
    /// Number of times that each action ran, by idempotency key; more than 1 is a duplicate.
    pub actions: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct State {
    behavior: Behavior,
    count: Count,
    /// Requests that are executed now and occupy a slot.
    busy: u32,
    /// Signals that cancel the requests in flight, by request id.
    cancel_signals: HashMap<String, Arc<Notify>>,
    rng: StdRng,
}

/// A simulated backend server. Clones share the same state.
#[derive(Debug, Clone)]
pub struct Backend {
    state: Arc<Mutex<State>>,
    /// Notified whenever a slot becomes free, so that a waiting request can start.
    slot_freed: Arc<Notify>,
}

impl Default for Backend {
    fn default() -> Self {
        Self::new(Behavior::default())
    }
}

impl Backend {
    /// Creates a backend server with this behavior.
    pub fn new(behavior: Behavior) -> Self {
        let state = State {
            rng: StdRng::seed_from_u64(behavior.seed),
            behavior,
            count: Count::default(),
            busy: 0,
            cancel_signals: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            slot_freed: Arc::default(),
        }
    }

    /// Changes the behavior from now on.
    pub fn set(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.lock().behavior);
    }

    /// The counters up to now.
    pub fn count(&self) -> Count {
        self.lock().count.clone()
    }

    /// Serves requests until `stop` becomes true.
    pub async fn serve(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |request: Request<Bytes>| {
            let backend = self.clone();
            async move { backend.handle(&request).await }
        };
        listener::serve(listener, Options::default(), stop, handler).await;
    }

    /// Handles a request; the reply has the request's id.
    async fn handle(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let mut response = self.route(request).await;
        if let Some(id) = request.headers().get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        response
    }

    async fn route(&self, request: &Request<Bytes>) -> Response<Bytes> {
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
        if !self.lock().behavior.has_snapshot(snapshot) {
            return self.reply(StatusCode::GONE, "snapshot gone".to_owned());
        }
        if !self.execute(headers).await {
            return self.shed();
        }
        let hits: Vec<_> = (0..HITS_PER_REPLY)
            .map(|n| {
                // Scores of different shards interleave, so that a merge has to compare all shards.
                let score = (HITS_PER_REPLY - n) as f64 + f64::from(shard % 97) / 100.0;
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
        self.execute(headers).await;
        self.reply(
            StatusCode::OK,
            serde_json::json!({ "ran": key }).to_string(),
        )
    }

    fn cancel(&self, id: &str) -> Response<Bytes> {
        let mut state = self.lock();
        let Some(cancel_signal) = state.cancel_signals.get(id).cloned() else {
            return plain(StatusCode::NOT_FOUND, "no such request".to_owned());
        };
        state.count.cancelled += 1;
        cancel_signal.notify_one();
        plain(StatusCode::OK, "cancelled".to_owned())
    }

    fn is_full(&self) -> bool {
        let state = self.lock();
        state.count.in_flight >= state.behavior.slots + state.behavior.queue
    }

    /// Executes a request until it ends, is cancelled or reaches its deadline. Returns false if it
    /// was shed.
    async fn execute(&self, headers: &HeaderMap) -> bool {
        if self.is_full() {
            return false;
        }
        let id = header::<String>(headers, "x-request-id").unwrap_or_default();
        let in_flight = InFlight::start(self, id);
        let remaining =
            header::<u64>(headers, "x-deadline-ms").map_or(Duration::MAX, Duration::from_millis);
        tokio::select! {
            () = self.occupy_slot() => {}
            () = in_flight.cancelled.notified() => {}
            () = tokio::time::sleep(remaining.min(Duration::from_secs(60))) => {}
        }
        true
    }

    /// Waits for a slot and occupies it for the service time.
    async fn occupy_slot(&self) {
        let _slot = loop {
            let freed = self.slot_freed.notified();
            if let Some(slot) = Slot::occupy(self) {
                break slot;
            }
            freed.await;
        };
        let time = {
            let state = &mut *self.lock();
            state
                .behavior
                .service_time(state.count.requests, &mut state.rng)
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
        let reported_state = state.behavior.reported_state();
        drop(state);
        let mut response = json(status, body.into_bytes());
        let headers = response.headers_mut();
        headers.insert("x-state", HeaderValue::from_static(reported_state));
        if let Ok(load) = format!("{load:.2}").parse() {
            headers.insert("x-load", load);
        }
        response
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in flight. Dropping it ends the request, also when its connection is closed.
struct InFlight<'a> {
    backend: &'a Backend,
    id: String,
    cancelled: Arc<Notify>,
}

impl<'a> InFlight<'a> {
    fn start(backend: &'a Backend, id: String) -> Self {
        let cancelled: Arc<Notify> = Arc::default();
        let state = &mut *backend.lock();
        let capacity = state.behavior.capacity();
        let count = &mut state.count;
        count.requests += 1;
        count.in_flight += 1;
        count.peak = count.peak.max(count.in_flight);
        let is_overload = count.in_flight > capacity;
        count.overloads += u64::from(is_overload);
        if is_overload && state.behavior.is_cold() {
            count.falls += 1;
            state.behavior.restart_cold();
        }
        state.cancel_signals.insert(id.clone(), cancelled.clone());
        Self {
            backend,
            id,
            cancelled,
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = self.backend.lock();
        state.count.in_flight -= 1;
        state.cancel_signals.remove(&self.id);
    }
}

/// One of the server's slots, occupied until it is dropped.
struct Slot<'a> {
    backend: &'a Backend,
}

impl<'a> Slot<'a> {
    fn occupy(backend: &'a Backend) -> Option<Self> {
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
        self.backend.slot_freed.notify_one();
    }
}

/// End of a cold start of this duration that begins now, for [`Behavior::cold_until`].
pub fn cold_until(time: Duration) -> Option<Instant> {
    Some(Instant::now() + time)
}

fn header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}
