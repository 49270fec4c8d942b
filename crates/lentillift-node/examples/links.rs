//! What a link between two processes costs: memory while idle, processor time for each message.
//!
//! Usage: `links [LINKS] [MESSAGES]`. Both ends of all links are in this process, hence half of what
//! it prints is one end's.

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

/// Messages that wait for their reader at most.
const QUEUE: usize = 1024;

/// Clock ticks in a second, as Linux counts processor time.
const TICKS: f64 = 100.0;

/// One end that sends, and what it needs to be alive.
struct End {
    hub: hub::Handle,
    inbound: mpsc::Receiver<Inbound>,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let mut arguments = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    let links: u64 = arguments.next().unwrap_or(380);
    let messages: u64 = arguments.next().unwrap_or(200_000);

    let (mail, mut inbound) = mpsc::channel(QUEUE);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let _hub = hub::spawn(peer("center", 0), listener, mail);
    let before = resident();
    let mut ends = Vec::new();
    for number in 0..links {
        ends.push(end(number, address).await?);
        receive(&mut inbound, 1).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let memory = (resident() - before) / links as f64;
    println!("{links} links: {memory:.1} KB resident for both ends of one");

    let (cpu, started) = (processor_time(), Instant::now());
    let sender = tokio::spawn(async move {
        for number in 0..messages {
            let end = &ends[(number % links) as usize];
            end.hub.send("center".into(), address, message()).await;
        }
        ends
    });
    receive(&mut inbound, messages).await;
    let spent = (processor_time() - cpu) * 1e6 / messages as f64;
    let wall = started.elapsed().as_secs_f64();
    println!(
        "{messages} messages: {spent:.1} us of processor time for both ends of one, {wall:.2} s"
    );
    let ends = sender.await.map_err(std::io::Error::other)?;
    drop(ends.into_iter().map(|end| end.inbound).collect::<Vec<_>>());
    Ok(())
}

async fn end(number: u64, center: SocketAddr) -> std::io::Result<End> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (mail, inbound) = mpsc::channel(QUEUE);
    let hub = hub::spawn(peer(&format!("end-{number}"), number), listener, mail);
    hub.send("center".into(), center, message()).await;
    Ok(End { hub, inbound })
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
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

/// Processor time of this process so far, in seconds.
fn processor_time() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.split_whitespace().skip(13).take(2);
    let ticks: f64 = fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS
}
