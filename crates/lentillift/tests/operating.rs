//! The commands for operators, run against processes on loopback.

use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
use lentillift_core::time::Clock;
use lentillift_http::listener::Options;
use lentillift_operator::board::Board;
use lentillift_operator::server;
use lentillift_operator::status::View;
use lentillift_settings::answers::Answers;
use lentillift_settings::daemon;
use lentillift_settings::generate;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Entry;
use lentillift_settings::roster::Roster;
use lentillift_standin::backend::Backend;
use lentillift_standin::backend::Behavior;
use lentillift_standin::platform::Platform;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

const NAFISA: &str = include_str!("../../../examples/nafisa.jsonc");
const SERVICE: &str = "archive";
const HOSTS: [(&str, &str); 2] = [("entry-1", "d1"), ("entry-2", "d2")];

/// Two processes, their platform and two backend servers, which run until it is dropped.
struct Fleet {
    platform: Platform,
    operators: Vec<String>,
    callers: Vec<String>,
    _daemons: Vec<Daemon>,
    _runtime: Runtime,
    _stop: watch::Sender<bool>,
}

fn start() -> Fleet {
    let answers = Answers::parse("nafisa", NAFISA).expect("right");
    let config = generate::generate(&answers).expect("fit").config;
    let runtime = Runtime::new().expect("runtime");
    let (stop, stopped) = watch::channel(false);
    let platform = Platform::default();
    let mut fleet = Fleet {
        platform: platform.clone(),
        operators: Vec::new(),
        callers: Vec::new(),
        _daemons: Vec::new(),
        _runtime: runtime,
        _stop: stop,
    };
    let listen = || async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        (listener, address)
    };
    let (hosts, servers) = fleet._runtime.block_on(async {
        let (listener, platform_address) = listen().await;
        tokio::spawn(platform.clone().serve(listener, stopped.clone()));
        let mut servers = BTreeMap::new();
        for (number, domain) in ["d1", "d2"].into_iter().enumerate() {
            let (listener, address) = listen().await;
            let backend = Backend::new(Behavior::default());
            tokio::spawn(backend.serve(listener, stopped.clone()));
            servers.insert(
                id::Backend::from(format!("a-{number}")),
                published(address, domain),
            );
        }
        let mut hosts = BTreeMap::new();
        for (number, (host, domain)) in HOSTS.into_iter().enumerate() {
            let settings = settings(host, domain, platform_address);
            let sockets = Sockets::open(&settings).await.expect("ports");
            let address = |listener: &TcpListener| listener.local_addr().expect("address");
            fleet.callers.push(address(&sockets.caller).to_string());
            fleet.operators.push(address(&sockets.operator).to_string());
            hosts.insert(host.into(), entry(address(&sockets.node), domain));
            fleet
                ._daemons
                .push(Daemon::start(&settings, sockets, number as u64 + 1));
        }
        (hosts, servers)
    });
    platform.publish(&format!("service/{SERVICE}"), &placement(servers));
    platform.publish(
        "hosts",
        &Roster {
            revision: 1,
            regions: BTreeMap::new(),
            hosts,
        },
    );
    platform.publish("config", &config);
    fleet
}

fn published(address: SocketAddr, domain: &str) -> Server {
    Server {
        address,
        domain: domain.into(),
        state: State::Live,
    }
}

fn entry(address: SocketAddr, domain: &str) -> Entry {
    Entry {
        address,
        domain: domain.into(),
        state: State::Live,
    }
}

fn settings(host: &str, domain: &str, platform: SocketAddr) -> daemon::Settings {
    let any = "127.0.0.1:0";
    let flags = json!({
        "host": host,
        "domain": domain,
        "caller_address": any,
        "node_address": any,
        "operator_address": any,
        "platform_address": platform,
    });
    let flags = flags.as_object().expect("flags");
    daemon::resolve(None, flags).expect("right").settings
}

fn placement(servers: BTreeMap<id::Backend, Server>) -> Placement {
    let part = |shard| Part {
        shard,
        weight: 100,
        replicas: servers.keys().cloned().collect(),
    };
    let map = Map {
        snapshot: 1,
        parts: (0..4).map(part).collect(),
    };
    Placement {
        revision: 1,
        servers,
        maps: vec![map],
    }
}

