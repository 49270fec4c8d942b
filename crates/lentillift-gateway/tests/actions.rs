//! Requests that may not be repeated, at each stage at which something could send or answer them twice.

mod common;

use common::Act;
use common::Backend;
use common::ask;
use common::backend;
use common::get;
use common::item;
use common::listener;
use common::run;
use common::serve;
use common::singles;
use common::status;
use common::whole;
use http::Request;
use http_body_util::Full;
use lentillift_gateway::host::Stage;
use lentillift_gateway::pool::Failure;
use lentillift_scatter::config::Kind;
use lentillift_scatter::source::News;
use std::time::Duration;

/// Time that a caller waits in these tests.
const LEFT_MS: u64 = 300;

/// How often a server was asked.
fn asked(server: &mut Backend) -> usize {
    let seen = std::iter::from_fn(|| server.seen.try_recv().ok());
    seen.filter(|message| message != "closed").count()
}

fn reply(text: &str) -> Act {
    Act::Write(whole(text))
}

/// A reply without a signature and with this head.
fn head(text: &str) -> Act {
    Act::Write(format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n"))
}

fn nothing_and_close() -> Act {
    Act::WriteAndClose(String::new())
}

fn nothing_and_reset() -> Act {
    Act::WriteAndReset(String::new())
}

/// An action that is asked of two servers, the first of which does what the case says. The caller gets the
/// status, and the servers were asked as often as the case allows.
macro_rules! action {
    ($($(#[$doc:meta])* $name:ident: $first:expr => $status:expr, $asked:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let mut first = backend(vec![$first]).await;
                let mut second = backend(vec![reply("done")]).await;
                let served = serve(singles(&[first.address, second.address])).await;
                let request = get("/once/x", "i").replace("3000", &LEFT_MS.to_string());
                let answer = ask(served.front, &request).await;
                assert_eq!(status(&answer), $status, "{answer}");
                // Whatever would be sent again is sent by then.
                tokio::time::sleep(Duration::from_millis(LEFT_MS)).await;
                assert_eq!([asked(&mut first), asked(&mut second)], $asked);
            });
        }
    )*};
}

action! {
    done_at_once: reply("done") => 200, [1, 0];
    /// The server took the request, and its connection ends without a byte. It may have run.
    closed_without_a_reply: nothing_and_close() => 502, [1, 0];
    /// The same, by a reset.
    reset_without_a_reply: nothing_and_reset() => 502, [1, 0];
    /// The server is silent until the caller's time is over. That is no refusal: it may run yet.
    silent_until_the_end: Act::Hang => 504, [1, 0];
    /// The reply breaks off in the middle.
    cut_reply: Act::WriteAndClose("HTTP/1.1 200 OK\r\nx-signature: s\r\nContent-Length: 9\r\n\r\nhalf".to_owned())
        => 502, [1, 0];
    /// Something on the way says that the service is away, without the server's word that nothing ran.
    unsigned_refusal: head("503 Service Unavailable") => 502, [1, 0];
    /// The server says itself that it failed. It has run.
    signed_failure: Act::Write("HTTP/1.1 500 Oops\r\nx-signature: s\r\nContent-Length: 0\r\n\r\n".to_owned())
        => 500, [1, 0];
    /// The server is full and says that nothing ran.
    turned_away: head("503 Full\r\nx-not-run: 1") => 200, [1, 1];
    /// The address belongs to another server by now, which ran nothing.
    misdirected: head("421 Misdirected") => 200, [1, 1];
}

/// Nobody listens at the first server's address. Nothing was sent, so the second one runs it.
#[test]
fn unreachable() {
    run(async {
        let (closed, address) = listener().await;
        drop(closed);
        let mut second = backend(vec![reply("done")]).await;
        let served = serve(singles(&[address, second.address])).await;
        let answer = ask(served.front, &get("/once/x", "i")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(asked(&mut second), 1);
    });
}

/// One server that replies once the given thing has happened to the host while it was at work.
async fn at_work<F>(happens: F) -> String
where
    F: FnOnce(&common::Shared),
{
    let mut server = backend(vec![Act::Pause(Duration::from_millis(200), whole("done"))]).await;
    let served = serve(singles(&[server.address])).await;
    let request = get("/once/x", "i");
    let mut answer = std::pin::pin!(ask(served.front, &request));
    let seen = tokio::select! {
        early = answer.as_mut() => panic!("answered before it ran: {early}"),
        seen = server.seen.recv() => seen,
    };
    assert!(seen.is_some());
    happens(&served.host);
    let answer = answer.await;
    assert_eq!(asked(&mut server), 0, "it was sent again");
    answer
}

/// The host is told to end while the server is at work. The caller gets the reply, and nothing is sent again.
#[test]
fn at_work_while_its_host_ends() {
    run(async {
        let answer = at_work(|host| {
            host.stage.send_replace(Stage::Leaving);
            host.stage.send_replace(Stage::Closing);
        });
        let answer = answer.await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("done"));
    });
}

/// The server's entry is gone while it is at work, as when it leaves without a word.
#[test]
fn at_work_while_its_server_lapses() {
    run(async {
        let answer = at_work(|host| {
            let mut gone = item("b0", String::new());
            gone.value = None;
            gone.revision = 9;
            let items = vec![gone];
            host.apply_update(Some(News::Changes { revision: 9, items }), Duration::ZERO);
        });
        assert_eq!(status(&answer.await), 200);
    });
}

/// A new configuration comes into force while the server is at work.
#[test]
fn at_work_while_the_configuration_changes() {
    run(async {
        let answer = at_work(|host| {
            let mut config = item("config", "s7 s8".to_owned());
            config.revision = 9;
            let items = vec![config];
            host.apply_update(Some(News::Changes { revision: 9, items }), Duration::ZERO);
        });
        assert_eq!(status(&answer.await), 200);
    });
}

/// A server says that it leaves while the connection to it is being opened. The request was decided before
/// and would reach it too late; nothing is written, so another server may run it.
#[test]
fn left_while_the_connection_opened() {
    run(async {
        let mut backend = backend(vec![reply("done")]).await;
        let served = serve(singles(&[backend.address])).await;
        let view = served.host.core.borrow().view.clone().expect("a view");
        let server = &view.servers["s"][0];
        let request = Request::new(Full::default());
        let pool = &served.host.pool;
        let ended = pool.exchange(server, Kind::Once, request, || false).await;
        assert!(matches!(ended, Err(Failure::Unsent(_))), "{ended:?}");
        assert_eq!(asked(&mut backend), 0);
    });
}
