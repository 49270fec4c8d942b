//! Two processes on loopback: their traces replay to the same decisions, abandoned queries are
//! cancelled, and a process that stops hands over request outcomes.

use lentillift_core::id;
use lentillift_settings::daemon::Settings;
use lentillift_standin::backend::Backend;
use lentillift_standin::backend::Behavior;
use lentillift_standin::platform::Platform;
use lentillift_trace::replay::replay;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Shards of the search service, each with one replica.
const SHARDS: usize = 3;

/// Longest wait for a condition; a safeguard against hanging, not a bound under test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

struct Fleet {
    runtime: Runtime,
    callers: Vec<SocketAddr>,
    backends: BTreeMap<id::Backend, Backend>,
    daemons: Vec<Daemon>,
    traces: PathBuf,
    _stop: watch::Sender<bool>,
}

impl Fleet {
    fn start(name: &str, behavior: &Behavior) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let traces = std::env::temp_dir().join(format!("lentillift-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&traces).expect("a directory");
        let (stop, stopped) = watch::channel(false);
        let mut fleet = Self {
            runtime,
            callers: Vec::new(),
            backends: BTreeMap::new(),
            daemons: Vec::new(),
            traces,
            _stop: stop,
        };
        fleet.start_all(behavior, &stopped);
        wait(|| fleet.daemons.iter().all(|daemon| daemon.board.is_ready()));
        fleet
    }

    /// Starts the configuration service, the backend servers and two processes.
    fn start_all(&mut self, behavior: &Behavior, stopped: &watch::Receiver<bool>) {
        let platform = Platform::default();
        let listener = self.listen();
        let platform_address = listener.local_addr().expect("an address");
        self.runtime
            .spawn(platform.clone().serve(listener, stopped.clone()));
        for (service, count) in [("names", SHARDS), ("filing", 2)] {
            let mut servers = BTreeMap::new();
            for number in 0..count {
                let backend = Backend::new(behavior.clone());
                let listener = self.listen();
                let address = listener.local_addr().expect("an address");
                let server = json!({ "address": address, "domain": "a", "state": "live" });
                let name: id::Backend = format!("{service}-{number}").into();
                servers.insert(name.clone(), server);
                self.runtime
                    .spawn(backend.clone().serve(listener, stopped.clone()));
                self.backends.insert(name, backend);
            }
            let part = |shard| json!({ "shard": shard, "weight": 10, "replicas": [format!("names-{shard}")] });
            let parts: Vec<Value> = (0..SHARDS).map(part).collect();
            let map = json!({ "snapshot": 7, "parts": parts });
            let maps = if service == "names" {
                vec![map]
            } else {
                vec![]
            };
            let placement = json!({ "revision": 1, "servers": servers, "maps": maps });
            platform.publish(&format!("service/{service}"), &placement);
        }
        let mut hosts = BTreeMap::new();
        for number in 0..2 {
            let (host, entry) = self.start_daemon(number, platform_address);
            hosts.insert(host, entry);
        }
        platform.publish("hosts", &json!({ "revision": 1, "hosts": hosts }));
        platform.publish("config", &config());
    }

    fn start_daemon(&mut self, number: u64, platform_address: SocketAddr) -> (String, Value) {
        let any = "127.0.0.1:0";
        let host = format!("host-{number}");
        let settings = json!({
            "host": host, "domain": "a", "caller_address": any, "node_address": any,
            "operator_address": any, "platform_address": platform_address,
        });
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        let _guard = self.runtime.enter();
        let sockets = self
            .runtime
            .block_on(Sockets::open(&settings))
            .expect("sockets");
        self.callers
            .push(sockets.caller.local_addr().expect("an address"));
        let address = sockets.node.local_addr().expect("an address");
        let traces = Some(self.traces.as_path());
        let daemon = Daemon::start_traced(&settings, sockets, number + 1, traces);
        self.daemons.push(daemon);
        (
            host,
            json!({ "address": address, "domain": "a", "state": "live" }),
        )
    }

    fn listen(&self) -> TcpListener {
        let listener = self.runtime.block_on(TcpListener::bind("127.0.0.1:0"));
        listener.expect("a port")
    }

    /// Posts a body and returns the answer's `x-outcome` header and its body.
    fn post(&self, entry: usize, path: &str, key: &str, body: &str) -> (String, Value) {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build();
        let agent: ureq::Agent = agent.into();
        let url = format!("http://{}/v1/services/{path}", self.callers[entry]);
        let request = agent
            .post(url)
            .header("x-caller", "newsroom")
            .header("x-allowance-ms", "4000")
            .header("idempotency-key", key);
        let mut response = request.send(body).expect("an answer");
        let outcome = response.headers().get("x-outcome");
        let outcome = outcome
            .map_or("", |outcome| outcome.to_str().expect("text"))
            .to_owned();
        let body = response.body_mut().read_to_string().expect("a body");
        (outcome, serde_json::from_str(&body).expect("JSON"))
    }

    /// Stops all processes and returns the path and the text of each trace.
    fn stop(self) -> Vec<(String, String)> {
        for daemon in self.daemons {
            self.runtime.block_on(daemon.stop());
        }
        self.runtime.shutdown_timeout(Duration::from_secs(1));
        let traces = read_all(&self.traces);
        std::fs::remove_dir_all(&self.traces).expect("remove");
        traces
    }
}

fn read_all(directory: &Path) -> Vec<(String, String)> {
    let files = std::fs::read_dir(directory).expect("a directory");
    let files = files.map(|file| file.expect("a file").path());
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(&path).expect("text");
        // Ignores a last line that is still being written.
        let whole = text.rfind('\n').map_or(0, |end| end + 1);
        (path.display().to_string(), text[..whole].to_owned())
    };
    files.map(read).collect()
}

