//! Bodies of callers for which the host has no memory.

mod common;

use common::Reaction;
use common::backend;
use common::complete_reply;
use common::get;
use common::header;
use common::read_message;
use common::run;
use common::serve_with_memory;
use common::single_service;
use common::status;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Memory for bodies, in bytes: less than twice the body that is sent, so that it is refused.
const MEMORY: usize = 1500;

/// Length of the refused body, in bytes.
const LENGTH: usize = 900;

/// A body that contains a whole request.
fn body() -> String {
    format!("{:\n<LENGTH$}", get("/one/inside", "inside"))
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident: $framing:expr, $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let mut server = backend(vec![Reaction::Write(complete_reply("yes"))]).await;
                let served = serve_with_memory(single_service(&[server.address]), MEMORY).await;
                let mut stream = TcpStream::connect(served.front).await.expect("a connection");
                let (head, rest) = (format!("POST /once/x HTTP/1.1\r\nHost: search.example\r\nx-id: a\r\n{}\r\n\r\n", $framing), $body);
                stream.write_all(head.as_bytes()).await.expect("written");
                stream.write_all(rest.as_bytes()).await.expect("written");
                let refusal = read_message(&mut stream).await.expect("an answer");
                assert_eq!(status(&refusal), 503, "{refusal}");
                let after = header(&refusal, "retry-after").expect("a retry-after header");
                assert!(after.parse::<f64>().expect("seconds") > 0.0);
                stream.write_all(get("/one/next", "next").as_bytes()).await.expect("written");
                let answer = read_message(&mut stream).await.expect("an answer");
                assert_eq!(status(&answer), 200, "{answer}");
                let seen = server.seen.recv().await.expect("a request");
                assert!(seen.starts_with("GET /one/next "), "{seen}");
                assert!(server.seen.try_recv().is_err());
            });
        }
    )*};
}

refusals! {
    /// Guards against a refused body whose rest is read as the next request, and a refusal that does not hold.
    body_with_a_length: format!("Content-Length: {LENGTH}"), body();
    /// As above for chunks, the last of which are refused.
    body_in_chunks: "Transfer-Encoding: chunked", format!("{LENGTH:x}\r\n{}\r\n0\r\n\r\n", body());
}
