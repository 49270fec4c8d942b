//! Choice of a replica: paused, slow, failing and queueing servers, and ones that recover.

mod common;

use common::MS;
use common::START;
use common::core;
use common::route;
use common::scatter;
use common::server;
use common::view;
use lentillift_core::time::Time;
use lentillift_scatter::config::Kind;
use lentillift_scatter::core::Core;
use lentillift_scatter::replica::Load;
use lentillift_scatter::replica::Observation;
use lentillift_scatter::share::Place;
use lentillift_scatter::share::Share;
use std::sync::Arc;
use std::time::Duration;

const TYPICAL: Duration = Duration::from_millis(10);

/// One shard with a local replica `near` and a remote one `far`.
fn pair() -> Core {
    let route = route(scatter(1, 1.0), Kind::Idempotent);
    core(view(
        route,
        vec![server("near", "s0", "a"), server("far", "s0", "b")],
    ))
}

fn choice(core: &mut Core, now: Time) -> String {
    let view = core.view.clone().expect("a view");
    let choice = core.choose(&view, &"s0".into(), TYPICAL, now, |_| true);
    choice.map_or("none".to_owned(), |choice| {
        choice.server.entry.id.to_string()
    })
}

/// Makes one send to `id` that ends like this.
fn send(core: &mut Core, id: &str, sent: Time, ended: Time, observation: Observation) {
    let send_id = core.next_send_id();
    core.replicas.get(&id.into()).sent(send_id, sent);
    core.ended(send_id, &id.into(), observation, ended, None);
}

fn slow(factor: f64) -> Observation {
    Observation::Replied { slowness: factor }
}

#[test]
fn the_local_replica_is_preferred() {
    assert_eq!(choice(&mut pair(), START), "near");
}

/// The local replica stops answering for a moment. A request in flight reveals it after a few
/// typical reply times, long before any timeout; the next requests go elsewhere.
#[test]
fn a_pause_is_detected_within_a_few_reply_times() {
    let mut core = pair();
    core.replicas.get(&"near".into()).sent(1, START);
    assert_eq!(choice(&mut core, START + TYPICAL), "near");
    assert_eq!(choice(&mut core, START + TYPICAL * 4), "far");
}

/// The pause ends and its requests are answered late, three at once. The server is as fast as
/// before; if it counted as slow, its requests would go to another failure domain for seconds.
#[test]
fn a_pause_that_is_over_is_forgotten() {
    let mut core = pair();
    for send_id in 1..=3 {
        core.replicas.get(&"near".into()).sent(send_id, START);
    }
    for send_id in 1..=3 {
        core.ended(send_id, &"near".into(), slow(15.0), START + MS * 150, None);
    }
    assert_eq!(choice(&mut core, START + MS * 151), "near");
}

/// The local replica is permanently slow. After a few replies requests go to the other one.
#[test]
fn a_slow_server_is_avoided() {
    let mut core = pair();
    let mut now = START;
    for _ in 0..4 {
        send(&mut core, "near", now, now + TYPICAL * 8, slow(8.0));
        now += TYPICAL * 8;
    }
    assert_eq!(choice(&mut core, now), "far");
}

/// The local replica is nine times slower for some seconds while ten requests a second ask for its
/// shard. If it were retried as often as a moderately slow server, it would make a part late every
/// half second, and with fifteen such servers no search would be complete.
#[test]
fn a_very_slow_server_is_rarely_tried() {
    let mut core = pair();
    let mut tried = 0;
    for tick in 0..80 {
        let now = START + MS * 100 * tick;
        if choice(&mut core, now) == "near" {
            tried += 1;
            send(&mut core, "near", now, now + TYPICAL * 9, slow(9.0));
        }
    }
    assert!(tried <= 9, "tried {tried} times in eight seconds");
}

/// The slow replica recovers while no request uses it. It is tried again within seconds.
#[test]
fn a_slow_server_is_tried_again() {
    let mut core = pair();
    let mut now = START;
    for _ in 0..10 {
        send(&mut core, "near", now, now + TYPICAL * 8, slow(8.0));
        now += TYPICAL * 8;
    }
    assert_eq!(choice(&mut core, now), "far");
    assert_eq!(choice(&mut core, now + Duration::from_secs(5)), "near");
}

