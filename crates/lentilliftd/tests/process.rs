//! Real processes that are restarted, killed and paused under load.

use lentillift_core::id;
use lentillift_standin::backend::Backend;
use lentillift_standin::backend::Behavior;
use lentillift_standin::platform::Platform;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Processes, one in each failure domain.
const HOSTS: usize = 3;

/// Shards of the service, each with two replicas.
const SHARDS: usize = 6;

/// Longest wait for a condition; a safeguard against hanging, not a bound under test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

struct Process {
    child: Child,
    caller: SocketAddr,
    node: SocketAddr,
    operator: SocketAddr,
}

impl Process {
    /// Starts a process that listens for its peers at `node`: port 0 before the host list is
    /// published, the address in that list from then on.
    fn start(number: usize, node: SocketAddr, platform: SocketAddr) -> Self {
        let domain = ["a", "b", "c"][number];
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentilliftd"))
            .args(["--host", &format!("host-{number}"), "--domain", domain])
            .args(["--caller-address", "127.0.0.1:0"])
            .args(["--node-address", &node.to_string()])
            .args(["--operator-address", "127.0.0.1:0"])
            .args(["--platform-address", &platform.to_string()])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let ports: Value = serde_json::from_str(&line).expect("JSON");
        let address = |name: &str| ports[name].as_str().expect("an address").parse();
        Self {
            child,
            caller: address("caller").expect("an address"),
            node: address("node").expect("an address"),
            operator: address("operator").expect("an address"),
        }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a process");
    }

    fn is_ready(&self) -> bool {
        is_ready(self.operator)
    }
}

fn is_ready(operator: SocketAddr) -> bool {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(300)))
        .build()
        .into();
    agent
        .get(format!("http://{operator}/readyz"))
        .call()
        .is_ok()
}

/// Sends queries as callers behind a load balancer with readiness checks, and counts the answers.
#[derive(Default)]
struct Client {
    stop: AtomicBool,
    /// Operator and caller addresses of the processes behind the load balancer.
    targets: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    /// Answers with full coverage.
    full: AtomicU64,
    /// Answers that lack at least one shard.
    partial: AtomicU64,
    /// Requests without an answer, or with a status other than 200.
    failed: Mutex<Vec<String>>,
}

impl Client {
    fn spawn_query_loop(self: &Arc<Self>) -> JoinHandle<()> {
        let client = self.clone();
        std::thread::spawn(move || {
            while !client.stop.load(Ordering::Relaxed) {
                let targets = client.targets.lock().expect("targets").clone();
                for (operator, caller) in targets {
                    if is_ready(operator) {
                        client.query(caller);
                    }
                }
            }
        })
    }

    fn query(&self, caller: SocketAddr) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let request = agent
            .post(format!("http://{caller}/v1/services/names/query"))
            .header("x-caller", "newsroom")
            .header("x-allowance-ms", "1000");
        let answer = request.send("{}").and_then(|mut response| {
            let status = response.status();
            Ok((status, response.body_mut().read_to_string()?))
        });
        match answer {
            Ok((status, body)) if status == 200 => {
                let body: Value = serde_json::from_str(&body).expect("JSON");
                let full = body["coverage"]["answered"] == SHARDS;
                let counter = if full { &self.full } else { &self.partial };
                counter.fetch_add(1, Ordering::Relaxed);
            }
            other => self
                .failed
                .lock()
                .expect("failed")
                .push(format!("{other:?}")),
        }
    }
}

struct Fleet {
    platform: SocketAddr,
    processes: Vec<Process>,
    backends: BTreeMap<id::Backend, Backend>,
    client: Arc<Client>,
    _runtime: Runtime,
    _stop: watch::Sender<bool>,
}

