//! What hosts tell each other: parts of a search, and what is published.

mod common;

use common::Act;
use common::Memory;
use common::Shared;
use common::ask;
use common::backend;
use common::front;
use common::get;
use common::header;
use common::host;
use common::introduce;
use common::item;
use common::listener;
use common::run;
use common::start;
use common::status;
use common::whole;
use lentillift_gateway::feed;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::News;
use std::time::Duration;

/// Five shards with one replica each in failure domain `b`.
async fn shards(acts: [Act; 5]) -> Vec<Item> {
    let mut items = vec![item("config", "s0 s1 s2 s3 s4".to_owned())];
    for (n, act) in acts.into_iter().enumerate() {
        let server = backend(vec![act]).await;
        items.push(item(&format!("b{n}"), format!("s{n} {} b", server.address)));
    }
    items
}

fn record(letter: char) -> Act {
    Act::Write(whole(&letter.to_string().repeat(16)))
}

fn counted(host: &Shared, line: &str) -> bool {
    host.metrics.render(host.now()).contains(line)
}

/// A search through a host in domain `a` that knows one in domain `b`, each with what it believes; the
/// answer is a success.
async fn search_beside_helper(near: Vec<Item>, far: Vec<Item>) -> (Shared, String) {
    let entry = start("entry", "a", near).await;
    let helper = start("helper", "b", far).await;
    introduce(&helper, &entry);
    let answer = ask(front(&entry).await, &get("/all/x", "i")).await;
    assert_eq!(status(&answer), 200);
    (entry, answer)
}

#[test]
fn another_host_merges_what_is_far() {
    run(async {
        let acts = ['a', 'e', 'c', 'b', 'd'].map(record);
        let items = shards(acts).await;
        let (entry, answer) = search_beside_helper(items.clone(), items).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        let expected: String = ['e', 'd', 'c', 'b', 'a']
            .map(|c| c.to_string().repeat(16))
            .concat();
        assert!(answer.ends_with(&expected), "{answer}");
        assert!(counted(&entry, "sends_total{kind=\"host\"} 1"));
        assert!(!counted(&entry, "kind=\"far\""));
    });
}

/// The host that is asked does not know the route yet, as after a change of the configuration. It
/// declines, nothing was sent, and the backend servers are asked directly.
#[test]
fn a_host_that_declines_costs_nothing() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let (entry, answer) = search_beside_helper(items, Vec::new()).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        assert!(counted(&entry, "sends_total{kind=\"far\"} 5"));
    });
}

/// A question was held up on its way for longer than a caller that has left may be worked for, as behind a
/// full link. The host that is asked sends nothing and says so, and the backend servers are asked
/// directly.
#[test]
fn a_question_that_was_held_up_is_declined() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let entry = start("entry", "a", items.clone()).await;
        let helper = start("helper", "b", items).await;
        introduce(&helper, &entry);
        // An earlier question came ten seconds after it was asked less than the next one will.
        let stamp = Stamp {
            host: entry.name.clone(),
            incarnation: entry.swim.borrow().own().incarnation,
            at: entry.now() + Duration::from_secs(10),
        };
        helper.delays.borrow_mut().note(&stamp, helper.now());
        let answer = ask(front(&entry).await, &get("/all/x", "i")).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        assert!(counted(&entry, "sends_total{kind=\"far\"} 5"));
        assert!(!counted(&helper, "sends_total"));
    });
}

/// The host that is asked is gone, and nobody listens at its address.
#[test]
fn a_host_that_is_gone_is_gone_round() {
    run(async {
        let items = shards(['a', 'b', 'c', 'd', 'e'].map(record)).await;
        let entry = start("entry", "a", items).await;
        let (closed, node) = listener().await;
        drop(closed);
        let gone = host("gone", "b", node, Memory::default());
        gone.swim.borrow_mut().serve();
        introduce(&gone, &entry);
        let answer = ask(front(&entry).await, &get("/all/x", "i")).await;
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
    });
}

/// One backend server of the host that is asked fails. The answer says that one part is missing.
#[test]
fn a_part_that_failed_elsewhere_is_missing() {
    run(async {
        let failure = "HTTP/1.1 500 Oops\r\nx-signature: s\r\nContent-Length: 0\r\n\r\n";
        let mut acts = ['a', 'b', 'c', 'd', 'e'].map(record);
        acts[2] = Act::Write(failure.to_owned());
        let items = shards(acts).await;
        let (_entry, answer) = search_beside_helper(items.clone(), items).await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
        let parts = header(&answer, "x-parts").expect("parts");
        assert_eq!(parts.split(',').count(), 4);
    });
}

/// One host reads what is published and the other follows it: at first everything, then each change.
#[test]
fn a_follower_learns_everything_and_each_change() {
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
        let news = News::Changes {
            revision: 9,
            items: vec![Item {
                key: "b4".to_owned(),
                revision: 9,
                value: None,
            }],
        };
        reader.apply_update(Some(news), Duration::ZERO);
        while follower.catalog.borrow().revision() < 9 {
            changed.changed().await.expect("a change");
        }
        let view = follower.core.borrow().view.clone().expect("a view");
        assert!(view.servers["s4"][0].last_resort_until.is_some());
    });
}

/// The service turns away the host that reads it for the others. They would find out by the age of what
/// they are told, two thirds of the time later in which news has to be in force; told at once, they go on
/// to the next origin.
#[test]
fn a_follower_leaves_one_that_lost_its_origin() {
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
