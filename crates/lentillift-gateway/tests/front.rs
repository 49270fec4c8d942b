//! Responses to callers, for valid and broken replies of backend servers.

mod common;

use common::Reaction;
use common::backend;
use common::complete_reply;
use common::get;
use common::header;
use common::item;
use common::read_message;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;
use lentillift_gateway::host::Stage;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const TRUNCATED: &str =
    "HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\nContent-Length: 100\r\n\r\nhalf";

macro_rules! replies {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $first:expr, $second:expr => $status:expr, $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let first = backend(vec![$first]).await;
                let second = backend(vec![$second]).await;
                let served = serve(single_service(&[first.address, second.address])).await;
                let answer = send_request(served.front, &get($path, "i1")).await;
                assert_eq!(status(&answer), $status, "{answer}");
                let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
                assert_eq!(body, Some($body), "{answer}");
            });
        }
    )*};
}

fn reply(text: &str) -> Reaction {
    Reaction::Write(complete_reply(text))
}

fn closing(text: &str) -> Reaction {
    Reaction::WriteAndClose(text.to_owned())
}

replies! {
    successful_reply: "/one/x", reply("yes"), reply("yes") => 200, "yes";
    successful_reply_of_an_action: "/once/x", reply("yes"), reply("yes") => 200, "yes";
    /// The server's reply is truncated. Forwarded it would look complete, or block the caller; the
    /// other server is tried instead.
    cut_reply: "/one/x", closing(TRUNCATED), reply("yes") => 200, "yes";
    /// As above for an action, which may have run: no second server is tried, and the caller is not
    /// told that it did not run.
    cut_reply_of_an_action: "/once/x", closing(TRUNCATED), reply("yes") => 502, "";
    /// The reply to another caller's earlier request arrives late on the same connection.
    reply_to_another_request: "/once/x",
        Reaction::Write("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: other\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 502, "";
    /// An intermediary answered in place of the server.
    unsigned_reply: "/once/x", Reaction::Write("HTTP/1.1 200 OK\r\nx-id: ID\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 502, "";
    /// An intermediary compressed the reply, which was not requested.
    encoded_reply: "/once/x",
        Reaction::Write("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 502, "";
    /// The server sends bytes that are not an HTTP reply.
    malformed_reply: "/once/x", closing("\u{1}\u{2}rubbish\r\n\r\n"), reply("yes") => 502, "";
    /// A reply without a length ends with its connection; it is complete.
    unframed_reply: "/one/x",
        closing("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\n\r\nyes"), reply("yes") => 200, "yes";
    /// The connection is reset during a reply without a length. It is incomplete, and only the
    /// reset shows that.
    reset_unframed_reply: "/once/x",
        Reaction::WriteAndReset("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\n\r\nhal".to_owned()),
        reply("yes") => 502, "";
    /// The server reports that an action failed, which is the caller's answer.
    failure_of_an_action: "/once/x",
        Reaction::Write("HTTP/1.1 500 Oops\r\nx-signature: s\r\nx-id: ID\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 500, "no";
    /// The server fails an idempotent request; the other server serves it.
    failure_of_a_query: "/one/x",
        Reaction::Write("HTTP/1.1 500 Oops\r\nx-signature: s\r\nx-id: ID\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 200, "yes";
    /// A full server rejects an action: it did not run, so the other server may run it.
    rejected_action: "/once/x",
        Reaction::Write("HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n".to_owned()),
        reply("yes") => 200, "yes";
    /// The address now belongs to another server, which did not run the action.
    misdirected_action: "/once/x",
        Reaction::Write("HTTP/1.1 421 Misdirected\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n".to_owned()),
        reply("yes") => 200, "yes";
}

/// Both servers reject an action. The caller correctly learns that it did not run, and when to
/// retry.
#[test]
fn refused_action() {
    run(async {
        let full =
            "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n".to_owned();
        let first = backend(vec![Reaction::Write(full.clone())]).await;
        let second = backend(vec![Reaction::Write(full)]).await;
        let served = serve(single_service(&[first.address, second.address])).await;
        let answer = send_request(served.front, &get("/once/x", "i1")).await;
        assert_eq!(status(&answer), 503);
        let after = header(&answer, "retry-after").expect("a retry-after header");
        assert!(after.parse::<f64>().expect("seconds") > 0.0);
    });
}

macro_rules! statuses {
    ($($(#[$doc:meta])* $name:ident: $request:expr => $status:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let server = backend(vec![reply("yes")]).await;
                let served = serve(single_service(&[server.address])).await;
                let request = String::from($request);
                let answer = send_request(served.front, &request).await;
                assert_eq!(status(&answer), $status, "{answer}");
            });
        }
    )*};
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /one/x HTTP/1.1\r\nHost: search.example\r\nx-id: i\r\n{headers}\r\n\r\n{body}")
}

statuses! {
    unknown_route: get("/none/", "i") => 404;
    body_with_a_length: post("Content-Length: 3", "abc") => 200;
    body_in_chunks: post("Transfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n") => 200;
    body_over_the_limit: post("Content-Length: 2000", &"x".repeat(2000)) => 413;
    /// A body with two lengths. If either was trusted, the remaining bytes could be parsed as a
    /// request that was never sent (request smuggling).
    two_lengths: post("Content-Length: 3\r\nContent-Length: 5", "abcde") => 400;
    no_id: "GET /one/x HTTP/1.1\r\nHost: search.example\r\n\r\n" => 200;
    head_over_the_limit: get("/one/x", &"i".repeat(20_000)) => 431;
}

/// A process that has just started has no configuration. It must not report existing routes as
/// unknown.
#[test]
fn without_a_configuration_callers_are_asked_to_retry() {
    run(async {
        let served = serve(Vec::new()).await;
        let answer = send_request(served.front, &get("/one/x", "i")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
        assert!(!served.host.is_ready());
    });
}

/// Hop-by-hop headers are not forwarded, a caller can't choose a backend server, and the remaining
/// time is passed on.
#[test]
fn only_end_to_end_headers_are_forwarded() {
    run(async {
        let mut server = backend(vec![reply("yes")]).await;
        let served = serve(single_service(&[server.address])).await;
        let request = "GET /one/x?q=1 HTTP/1.1\r\nHost: search.example\r\nx-id: i\r\nx-left: 3000\r\n\
            x-backend: mine\r\nConnection: x-hop, keep-alive\r\nx-hop: 1\r\nx-other: 2\r\n\r\n";
        send_request(served.front, request).await;
        let seen = server.seen.recv().await.expect("a request");
        assert!(seen.starts_with("GET /one/x?q=1 HTTP/1.1\r\n"), "{seen}");
        assert_eq!(header(&seen, "x-backend").as_deref(), Some("b0"));
        assert_eq!(header(&seen, "x-id").as_deref(), Some("i"));
        assert_eq!(header(&seen, "x-other").as_deref(), Some("2"));
        assert_eq!(header(&seen, "host").as_deref(), Some("search.example"));
        assert_eq!(header(&seen, "x-hop"), None);
        let left: u64 = header(&seen, "x-left")
            .expect("time")
            .parse()
            .expect("a number");
        assert!(left <= 3000);
    });
}

/// A server sends an unsolicited second reply. It must not become the answer to the next request on
/// that connection.
#[test]
fn an_unsolicited_reply_is_discarded() {
    run(async {
        let double = format!("{}{}", complete_reply("first"), complete_reply("extra"));
        let server = backend(vec![Reaction::Write(double), reply("second")]).await;
        let served = serve(single_service(&[server.address])).await;
        for (id, body) in [("i1", "first"), ("i2", "second")] {
            let answer = send_request(served.front, &get("/one/x", id)).await;
            assert!(answer.ends_with(body), "{id}: {answer}");
        }
    });
}

/// A server closes an idle connection just as it is reused. Nothing of the request was read, so it
/// is sent over a new connection, even if it must run at most once.
#[test]
fn a_closed_kept_connection_costs_nothing() {
    run(async {
        let server = backend(vec![closing(&complete_reply("one")), reply("two")]).await;
        let served = serve(single_service(&[server.address])).await;
        for (id, body) in [("i1", "one"), ("i2", "two")] {
            let answer = send_request(served.front, &get("/once/x", id)).await;
            assert!(answer.ends_with(body), "{id}: {answer}");
            // The close has to arrive before the next request.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A caller disconnects while its request is in flight. The server's work is no longer needed;
/// closing the connection to it cancels the work.
#[test]
fn a_disconnected_caller_cancels_the_work() {
    run(async {
        let mut server = backend(vec![Reaction::Hang]).await;
        let served = serve(single_service(&[server.address])).await;
        let mut caller = TcpStream::connect(served.front).await.expect("connected");
        let request = get("/one/x", "i");
        caller.write_all(request.as_bytes()).await.expect("written");
        server.seen.recv().await.expect("a request");
        drop(caller);
        assert_eq!(server.seen.recv().await.as_deref(), Some("closed"));
    });
}

/// A search over three shards, one of which has no server. The answer names the two parts, states
/// that one is missing, and contains their greatest records.
#[test]
fn a_partial_search_reports_missing_parts() {
    run(async {
        let (low, high) = ("a".repeat(16), "z".repeat(16));
        let first = backend(vec![reply(&low)]).await;
        let second = backend(vec![reply(&format!("{high}tail"))]).await;
        let served = serve(vec![
            item("config", "s1 s2 s3".to_owned()),
            item("b1", format!("s1 {} a", first.address)),
            item("b2", format!("s2 {} a", second.address)),
        ])
        .await;
        let answer = send_request(served.front, &get("/all/x", "i")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
        assert_eq!(header(&answer, "x-parts").as_deref(), Some("sig-i,sig-i"));
        assert!(answer.ends_with(&format!("{high}{low}")), "{answer}");
    });
}

/// A process shuts down while one request is in flight and another connection is idle. The request
/// is answered completely with `Connection: close`; the idle connection is closed at the end.
#[test]
fn shutdown_completes_requests_in_flight() {
    run(async {
        let server = backend(vec![reply("yes")]).await;
        let served = serve(single_service(&[server.address])).await;
        let mut idle = TcpStream::connect(served.front).await.expect("connected");
        let request = get("/one/x", "i1");
        idle.write_all(request.as_bytes()).await.expect("written");
        let kept = read_message(&mut idle).await.expect("an answer");
        assert_eq!(header(&kept, "connection"), None);
        served.host.stage.send_replace(Stage::Leaving);
        assert!(!served.host.is_ready());
        let answer = send_request(served.front, &get("/one/x", "i2")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
        served.host.stage.send_replace(Stage::Closing);
        let mut rest = Vec::new();
        idle.read_to_end(&mut rest).await.expect("closed");
        assert!(rest.is_empty());
    });
}

/// More callers connect than the process may accept. The excess waits; once one disconnects, the
/// next is served.
#[test]
fn callers_beyond_the_limit_wait() {
    run(async {
        let server = backend(vec![reply("yes")]).await;
        let served = serve(single_service(&[server.address])).await;
        let mut held = Vec::new();
        for n in 0..common::MAX_CALLERS {
            let mut caller = TcpStream::connect(served.front).await.expect("connected");
            let request = get("/one/x", &format!("i{n}"));
            caller.write_all(request.as_bytes()).await.expect("written");
            read_message(&mut caller).await.expect("an answer");
            held.push(caller);
        }
        let request = get("/one/x", "next");
        let mut next = std::pin::pin!(send_request(served.front, &request));
        let early = tokio::time::timeout(Duration::from_millis(100), next.as_mut()).await;
        assert!(early.is_err(), "served beyond the limit: {early:?}");
        held.pop();
        assert_eq!(status(&next.await), 200);
    });
}

/// A caller pipelines two requests. Both are answered, in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let server = backend(vec![reply("first"), reply("second")]).await;
        let served = serve(single_service(&[server.address])).await;
        let mut caller = TcpStream::connect(served.front).await.expect("connected");
        let both = get("/one/x", "i1") + &get("/one/x", "i2");
        caller.write_all(both.as_bytes()).await.expect("written");
        for body in ["first", "second"] {
            let answer = read_message(&mut caller).await.expect("an answer");
            assert!(answer.ends_with(body), "{answer}");
        }
    });
}
