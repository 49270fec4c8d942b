//! Stand-in of the platform's store: items with revisions, range reads and watches.
//!
//! It has one address for each host, so that a single host can be cut off from it. A cut is silent: connections stay
//! open, and nothing that was asked or answered on them passes any more, also after the cut.

use crate::http;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Items on one page.
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes since the start; none as a value is a removal.
    history: Vec<(u64, String, Option<Item>)>,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// What lies between one host and the store.
#[derive(Debug, Default)]
pub struct Link {
    is_cut: AtomicBool,
    /// Number of cuts so far. A connection that lived through one carries nothing further.
    cuts: AtomicU64,
    /// Number of watches that the host has begun.
    watches: AtomicU64,
}

impl Link {
    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Number of watches that the host has begun.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::SeqCst)
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }
}

impl Store {
    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| Item {
            value: value.as_bytes().to_vec(),
            revision,
            created,
        });
        match &item {
            Some(item) => drop(state.items.insert(key.to_owned(), item.clone())),
            None => drop(state.items.remove(key)),
        }
        state.history.push((revision, key.to_owned(), item));
        self.changed.notify_all();
    }

    /// Serves the host behind `link` until the process ends.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, link: Arc<Link>) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, link) = (store.clone(), link.clone());
                thread::spawn(move || store.connection(stream, &link));
            }
        });
    }

    fn connection(&self, stream: TcpStream, link: &Link) {
        let born_in = link.cuts.load(Ordering::SeqCst);
        let passes = || !link.is_cut() && link.cuts.load(Ordering::SeqCst) == born_in;
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if !passes() {
                continue;
            }
            if request.path().starts_with("/kv-watch") {
                link.watches.fetch_add(1, Ordering::SeqCst);
            }
            let (status, body) = self.answer(request.path());
            thread::sleep(ANSWER_TIME);
            if !passes() {
                continue;
            }
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let prefix = http::query(path, "prefix").unwrap_or_default();
        let after = http::query(path, "after").unwrap_or_default();
        if path.starts_with("/kv-range") {
            return ("200 OK", self.range(&prefix, &after));
        }
        if path.starts_with("/kv-watch") {
            let wait = http::query(path, "wait_ms").and_then(|ms| ms.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            return (
                "200 OK",
                self.watch(&prefix, after.parse().unwrap_or(0), wait),
            );
        }
        ("404 Not Found", "{}".to_owned())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let found = state.items.iter();
        let mut found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = found
            .by_ref()
            .take(PAGE)
            .map(|(k, i)| event(k, i))
            .collect();
        let has_more = found.next().is_some();
        let items = page.join(",");
        let revision = state.revision;
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let news = state.history.iter();
            let news =
                news.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(revision, key, item)| match item {
                    Some(item) => event(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn event(key: &str, item: &Item) -> String {
    let value = http::base64(&item.value);
    let (revision, created) = (item.revision, item.created);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":1}}"
    )
}

/// Binds a listener at a free port of `ip`.
pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}
