//! What callers receive, whatever backend servers send.

mod common;

use common::Act;
use common::ask;
use common::backend;
use common::get;
use common::header;
use common::item;
use common::read_message;
use common::run;
use common::serve;
use common::singles;
use common::status;
use common::whole;
use lentillift_gateway::host::Stage;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const CUT: &str = "HTTP/1.1 200 OK\r\nx-signature: s\r\nContent-Length: 100\r\n\r\nhalf";

macro_rules! passes_on {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $first:expr, $second:expr => $status:expr, $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let first = backend(vec![$first]).await;
                let second = backend(vec![$second]).await;
                let served = serve(singles(&[first.address, second.address])).await;
                let answer = ask(served.front, &get($path, "i1")).await;
                assert_eq!(status(&answer), $status, "{answer}");
                let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
                assert_eq!(body, Some($body), "{answer}");
            });
        }
    )*};
}

fn reply(text: &str) -> Act {
    Act::Write(whole(text))
}

fn closing(text: &str) -> Act {
    Act::WriteAndClose(text.to_owned())
}

passes_on! {
    whole_reply: "/one/x", reply("yes"), reply("yes") => 200, "yes";
    whole_reply_of_an_action: "/once/x", reply("yes"), reply("yes") => 200, "yes";
    /// The server's reply ends in the middle. Passed on it would look whole, or hang the caller; the
    /// other server is asked.
    cut_reply: "/one/x", closing(CUT), reply("yes") => 200, "yes";
    /// The same for an action, which may have run: no second server is asked, and the caller is not
    /// told that it did not run.
    cut_reply_of_an_action: "/once/x", closing(CUT), reply("yes") => 502, "";
    /// The reply to an earlier request of somebody else comes late, on the same connection.
    reply_to_another_request: "/once/x",
        Act::Write("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: other\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 502, "";
    /// Something on the way answered in the server's place.
    unsigned_reply: "/once/x", Act::Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 502, "";
    /// The reply was compressed on the way though nobody asked for that.
    encoded_reply: "/once/x",
        Act::Write("HTTP/1.1 200 OK\r\nx-signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 502, "";
    /// The server sends bytes that are no reply.
    rubbish: "/once/x", closing("\u{1}\u{2}rubbish\r\n\r\n"), reply("yes") => 502, "";
    /// A reply without a length ends with its connection. It is whole.
    unframed_reply: "/one/x",
        closing("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\n\r\nyes"), reply("yes") => 200, "yes";
    /// A reply without a length is reset on the way. It is not whole, though nothing says so but the
    /// reset.
    reset_unframed_reply: "/once/x",
        Act::WriteAndReset("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\n\r\nhal".to_owned()),
        reply("yes") => 502, "";
    /// The server fails an action. That is its answer.
    failure_of_an_action: "/once/x",
        Act::Write("HTTP/1.1 500 Oops\r\nx-signature: s\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 500, "no";
    /// The server fails what may be repeated; the other serves it.
    failure_of_a_query: "/one/x",
        Act::Write("HTTP/1.1 500 Oops\r\nx-signature: s\r\nContent-Length: 2\r\n\r\nno".to_owned()),
        reply("yes") => 200, "yes";
    /// A full server turns an action away: it did not run, so the other may have it.
    rejected_action: "/once/x",
        Act::Write("HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()),
        reply("yes") => 200, "yes";
    /// Another server has got the address: it did not run the action.
    misdirected_action: "/once/x",
        Act::Write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".to_owned()),
        reply("yes") => 200, "yes";
}

/// Both servers turn an action away. The caller is told truly that it did not run, and when to come
/// back.
#[test]
fn refused_action() {
    run(async {
        let full = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
        let first = backend(vec![Act::Write(full.clone())]).await;
        let second = backend(vec![Act::Write(full)]).await;
        let served = serve(singles(&[first.address, second.address])).await;
        let answer = ask(served.front, &get("/once/x", "i1")).await;
        assert_eq!(status(&answer), 503);
        let after = header(&answer, "retry-after").expect("when to come back");
        assert!(after.parse::<f64>().expect("seconds") > 0.0);
    });
}

macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident: $request:expr => $status:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let server = backend(vec![reply("yes")]).await;
                let served = serve(singles(&[server.address])).await;
                let request = String::from($request);
                let answer = ask(served.front, &request).await;
                assert_eq!(status(&answer), $status, "{answer}");
            });
        }
    )*};
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /one/x HTTP/1.1\r\nHost: search.example\r\nx-id: i\r\n{headers}\r\n\r\n{body}")
}

answers! {
    unknown_route: get("/none/", "i") => 404;
    body_with_a_length: post("Content-Length: 3", "abc") => 200;
    body_in_chunks: post("Transfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n") => 200;
    body_over_the_limit: post("Content-Length: 2000", &"x".repeat(2000)) => 413;
    /// A body has two lengths. Taken by one of them, what follows would be a request of its own that
    /// nobody sent.
    two_lengths: post("Content-Length: 3\r\nContent-Length: 5", "abcde") => 400;
    no_id: "GET /one/x HTTP/1.1\r\nHost: search.example\r\n\r\n" => 200;
    head_over_the_limit: get("/one/x", &"i".repeat(20_000)) => 431;
}

