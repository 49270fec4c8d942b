//! Hosts that stop at any place of their answer to another host.

mod common;

use common::MemorySource;
use common::Reaction;
use common::backend;
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
use lentillift_gateway::listen;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Bytes that the other host sends for a search: more than the answer has.
const MAX_BYTES: usize = 260;

/// Letters of the five shards' records, which are also their signatures.
const LETTERS: [char; 5] = ['c', 'a', 'e', 'b', 'd'];

/// Five shards with a replica each in failure domains `b` and `c`.
async fn shards() -> Vec<Item> {
    let mut items = vec![item("config", "s0 s1 s2 s3 s4".to_owned())];
    for (n, letter) in LETTERS.into_iter().enumerate() {
        let record = letter.to_string().repeat(16);
        let reply = format!(
            "HTTP/1.1 200 OK\r\nx-signature: {letter}\r\nx-id: ID\r\nContent-Length: 16\r\n\r\n{record}"
        );
        for domain in ["b", "c"] {
            let server = backend(vec![Reaction::Write(reply.clone())]).await;
            let entry = format!("s{n} {} {domain}", server.address);
            items.push(item(&format!("{domain}{n}"), entry));
        }
    }
    items
}

/// Passes connections on to `to`, and ends the first after it has passed `limit` bytes back.
async fn stopping_proxy(listener: TcpListener, to: SocketAddr, limit: usize) {
    while let Ok((near, _)) = listener.accept().await {
        let far = TcpStream::connect(to).await.expect("connected");
        let (mut near_in, mut near_out) = near.into_split();
        let (mut far_in, mut far_out) = far.into_split();
        let forward = tokio::task::spawn_local(async move {
            // Either side may end the connection.
            let _ = tokio::io::copy(&mut near_in, &mut far_out).await;
        });
        let mut rest = limit;
        let mut buffer = [0; 1024];
        while rest > 0 {
            let Ok(length @ 1..) = far_in.read(&mut buffer).await else {
                break;
            };
            let passed = length.min(rest);
            if near_out.write_all(&buffer[..passed]).await.is_err() {
                break;
            }
            rest -= passed;
        }
        forward.abort();
    }
}

/// Searches through a host in domain `a`, whose helper in domain `b` stops after `limit` bytes.
async fn search(limit: usize) -> String {
    let items = shards().await;
    let entry = start("entry", "a", items.clone()).await;
    let (inner, inside) = listener().await;
    let (outer, outside) = listener().await;
    let helper = host("helper", "b", outside, MemorySource::default());
    helper.apply_update(Some(Update::All { revision: 1, items }), Duration::ZERO);
    helper.swim.borrow_mut().serve();
    tokio::task::spawn_local(listen::serve_hosts(helper.clone(), inner));
    tokio::task::spawn_local(stopping_proxy(outer, inside, limit));
    introduce(&helper, &entry);
    send_request(front(&entry).await, &get("/all/x", "i")).await
}

/// Checks that an answer has just the records of the parts that it names, and states how many are
/// missing.
fn check(answer: &str, limit: usize) {
    assert_eq!(status(answer), 200, "{limit}: {answer}");
    let parts = header(answer, "x-parts").expect("parts");
    let mut parts: Vec<&str> = parts.split(',').collect();
    let missing = LETTERS.len() - parts.len();
    assert_eq!(
        header(answer, "x-missing"),
        Some(missing.to_string()),
        "{limit}: {answer}"
    );
    parts.sort_unstable_by(|a, b| b.cmp(a));
    let records: String = parts.iter().map(|letter| letter.repeat(16)).collect();
    let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
    assert_eq!(body, records, "{limit}: {answer}");
}

/// Guards against an answer that takes the beginning of another host's answer for the whole.
#[test]
fn a_host_that_stops_in_its_answer_adds_nothing() {
    run(async {
        for limit in 0..MAX_BYTES {
            check(&search(limit).await, limit);
        }
    });
}
