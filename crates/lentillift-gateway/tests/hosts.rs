//! Communication between hosts: parts of a search, and published state.

mod common;

use common::MemorySource;
use common::Reaction;
use common::SharedHost;
use common::backend;
use common::complete_reply;
use common::front;
use common::get;
use common::header;
use common::host;
use common::introduce;
use common::item;
use common::listener;
use common::run;
use common::send_request;
use common::start;
use common::status;
use lentillift_gateway::feed;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use std::time::Duration;

/// Five shards with one replica each, in failure domain `b`.
async fn shards(reactions: [Reaction; 5]) -> Vec<Item> {
    let mut items = vec![item("config", "s0 s1 s2 s3 s4".to_owned())];
    for (n, reaction) in reactions.into_iter().enumerate() {
        let server = backend(vec![reaction]).await;
        items.push(item(&format!("b{n}"), format!("s{n} {} b", server.address)));
    }
    items
}

fn record(letter: char) -> Reaction {
    Reaction::Write(complete_reply(&letter.to_string().repeat(16)))
}

fn counted(host: &SharedHost, line: &str) -> bool {
    host.metrics.render(host.now()).contains(line)
}

/// Searches through a host in domain `a` that knows one in domain `b`, each with its own published
/// state; checks that the search succeeds.
async fn search_with_helper(near: Vec<Item>, far: Vec<Item>) -> (SharedHost, String) {
    let entry = start("entry", "a", near).await;
    let helper = start("helper", "b", far).await;
    introduce(&helper, &entry);
    let answer = send_request(front(&entry).await, &get("/all/x", "i")).await;
    assert_eq!(status(&answer), 200);
    (entry, answer)
}

#[test]
fn another_host_merges_distant_shards() {
    run(async {
        let reactions = ['a', 'e', 'c', 'b', 'd'].map(record);
        let items = shards(reactions).await;
        let (entry, answer) = search_with_helper(items.clone(), items).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        let expected: String = ['e', 'd', 'c', 'b', 'a']
            .map(|c| c.to_string().repeat(16))
            .concat();
        assert!(answer.ends_with(&expected), "{answer}");
        assert!(counted(&entry, "sends_total{kind=\"host\"} 1"));
        assert!(!counted(&entry, "kind=\"far\""));
    });
}

/// The other host does not know the route yet, as after a configuration change. It declines without
/// sending anything, and the backend servers are queried directly.
#[test]
fn a_declined_branch_request_falls_back_to_direct_sends() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let (entry, answer) = search_with_helper(items, Vec::new()).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        assert!(counted(&entry, "sends_total{kind=\"far\"} 5"));
    });
}

/// A branch request was delayed in transit for longer than work may continue for a caller that has
/// left, as behind a saturated link. The other host sends nothing and declines, and the backend
/// servers are queried directly.
#[test]
fn a_delayed_branch_request_is_declined() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let entry = start("entry", "a", items.clone()).await;
        let helper = start("helper", "b", items).await;
        introduce(&helper, &entry);
        // Makes the next request appear delayed by ten seconds: an earlier one, stamped ten seconds
        // ahead, arrived without delay.
        let stamp = Stamp {
            host: entry.name.clone(),
            incarnation: entry.swim.borrow().own().incarnation,
            at: entry.now() + Duration::from_secs(10),
        };
        helper.delays.borrow_mut().note(&stamp, helper.now());
        let answer = send_request(front(&entry).await, &get("/all/x", "i")).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        assert!(counted(&entry, "sends_total{kind=\"far\"} 5"));
        assert!(!counted(&helper, "sends_total"));
    });
}

/// The other host is gone, and its port is closed.
#[test]
fn an_unreachable_host_is_bypassed() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let entry = start("entry", "a", items).await;
        let (closed, node) = listener().await;
        drop(closed);
        let gone = host("gone", "b", node, MemorySource::default());
        gone.swim.borrow_mut().serve();
        introduce(&gone, &entry);
        let answer = send_request(front(&entry).await, &get("/all/x", "i")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
    });
}

/// One backend server of the other host fails. The answer states that one part is missing.
#[test]
fn a_part_that_failed_at_another_host_is_missing() {
    run(async {
        let failure =
            "HTTP/1.1 500 Oops\r\nx-signature: s\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n";
        let mut reactions = ['a', 'b', 'c', 'd', 'e'].map(record);
        reactions[2] = Reaction::Write(failure.to_owned());
        let items = shards(reactions).await;
        let (_entry, answer) = search_with_helper(items.clone(), items).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
        let parts = header(&answer, "x-parts").expect("parts");
        assert_eq!(parts.split(',').count(), 4);
    });
}

/// One host has the published state and another follows it: first the complete state, then each
/// change.
#[test]
fn a_follower_receives_the_state_and_each_change() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let reader = start("reader", "a", items).await;
        let follower = start("follower", "a", Vec::new()).await;
        introduce(&reader, &follower);
        introduce(&follower, &reader);
        let mut changed = follower.changed.subscribe();
        tokio::task::spawn_local(feed::follow(follower.clone()));
        changed.changed().await.expect("a change");
        assert!(follower.is_ready());
        let update = Update::Changes {
            revision: 9,
            items: vec![Item {
                key: "b4".to_owned(),
                revision: 9,
                value: None,
            }],
        };
        reader.apply_update(Some(update), Duration::ZERO);
        while follower.catalog.borrow().revision() < 9 {
            changed.changed().await.expect("a change");
        }
        let view = follower.core.borrow().view.clone().expect("a view");
        assert!(view.servers["s4"][0].last_resort_until.is_some());
    });
}

/// The service refuses the host that reads it for the others. Followers would detect that only by
/// the age of the state that they receive, two thirds of the freshness bound later; notified at
/// once, they switch to the next origin.
#[test]
fn a_follower_leaves_an_origin_that_lost_its_own() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let reader = start("reader", "a", items).await;
        let follower = start("follower", "a", Vec::new()).await;
        introduce(&reader, &follower);
        let mut changed = follower.changed.subscribe();
        tokio::task::spawn_local(feed::follow(follower.clone()));
        changed.changed().await.expect("a change");
        assert!(!counted(&follower, "service_calls"));
        reader.origin_reachable.set(false);
        reader.changed.send_modify(|count| *count += 1);
        while !counted(&follower, "service_calls_total{kind=\"watch\"") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
