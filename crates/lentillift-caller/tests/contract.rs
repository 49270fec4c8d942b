//! The HTTP interface to callers over real sockets: which requests are accepted, and the status,
//! headers and body of the responses.

use lentillift_caller::call::Call;

use lentillift_caller::server;
use lentillift_core::coverage::Coverage;
use lentillift_core::coverage::Missing;
use lentillift_core::coverage::Reason;
use lentillift_core::hit::Hit;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::Answer;
use lentillift_http::listener::Options;
use lentillift_once::submit::ActionResponse;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// A response, split into status, lowercased head and body.
struct Reply {
    status: u16,
    head: String,
    body: String,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

/// A listener whose calls the test answers itself.
struct Fixture {
    address: SocketAddr,
    calls: mpsc::Receiver<Call>,
    _stop: watch::Sender<bool>,
}

impl Fixture {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let (sender, calls) = mpsc::channel(8);
        let options = Options::default();
        tokio::spawn(server::serve(listener, options, stopped, sender, 1));
        Self {
            address,
            calls,
            _stop: stop,
        }
    }

    async fn open(&self, method: &str, path: &str, headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }
}

async fn read(mut stream: TcpStream) -> Reply {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    Reply {
        status: head[9..12].parse().unwrap(),
        head: head.to_lowercase(),
        body: body.to_owned(),
    }
}

const QUERY: &str = "/v1/services/notices/query";
const ACTION: &str = "/v1/services/notices/action";
const VALID_HEADERS: &str = "x-caller: mobile\r\nx-allowance-ms: 100\r\n";

/// Defines cases: a request that must be refused before it is passed on, the status, and a part of
/// the body that states what is wrong.
macro_rules! refused {
    ($($name:ident: $method:expr, $path:expr, $headers:expr, $body:expr => $status:expr, $text:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let mut fixture = Fixture::start().await;
                let stream = fixture.open($method, $path, $headers, $body).await;
                let reply = read(stream).await;
                assert_eq!(reply.status, $status, "{}", reply.body);
                assert!(reply.body.contains($text), "found {}", reply.body);
                assert!(fixture.calls.try_recv().is_err(), "the call was passed on");
            }
        )+
    };
}

refused! {
    an_unknown_route: "POST", "/v1/nothing", VALID_HEADERS, "{}" => 404, "no such route";
    an_unknown_verb: "POST", "/v1/services/notices/dance", VALID_HEADERS, "{}" => 404, "no such route";
    a_query_by_get: "GET", QUERY, VALID_HEADERS, "" => 405, "POST";
    a_body_that_is_not_json: "POST", QUERY, VALID_HEADERS, "{\"q\":" => 400, "EOF";
    a_body_that_is_a_list: "POST", QUERY, VALID_HEADERS, "[1]" => 400, "malformed";
    a_limit_that_is_negative: "POST", QUERY, VALID_HEADERS, "{\"limit\":-1}" => 400, "-1";
    a_limit_above_the_maximum: "POST", QUERY, VALID_HEADERS, "{\"limit\":100000}" => 400, "at most 1000";
    no_caller: "POST", QUERY, "x-allowance-ms: 100\r\n", "{}" => 400, "x-caller: missing";
    an_empty_caller: "POST", QUERY, "x-caller: \r\nx-allowance-ms: 100\r\n", "{}" => 400, "x-caller: missing";
    no_allowance: "POST", QUERY, "x-caller: mobile\r\n", "{}" => 400, "x-allowance-ms: missing";
    an_allowance_that_is_no_number: "POST", QUERY, "x-caller: mobile\r\nx-allowance-ms: soon\r\n", "{}" => 400, "x-allowance-ms";
    an_allowance_that_is_negative: "POST", QUERY, "x-caller: mobile\r\nx-allowance-ms: -5\r\n", "{}" => 400, "x-allowance-ms";
    a_least_coverage_above_one: "POST", QUERY, "x-caller: mobile\r\nx-allowance-ms: 100\r\nx-least-coverage: 1.5\r\n", "{}" => 400, "from 0 to 1";
    a_least_coverage_that_is_no_number: "POST", QUERY, "x-caller: mobile\r\nx-allowance-ms: 100\r\nx-least-coverage: NaN\r\n", "{}" => 400, "x-least-coverage";
    two_values_of_one_header: "POST", QUERY, "x-caller: mobile\r\nx-caller: press\r\nx-allowance-ms: 100\r\n", "{}" => 400, "x-caller: found 2 values";
    an_action_without_id: "POST", ACTION, VALID_HEADERS, "{}" => 400, "idempotency-key: missing";
    an_action_that_is_not_json: "POST", ACTION, "x-caller: mobile\r\nx-allowance-ms: 100\r\nidempotency-key: a.1.1\r\n", "notice" => 400, "malformed";
    an_id_without_caller: "POST", "/v1/services/notices/ids", "", "" => 400, "x-caller: missing";
}

