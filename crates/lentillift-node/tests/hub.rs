//! Links to processes that have died without closing their connections.

use lentillift_core::id;
use lentillift_fleet::sync;
use lentillift_node::hub;
use lentillift_node::hub::Inbound;
use lentillift_node::link;
use lentillift_node::link::Peer;
use lentillift_node::message::Message;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

fn peer(host: &str, incarnation: id::Incarnation) -> Peer {
    Peer {
        host: host.into(),
        incarnation,
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    match TcpListener::bind("127.0.0.1:0").await {
        Ok(listener) => {
            let address = listener.local_addr();
            (listener, address.unwrap_or_else(|e| panic!("{e}")))
        }
        Err(error) => panic!("{error}"),
    }
}

/// A host loses power while others have connections to it, and its replacement takes over its name
/// at another address. Nothing closes the old connections; messages would be written to them for
/// many minutes while their senders wait.
#[tokio::test]
async fn disconnected_link_is_replaced_by_one_to_the_new_address() {
    let (node, _) = listener().await;
    let (inbound_sender, mut inbound) = mpsc::channel(16);
    let hub = hub::spawn(peer("a", 1), node, inbound_sender);

    // The old process accepts one link and then neither reads from it nor closes it.
    let (old, old_address) = listener().await;
    let held = tokio::spawn(async move {
        let (stream, _) = old.accept().await.ok()?;
        let link = link::accept(&peer("b", 1), stream).await.ok()?;
        Some((old, link))
    });
    let message = || Message::Sync(sync::Message::Ask);
    hub.send("b".into(), old_address, message()).await;
    let held = held.await;
    assert!(matches!(held, Ok(Some(_))));

    // There is no link to incarnation 2, so the first call closes nothing. The hub may not have
    // registered the link to incarnation 1 yet, so the second call is repeated until it has.
    hub.disconnect(peer("b", 2)).await;
    let down = loop {
        hub.disconnect(peer("b", 1)).await;
        tokio::task::yield_now().await;
        if let Ok(down) = inbound.try_recv() {
            break down;
        }
    };
    assert!(matches!(down, Inbound::Down { host } if *host == *"b"));

    let (new, new_address) = listener().await;
    let (inbound_sender, mut new_inbound) = mpsc::channel(16);
    let _new = hub::spawn(peer("b", 2), new, inbound_sender);
    hub.send("b".into(), new_address, message()).await;
    let received = new_inbound.recv().await;
    let Some(Inbound::Received { peer, messages }) = received else {
        panic!("found {received:?}");
    };
    assert_eq!(&*peer.host, "a");
    assert_eq!(messages, [message()]);
}