fn config() -> Value {
    let service = |kind: &str| {
        json!({ "kind": kind, "class": "c", "slots": 2, "connections": 25, "cold_slots": 1,
            "connect_ms": 6 })
    };
    json!({
        "revision": 1, "domains": ["a"], "classes": { "c": { "rank": 0, "queue_ms": 1000 } },
        "callers": { "newsroom": { "weight": 1 } },
        "services": { "names": service("search"), "filing": service("action") },
        "least_allowance_ms": 10, "most_allowance_ms": 5000,
    })
}

fn wait(condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(
            since.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for a condition"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Operators replay a recorded trace to find out why an answer came out as it did. A replay that
/// decides differently would explain something that did not happen.
#[test]
fn a_recorded_run_replays_to_the_same_decisions() {
    let fleet = Fleet::start("replay", &Behavior::default());
    wait(|| fleet.post(0, "names/query", "", "{}").0 == "done");
    for entry in [0, 1, 0, 1] {
        let (outcome, answer) = fleet.post(entry, "names/query", "", r#"{"limit":5}"#);
        assert_eq!(
            (outcome.as_str(), &answer["complete"]),
            ("done", &json!(true))
        );
    }
    let (_, issued) = fleet.post(0, "filing/ids", "", "");
    let key = issued["id"].as_str().expect("an id").to_owned();
    for entry in [1, 0, 1] {
        let (outcome, _) = fleet.post(entry, "filing/action", &key, r#"{"notice":"Amina"}"#);
        assert_eq!(outcome, "done");
    }
    let ran = fleet
        .backends
        .values()
        .map(|b| b.count().actions.get(&key).copied().unwrap_or(0));
    assert_eq!(ran.sum::<u64>(), 1);
    let traces = fleet.stop();
    assert_eq!(traces.len(), 4);
    for (name, text) in traces {
        let outcome = replay(&name, &text).expect("a trace that can be read");
        assert!(!outcome.decisions.is_empty(), "{name}");
        assert_eq!(outcome.differences, Vec::<String>::new(), "{name}");
    }
}

/// A caller disconnects while its search runs. The backend servers must not continue work whose
/// result nobody waits for.
#[test]
fn a_callers_disconnect_cancels_requests_at_the_backend_servers() {
    let slow = Behavior {
        latency: Duration::from_secs(4),
        ..Behavior::default()
    };
    let fleet = Fleet::start("cancel", &slow);
    let cancelled = || {
        fleet
            .backends
            .values()
            .map(|b| b.count().cancelled)
            .sum::<u64>()
    };
    let request = "POST /v1/services/names/query HTTP/1.1\r\nhost: x\r\nx-caller: newsroom\r\n\
        x-allowance-ms: 4900\r\ncontent-length: 2\r\n\r\n{}";
    let mut stream = TcpStream::connect(fleet.callers[0]).expect("a connection");
    stream.write_all(request.as_bytes()).expect("a request");
    wait(|| fleet.backends.values().any(|b| b.count().in_flight > 0));
    drop(stream);
    wait(|| cancelled() > 0);
    std::fs::remove_dir_all(&fleet.traces).expect("remove");
}

/// A host is replaced after it filed a notice whose reply never reached the caller. A retry with
/// the same id at another host must report the notice as filed and not file it again.
#[test]
fn a_stopping_host_hands_over_its_stored_outcomes() {
    let mut fleet = Fleet::start("hand-over", &Behavior::default());
    wait(|| fleet.post(0, "names/query", "", "{}").0 == "done");
    let (_, issued) = fleet.post(0, "filing/ids", "", "");
    let key = issued["id"].as_str().expect("an id").to_owned();
    let notice = r#"{"notice":"Amina"}"#;
    assert_eq!(fleet.post(0, "filing/action", &key, notice).0, "done");
    let first = fleet.daemons.remove(0);
    fleet.runtime.block_on(first.stop());
    assert_eq!(fleet.post(1, "filing/action", &key, notice).0, "done");
    let ran = fleet
        .backends
        .values()
        .map(|b| b.count().actions.get(&key).copied().unwrap_or(0));
    assert_eq!(ran.sum::<u64>(), 1);
    fleet.stop();
}