impl Fleet {
    fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let (stop, stopped) = watch::channel(false);
        let listen = || {
            let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
            let listener = listener.expect("a port");
            let address = listener.local_addr().expect("an address");
            (listener, address)
        };
        let service = Platform::default();
        let (listener, platform) = listen();
        runtime.spawn(service.clone().serve(listener, stopped.clone()));
        let mut servers = BTreeMap::new();
        let mut backends = BTreeMap::new();
        for number in 0..SHARDS * 2 {
            let backend = Backend::new(Behavior::default());
            let (listener, address) = listen();
            runtime.spawn(backend.clone().serve(listener, stopped.clone()));
            let name: id::Backend = format!("names-{number}").into();
            let domain = ["a", "b", "c"][number % HOSTS];
            let server = json!({ "address": address, "domain": domain, "state": "live" });
            servers.insert(name.clone(), server);
            backends.insert(name, backend);
        }
        let part = |shard: usize| {
            let replicas = [0, 1].map(|replica| format!("names-{}", shard * 2 + replica));
            json!({ "shard": shard, "weight": 10, "replicas": replicas })
        };
        let parts: Vec<Value> = (0..SHARDS).map(part).collect();
        let maps = json!([{ "snapshot": 7, "parts": parts }]);
        let placement = json!({ "revision": 1, "servers": servers, "maps": maps });
        service.publish("service/names", &placement);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let start = |number| Process::start(number, any, platform);
        let processes: Vec<Process> = (0..HOSTS).map(start).collect();
        let host = |(number, process): (usize, &Process)| {
            let domain = ["a", "b", "c"][number];
            let entry = json!({ "address": process.node, "domain": domain, "state": "live" });
            (format!("host-{number}"), entry)
        };
        let hosts: BTreeMap<_, _> = processes.iter().enumerate().map(host).collect();
        service.publish("hosts", &json!({ "revision": 1, "hosts": hosts }));
        service.publish("config", &config());
        let fleet = Self {
            platform,
            processes,
            backends,
            client: Arc::default(),
            _runtime: runtime,
            _stop: stop,
        };
        wait(|| fleet.processes.iter().all(Process::is_ready));
        fleet.update_targets();
        fleet
    }

    /// Updates the load balancer's list of processes.
    fn update_targets(&self) {
        let targets = self.processes.iter().map(|p| (p.operator, p.caller));
        *self.client.targets.lock().expect("targets") = targets.collect();
    }

    /// Stops a process with two SIGTERMs, as an impatient operator does, and starts it again.
    fn restart(&mut self, number: usize) {
        let process = &mut self.processes[number];
        process.signal(Signal::SIGTERM);
        process.signal(Signal::SIGTERM);
        let status = process.child.wait().expect("its end");
        assert_eq!(status.code(), Some(0));
        self.processes[number] = Process::start(number, process.node, self.platform);
        wait(|| self.processes[number].is_ready());
        self.update_targets();
    }

    /// Waits until callers have received `count` more full answers.
    fn wait_for_full_answers(&self, count: u64) {
        let goal = self.client.full.load(Ordering::Relaxed) + count;
        wait(|| self.client.full.load(Ordering::Relaxed) >= goal);
    }

    /// Asserts that no backend server has ever had more requests in flight than its limit.
    fn assert_within_limits(&self) {
        for (name, backend) in &self.backends {
            assert_eq!(
                backend.count().overloads,
                0,
                "{name}: {:?}",
                backend.count()
            );
        }
    }

    /// Restarts one process after another under load and asserts that no request fails.
    fn rolling_restarts(mut self, restarts: usize) {
        let callers: Vec<_> = (0..4).map(|_| self.client.spawn_query_loop()).collect();
        self.wait_for_full_answers(100);
        for number in 0..restarts {
            self.restart(number % HOSTS);
            self.wait_for_full_answers(20);
        }
        self.client.stop.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().expect("a caller");
        }
        let full = self.client.full.load(Ordering::Relaxed);
        let partial = self.client.partial.load(Ordering::Relaxed);
        println!("{restarts} restarts: {full} full answers, {partial} partial");
        let failed = self.client.failed.lock().expect("failed").clone();
        assert!(
            failed.is_empty(),
            "{} failed: {:?}",
            failed.len(),
            failed.first()
        );
        self.assert_within_limits();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Errors are ignored: the process may have exited already, and a failed test reports
            // its own message.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

fn config() -> Value {
    let names = json!({ "kind": "search", "class": "c", "slots": 2, "connections": 25,
        "cold_slots": 1, "connect_ms": 6 });
    json!({
        "revision": 1, "domains": ["a", "b", "c"],
        "classes": { "c": { "rank": 0, "queue_ms": 1000 } },
        "callers": { "newsroom": { "weight": 1 } }, "services": { "names": names },
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
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A rolling update restarts one host after another under load. A caller whose request is
/// interrupted would see a broken connection and might file a notice twice.
#[test]
fn rolling_restarts_cut_no_request() {
    Fleet::start().rolling_restarts(3);
}

#[test]
#[ignore = "takes minutes: cargo test --release -p lentilliftd --test process -- --ignored"]
fn twenty_rolling_restarts_cut_no_request() {
    Fleet::start().rolling_restarts(20);
}

/// A host loses power while it owns backend servers. Callers may get partial answers until the next
/// guardian takes over; no backend server may receive requests from both owners at once.
#[test]
fn a_killed_owner_is_replaced_within_limits() {
    let mut fleet = Fleet::start();
    let callers: Vec<_> = (0..2).map(|_| fleet.client.spawn_query_loop()).collect();
    fleet.wait_for_full_answers(50);
    let since = Instant::now();
    fleet.processes[0].child.kill().expect("a process");
    fleet.processes[0].child.wait().expect("its end");
    fleet.client.targets.lock().expect("targets").remove(0);
    fleet.wait_for_full_answers(200);
    println!("200 full answers {:?} after the kill", since.elapsed());
    fleet.client.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller");
    }
    println!("partial: {}", fleet.client.partial.load(Ordering::Relaxed));
    fleet.assert_within_limits();
}

/// A host is paused for longer than its leases, as when a virtual machine is migrated, and resumes
/// as if it still owned backend servers that others own by then. Requests that it sent would exceed
/// the limits of these servers.
#[test]
fn a_paused_owner_sends_nothing_on_its_old_leases() {
    let fleet = Fleet::start();
    let callers: Vec<_> = (0..2).map(|_| fleet.client.spawn_query_loop()).collect();
    fleet.wait_for_full_answers(50);
    fleet.processes[0].signal(Signal::SIGSTOP);
    let paused = Instant::now();
    wait(|| paused.elapsed() > Duration::from_secs(5));
    fleet.processes[0].signal(Signal::SIGCONT);
    fleet.wait_for_full_answers(200);
    fleet.client.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller");
    }
    fleet.assert_within_limits();
}
