//! Backend servers that stop at any place of a reply.

mod common;

use common::Reaction;
use common::backend;
use common::complete_reply;
use common::get;
use common::header;
use common::item;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;
use futures_util::StreamExt;
use futures_util::stream;

/// Body of the replies that stop.
const STOPPED_BODY: &str = "stopped!";

/// Head of a reply to request `i`, up to its framing.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: i\r\nx-signature: sig-stopped\r\n";

/// A way to frame a reply, and whether its end shows in the reply itself.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    /// The reply ends with its connection.
    Connection,
    /// By length, behind an interim reply.
    Interim,
}

impl Framing {
    /// A complete reply.
    fn reply(self) -> String {
        let length = STOPPED_BODY.len();
        let by_length = format!("{HEAD}Content-Length: {length}\r\n\r\n{STOPPED_BODY}");
        match self {
            Self::Length => by_length,
            Self::Chunks => format!(
                "{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nstop\r\n4\r\nped!\r\n0\r\n\r\n"
            ),
            Self::Connection => format!("{HEAD}\r\n{STOPPED_BODY}"),
            Self::Interim => format!("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n{by_length}"),
        }
    }

    /// All beginnings of the reply that don't contain the whole of it.
    fn beginnings(self) -> Vec<String> {
        let reply = self.reply();
        let end = match self {
            // What follows the head may be all of the body.
            Self::Connection => reply.len() - STOPPED_BODY.len(),
            _ => reply.len(),
        };
        (1..end).map(|end| reply[..end].to_owned()).collect()
    }
}

/// Number of cases at a time; each has some sockets.
const CONCURRENT_CASES: usize = 16;

/// Ways in which a server ends the connection.
const ENDINGS: [fn(String) -> Reaction; 3] = [
    Reaction::WriteAndClose,
    Reaction::WriteAndShutDown,
    Reaction::WriteAndReset,
];

/// Runs `check` for all beginnings of a reply and all endings of its connection.
async fn check_all<C>(framing: Framing, check: impl Fn(Reaction, String) -> C)
where
    C: Future<Output = ()>,
{
    let beginnings = framing.beginnings();
    let cases = beginnings.iter().flat_map(|beginning| {
        ENDINGS.map(|ending| check(ending(beginning.clone()), beginning.clone()))
    });
    let cases = stream::iter(cases).buffer_unordered(CONCURRENT_CASES);
    cases.collect::<()>().await;
}

/// An idempotent request gets the reply of the other server.
async fn check_request_is_repeated(stop: Reaction, beginning: String) {
    let stopping = backend(vec![stop]).await;
    let sound = backend(vec![Reaction::Write(complete_reply("done"))]).await;
    let served = serve(single_service(&[stopping.address, sound.address])).await;
    let answer = send_request(served.front, &get("/one/x", "i")).await;
    assert_eq!(status(&answer), 200, "{beginning:?}: {answer}");
    assert!(answer.ends_with("done"), "{beginning:?}: {answer}");
}

/// An action fails, and nothing of the reply is passed on.
async fn check_action_fails(stop: Reaction, beginning: String) {
    let stopping = backend(vec![stop]).await;
    let served = serve(single_service(&[stopping.address])).await;
    let answer = send_request(served.front, &get("/once/x", "i")).await;
    assert_eq!(status(&answer), 502, "{beginning:?}: {answer}");
    assert!(!answer.contains("stop"), "{beginning:?}: {answer}");
}

/// An action fails whose server stops on a connection on which it has replied before.
async fn check_second_action_fails(stop: Reaction, beginning: String) {
    let first = Reaction::Write(complete_reply("first"));
    let stopping = backend(vec![first, stop]).await;
    let served = serve(single_service(&[stopping.address])).await;
    let answer = send_request(served.front, &get("/once/x", "h")).await;
    assert!(answer.ends_with("first"), "{answer}");
    let answer = send_request(served.front, &get("/once/x", "i")).await;
    assert_eq!(status(&answer), 502, "{beginning:?}: {answer}");
    assert!(!answer.contains("stop"), "{beginning:?}: {answer}");
    // One for both actions, and perhaps one that tested whether the server had ended.
    assert!(served.host.pool.opened() <= 2);
}

