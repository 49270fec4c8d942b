//! Compares the result that the client reports with the requests that reached a backend server.
//!
//! The server uses raw TCP, so that it can close a connection at any point, and records the
//! requests that it has read completely: only those can have run.

use lentillift_backend::client::Client;
use lentillift_backend::client::Options;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// What the server does with one request.
#[derive(Debug, Clone, Copy)]
enum ServerAct {
    /// Closes the connection before it reads anything.
    CloseBeforeRead,
    /// Closes the connection after a part of the head.
    CloseInHead,
    /// Closes the connection after the complete request.
    CloseAfterRead,
    /// Closes the connection after a part of the reply.
    CloseInReply,
    /// Never answers.
    Hang,
    /// Answers with this head and body.
    Answer(&'static str, &'static str),
}

/// The connections and requests that a server has received.
#[derive(Debug, Default)]
struct Received {
    connections: usize,
    /// Heads of the requests that were read completely.
    requests: Vec<String>,
}

/// Starts a server that applies `acts` to the requests in order, over any number of connections.
fn server(acts: Vec<ServerAct>) -> (SocketAddr, Arc<Mutex<Received>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(Mutex::new(Received::default()));
    let shared = received.clone();
    std::thread::spawn(move || {
        let mut acts = acts.into_iter();
        while let Ok((stream, _)) = listener.accept() {
            shared.lock().expect("lock").connections += 1;
            serve(stream, &mut acts, &shared);
        }
    });
    (address, received)
}

fn serve(
    mut stream: TcpStream,
    acts: &mut impl Iterator<Item = ServerAct>,
    received: &Mutex<Received>,
) {
    for act in acts {
        match act {
            ServerAct::CloseBeforeRead => return,
            ServerAct::CloseInHead => {
                let _ = stream.read(&mut [0; 10]);
                return;
            }
            _ => {}
        }
        let Some(request) = read(&mut stream) else {
            return;
        };
        received.lock().expect("lock").requests.push(request);
        match act {
            ServerAct::Answer(head, body) => {
                let length = body.len();
                let reply = format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}");
                let _ = stream.write_all(reply.as_bytes());
            }
            ServerAct::CloseInReply => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"a\"");
                return;
            }
            ServerAct::Hang => {
                let _ = stream.read(&mut [0; 1]);
                return;
            }
            _ => return,
        }
    }
}

/// Reads one request and returns its head; none if the request is incomplete.
fn read(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        (stream.read(&mut byte).ok()? == 1).then_some(())?;
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).ok()?.to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next());
    let length = length.unwrap_or("0");
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

fn action() -> Sub {
    Sub {
        id: 1,
        service: "file".into(),
        backend: "b".into(),
        caller: "x".into(),
        work: Work::Action { key: "k".into() },
        allowance: Duration::from_secs(5),
        body: (*b"{}").into(),
        hedge: false,
    }
}

fn search() -> Sub {
    Sub {
        work: Work::Search {
            snapshot: 7,
            shard: 3,
        },
        ..action()
    }
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, "host-0.1f", &Options::default())
}

fn failed(failure: Failure, outcome: Outcome) -> sub::Result {
    sub::Result::Failed { failure, outcome }
}

/// Sends one sub-request to a server that applies `act` to it. Returns the result and the number of
/// requests that the server read completely.
fn send_to_server(sub: &Sub, act: ServerAct, remaining: Duration) -> (sub::Result, usize) {
    let (address, received) = server(vec![act, ServerAct::Answer("200 OK", "again")]);
    let (result, _) = client(address).send(1, sub, remaining);
    let requests = received.lock().expect("lock").requests.len();
    (result, requests)
}

macro_rules! case {
    ($name:ident, $about:literal, $sub:expr, $act:expr, $result:expr, $requests:expr) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let (result, requests) = send_to_server(&$sub, $act, Duration::from_secs(5));
            assert_eq!(result, $result);
            assert_eq!(requests, $requests);
        }
    };
}

use Failure::Connection;
use Outcome::NotRun;
use Outcome::Unknown;

