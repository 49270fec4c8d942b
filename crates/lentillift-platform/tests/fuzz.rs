//! Malformed responses of the configuration service: the client must return an error that names the
//! failed step and the service's address, without a panic.

use lentillift_core::error::Step;
use lentillift_platform::client::Client;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

/// Starts a service that responds to each request with `reply` and closes the connection.
fn service(reply: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(&reply);
        }
    });
    address
}

fn with_body(body: &[u8]) -> Vec<u8> {
    let mut reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    reply.push_str(&String::from_utf8_lossy(body));
    reply.into_bytes()
}

macro_rules! case {
    ($name:ident, $about:literal, $reply:expr, $step:ident) => {
        #[doc = $about]
        #[test]
        fn $name() {
            let address = service($reply);
            let client = Client::new(address);
            let error = client.watch(0, Duration::from_millis(10));
            let error = error.expect_err("an error, since the response is no index");
            assert_eq!(error.step, Step::$step);
            assert!(error.peer.contains(&address.to_string()), "{error}");
        }
    };
}

case!(
    closed_before_the_response,
    "The service terminates when it receives the request.",
    Vec::new(),
    Read
);
case!(
    not_http,
    "Another program, which does not speak HTTP, listens at the address.",
    b"\x16\x03\x01\x02\x00".repeat(50),
    Read
);
case!(
    not_json,
    "A proxy responds with an HTML page in place of the index.",
    with_body(b"<html>"),
    Decode
);
case!(
    wrong_shape,
    "A field of the index is missing and another has the wrong type.",
    with_body(br#"{"version":"1"}"#),
    Decode
);
case!(
    deep_nesting,
    "A deeply nested index must not overflow the stack, which would end every process.",
    with_body(&b"[".repeat(900_000)),
    Decode
);
case!(
    truncated,
    "The service terminates in the middle of its response.",
    b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"version\":1,".to_vec(),
    Read
);
case!(
    too_large,
    "An index of unbounded size must not exhaust the memory of every process.",
    with_body(&b" ".repeat(2 * 1024 * 1024)),
    Read
);

/// Starts a service that responds to its requests in turn with each beginning of `response` that is
/// shorter than `end` bytes, and closes each connection.
fn stopping_service(response: String, end: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for end in 1..end {
            let (mut stream, _) = listener.accept().expect("a connection");
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(&response.as_bytes()[..end]);
        }
    });
    address
}

macro_rules! stopped_values {
    ($($name:ident: $head:expr, $body:expr, $rest:expr;)*) => {$(
        /// Guards against a response that stops, and is taken for a shorter value.
        #[test]
        fn $name() {
            let response = format!("{}\r\n\r\n{}{}", $head, $body, $rest);
            let end = response.len() - $rest.len();
            let client = Client::new(stopping_service(response, end));
            for turn in 1..end {
                let value = client.value("config");
                assert!(value.is_err(), "{turn}: {value:?}");
            }
        }
    )*};
}

stopped_values! {
    stopped_value_with_a_length: "HTTP/1.1 200 OK\r\ncontent-length: 5", "value", "";
    stopped_value_in_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked", "5\r\nvalue\r\n0\r\n", "\r\n";
    stopped_value_that_ends_with_its_connection: "HTTP/1.1 200 OK\r\nserver: a", "", "value";
    stopped_value_behind_an_interim_response:
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5", "value", "";
    stopped_redirection: "HTTP/1.1 302 Found\r\nlocation: /elsewhere\r\ncontent-length: 5", "value", "";
}