/// A process that has just started knows no configuration. It does not claim that routes don't exist.
#[test]
fn without_a_configuration_callers_are_sent_elsewhere() {
    run(async {
        let served = serve(Vec::new()).await;
        let answer = ask(served.front, &get("/one/x", "i")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
        assert!(!served.host.is_ready());
    });
}

/// What concerns only the caller's connection stays there, a caller can't choose a backend server, and
/// the time that is left is counted down.
#[test]
fn headers_that_are_passed_on() {
    run(async {
        let mut server = backend(vec![reply("yes")]).await;
        let served = serve(singles(&[server.address])).await;
        let request = "GET /one/x?q=1 HTTP/1.1\r\nHost: search.example\r\nx-id: i\r\nx-left: 3000\r\n\
            x-backend: mine\r\nConnection: x-hop, keep-alive\r\nx-hop: 1\r\nx-other: 2\r\n\r\n";
        ask(served.front, request).await;
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

/// After its reply a server sends another one that nobody asked for. It must not become the answer to
/// the next request on that connection.
#[test]
fn an_extra_reply_answers_nobody() {
    run(async {
        let double = format!("{}{}", whole("first"), whole("extra"));
        let server = backend(vec![Act::Write(double), reply("second")]).await;
        let served = serve(singles(&[server.address])).await;
        for (id, body) in [("i1", "first"), ("i2", "second")] {
            let answer = ask(served.front, &get("/one/x", id)).await;
            assert!(answer.ends_with(body), "{id}: {answer}");
        }
    });
}

/// A server closes a kept connection just when it is to be used again. Nothing of the request was
/// read, so it goes over a new connection, even if it must not be repeated.
#[test]
fn a_closed_kept_connection_costs_nothing() {
    run(async {
        let server = backend(vec![closing(&whole("one")), reply("two")]).await;
        let served = serve(singles(&[server.address])).await;
        for (id, body) in [("i1", "one"), ("i2", "two")] {
            let answer = ask(served.front, &get("/once/x", id)).await;
            assert!(answer.ends_with(body), "{id}: {answer}");
            // The close has to arrive before the next request.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A caller leaves while its request is under way. The server's work is for nobody; its connection is
/// closed, which ends it.
#[test]
fn a_caller_that_leaves_ends_the_work() {
    run(async {
        let mut server = backend(vec![Act::Hang]).await;
        let served = serve(singles(&[server.address])).await;
        let mut caller = TcpStream::connect(served.front).await.expect("connected");
        let request = get("/one/x", "i");
        caller.write_all(request.as_bytes()).await.expect("written");
        server.seen.recv().await.expect("a request");
        drop(caller);
        assert_eq!(server.seen.recv().await.as_deref(), Some("closed"));
    });
}

/// A search over three shards, of which one has no server. The answer names the two parts, says that
/// one is missing, and holds their greatest records.
#[test]
fn a_partial_search_says_what_it_lacks() {
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
        let answer = ask(served.front, &get("/all/x", "i")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
        assert_eq!(header(&answer, "x-parts").as_deref(), Some("sig-i,sig-i"));
        assert!(answer.ends_with(&format!("{high}{low}")), "{answer}");
    });
}

/// A process is told to end while a request is under way and another connection is idle. The request
/// is answered whole, with word that the connection closes; the idle connection is closed in the end.
#[test]
fn an_end_cuts_nothing_off() {
    run(async {
        let server = backend(vec![reply("yes")]).await;
        let served = serve(singles(&[server.address])).await;
        let mut idle = TcpStream::connect(served.front).await.expect("connected");
        let request = get("/one/x", "i1");
        idle.write_all(request.as_bytes()).await.expect("written");
        let kept = read_message(&mut idle).await.expect("an answer");
        assert_eq!(header(&kept, "connection"), None);
        served.host.stage.send_replace(Stage::Leaving);
        assert!(!served.host.is_ready());
        let answer = ask(served.front, &get("/one/x", "i2")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
        served.host.stage.send_replace(Stage::Closing);
        let mut rest = Vec::new();
        idle.read_to_end(&mut rest).await.expect("closed");
        assert!(rest.is_empty());
    });
}

/// More callers connect than the process may hold connections for. Those beyond wait; once one leaves,
/// the next is served.
#[test]
fn callers_beyond_the_limit_wait() {
    run(async {
        let server = backend(vec![reply("yes")]).await;
        let served = serve(singles(&[server.address])).await;
        let mut held = Vec::new();
        for n in 0..common::MOST_CALLERS {
            let mut caller = TcpStream::connect(served.front).await.expect("connected");
            let request = get("/one/x", &format!("i{n}"));
            caller.write_all(request.as_bytes()).await.expect("written");
            read_message(&mut caller).await.expect("an answer");
            held.push(caller);
        }
        let request = get("/one/x", "next");
        let mut next = std::pin::pin!(ask(served.front, &request));
        let early = tokio::time::timeout(Duration::from_millis(100), next.as_mut()).await;
        assert!(early.is_err(), "served beyond the limit: {early:?}");
        held.pop();
        assert_eq!(status(&next.await), 200);
    });
}

/// A caller sends its second request before it has the first answer. Both are answered, in their order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let server = backend(vec![reply("first"), reply("second")]).await;
        let served = serve(singles(&[server.address])).await;
        let mut caller = TcpStream::connect(served.front).await.expect("connected");
        let both = get("/one/x", "i1") + &get("/one/x", "i2");
        caller.write_all(both.as_bytes()).await.expect("written");
        for body in ["first", "second"] {
            let answer = read_message(&mut caller).await.expect("an answer");
            assert!(answer.ends_with(body), "{answer}");
        }
    });
}
