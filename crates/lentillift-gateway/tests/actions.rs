//! Requests that must run at most once, tested at each stage at which they could be sent or
//! answered twice.

mod common;

use common::Backend;
use common::Reaction;
use common::backend;
use common::complete_reply;
use common::get;
use common::item;
use common::listener;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;
use http::Request;
use http_body_util::Full;
use lentillift_gateway::host::Stage;
use lentillift_gateway::pool::Failure;
use lentillift_gateway::pool::Requirement;
use lentillift_scatter::config::Kind;
use lentillift_scatter::source::Update;
use std::time::Duration;

/// Time until the caller's deadline in these tests, in milliseconds.
const LEFT_MS: u64 = 300;

/// Number of requests that a server received.
fn requests(server: &mut Backend) -> usize {
    let seen = std::iter::from_fn(|| server.seen.try_recv().ok());
    seen.filter(|message| message != "closed").count()
}

fn reply(text: &str) -> Reaction {
    Reaction::Write(complete_reply(text))
}

/// An unsigned reply with this status line and headers, and an empty body.
fn unsigned(text: &str) -> Reaction {
    Reaction::Write(format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n"))
}

fn nothing_and_close() -> Reaction {
    Reaction::WriteAndClose(String::new())
}

fn nothing_and_reset() -> Reaction {
    Reaction::WriteAndReset(String::new())
}

/// Sends an action while two servers are available, of which the first behaves as given. Checks the
/// status that the caller gets, and how many requests each server received.
macro_rules! action {
    ($($(#[$doc:meta])* $name:ident: $first:expr => $status:expr, $requests:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let mut first = backend(vec![$first]).await;
                let mut second = backend(vec![reply("done")]).await;
                let served = serve(single_service(&[first.address, second.address])).await;
                let request = get("/once/x", "i").replace("3000", &LEFT_MS.to_string());
                let answer = send_request(served.front, &request).await;
                assert_eq!(status(&answer), $status, "{answer}");
                // A retry would have been sent by then.
                tokio::time::sleep(Duration::from_millis(LEFT_MS)).await;
                assert_eq!([requests(&mut first), requests(&mut second)], $requests);
            });
        }
    )*};
}

action! {
    successful_reply: reply("done") => 200, [1, 0];
    /// The server reads the request and closes the connection without a reply. The action may have
    /// run.
    closed_without_a_reply: nothing_and_close() => 502, [1, 0];
    /// As above, but the connection is reset.
    reset_without_a_reply: nothing_and_reset() => 502, [1, 0];
    /// The server does not reply before the caller's deadline. That does not mean that it
    /// rejected the action: it may still run.
    silent_until_the_end: Reaction::Hang => 504, [1, 0];
    /// The reply is truncated.
    cut_reply: Reaction::WriteAndClose("HTTP/1.1 200 OK\r\nx-signature: s\r\nx-id: ID\r\nContent-Length: 9\r\n\r\nhalf".to_owned())
        => 502, [1, 0];
    /// An intermediary answers 503 without the header by which a server states that the action did
    /// not run, so it may have run.
    unsigned_refusal: unsigned("503 Service Unavailable") => 502, [1, 0];
    /// As above, with the id of the action.
    unsigned_refusal_with_an_id: unsigned("503 Service Unavailable\r\nx-id: ID") => 502, [1, 0];
    /// The server itself reports a failure: the action has run.
    signed_failure: Reaction::Write("HTTP/1.1 500 Oops\r\nx-signature: s\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n".to_owned())
        => 500, [1, 0];
    /// The server is full and states that the action did not run.
    turned_away: unsigned("503 Full\r\nx-not-run: 1\r\nx-id: ID") => 200, [1, 1];
    /// The address belongs to another server by now, which did not run the action.
    misdirected: unsigned("421 Misdirected\r\nx-id: ID") => 200, [1, 1];
}

/// The first server's port is closed, so nothing was sent, and the second server runs the action.
#[test]
fn unreachable() {
    run(async {
        let (closed, address) = listener().await;
        drop(closed);
        let mut second = backend(vec![reply("done")]).await;
        let served = serve(single_service(&[address, second.address])).await;
        let answer = send_request(served.front, &get("/once/x", "i")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(requests(&mut second), 1);
    });
}

/// Sends an action to a server that replies after 200 ms, and calls `interfere` while the server
/// runs it. Returns the answer.
async fn answer_during<F>(interfere: F) -> String
where
    F: FnOnce(&common::SharedHost),
{
    let mut server = backend(vec![Reaction::Pause(
        Duration::from_millis(200),
        complete_reply("done"),
    )])
    .await;
    let served = serve(single_service(&[server.address])).await;
    let request = get("/once/x", "i");
    let mut answer = std::pin::pin!(send_request(served.front, &request));
    let seen = tokio::select! {
        early = answer.as_mut() => panic!("answered before it ran: {early}"),
        seen = server.seen.recv() => seen,
    };
    assert!(seen.is_some());
    interfere(&served.host);
    let answer = answer.await;
    assert_eq!(requests(&mut server), 0, "it was sent again");
    answer
}

/// The host shuts down while the server runs the action. The caller still gets the reply, and
/// nothing is sent again.
#[test]
fn at_work_while_its_host_ends() {
    run(async {
        let answer = answer_during(|host| {
            host.stage.send_replace(Stage::Leaving);
            host.stage.send_replace(Stage::Closing);
        });
        let answer = answer.await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("done"));
    });
}

/// The server's entry is removed while it runs the action, as when it leaves without notice.
#[test]
fn at_work_while_its_server_lapses() {
    run(async {
        let answer = answer_during(|host| {
            let mut gone = item("b0", String::new());
            gone.value = None;
            gone.revision = 9;
            let items = vec![gone];
            host.apply_update(Some(Update::Changes { revision: 9, items }), Duration::ZERO);
        });
        assert_eq!(status(&answer.await), 200);
    });
}

/// A new configuration takes effect while the server runs the action.
#[test]
fn at_work_while_the_configuration_changes() {
    run(async {
        let answer = answer_during(|host| {
            let mut config = item("config", "s7 s8".to_owned());
            config.revision = 9;
            let items = vec![config];
            host.apply_update(Some(Update::Changes { revision: 9, items }), Duration::ZERO);
        });
        assert_eq!(status(&answer.await), 200);
    });
}

/// A server announces that it is leaving while the connection to it is being opened. The send was
/// decided before, and would reach the server too late; nothing is written, so another server may
/// run the action.
#[test]
fn left_while_the_connection_opened() {
    run(async {
        let mut backend = backend(vec![reply("done")]).await;
        let served = serve(single_service(&[backend.address])).await;
        let view = served.host.core.borrow().view.clone().expect("a view");
        let server = &view.servers["s"][0];
        let request = Request::new(Full::default());
        let pool = &served.host.pool;
        let requirement = Requirement {
            kind: Kind::Once,
            rejected_on: &[],
        };
        let ended = pool.exchange(server, requirement, request, || false).await;
        assert!(matches!(ended, Err(Failure::Unsent(_))), "{ended:?}");
        assert_eq!(requests(&mut backend), 0);
    });
}
