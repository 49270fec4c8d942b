//! The platform's store: `kv-range` and `kv-watch`, with linearizable answers and full history.

use crate::http::Connection;
use crate::http::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

#[derive(Debug, Default)]
struct State {
    /// Value and revision of each key.
    items: BTreeMap<String, (String, u64)>,
    /// Revision and encoded event of each change.
    events: Vec<(u64, String)>,
    revision: u64,
}

/// A store that serves until the process ends.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store at a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item; it is confirmed when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let item = item(key, value, revision);
        state.events.push((revision, item));
        state
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        // A connection that breaks off ends only its own calls.
        while let Ok(Some(request)) = connection.read() {
            let answer = self.answer(request.target());
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> Message {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let found = fields.find(|(known, _)| *known == name);
            found.map_or("", |(_, value)| value)
        };
        let body = match path {
            "/kv-range" => self.range(field("prefix"), field("after")),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                self.watch(field("prefix"), after, Duration::from_millis(wait))
            }
            _ => return Message::new("HTTP/1.1 404 Not Found", ""),
        };
        Message::new("HTTP/1.1 200 OK", body).with("content-type", "application/json")
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|(revision, event)| {
                *revision > after && event.contains(&format!("\"key\":\"{prefix}"))
            });
            let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0}}"
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Entry of a backend server that is ready, as the server writes it to the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: usize) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"max_concurrency\":{slots},\"state\":\"ready\",\
         \"warmup_left_ms\":0,\"sequence\":4,\"born\":1700000000000}}"
    )
}

/// A configuration with these routes (as JSON) and services.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":34,\
             \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
