//! Measures the cost of a link between two processes: memory while idle, processor time per
//! message.
//!
//! Usage: `links [LINKS] [MESSAGES]`. Both ends of all links are in this process, so the cost of
//! one end is half of each figure printed.

#![forbid(unsafe_code)]

use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_node::hub;
use lentillift_node::hub::Inbound;
use lentillift_node::link::Peer;
use lentillift_node::message::Message;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Capacity of the channel for received events.
const CHANNEL_CAPACITY: usize = 1024;

/// Clock ticks per second in which Linux reports processor time (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// The sending end of a link; the link stays open while `inbound` exists.
struct Endpoint {
    hub: hub::Handle,
    inbound: mpsc::Receiver<Inbound>,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let mut arguments = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    let links: u64 = arguments.next().unwrap_or(380);
    let messages: u64 = arguments.next().unwrap_or(200_000);

    let (inbound_sender, mut inbound) = mpsc::channel(CHANNEL_CAPACITY);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let _hub = hub::spawn(peer("center", 0), listener, inbound_sender);
    let before_kb = resident_kb();
    let mut endpoints = Vec::new();
    for number in 0..links {
        endpoints.push(connect(number, address).await?);
        receive(&mut inbound, 1).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let memory_kb = (resident_kb() - before_kb) / links as f64;
    println!("{links} links: {memory_kb:.1} KB resident per link, both ends");

    let (cpu_seconds, started) = (processor_seconds(), Instant::now());
    let sender = tokio::spawn(async move {
        for number in 0..messages {
            let endpoint = &endpoints[(number % links) as usize];
            endpoint.hub.send("center".into(), address, message()).await;
        }
        endpoints
    });
    receive(&mut inbound, messages).await;
    let spent_us = (processor_seconds() - cpu_seconds) * 1e6 / messages as f64;
    let wall = started.elapsed().as_secs_f64();
    println!(
        "{messages} messages: {spent_us:.1} us of processor time per message, both ends, {wall:.2} s"
    );
    let endpoints = sender.await.map_err(std::io::Error::other)?;
    drop(
        endpoints
            .into_iter()
            .map(|endpoint| endpoint.inbound)
            .collect::<Vec<_>>(),
    );
    Ok(())
}

async fn connect(number: u64, center: SocketAddr) -> std::io::Result<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (inbound_sender, inbound) = mpsc::channel(CHANNEL_CAPACITY);
    let hub = hub::spawn(
        peer(&format!("end-{number}"), number),
        listener,
        inbound_sender,
    );
    hub.send("center".into(), center, message()).await;
    Ok(Endpoint { hub, inbound })
}

fn peer(host: &str, incarnation: u64) -> Peer {
    Peer {
        host: host.into(),
        incarnation,
    }
}

fn message() -> Message {
    Message::Sub(Sub {
        id: 1,
        service: "name-search".into(),
        backend: "name-search-17".into(),
        caller: "phones".into(),
        work: Work::Search {
            snapshot: 7,
            shard: 17,
        },
        allowance: Duration::from_millis(120),
        body: br#"{"q":"a name","limit":10}"#.as_slice().into(),
        hedge: false,
    })
}

async fn receive(inbound: &mut mpsc::Receiver<Inbound>, mut count: u64) {
    while count > 0 {
        if let Some(Inbound::Received { messages, .. }) = inbound.recv().await {
            count = count.saturating_sub(messages.len() as u64);
        }
    }
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

/// Processor time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.split_whitespace().skip(13).take(2);
    let ticks: f64 = fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}
