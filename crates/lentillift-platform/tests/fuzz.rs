//! Whatever the configuration service answers, its client refuses it clearly and lives on.

use lentillift_core::error::Step;
use lentillift_platform::client::Client;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

/// A service that answers each request with these bytes and closes the connection.
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
            let error = error.expect_err("an answer that is no index");
            assert_eq!(error.step, Step::$step);
            assert!(error.peer.contains(&address.to_string()), "{error}");
        }
    };
}

case!(closed, "The service ends as it is asked.", Vec::new(), Read);
case!(
    no_http,
    "Something else listens there.",
    b"\x16\x03\x01\x02\x00".repeat(50),
    Read
);
case!(
    no_json,
    "A page of a proxy comes in place of the index.",
    with_body(b"<html>"),
    Decode
);
case!(
    another_shape,
    "The index has lost its fields.",
    with_body(br#"{"version":"1"}"#),
    Decode
);
case!(
    brackets,
    "An index of brackets would overflow the stack of every process.",
    with_body(&b"[".repeat(900_000)),
    Decode
);
case!(
    cut_off,
    "The service ends in the middle of its answer.",
    b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"version\":1,".to_vec(),
    Read
);
case!(
    too_large,
    "An index without end would fill the memory of every process.",
    with_body(&b" ".repeat(2 * 1024 * 1024)),
    Read
);
