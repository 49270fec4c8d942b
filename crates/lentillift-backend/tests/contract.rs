//! What the client says of a request against what reached a backend server.
//!
//! The server speaks raw TCP, so that it can end a connection at any moment, and counts the
//! requests that it has read as a whole: only those can have run.

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

/// What the server does with one request on a connection, in turn.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// Closes the connection before it reads anything.
    CloseBeforeRead,
    /// Closes it after a part of the head.
    CloseInHead,
    /// Closes it after the whole request.
    CloseAfterRead,
    /// Closes it after a part of the reply.
    CloseInReply,
    /// Never answers.
    Hang,
    /// Answers with this head and body.
    Answer(&'static str, &'static str),
}

/// What a server has seen.
#[derive(Debug, Default)]
struct Seen {
    connections: usize,
    /// Heads of the requests that were read as a whole.
    requests: Vec<String>,
}

/// A server that acts as listed, over as many connections as it takes.
fn server(acts: Vec<Act>) -> (SocketAddr, Arc<Mutex<Seen>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::new(Mutex::new(Seen::default()));
    let shared = seen.clone();
    std::thread::spawn(move || {
        let mut acts = acts.into_iter();
        while let Ok((stream, _)) = listener.accept() {
            shared.lock().expect("lock").connections += 1;
            serve(stream, &mut acts, &shared);
        }
    });
    (address, seen)
}

fn serve(mut stream: TcpStream, acts: &mut impl Iterator<Item = Act>, seen: &Mutex<Seen>) {
    for act in acts {
        match act {
            Act::CloseBeforeRead => return,
            Act::CloseInHead => {
                let _ = stream.read(&mut [0; 10]);
                return;
            }
            _ => {}
        }
        let Some(request) = read(&mut stream) else {
            return;
        };
        seen.lock().expect("lock").requests.push(request);
        match act {
            Act::Answer(head, body) => {
                let length = body.len();
                let reply = format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}");
                let _ = stream.write_all(reply.as_bytes());
            }
            Act::CloseInReply => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"a\"");
                return;
            }
            Act::Hang => {
                let _ = stream.read(&mut [0; 1]);
                return;
            }
            _ => return,
        }
    }
}

/// Reads one request; its head, if it came as a whole.
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

/// Sends one action to a server that acts as told, and says what is claimed of it and how many
/// requests the server read as a whole.
fn one(sub: &Sub, act: Act, left: Duration) -> (sub::Result, usize) {
    let (address, seen) = server(vec![act, Act::Answer("200 OK", "again")]);
    let (result, _) = client(address).send(1, sub, left);
    let requests = seen.lock().expect("lock").requests.len();
    (result, requests)
}