/// A search states that the shard is missing.
async fn check_shard_is_missing(stop: Reaction, beginning: String) {
    let stopping = backend(vec![stop]).await;
    let sound = backend(vec![Reaction::Write(complete_reply("done"))]).await;
    let items = vec![
        item("config", "s0 s1 objective=400".to_owned()),
        item("b0", format!("s0 {} a", stopping.address)),
        item("b1", format!("s1 {} a", sound.address)),
    ];
    let served = serve(items).await;
    let answer = send_request(served.front, &get("/all/x", "i")).await;
    assert_eq!(status(&answer), 200, "{beginning:?}: {answer}");
    let missing = header(&answer, "x-missing");
    assert_eq!(missing.as_deref(), Some("1"), "{beginning:?}: {answer}");
    assert!(!answer.contains("stop"), "{beginning:?}: {answer}");
}

macro_rules! stopped {
    ($($name:ident: $framing:expr, $check:expr;)*) => {$(
        /// Guards against a reply that stops, and is passed on as if it were whole.
        #[test]
        fn $name() {
            run(check_all($framing, $check));
        }
    )*};
}

stopped! {
    request_with_a_length: Framing::Length, check_request_is_repeated;
    request_with_chunks: Framing::Chunks, check_request_is_repeated;
    request_that_ends_with_its_connection: Framing::Connection, check_request_is_repeated;
    request_with_an_interim_reply: Framing::Interim, check_request_is_repeated;
    action_with_a_length: Framing::Length, check_action_fails;
    action_with_chunks: Framing::Chunks, check_action_fails;
    action_that_ends_with_its_connection: Framing::Connection, check_action_fails;
    action_with_an_interim_reply: Framing::Interim, check_action_fails;
    second_action_with_a_length: Framing::Length, check_second_action_fails;
    second_action_with_chunks: Framing::Chunks, check_second_action_fails;
    second_action_that_ends_with_its_connection: Framing::Connection, check_second_action_fails;
    second_action_with_an_interim_reply: Framing::Interim, check_second_action_fails;
    shard_with_a_length: Framing::Length, check_shard_is_missing;
    shard_with_chunks: Framing::Chunks, check_shard_is_missing;
    shard_that_ends_with_its_connection: Framing::Connection, check_shard_is_missing;
    shard_with_an_interim_reply: Framing::Interim, check_shard_is_missing;
}

/// A server begins another reply behind a whole one, and stops in it. Guards against a request that
/// gets the beginning of a reply that no request waited for.
#[test]
fn a_reply_that_stops_behind_another_one_belongs_to_no_request() {
    run(async {
        for beginning in Framing::Length.beginnings() {
            let reply = complete_reply("first") + &beginning;
            let reactions = vec![
                Reaction::WriteAndClose(reply),
                Reaction::Write(complete_reply("second")),
            ];
            let server = backend(reactions).await;
            let served = serve(single_service(&[server.address])).await;
            for (id, body) in [("a", "first"), ("b", "second")] {
                let answer = send_request(served.front, &get("/once/x", id)).await;
                assert_eq!(status(&answer), 200, "{beginning:?}: {answer}");
                assert!(answer.ends_with(body), "{beginning:?}: {answer}");
            }
        }
    });
}

/// A server stops in a head and sends another reply on the same connection, so that two heads become
/// one. Guards against an answer with the status or the fields of the first.
#[test]
fn a_reply_that_is_begun_anew_has_nothing_of_its_beginning() {
    run(async {
        let mut success = Framing::Length.beginnings();
        success.retain(|start| !start.contains("\r\n\r\n"));
        let failure = success.iter().map(|start| start.replace("200", "503"));
        for beginning in failure.chain(success.clone()) {
            let reply = beginning.clone() + &complete_reply("done");
            let server = backend(vec![Reaction::WriteAndClose(reply)]).await;
            let served = serve(single_service(&[server.address])).await;
            let answer = send_request(served.front, &get("/once/x", "i")).await;
            assert_ne!(status(&answer), 503, "{beginning:?}: {answer}");
            assert!(!answer.contains("stop"), "{beginning:?}: {answer}");
        }
    });
}