/// The local replica fails a part of its requests though its health reports are good.
#[test]
fn a_failing_server_is_avoided() {
    let mut core = pair();
    for _ in 0..2 {
        send(&mut core, "near", START, START + MS, Observation::Failed);
    }
    assert_eq!(choice(&mut core, START + MS * 2), "far");
}

macro_rules! reported_queues {
    ($($(#[$doc:meta])* $name:ident: $running:expr, $waiting:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            check_reported_queue($running, $waiting);
        }
    )*};
}

reported_queues! {
    /// The local replica reports five queued or running requests. The report soon expires.
    a_queue_is_avoided_while_it_lasts: 2, 3;
    /// Guards against a reply whose load is too large to add up, and ends the request or makes the server look idle.
    a_queue_beyond_all_numbers_is_avoided: u32::MAX, u32::MAX;
}

fn check_reported_queue(running: u32, waiting: u32) {
    let mut core = pair();
    let load = Load {
        running,
        waiting,
        slots: 2,
    };
    let send_id = core.next_send_id();
    core.replicas.get(&"near".into()).sent(send_id, START);
    core.ended(
        send_id,
        &"near".into(),
        slow(1.0),
        START + TYPICAL,
        Some(load),
    );
    assert_eq!(choice(&mut core, START + TYPICAL), "far");
    assert_eq!(choice(&mut core, START + MS * 200), "near");
}

/// Nothing listens at the local replica's address. It is backed off, for longer each time, and
/// tried again.
#[test]
fn an_unreachable_server_is_backed_off() {
    let mut core = pair();
    send(&mut core, "near", START, START, Observation::Unreachable);
    assert_eq!(choice(&mut core, START + MS * 50), "far");
    assert_eq!(choice(&mut core, START + MS * 150), "near");
    send(
        &mut core,
        "near",
        START,
        START + MS * 150,
        Observation::Unreachable,
    );
    assert_eq!(choice(&mut core, START + MS * 300), "far");
}

/// Both replicas have as many requests in flight as this host's share of their connections. One
/// more would be reset, or take a connection from another host.
#[test]
fn no_more_requests_than_connections() {
    let mut core = pair();
    let place = Place {
        hosts: 100,
        rank: 0,
    };
    core.share = Share::new(place, Time::ZERO);
    for id in ["near", "far"] {
        core.replicas.get(&id.into()).sent(1, START);
        core.replicas.get(&id.into()).sent(2, START);
    }
    assert_eq!(choice(&mut core, START), "none");
}

/// Both replicas failed several times and are backed off. One request at a time still finds out
/// whether one has recovered; otherwise callers would be refused for seconds without need.
#[test]
fn servers_that_are_all_left_alone_are_tried_one_by_one() {
    let mut core = pair();
    for id in ["near", "far"] {
        for _ in 0..5 {
            send(&mut core, id, START, START, Observation::Failed);
        }
    }
    assert_eq!(choice(&mut core, START + MS), "near");
    core.replicas.get(&"near".into()).sent(100, START + MS);
    assert_eq!(choice(&mut core, START + MS * 2), "far");
    core.replicas.get(&"far".into()).sent(101, START + MS * 2);
    assert_eq!(choice(&mut core, START + MS * 3), "none");
}

/// A connection had to be opened for a send. Meanwhile the server's failure domain was evacuated,
/// or the server has been leaving for longer than it may be used. If the send were made anyway, it
/// would reach a server that is gone.
#[test]
fn a_send_that_waited_is_made_only_if_its_server_may_still_be_used() {
    let mut core = pair();
    let near = server("near", "s0", "a");
    assert!(core.may_send(&near, START));
    assert!(!core.may_send(&server("gone", "s0", "a"), START));

    let mut leaving = (*near).clone();
    leaving.last_resort_until = Some(START + MS * 10);
    let route = route(scatter(1, 1.0), Kind::Idempotent);
    let mut latest = view(route, vec![Arc::new(leaving)]);
    core.adopt(latest.clone());
    assert!(core.may_send(&near, START + MS * 9));
    assert!(!core.may_send(&near, START + MS * 10));

    latest.evacuated.insert("a".into());
    core.adopt(latest);
    assert!(!core.may_send(&near, START));
}
