//! Statuses, headers and bodies of the operators' interface, over HTTP.

use lentillift_core::time::Clock;
use lentillift_http::listener::Options;
use lentillift_operator::board::Board;
use lentillift_operator::event::Note;
use lentillift_operator::event::Page;
use lentillift_operator::server;
use lentillift_operator::status::Status;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// A board with its listener on loopback.
struct Served {
    board: Board,
    address: SocketAddr,
    _runtime: Runtime,
    _stop: watch::Sender<bool>,
}

fn serve() -> Served {
    let runtime = Runtime::new().expect("runtime");
    let listener = runtime
        .block_on(TcpListener::bind("127.0.0.1:0"))
        .expect("port");
    let address = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(false);
    let board = Board::new("entry-1".into(), 7, Clock::start());
    runtime.spawn(server::serve(
        listener,
        Options::default(),
        stopped,
        board.clone(),
    ));
    Served {
        board,
        address,
        _runtime: runtime,
        _stop: stop,
    }
}

impl Served {
    fn get(&self, path: &str) -> (u16, String, String) {
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        let agent: ureq::Agent = config.proxy(None).build().into();
        let got = agent.get(format!("http://{}{path}", self.address)).call();
        let mut response = got.expect("response");
        let kind = response.headers().get("content-type");
        let kind = kind.map(|kind| kind.to_str().expect("ASCII").to_owned());
        let body = response.body_mut().read_to_string().expect("body");
        (response.status().as_u16(), kind.unwrap_or_default(), body)
    }
}

macro_rules! answers {
    ($($name:ident: $path:literal => $status:literal, $body:literal;)+) => {$(
        #[test]
        fn $name() {
            let (status, _, body) = serve().get($path);
            assert_eq!((status, body.as_str()), ($status, $body));
        }
    )+};
}

answers! {
    health: "/healthz" => 200, "ok\n";
    not_ready: "/readyz" => 503, "not ready\n";
    unknown_path: "/stats" => 404, "right is one of /healthz /readyz /metrics /status /timeline\n";
    malformed_since: "/timeline?since=x" => 400, "since: right is the number of an event\n";
}

#[test]
fn readiness_follows_set_ready_with_one_event() {
    let served = serve();
    served.board.set_ready(true);
    served.board.set_ready(true);
    assert_eq!(served.get("/readyz").0, 200);
    assert!(served.get("/metrics").2.contains("lentillift_ready 1\n"));
    let events = served.board.timeline(0).events;
    let kinds: Vec<&str> = events
        .iter()
        .map(|event| event.note.kind.as_str())
        .collect();
    assert_eq!(kinds, ["ready"]);
}

#[test]
fn metrics_have_the_prometheus_content_type() {
    let served = serve();
    served.board.add("lentillift_shards_total", &[], 2);
    let (status, kind, body) = served.get("/metrics");
    assert_eq!(status, 200);
    assert_eq!(kind, "text/plain; version=0.0.4; charset=utf-8");
    assert!(body.contains("lentillift_shards_total 2\n"));
}

#[test]
fn status_has_a_section_for_each_task() {
    let served = serve();
    let service = "archive".into();
    served
        .board
        .set_section("owner", &serde_json::json!({ "a-1": { "queue": 3 } }));
    served
        .board
        .set_section("entry", &serde_json::json!({ "waiting": 1 }));
    served
        .board
        .record_answer(&service, Duration::from_millis(20), 0.5);
    let (_, kind, body) = served.get("/status");
    assert_eq!(kind, "application/json");
    let status: Status = serde_json::from_str(&body).expect("status");
    assert_eq!(
        (&*status.host, status.incarnation, status.ready),
        ("entry-1", 7, false)
    );
    assert_eq!(status.sections["owner"]["a-1"]["queue"], 3);
    assert_eq!(status.sections["entry"]["waiting"], 1);
    assert!(status.ages_ms.contains_key("owner"));
    let day = &status.trend["archive"].days[0];
    assert_eq!((day.answers, day.full, day.coverage), (1, 0, 0.5));
}

#[test]
fn timeline_resumes_from_a_number() {
    let served = serve();
    served.board.event("peer", "entry-2", "link ended");
    let note = Note::new("in force", "config", "revision 4")
        .service(&"archive".into())
        .backend(&"a-1".into())
        .request(9)
        .token("config 4", Some(&"entry-2".into()));
    served.board.note(note.clone());
    let page = |path| serde_json::from_str::<Page>(&served.get(path).2).expect("page");
    let all = page("/timeline");
    assert_eq!(
        (&*all.host, all.incarnation, all.events.len()),
        ("entry-1", 7, 2)
    );
    assert!(all.events[0].at_us <= all.events[1].at_us);
    assert!(all.events[1].wall_ms > 0);
    let rest = page("/timeline?since=2");
    assert_eq!((rest.events.len(), &rest.events[0].note), (1, &note));
}
