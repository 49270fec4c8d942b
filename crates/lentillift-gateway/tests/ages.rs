//! Age of a host's published state over slow paths: it must never be underestimated.

mod common;

use common::Backend;
use common::MemorySource;
use common::Reaction;
use common::Served;
use common::SharedHost;
use common::backend;
use common::complete_reply;
use common::follower_of;
use common::get;
use common::host;
use common::introduce;
use common::item;
use common::listener;
use common::read_message;
use common::run;
use common::send_request;
use common::serve;
use common::serve_from;
use common::single_service;
use lentillift_gateway::feed;
use lentillift_gateway::listen;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Interval between two polls of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of published changes, and the pause before each. The pause is not a multiple of any
/// message interval.
const CHANGES: u64 = 10;
const PAUSE: Duration = Duration::from_millis(270);

/// Time for which a host that does not receive a change is observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Delay of a proxied connection, as a function of the time since the proxy started.
type Lag = fn(Duration) -> Duration;

/// Proxies connections to `to`, delaying data by `lag`.
async fn delaying_proxy(listener: TcpListener, to: SocketAddr, lag: Lag) {
    let opened = Instant::now();
    while let Ok((near, _)) = listener.accept().await {
        let far = TcpStream::connect(to).await.expect("connected");
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::task::spawn_local(forward_delayed(near_in, far_out, opened, lag));
        tokio::task::spawn_local(forward_delayed(far_in, near_out, opened, lag));
    }
}

