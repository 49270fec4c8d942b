//! Replies that do not belong to the request that waits on their connection: late second copies,
//! and replies that name another request or none.

mod common;

use common::Backend;
use common::Reaction;
use common::backend;
use common::complete_reply;
use common::doubling::DoublingServer;
use common::doubling::Step;
use common::get;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;

/// Number of requests that a server received.
fn requests(server: &mut Backend) -> usize {
    let seen = std::iter::from_fn(|| server.seen.try_recv().ok());
    seen.filter(|message| message != "closed").count()
}

/// A rejection with this status line and headers, and an empty body.
fn rejection(text: &str) -> Reaction {
    Reaction::Write(format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n"))
}

/// Guards against an action that runs twice because the late second copy of another request's
/// rejection counts as its own.
#[test]
fn a_late_copy_of_another_requests_rejection_is_not_a_rejection() {
    run(async {
        let steps = [Step::Reject, Step::Reject, Step::RejectTwice];
        let server = DoublingServer::start(&steps).await;
        let served = serve(single_service(&[server.address])).await;
        let rejected = send_request(served.front, &get("/once/x", "first")).await;
        assert_eq!(status(&rejected), 503, "{rejected}");
        let confused = send_request(served.front, &get("/once/x", "second")).await;
        assert_eq!(status(&confused), 502, "{confused}");
        assert_eq!(server.runs(), ["second"]);
    });
}

/// Guards against a connection that stays one reply behind, on which each later request runs and
/// gets the reply of the one before.
#[test]
fn a_connection_with_a_late_copy_is_not_used_again() {
    run(async {
        let server = DoublingServer::start(&[Step::RunAndReplyTwice]).await;
        let served = serve(single_service(&[server.address])).await;
        for (id, expected) in [("first", 200), ("second", 502), ("third", 200)] {
            let answer = send_request(served.front, &get("/once/x", id)).await;
            assert_eq!(status(&answer), expected, "{id}: {answer}");
        }
        assert_eq!(server.runs(), ["first", "second", "third"]);
    });
}

/// Guards against an action that runs twice because it is sent again on the connection on which it
/// was rejected, where the late second copy of the rejection carries its own id.
#[test]
fn an_action_is_not_sent_again_on_the_connection_that_rejected_it() {
    run(async {
        let server = DoublingServer::start(&[Step::RejectTwice]).await;
        let served = serve(single_service(&[server.address])).await;
        let answer = send_request(served.front, &get("/once/x", "i")).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!(server.runs(), ["i"]);
    });
}

/// Sends a request while the first of two servers replies with the rejection; checks the status
/// that the caller gets, and how many requests each server received.
macro_rules! unidentified_rejection {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $rejection:expr => $status:expr, $requests:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let mut first = backend(vec![rejection($rejection)]).await;
                let mut second = backend(vec![Reaction::Write(complete_reply("done"))]).await;
                let served = serve(single_service(&[first.address, second.address])).await;
                let answer = send_request(served.front, &get($path, "i")).await;
                assert_eq!(status(&answer), $status, "{answer}");
                assert_eq!([requests(&mut first), requests(&mut second)], $requests);
            });
        }
    )*};
}

unidentified_rejection! {
    /// Guards against a retry of an action that may have run, after another request's rejection.
    action_after_a_rejection_of_another_request:
        "/once/x", "503 Full\r\nx-not-run: 1\r\nx-id: other" => 502, [1, 0];
    /// Guards against a retry of an action that may have run, after a rejection that names none.
    action_after_a_rejection_without_an_id:
        "/once/x", "503 Full\r\nx-not-run: 1" => 502, [1, 0];
    /// As above, for a reply that names another server as the target.
    action_after_a_misdirection_of_another_request:
        "/once/x", "421 Misdirected\r\nx-id: other" => 502, [1, 0];
    /// As above, for a reply that names another server as the target.
    action_after_a_misdirection_without_an_id:
        "/once/x", "421 Misdirected" => 502, [1, 0];
    /// An idempotent request is sent to the other server.
    request_after_a_rejection_of_another_request:
        "/one/x", "503 Full\r\nx-not-run: 1\r\nx-id: other" => 200, [1, 1];
}

/// Guards against more attempts than the route allows, because servers that may have run the
/// request count as having rejected it.
#[test]
fn rejections_of_another_request_count_as_attempts() {
    run(async {
        let foreign = rejection("503 Full\r\nx-not-run: 1\r\nx-id: other");
        let mut servers = Vec::new();
        for _ in 0..3 {
            servers.push(backend(vec![foreign.clone()]).await);
        }
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let served = serve(single_service(&addresses)).await;
        let answer = send_request(served.front, &get("/one/x", "i")).await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert_eq!(servers.iter_mut().map(requests).sum::<usize>(), 2);
    });
}
