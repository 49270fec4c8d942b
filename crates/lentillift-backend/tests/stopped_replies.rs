//! Backend servers that stop at any place of a reply and close the connection.

use lentillift_backend::client::Client;
use lentillift_backend::client::Options;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

/// Time for one request, far more than it takes.
const REMAINING: Duration = Duration::from_secs(30);

/// Starts a server that replies with each of `replies` in order, one a connection, and closes it.
fn server(replies: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut replies = replies.into_iter();
        // The client also connects to see whether anything listens.
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            if matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
                let Some(reply) = replies.next() else {
                    return;
                };
                let _ = stream.write_all(reply.as_bytes());
            }
        }
    });
    address
}

/// All beginnings of `reply`, and itself.
fn beginnings(reply: &str) -> Vec<String> {
    let ends = 1..=reply.len();
    ends.map(|end| reply[..end].to_owned()).collect()
}

fn action() -> Work {
    Work::Action { key: "k".into() }
}

fn search() -> Work {
    Work::Search {
        snapshot: 3,
        shard: 0,
    }
}

/// Sends one request for each reply; none may have an outcome that a whole reply would have.
fn check(work: &Work, replies: Vec<String>) {
    let client = Client::new(server(replies.clone()), "host-0.1f", &Options::default());
    for (ticket, reply) in (1..).zip(&replies) {
        let sub = Sub {
            id: ticket,
            service: "file".into(),
            backend: "b".into(),
            caller: "x".into(),
            work: work.clone(),
            allowance: REMAINING,
            body: (*b"{}").into(),
            hedge: false,
        };
        let (result, _) = client.send(ticket, &sub, REMAINING);
        assert_eq!(result.outcome(), Outcome::Unknown, "{reply:?}: {result:?}");
    }
}

/// Body of a search reply, without hits.
const HITS: &str = r#"{"snapshot":3,"shard":0,"hits":[]}"#;

/// Each case is the start of a reply, up to its last byte without which it is not whole.
macro_rules! stopped {
    ($($name:ident: $work:expr, $start:expr;)*) => {$(
        /// Guards against a reply that stops, and counts as whole.
        #[test]
        fn $name() {
            check(&$work, beginnings(&$start));
        }
    )*};
}

stopped! {
    action_with_a_length: action(), "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndon";
    action_with_chunks: action(),
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r";
    action_that_ends_with_its_connection: action(), "HTTP/1.1 200 OK\r\nserver: a\r\n\r";
    action_with_an_interim_reply: action(),
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndon";
    action_that_is_redirected: action(),
        "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 4\r\n\r\ndon";
    search_with_a_length: search(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: 35\r\n\r\n{HITS}");
    search_with_chunks: search(),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n22\r\n{HITS}\r\n0\r");
    search_that_ends_with_its_connection: search(), "HTTP/1.1 200 OK\r\nserver: a\r\n\r";
    // With its head, the refusal itself is whole.
    refusal: action(),
        "HTTP/1.1 503 Busy\r\nx-outcome: not-run\r\ncontent-length: 4\r\n\r";
}
