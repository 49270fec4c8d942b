//! What hosts conclude from calls to the service that fail: an outage, or a host that is cut off.

mod common;

use common::MemorySource;
use common::SharedHost;
use common::follower_of;
use common::host;
use common::introduce;
use common::listener;
use common::run;
use common::single_service;
use lentillift_core::time::Time;
use lentillift_fleet::follow::Origin;
use lentillift_gateway::feed;
use lentillift_gateway::listen;
use lentillift_scatter::grace::OUTAGE_GRACE;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two polls of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Address of the backend server `b0`, which gets no requests in tests of its grace.
const UNUSED: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// A host and the controls of its link to the service.
struct Node {
    host: SharedHost,
    is_cut: Rc<Cell<bool>>,
    next_update: Rc<RefCell<Option<Update>>>,
}

impl Node {
    /// Starts a host that serves others and knows of `b0`, but follows no published state yet.
    async fn start(name: &str) -> Self {
        let (listener, node) = listener().await;
        let items = single_service(&[UNUSED]);
        let source = MemorySource {
            items: items.clone(),
            ..MemorySource::default()
        };
        let is_cut = Rc::clone(&source.is_cut);
        let next_update = Rc::clone(&source.next_update);
        let host = host(name, "a", node, source);
        host.apply_update(Some(Update::All { revision: 1, items }), Duration::ZERO);
        host.swim.borrow_mut().serve();
        tokio::task::spawn_local(listen::serve_hosts(host.clone(), listener));
        Self {
            host,
            is_cut,
            next_update,
        }
    }

    /// Starts to follow published state.
    fn follow(&self) {
        tokio::task::spawn_local(feed::follow(self.host.clone()));
    }

    /// Until when `b0` may be used as a last resort, once its entry is gone.
    async fn grace_end(&self) -> Time {
        wait_until(|| self.host.catalog.borrow().revision() >= 2).await;
        let view = self.host.core.borrow().view.clone().expect("a view");
        view.servers["s"][0]
            .last_resort_until
            .expect("its entry is gone")
    }
}

async fn wait_until<C>(condition: C)
where
    C: Fn() -> bool,
{
    while !condition() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The entry of `b0` is removed.
fn departure() -> Update {
    let left = Item {
        key: "b0".to_owned(),
        revision: 2,
        value: None,
    };
    Update::Changes {
        revision: 2,
        items: vec![left],
    }
}

/// A host that reads the service, and one that follows it.
async fn fleet() -> (Node, Node) {
    let reader = Node::start("reader").await;
    let follower = Node::start(&follower_of("reader")).await;
    introduce(&reader.host, &follower.host);
    introduce(&follower.host, &reader.host);
    (reader, follower)
}

/// Waits until the follower receives its state from the reader, and cuts the reader off from the
/// service; returns when `b0` leaves: at once.
async fn cut_reader_off(reader: &Node, follower: &Node) -> Time {
    reader.follow();
    follower.follow();
    let from_reader = Some(Origin::Host("reader".into()));
    wait_until(|| *follower.host.origin.borrow() == from_reader).await;
    wait_until(|| follower.host.path.borrow().hosts().len() == 2).await;
    reader.is_cut.set(true);
    let confirmed = reader.host.verified_at.get();
    // The call in flight is still answered.
    wait_until(|| reader.host.verified_at.get() != confirmed).await;
    reader.host.now()
}

/// Only the host that reads the service is cut off from it while a backend server leaves. Taken for
/// an outage, this let hosts that were never cut off send to the server until after its exit.
#[test]
fn a_follower_of_a_host_that_is_cut_off_uses_no_server_after_the_bound() {
    run(async {
        let (reader, follower) = fleet().await;
        let left = cut_reader_off(&reader, &follower).await;
        follower.next_update.replace(Some(departure()));
        let grace_end = follower.grace_end().await;
        assert!(grace_end <= left + follower.host.freshness.bound);
    });
}

/// The host that is cut off hears of the departure from another host. Its own failed calls let it
/// send to the server until after its exit.
#[test]
fn a_host_that_is_cut_off_uses_no_server_after_the_bound() {
    run(async {
        let (reader, follower) = fleet().await;
        let left = cut_reader_off(&reader, &follower).await;
        follower.next_update.replace(Some(departure()));
        let grace_end = reader.grace_end().await;
        assert!(grace_end <= left + reader.host.freshness.bound);
    });
}

/// The service fails for all hosts for longer than the bound, and entries lapse because nobody can
/// renew them. Counted from the last confirmation, the grace of all servers would be over at once.
#[test]
fn after_an_outage_a_server_is_kept_until_its_entry_is_renewed() {
    run(async {
        let (reader, follower) = fleet().await;
        follower.is_cut.set(true);
        cut_reader_off(&reader, &follower).await;
        wait_until(|| !follower.host.origin_reachable.get()).await;
        wait_until(|| follower.host.time_since_outage().is_some()).await;
        let bound = follower.host.freshness.bound;
        wait_until(|| follower.host.age().is_some_and(|age| age > bound)).await;
        follower.next_update.replace(Some(departure()));
        follower.is_cut.set(false);
        let recovered = follower.host.now();
        let grace_end = follower.grace_end().await;
        assert!(grace_end >= recovered + OUTAGE_GRACE);
        assert!(reader.grace_end().await >= recovered + OUTAGE_GRACE);
    });
}

/// A host that was cut off, and heard of another one that was, relays the state of a third host. Had
/// it passed its own judgement on, its followers would use servers that have left.
#[test]
fn a_host_that_relays_state_does_not_report_its_own_failures() {
    run(async {
        let (reader, relay) = fleet().await;
        reader.follow();
        relay.follow();
        wait_until(|| relay.host.path.borrow().hosts().len() == 2).await;
        relay.host.record_own_failure();
        relay.host.record_other_failure(Duration::ZERO);
        assert!(relay.host.time_since_outage().is_some());
        let follower = Node::start(&follower_of(&relay.host.name)).await;
        introduce(&relay.host, &follower.host);
        follower.follow();
        wait_until(|| follower.host.path.borrow().hosts().len() == 3).await;
        assert_eq!(follower.host.time_since_outage(), None);
    });
}
