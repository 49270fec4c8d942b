//! Requests that are unanswered when their host shuts down.

mod common;

use common::Reaction;
use common::Served;
use common::SharedHost;
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
use lentillift_gateway::daemon;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Time from the start of the shutdown until the process would be killed.
const GRACE: Duration = Duration::from_millis(1200);

/// Time until the caller's deadline, in milliseconds; the route's timeout is five seconds.
const LEFT_MS: &str = "60000";

/// Id of a send that no request made.
const OTHER_SEND: u64 = u64::MAX;

/// Sends a request to a host.
fn send(served: &Served, path: &str) -> JoinHandle<String> {
    let front = served.front;
    let request = get(path, "i").replace("3000", LEFT_MS);
    tokio::task::spawn_local(async move { send_request(front, &request).await })
}

/// Shuts the host down while a request is unanswered. Returns the answer that was sent before the
/// end of the shutdown; panics if there was none.
async fn answer_at_shutdown(served: &Served, answer: JoinHandle<String>) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    daemon::shut_down(&served.host, &socket, GRACE).await;
    tokio::select! {
        biased;
        answer = answer => answer.expect("an answer"),
        () = tokio::time::sleep(Duration::from_millis(100)) => panic!("cut without an answer"),
    }
}

/// Counts one more request in flight at server `b0`.
fn count_in_flight(host: &SharedHost) {
    let now = host.now();
    let replicas = &mut host.core.borrow_mut().replicas;
    replicas.get(&"b0".into()).sent(OTHER_SEND, now);
}

/// Guards against a request that waits for a server, certainly did not run, and is cut without an
/// answer when the process exits.
#[test]
fn a_request_that_waits_is_refused() {
    run(async {
        let full = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n";
        let pause = Duration::from_millis(50);
        let mut server = backend(vec![Reaction::Pause(pause, full.to_owned())]).await;
        let served = serve(single_service(&[server.address])).await;
        let answer = send(&served, "/once/x");
        server.seen.recv().await.expect("a request");
        // With another request in flight, the server may get no further one from this host.
        count_in_flight(&served.host);
        let answer = answer_at_shutdown(&served, answer).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
    });
}

/// The server still runs the request. The caller is told that the outcome is not known.
#[test]
fn a_request_that_runs_times_out() {
    run(async {
        let mut server = backend(vec![Reaction::Hang]).await;
        let served = serve(single_service(&[server.address])).await;
        let answer = send(&served, "/once/x");
        server.seen.recv().await.expect("a request");
        let answer = answer_at_shutdown(&served, answer).await;
        assert_eq!(status(&answer), 504, "{answer}");
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    });
}

/// One shard does not reply. The caller gets the parts that are there.
#[test]
fn a_search_is_answered_with_the_parts_that_are_there() {
    run(async {
        let reply = Reaction::Write(complete_reply(&"r".repeat(16)));
        let mut servers = Vec::new();
        let mut items = vec![item("config", "s0 s1 s2 objective=10000".to_owned())];
        for (n, reaction) in [reply.clone(), reply, Reaction::Hang]
            .into_iter()
            .enumerate()
        {
            let server = backend(vec![reaction]).await;
            items.push(item(&format!("b{n}"), format!("s{n} {} a", server.address)));
            servers.push(server);
        }
        let served = serve(items).await;
        let answer = send(&served, "/all/x");
        for server in &mut servers {
            server.seen.recv().await.expect("a request");
        }
        let answer = answer_at_shutdown(&served, answer).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
    });
}