macro_rules! case {
    ($name:ident, $about:literal, $sub:expr, $act:expr, $result:expr, $requests:expr) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let (result, requests) = one(&$sub, $act, Duration::from_secs(5));
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
    "The server's host reboots as the request arrives; its caller must not be told that it did not run.",
    action(),
    Act::CloseBeforeRead,
    failed(Connection, Unknown),
    0
);
case!(
    closed_in_the_head,
    "The connection is cut while the request is being written.",
    action(),
    Act::CloseInHead,
    failed(Connection, Unknown),
    0
);
case!(
    closed_after_the_read,
    "The server dies with the request in hand; sending it again would file the notice twice.",
    action(),
    Act::CloseAfterRead,
    failed(Connection, Unknown),
    1
);
case!(
    closed_in_the_reply,
    "The server dies while it answers; the notice is filed, but nobody can tell the caller.",
    action(),
    Act::CloseInReply,
    failed(Connection, Unknown),
    1
);
case!(
    shed,
    "A server that is full says that it did not run the request; it may be offered to another.",
    action(),
    Act::Answer("503 Busy\r\nx-outcome: not-run", ""),
    failed(Failure::Shed, NotRun),
    1
);
case!(
    shed_while_cold,
    "A server in a cold start turns a request away; its owner must slow down, not only go elsewhere.",
    action(),
    Act::Answer("503 Cold\r\nx-outcome: not-run\r\nx-state: cold", ""),
    failed(Failure::Cold, NotRun),
    1
);
case!(
    unavailable_without_a_word,
    "A server fails without saying whether it ran the request; it may have.",
    action(),
    Act::Answer("503 Busy", ""),
    failed(Failure::Shed, Unknown),
    1
);
case!(
    gone_means_nothing_for_an_action,
    "A server answers an action with the status of a dropped snapshot; it may have run it.",
    action(),
    Act::Answer("410 Gone", ""),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    snapshot_gone,
    "A server has dropped the snapshot of a query under way.",
    search(),
    Act::Answer("410 Gone", ""),
    failed(Failure::SnapshotGone, NotRun),
    1
);
case!(
    another_shards_reply,
    "A reply of another shard must not be counted as this one's, or its hits would show twice.",
    search(),
    Act::Answer("200 OK", r#"{"snapshot":7,"shard":4,"hits":[]}"#),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    another_snapshots_reply,
    "A server that has moved on answers from a newer snapshot; the answer would mix two.",
    search(),
    Act::Answer("200 OK", r#"{"snapshot":8,"shard":3,"hits":[]}"#),
    failed(Failure::Malformed, Unknown),
    1
);
case!(
    done,
    "All goes well.",
    action(),
    Act::Answer("200 OK", "ok"),
    sub::Result::Reply(b"ok".to_vec()),
    1
);

/// The server hangs with the request in hand; its caller is told in time, and not that it did not run.
#[test]
fn no_reply_in_time() {
    let (result, _) = one(&action(), Act::Hang, Duration::from_millis(100));
    assert_eq!(result, failed(Failure::Timeout, Unknown));
}

/// Nobody listens where the server was; the request is certainly not run and goes elsewhere.
#[test]
fn refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (result, _) = client(address).send(1, &action(), Duration::from_secs(5));
    assert_eq!(result, failed(Connection, NotRun));
}

/// The allowance is over before a connection is open; no byte has left.
#[test]
fn no_time_to_connect() {
    let (address, seen) = server(vec![Act::Answer("200 OK", "ok")]);
    let (result, _) = client(address).send(1, &action(), Duration::ZERO);
    assert_eq!(result.outcome(), NotRun);
    assert!(seen.lock().expect("lock").requests.is_empty());
}

/// A kept connection is closed by the server as the next request is written to it. A client that
/// sends again by itself would run a request twice when the server had read it after all.
#[test]
fn a_kept_connection_that_dies_is_not_tried_again() {
    let acts = vec![
        Act::Answer("200 OK", "one"),
        Act::CloseAfterRead,
        Act::Answer("200 OK", "two"),
    ];
    let (address, seen) = server(acts);
    let client = client(address);
    let left = Duration::from_secs(5);
    let (first, _) = client.send(1, &action(), left);
    assert_eq!(first, sub::Result::Reply(b"one".to_vec()));
    let (second, _) = client.send(2, &action(), left);
    assert_eq!(second, failed(Connection, Unknown));
    let seen = seen.lock().expect("lock");
    // Both went over the one connection, and nothing went over another.
    assert_eq!((seen.connections, seen.requests.len()), (1, 2));
}

/// Two processes number their requests from 1. A cancellation that named the number alone would
/// end the other's request, and its caller would miss a shard.
#[test]
fn a_cancellation_names_its_process() {
    let (address, seen) = server(vec![
        Act::Answer("200 OK", "one"),
        Act::Answer("200 OK", ""),
    ]);
    let client = client(address);
    client.send(1, &action(), Duration::from_secs(5));
    client.cancel(1);
    let seen = seen.lock().expect("lock");
    assert!(seen.requests[0].contains("x-request-id: host-0.1f-1\r\n"));
    assert!(seen.requests[1].starts_with("delete /v1/requests/host-0.1f-1 "));
}

/// What a server says of itself while it turns a request away reaches its owner.
#[test]
fn a_refusal_carries_the_report() {
    let act = Act::Answer(
        "503 Busy\r\nx-outcome: not-run\r\nx-state: draining\r\nx-load: 0.5",
        "",
    );
    let (address, _) = server(vec![act]);
    let (_, report) = client(address).send(1, &action(), Duration::from_secs(5));
    assert!(report.draining);
    assert_eq!(report.load, Some(0.5));
}