/// Forwards data in one direction, in order, with a delay.
async fn forward_delayed<R, W>(mut from: R, mut to: W, opened: Instant, lag: Lag)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin + 'static,
{
    let (sender, mut receiver) = mpsc::unbounded_channel::<(tokio::time::Instant, Vec<u8>)>();
    tokio::task::spawn_local(async move {
        while let Some((due, bytes)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let due = tokio::time::Instant::now() + lag(opened.elapsed());
        if sender.send((due, buffer[..length].to_vec())).is_err() {
            return;
        }
    }
}

fn config(revision: u64) -> Item {
    Item {
        revision,
        ..item("config", format!("s{revision}"))
    }
}

/// A host that has just read revision 1, and a follower behind a proxy that delays data by `lag`.
async fn pair(lag: Lag) -> (SharedHost, SharedHost) {
    let (inner, inside) = listener().await;
    let (outer, outside) = listener().await;
    let origin = host("origin", "a", outside, MemorySource::default());
    let items = vec![config(1)];
    origin.apply_update(Some(Update::All { revision: 1, items }), Duration::ZERO);
    origin.swim.borrow_mut().serve();
    tokio::task::spawn_local(listen::serve_hosts(origin.clone(), inner));
    tokio::task::spawn_local(delaying_proxy(outer, inside, lag));
    let unavailable = MemorySource {
        is_unavailable: true,
        ..MemorySource::default()
    };
    let (_, unused) = listener().await;
    let follower = host(&follower_of("origin"), "a", unused, unavailable);
    introduce(&origin, &follower);
    tokio::task::spawn_local(feed::follow(follower.clone()));
    (origin, follower)
}

/// Keeps verifying `origin`'s state, so that it is always fresh.
async fn keep_verified(origin: SharedHost) {
    loop {
        origin.apply_update(None, Duration::ZERO);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_revision(host: &SharedHost, revision: u64) {
    while host.catalog.borrow().revision() < revision {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Observes `host` until it has the revision that was just published, or for a limited time. It
/// must not consider its state fresher than that revision.
async fn observe_until_received(host: &SharedHost, revision: u64) {
    let published = Instant::now();
    while published.elapsed() < OBSERVATION_TIME {
        let outdated = published.elapsed();
        let age = host.age().expect("the host has state");
        if host.catalog.borrow().revision() >= revision {
            return;
        }
        assert!(
            age >= outdated,
            "age {age:?}, but outdated for {outdated:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The delay of a path grows gradually, as when a queue builds up. Each message states an age that
/// was correct when it was written. A follower that used that age alone would keep its origin and
/// answer callers from a configuration that was replaced seconds ago.
macro_rules! age_is_never_underestimated {
    ($($name:ident: $lag:expr;)*) => {$(
        #[test]
        fn $name() {
            run(async {
                let (origin, follower) = pair($lag).await;
                tokio::task::spawn_local(keep_verified(origin.clone()));
                wait_for_revision(&follower, 1).await;
                for revision in 2..=CHANGES {
                    tokio::time::sleep(PAUSE).await;
                    let items = vec![config(revision)];
                    origin.apply_update(Some(Update::Changes { revision, items }), Duration::ZERO);
                    observe_until_received(&follower, revision).await;
                }
            });
        }
    )*};
}

age_is_never_underestimated! {
    with_growing_delay: |open| open / 2;
    with_constant_delay: |_| Duration::from_millis(150);
    with_alternating_delay: |open| Duration::from_millis(open.as_millis() as u64 % 700);
}

/// The report that the service was unavailable is delayed. If its age were underestimated, entries
/// of backend servers would appear to have lapsed before the service came back, and servers that
/// are gone would be used.
#[test]
fn outage_report_includes_transit_time() {
    run(async {
        let (origin, follower) = pair(|_| Duration::from_millis(150)).await;
        tokio::task::spawn_local(keep_verified(origin.clone()));
        wait_for_revision(&follower, 1).await;
        origin.record_outage(Duration::ZERO);
        let recovered = Instant::now();
        let mut polls = 0;
        while polls < 50 {
            let outdated = recovered.elapsed();
            if let Some(outage_age) = follower.time_since_outage() {
                assert!(
                    outage_age >= outdated,
                    "outage {outage_age:?} ago, but the service recovered {outdated:?} ago"
                );
                polls += 1;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}

/// A "no change" response of the service is delayed before its first byte arrives. A host that
/// treats it as fresh takes state published meanwhile for not published.
#[test]
fn a_delayed_response_of_the_service_is_not_fresh() {
    run(async {
        let source = MemorySource {
            items: vec![config(1)],
            lag: Duration::from_millis(400),
            ..MemorySource::default()
        };
        let last_response = Rc::clone(&source.last_response);
        let (_, unused) = listener().await;
        let reader = host("reader", "a", unused, source);
        tokio::task::spawn_local(feed::follow(reader.clone()));
        wait_for_revision(&reader, 1).await;
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(4) {
            if let Some(sent_at) = last_response.get() {
                let outdated = sent_at.elapsed();
                let age = reader.age().expect("the reader has state");
                assert!(
                    age >= outdated,
                    "age {age:?}, but the response was sent {outdated:?} ago"
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}

/// A host that has only the first of two backend servers, and no update for longer than the
/// freshness bound.
async fn outdated_host() -> (Served, Backend, Backend) {
    let first = backend(vec![Reaction::Write(complete_reply("first"))]).await;
    let second = backend(vec![Reaction::Write(complete_reply("second"))]).await;
    let served = serve(single_service(&[first.address])).await;
    tokio::time::sleep(served.host.freshness.bound + POLL_INTERVAL).await;
    (served, first, second)
}

/// The update that a frozen host missed: its server has left, and another one has replaced it.
fn missed_update(second: &Backend) -> Update {
    let entry = format!("s {} a", second.address);
    let left = Item {
        revision: 2,
        value: None,
        ..item("b0", String::new())
    };
    let joined = Item {
        revision: 2,
        ..item("b1", entry)
    };
    Update::Changes {
        revision: 2,
        items: vec![left, joined],
    }
}

/// Sends a request shortly before an update; returns the answer.
async fn request_before_update(served: &Served, update: Update) -> String {
    let front = served.front;
    let answer =
        tokio::task::spawn_local(async move { send_request(front, &get("/one/x", "i")).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    served.host.apply_update(Some(update), Duration::ZERO);
    answer.await.expect("an answer")
}

/// A process freezes for longer than the freshness bound. When it resumes, requests wait in its
/// sockets next to the update that it missed; served first, they would use state that was replaced
/// meanwhile.
#[test]
fn a_resumed_host_applies_updates_before_serving() {
    run(async {
        let (served, _first, second) = outdated_host().await;
        let answer = request_before_update(&served, missed_update(&second)).await;
        assert!(answer.ends_with("second"), "{answer}");
    });
}

/// The host that reads the service freezes, and a call of its own times out meanwhile. Treated as
/// an outage of the service, this made it serve from old state.
#[test]
fn a_call_that_timed_out_during_a_freeze_is_retried() {
    run(async {
        let first = backend(vec![Reaction::Write(complete_reply("first"))]).await;
        let second = backend(vec![Reaction::Write(complete_reply("second"))]).await;
        let source = MemorySource {
            is_silent: Rc::new(Cell::new(true)),
            next_update: Rc::new(RefCell::new(Some(missed_update(&second)))),
            ..MemorySource::default()
        };
        let served = serve_from(single_service(&[first.address]), source).await;
        tokio::task::spawn_local(feed::follow(served.host.clone()));
        let is_outdated = || {
            served
                .host
                .age()
                .is_some_and(|age| age > served.host.freshness.bound)
        };
        while !is_outdated() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let answer = send_request(served.front, &get("/one/x", "i")).await;
        assert!(answer.ends_with("second"), "{answer}");
    });
}

/// The service is unavailable to all hosts. No newer state can be obtained, so callers are served
/// from the existing one without delay.
#[test]
fn a_host_serves_old_state_while_the_service_is_unavailable() {
    run(async {
        let (served, _first, second) = outdated_host().await;
        served.host.record_outage(Duration::ZERO);
        let answer = request_before_update(&served, missed_update(&second)).await;
        assert!(answer.ends_with("first"), "{answer}");
    });
}

/// Another host is cut off from the service. Taken for an outage, this made hosts serve from old
/// state although they could read the newer one.
#[test]
fn an_outdated_host_awaits_an_update_that_another_host_cannot_read() {
    run(async {
        let (served, _first, second) = outdated_host().await;
        let (_listener, node) = listener().await;
        let other = host("other", "a", node, MemorySource::default());
        other.swim.borrow_mut().serve();
        introduce(&other, &served.host);
        served.host.record_other_failure(Duration::ZERO);
        let answer = request_before_update(&served, missed_update(&second)).await;
        assert!(answer.ends_with("second"), "{answer}");
    });
}

/// A host can't reach the service, and hears of nothing newer. Its callers would wait in vain.
#[test]
fn a_host_whose_own_call_failed_serves_old_state_at_once() {
    run(async {
        let (served, _first, second) = outdated_host().await;
        served.host.record_own_failure();
        let answer = request_before_update(&served, missed_update(&second)).await;
        assert!(answer.ends_with("first"), "{answer}");
    });
}

/// A host is cut off from all origins. Its callers are served from the state that it has.
#[test]
fn an_isolated_host_serves_from_its_state() {
    run(async {
        let (served, _first, _second) = outdated_host().await;
        let answer = send_request(served.front, &get("/one/x", "i")).await;
        assert!(answer.ends_with("first"), "{answer}");
    });
}

/// A caller sends the body of its search slowly, and the index is resharded meanwhile. The search
/// used to go to the shards that were current when its head arrived.
#[test]
fn a_search_uses_the_shards_current_when_its_body_is_complete() {
    run(async {
        let old = backend(vec![Reaction::Write(complete_reply("old old old old!"))]).await;
        let new = backend(vec![Reaction::Write(complete_reply("new new new new!"))]).await;
        let published = |shard: &str, server: &Backend, revision: u64| {
            let entry = format!("{shard} {} a", server.address);
            let items = [
                item("config", shard.to_owned()),
                item(&format!("b-{shard}"), entry),
            ];
            items.map(|item| Item { revision, ..item }).to_vec()
        };
        let served = serve(published("s1", &old, 1)).await;
        let mut caller = TcpStream::connect(served.front).await.expect("connected");
        let head =
            "POST /all/x HTTP/1.1\r\nHost: search.example\r\nx-id: i\r\nContent-Length: 4\r\n\r\n";
        caller.write_all(head.as_bytes()).await.expect("written");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let items = published("s2", &new, 2);
        let update = Update::Changes { revision: 2, items };
        served.host.apply_update(Some(update), Duration::ZERO);
        caller.write_all(b"body").await.expect("written");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.ends_with("new new new new!"), "{answer}");
    });
}