case!(
    closed_before_the_read,
    "The server's host reboots as the request arrives; the request must not be reported as not run.",
    action(),
    ServerAct::CloseBeforeRead,
    failed(Connection, Unknown),
    0
);
case!(
    closed_in_the_head,
    "The connection is cut while the request is being written.",
    action(),
    ServerAct::CloseInHead,
    failed(Connection, Unknown),
    0
);
case!(
    closed_after_the_read,
    "The server terminates after it read the request; sending it again would file the notice twice.",
    action(),
    ServerAct::CloseAfterRead,
    failed(Connection, Unknown),
    1
);
case!(
    closed_in_the_reply,
    "The server terminates while it replies; the notice is filed, but the caller can't be told.",
    action(),
    ServerAct::CloseInReply,
    failed(Connection, Unknown),
    1
);
case!(
    shed,
    "A full server states that it did not run the request; it may be sent to another server.",
    action(),
    ServerAct::Answer("503 Busy\r\nx-outcome: not-run", ""),
    failed(Failure::Shed, NotRun),
    1
);
case!(
    shed_while_cold,
    "A server in a cold start sheds a request; its owner must send less, not only use another server.",
    action(),
    ServerAct::Answer("503 Cold\r\nx-outcome: not-run\r\nx-state: cold", ""),
    failed(Failure::Cold, NotRun),
    1
);
case!(
    unavailable_without_an_outcome,
    "A server fails without stating whether it ran the request; it may have.",
    action(),
    ServerAct::Answer("503 Busy", ""),
    failed(Failure::Shed, Unknown),
    1
);
case!(
    gone_is_malformed_for_an_action,
    "A server answers an action with the status of a dropped snapshot; it may have run it.",
    action(),
    ServerAct::Answer("410 Gone", ""),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    snapshot_gone,
    "A server has dropped the snapshot of a query in flight.",
    search(),
    ServerAct::Answer("410 Gone", ""),
    failed(Failure::SnapshotGone, NotRun),
    1
);
case!(
    reply_for_another_shard,
    "A reply for another shard must be rejected, or the hits of that shard would appear twice.",
    search(),
    ServerAct::Answer("200 OK", r#"{"snapshot":7,"shard":4,"hits":[]}"#),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    reply_from_another_snapshot,
    "A server replies from a newer snapshot; the merged answer would mix two snapshots.",
    search(),
    ServerAct::Answer("200 OK", r#"{"snapshot":8,"shard":3,"hits":[]}"#),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    status_000,
    "A server in trouble replies with a status that HTTP doesn't know; the request may have run.",
    action(),
    ServerAct::Answer("000 OK\r\nx-outcome: not-run", "odd"),
    failed(Connection, Unknown),
    1
);
case!(
    status_600,
    "As above, with a status that the HTTP library lets through.",
    action(),
    ServerAct::Answer("600 OK\r\nx-outcome: not-run", "odd"),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    blank_in_the_name_of_a_field,
    "A server in trouble replies with a line that is no field; its body is no result.",
    action(),
    ServerAct::Answer("200 OK\r\nx odd: 1", "odd"),
    failed(Connection, Unknown),
    1
);
case!(
    control_byte_in_the_name_of_a_field,
    "As above, with a control byte.",
    action(),
    ServerAct::Answer("200 OK\r\nx\u{1}odd: 1", "odd"),
    failed(Connection, Unknown),
    1
);
case!(
    replied,
    "The server replies with status 200; its body is the result.",
    action(),
    ServerAct::Answer("200 OK", "ok"),
    sub::Result::Reply(b"ok".to_vec()),
    1
);

/// The server hangs after it read the request. The result must come at the deadline, with an
/// unknown outcome.
#[test]
fn no_reply_in_time() {
    let (result, _) = send_to_server(&action(), ServerAct::Hang, Duration::from_millis(100));
    assert_eq!(result, failed(Failure::Timeout, Unknown));
}

/// No process listens at the server's address; the request did not run and may be sent elsewhere.
#[test]
fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (result, _) = client(address).send(1, &action(), Duration::from_secs(5));
    assert_eq!(result, failed(Connection, NotRun));
}

/// The deadline passes before a connection is open; no byte was sent.
#[test]
fn no_time_to_connect() {
    let (address, received) = server(vec![ServerAct::Answer("200 OK", "ok")]);
    let (result, _) = client(address).send(1, &action(), Duration::ZERO);
    assert_eq!(result.outcome(), NotRun);
    assert!(received.lock().expect("lock").requests.is_empty());
}

/// Sends an action; the server answers with this head and body. Checks the result.
macro_rules! foreign_reply {
    ($($(#[$doc:meta])* $name:ident: $head:expr, $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let act = ServerAct::Answer($head, $body);
            let (result, _) = send_to_server(&action(), act, Duration::from_secs(5));
            assert_eq!(result, failed(Failure::Malformed, Unknown));
        }
    )*};
}

foreign_reply! {
    /// Guards against an action that is sent again although it runs, because the late second copy
    /// of another request's rejection counts as its own.
    rejection_of_another_request: "503 Busy\r\nx-outcome: not-run\r\nx-request-id: other", "";
    /// Guards against a caller that gets the reply to another action.
    reply_to_another_request: "200 OK\r\nx-request-id: other", "done";
}

/// Guards against a connection that stays one reply behind, so that each later action runs without
/// a result.
#[test]
fn a_connection_with_a_foreign_reply_is_not_used_again() {
    let done = ServerAct::Answer("200 OK\r\nx-request-id: host-0.1f-2", "done");
    let late = ServerAct::Answer("200 OK\r\nx-request-id: host-0.1f-0", "late");
    // The first connection consumes the second act when it is closed.
    let acts = vec![late, done, done];
    let (address, received) = server(acts);
    let client = client(address);
    let (late, _) = client.send(1, &action(), Duration::from_secs(5));
    assert_eq!(late, failed(Failure::Malformed, Unknown));
    let (next, _) = client.send(2, &action(), Duration::from_secs(5));
    assert_eq!(next, sub::Result::Reply(b"done".to_vec()));
    assert_eq!(received.lock().expect("lock").connections, 2);
}

/// The server closes an idle connection while the next request is written to it. If the client
/// library retried by itself, a request that the server had already read would run twice.
#[test]
fn a_request_on_a_closed_idle_connection_is_not_retried() {
    let acts = vec![
        ServerAct::Answer("200 OK", "one"),
        ServerAct::CloseAfterRead,
        ServerAct::Answer("200 OK", "two"),
    ];
    let (address, received) = server(acts);
    let client = client(address);
    let remaining = Duration::from_secs(5);
    let (first, _) = client.send(1, &action(), remaining);
    assert_eq!(first, sub::Result::Reply(b"one".to_vec()));
    let (second, _) = client.send(2, &action(), remaining);
    assert_eq!(second, failed(Connection, Unknown));
    let received = received.lock().expect("lock");
    // Both requests used the same connection, and no other connection was opened.
    assert_eq!((received.connections, received.requests.len()), (1, 2));
}

/// Two processes number their requests from 1. A cancellation that contained only the number would
/// end the other process's request, whose answer would then miss a shard.
#[test]
fn a_cancellation_identifies_its_process() {
    let (address, received) = server(vec![
        ServerAct::Answer("200 OK", "one"),
        ServerAct::Answer("200 OK", ""),
    ]);
    let client = client(address);
    client.send(1, &action(), Duration::from_secs(5));
    client.cancel(1);
    let received = received.lock().expect("lock");
    assert!(received.requests[0].contains("x-request-id: host-0.1f-1\r\n"));
    assert!(received.requests[1].starts_with("delete /v1/requests/host-0.1f-1 "));
}

/// The server's report on its state is read from a refusal too, since its owner needs it.
#[test]
fn a_refusal_carries_the_report() {
    let act = ServerAct::Answer(
        "503 Busy\r\nx-outcome: not-run\r\nx-state: draining\r\nx-load: 0.5",
        "",
    );
    let (address, _) = server(vec![act]);
    let (_, report) = client(address).send(1, &action(), Duration::from_secs(5));
    assert!(report.draining);
    assert_eq!(report.load, Some(0.5));
}