/// A refusal states that nothing ran and when to retry. `retry-after` is rounded up to seconds.
#[tokio::test]
async fn a_refusal_states_when_to_retry() {
    let mut fixture = Fixture::start().await;
    let stream = fixture.open("POST", QUERY, VALID_HEADERS, "{}").await;
    let Some(Call::Query { reply, .. }) = fixture.calls.recv().await else {
        panic!("not a query");
    };
    let refusal = Refusal::new(Cause::Overload, "full").retry_after(Duration::from_millis(1500));
    reply.send(Err(refusal)).unwrap();
    let reply = read(stream).await;
    assert_eq!(reply.status, 429);
    assert!(reply.head.contains("retry-after: 2"), "{}", reply.head);
    assert!(reply.head.contains("x-outcome: not-run"), "{}", reply.head);
    assert_eq!(reply.json()["retry_after_ms"], 1500);
}

fn answer(missing: Vec<Missing>) -> Answer {
    let missing_weight: u64 = missing.iter().map(|missing| missing.weight).sum();
    Answer {
        snapshot: 7,
        coverage: Coverage {
            shards: 2,
            answered: 2 - missing.len() as u32,
            weight: 40,
            covered: 40 - missing_weight,
            missing,
        },
        hits: Vec::new(),
    }
}

async fn reply_to_query(answer: Answer) -> Reply {
    let mut fixture = Fixture::start().await;
    let stream = fixture.open("POST", QUERY, VALID_HEADERS, "{}").await;
    let Some(Call::Query { reply, .. }) = fixture.calls.recv().await else {
        panic!("not a query");
    };
    reply.send(Ok(answer)).unwrap();
    read(stream).await
}

/// An empty answer with a missing shard must be distinguishable from one that covers all shards: a
/// reader who took it for "no such notice" would never learn of a death.
#[tokio::test]
async fn an_empty_answer_reports_missing_shards() {
    let complete = reply_to_query(answer(Vec::new())).await;
    let missing = Missing {
        shard: 1,
        weight: 10,
        reason: Reason::Deadline,
    };
    let partial = reply_to_query(answer(vec![missing])).await;
    assert!(
        complete.head.contains("x-coverage: 1.000000"),
        "{}",
        complete.head
    );
    assert!(
        partial.head.contains("x-coverage: 0.750000"),
        "{}",
        partial.head
    );
    assert_eq!(
        partial.json()["coverage"]["missing"][0]["reason"],
        "deadline"
    );
    assert_eq!(partial.json()["coverage"]["answered"], 1);
}

/// The payload of a hit is opaque and is passed on byte for byte.
#[tokio::test]
async fn a_payload_passes_unchanged() {
    let json = r#"{"id":"a","score":1.50,"name":"ആമിന","big":12345678901234567890123}"#;
    let hit = Hit {
        id: "a".to_owned(),
        score: 1.5,
        json: json.to_owned(),
    };
    let reply = reply_to_query(Answer {
        hits: vec![hit],
        ..answer(Vec::new())
    })
    .await;
    assert!(reply.body.contains(json), "{}", reply.body);
}

/// A caller disconnects before its answer. `Call::Gone` is sent, so that the work can be cancelled.
#[tokio::test]
async fn a_disconnect_before_the_answer_is_reported() {
    let mut fixture = Fixture::start().await;
    let stream = fixture.open("POST", QUERY, VALID_HEADERS, "{}").await;
    let Some(Call::Query { request, reply, .. }) = fixture.calls.recv().await else {
        panic!("not a query");
    };
    drop(stream);
    let Some(Call::Gone { request: gone }) = fixture.calls.recv().await else {
        panic!("the disconnect was not reported");
    };
    assert_eq!(gone, request);
    drop(reply);
}

/// The process ends while an action is in flight. Whether it ran is not known, so its outcome must
/// be `unknown`.
#[tokio::test]
async fn an_action_whose_task_ends_is_unknown() {
    let mut fixture = Fixture::start().await;
    let headers = "x-caller: mobile\r\nx-allowance-ms: 100\r\nidempotency-key: a.1.1\r\n";
    let stream = fixture.open("POST", ACTION, headers, "{}").await;
    let call = fixture.calls.recv().await;
    assert!(matches!(call, Some(Call::Action { .. })));
    drop(call);
    let reply = read(stream).await;
    assert!(reply.head.contains("x-outcome: unknown"), "{}", reply.head);
}

/// The outcome of an action shows in the status and in a header, so that a caller need not parse
/// the backend server's reply to know whether it ran.
#[tokio::test]
async fn each_outcome_has_its_own_status() {
    for (outcome, status) in [
        (Outcome::Done, 200),
        (Outcome::NotRun, 503),
        (Outcome::Unknown, 504),
    ] {
        let mut fixture = Fixture::start().await;
        let headers = "x-caller: mobile\r\nx-allowance-ms: 100\r\nidempotency-key: a.1.1\r\n";
        let stream = fixture.open("POST", ACTION, headers, "{}").await;
        let Some(Call::Action { reply, .. }) = fixture.calls.recv().await else {
            panic!("not an action");
        };
        let body = b"{}".to_vec();
        let settled = ActionResponse {
            outcome,
            cause: None,
            retry_after: None,
            body,
        };
        reply.send(settled).unwrap();
        assert_eq!(read(stream).await.status, status);
    }
}