impl Fleet {
    /// Runs the tool with the addresses of the operators' ports as its last arguments.
    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentillift"));
        command.args(arguments).args(&self.operators);
        command.output().expect("the tool starts")
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(arguments);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    fn query(&self, caller: &str, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentillift"));
        command.args(["query", "--caller", caller]).args(arguments);
        command.args([&self.callers[0], SERVICE, r#"{"q":"Amina"}"#]);
        command.output().expect("the tool starts")
    }

    /// Waits until `revision` is in force on all processes.
    fn wait(&self, revision: u64) {
        let number = revision.to_string();
        let output = self.run(&["status", "--wait-revision", &number]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
    }

    /// Waits until all processes are ready, which takes the duration of a lease from their start.
    fn wait_ready(&self) {
        let ready = || {
            let status = self.json(&["status", "--json"]);
            let nodes = status["fleet"]["nodes"].as_array().expect("nodes").clone();
            nodes.iter().all(|node| node["ready"] == true)
        };
        let since = Instant::now();
        while !ready() {
            assert!(since.elapsed() < Duration::from_secs(60), "not ready");
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

#[test]
fn status_shows_when_a_revision_comes_into_force() {
    let fleet = start();
    fleet.wait(1);
    let late = fleet.run(&["status", "--wait-revision", "2", "--timeout", "0"]);
    assert_eq!(late.status.code(), Some(1));
    assert!(text(&late.stderr).contains("Revision 2 is not in force on entry-1, entry-2."));

    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("comes_into_force");
    std::fs::create_dir_all(&directory).expect("directory");
    let path = |name| directory.join(name).to_str().expect("UTF-8").to_owned();
    let (answers, config) = (path("answers.jsonc"), path("config.json"));
    std::fs::write(&answers, NAFISA).expect("answers");
    let mut out = Command::new(env!("CARGO_BIN_EXE_lentillift"));
    out.args(["domain", "out", "d2", &answers, "--output", &config]);
    assert!(out.output().expect("the tool starts").status.success());
    let config = std::fs::read(&config).expect("configuration");
    fleet.platform.publish_bytes("config", config);
    fleet.wait(2);
    let status = fleet.json(&["status", "--json"]);
    let status = &status["fleet"];
    assert_eq!(status["domains"]["d2"], false);
    assert_eq!(status["revisions"]["2"], json!(["entry-1", "entry-2"]));
    let output = text(&fleet.run(&["status"]).stdout);
    assert!(
        output.contains("Failure domains: d1 in, d2 OUT, d3 in, d4 in."),
        "{output}"
    );
}

#[test]
fn queries_and_refusals_are_counted_for_their_service() {
    let fleet = start();
    fleet.wait(1);
    fleet.wait_ready();
    let answered = fleet.query("clerks", &["--allowance-ms", "5000"]);
    assert_eq!(answered.status.code(), Some(0), "{answered:?}");
    let printed = text(&answered.stdout);
    assert!(
        printed.starts_with("Snapshot 1: 4 of 4 shards, 100.000% of the data"),
        "{printed}"
    );
    let refused = fleet.query("nobody", &[]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(text(&refused.stderr).contains("unknown-caller"));

    let status = fleet.json(&["status", "--json"]);
    let day = &status["fleet"]["services"][SERVICE]["days"][0];
    assert_eq!(
        (&day["answers"], &day["full"]),
        (&json!(1), &json!(1)),
        "{status}"
    );
    assert_eq!(day["refusals"], 1);
}

#[test]
fn timeline_shows_all_processes_as_text_json_and_page() {
    let fleet = start();
    fleet.wait(1);
    let events = fleet.json(&["timeline", "--json"]);
    let hosts = ["entry-1", "entry-2"];
    let events = events.as_array().expect("events");
    for host in hosts {
        assert!(
            events.iter().any(|event| event["host"] == host),
            "{events:?}"
        );
    }
    let found = text(&fleet.run(&["timeline", "--find", "entry-2"]).stdout);
    assert!(found.lines().all(|line| line.contains("entry-2")));
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("timeline.html");
    let file = file.to_str().expect("UTF-8");
    assert_eq!(
        fleet.run(&["timeline", "--html", file]).status.code(),
        Some(0)
    );
    let page = std::fs::read_to_string(file).expect("page");
    assert!(page.contains("const events = [{"));
    assert!(!page.contains("http://") && !page.contains("https://"));
}

/// One of several processes can't be reached. The others must be shown all the same, and the exit
/// code must tell scripts that the output is incomplete.
#[test]
fn an_unreachable_process_is_reported() {
    let mut fleet = start();
    fleet.wait(1);
    fleet.operators.push("127.0.0.1:1".to_owned());
    let output = fleet.run(&["status"]);
    assert_eq!(output.status.code(), Some(3));
    let printed = text(&output.stdout);
    assert!(
        printed.contains("entry-1") && printed.contains("127.0.0.1:1: not reached"),
        "{printed}"
    );
    fleet.operators.drain(..2);
    let output = fleet.run(&["timeline", "--json"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stdout).contains("\"error\""));
}

/// With a line for each of many processes, an operator would miss the one that differs.
#[test]
fn many_processes_are_summed_up_by_failure_domain() {
    let runtime = Runtime::new().expect("runtime");
    let (_stop, stopped) = watch::channel(false);
    let mut addresses = Vec::new();
    for number in 0..30 {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("port");
        addresses.push(listener.local_addr().expect("address").to_string());
        let board = Board::new(format!("entry-{number:02}").into(), 1, Clock::start());
        board.set_ready(number != 17);
        let view = View {
            domain: format!("d{}", number % 3).into(),
            config: 4,
            ..View::default()
        };
        board.set_section("view", &view);
        let options = Options::default();
        runtime.spawn(server::serve(listener, options, stopped.clone(), board));
    }
    let run = |option| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentillift"));
        command.arg("status").arg(option).args(&addresses);
        text(&command.output().expect("the tool starts").stdout)
    };
    let printed = run("--days=1");
    let cells = |line: &str| {
        line.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let rows: Vec<Vec<String>> = printed.lines().map(cells).collect();
    assert!(rows.contains(&cells("d2 10 9 4 0 0 0 0 0")), "{printed}");
    assert!(
        printed.contains("entry-17") && !printed.contains("entry-18"),
        "{printed}"
    );
    assert!(run("--nodes").contains("entry-18"));
}
