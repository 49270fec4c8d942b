//! Simulated configuration service: stores published values and serves reads and watches.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::json;
use lentillift_http::listener::plain;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Maximum time that a watch waits for a newer version.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Values {
    /// Version of the index; the newest version of any value.
    version: u64,
    /// Version and bytes of each value, by key.
    values: BTreeMap<String, (u64, Vec<u8>)>,
}

/// A simulated configuration service. Clones share the same values.
#[derive(Debug, Clone)]
pub struct Platform {
    values: Arc<Mutex<Values>>,
    changed: watch::Sender<u64>,
    calls: Arc<AtomicU64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            values: Arc::default(),
            changed: watch::channel(0).0,
            calls: Arc::default(),
        }
    }
}

impl Platform {
    /// Publishes a value as JSON, under the next version.
    pub fn publish<T>(&self, key: &str, value: &T)
    where
        T: Serialize,
    {
        let value = serde_json::to_vec(value).unwrap_or_default();
        self.publish_bytes(key, value);
    }

    /// Publishes the bytes of a value unchecked, so that a test can publish a malformed value.
    pub fn publish_bytes(&self, key: &str, value: Vec<u8>) {
        let mut values = self.lock();
        values.version += 1;
        let version = values.version;
        values.values.insert(key.to_owned(), (version, value));
        drop(values);
        self.changed.send_replace(version);
    }

    /// Number of requests received up to now.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Serves reads and watches until `stop` becomes true.
    pub async fn serve(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |request: Request<Bytes>| {
            let platform = self.clone();
            async move { platform.handle(&request).await }
        };
        listener::serve(listener, Options::default(), stop, handler).await;
    }

    async fn handle(&self, request: &Request<Bytes>) -> Response<Bytes> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let path = request.uri().path();
        match path.strip_prefix("/v1/values/") {
            Some(encoded_key) => self.value(encoded_key),
            None if path == "/v1/index" => self.index(request.uri().query()).await,
            None => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
        }
    }

    /// Returns the value of a key that is percent-encoded in the request's path.
    fn value(&self, encoded_key: &str) -> Response<Bytes> {
        let key = percent_decode_str(encoded_key).decode_utf8_lossy();
        match self.lock().values.get(key.as_ref()) {
            Some((_, value)) => json(StatusCode::OK, value.clone()),
            None => plain(StatusCode::NOT_FOUND, "no such key".to_owned()),
        }
    }

    async fn index(&self, query: Option<&str>) -> Response<Bytes> {
        let since = numeric_parameter(query, "since").unwrap_or(0);
        let wait = Duration::from_millis(numeric_parameter(query, "wait_ms").unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let newer = changed.wait_for(|version| *version > since);
        let _ = tokio::time::timeout(wait.min(MAX_WATCH_WAIT), newer).await;
        let values = self.lock();
        let keys = values.values.iter();
        let keys: BTreeMap<&str, u64> = keys.map(|(key, (v, _))| (key.as_str(), *v)).collect();
        let index = serde_json::json!({ "version": values.version, "keys": keys });
        json(StatusCode::OK, index.to_string().into_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The value of the numeric parameter `name` in a query string.
fn numeric_parameter(query: Option<&str>, name: &str) -> Option<u64> {
    let fields = query?.split('&');
    let mut values = fields.filter_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    values.next()?.parse().ok()
}
