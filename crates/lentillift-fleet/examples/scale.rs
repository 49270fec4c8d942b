//! Measures what membership and configuration cost a process as the fleet grows.
//!
//! The protocol state of all processes runs in one process over in-memory links in virtual time;
//! each datagram and message is encoded as on the wire.

#[path = "../tests/common/mod.rs"]
mod common;

use common::Net;
use std::time::Duration;

/// Time over which a quiet fleet is measured.
const QUIET: Duration = Duration::from_secs(60);

/// Bytes of IP and UDP headers on each datagram.
const HEADERS: u64 = 28;

/// Number of values besides the configuration and the list of hosts.
const SERVICES: usize = 100;

/// Numeric field of a `/proc/self` file; 0 if it can't be read.
fn field(file: &str, position: usize) -> u64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let field = text.split_whitespace().nth(position);
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    field("/proc/self/statm", 1) * 4096
}

/// Processor time used by this process.
fn processor() -> Duration {
    Duration::from_nanos(field("/proc/self/schedstat", 0))
}

fn totals(net: &Net) -> (u64, u64) {
    let nodes = net.nodes.values();
    nodes.fold((0, 0), |(p, b), n| (p + n.packets, b + n.bytes))
}

/// Messages per process and second, bytes with headers per process and second, and the share of a
/// core per process.
fn rates(net: &mut Net, time: Duration) -> (f64, f64, f64) {
    let before = totals(net);
    let since = processor();
    net.run(time);
    let after = totals(net);
    let per = net.nodes.len() as f64 * time.as_secs_f64();
    let packets = after.0 - before.0;
    let bytes = after.1 - before.1 + packets * HEADERS;
    let cpu = (processor() - since).as_secs_f64() / per;
    (packets as f64 / per, bytes as f64 / per, cpu)
}

fn publish_services(net: &mut Net, revision: u64) {
    for service in 0..SERVICES {
        let body = format!(r#"{{"revision": {revision}, "servers": {{}}, "maps": []}}"#);
        net.publish(&format!("service/s{service:03}"), body.into_bytes());
    }
}

fn measure(nodes: usize, regions: usize) {
    let empty = resident();
    let mut net = Net::regions(nodes as u64, nodes, regions);
    publish_services(&mut net, 1);
    let Some(settled) = net.wait(Duration::from_secs(120), Net::settled) else {
        println!("{nodes:>5} nodes: not settled after 120 s");
        return;
    };
    // Until the updates of the start have spread.
    net.run(Duration::from_secs(60) + Duration::from_millis(500) * nodes as u32);
    let memory = (resident() - empty) / nodes as u64;
    let calls = net.calls;
    let (packets, bytes, cpu) = rates(&mut net, QUIET);
    let calls = (net.calls - calls) as f64 / QUIET.as_secs_f64();

    // A small revision ten times, then one of nearly a megabyte.
    let mut slowest = Duration::ZERO;
    let mut sum = Duration::ZERO;
    for revision in 2..12 {
        net.publish_config(revision, &["d0"], &[]);
        let Some(took) = net.wait(Duration::from_secs(60), |net| net.in_force(revision)) else {
            println!("{nodes:>5} nodes: revision {revision} not in force after 60 s");
            return;
        };
        slowest = slowest.max(took);
        sum += took;
        net.run(Duration::from_secs(1));
    }
    let before = totals(&net);
    let mut body = net.config(12, &[], &[]);
    body.extend(std::iter::repeat_n(b' ', 1_000_000 - body.len()));
    net.publish("config", body);
    let large = net.wait(Duration::from_secs(60), |net| net.in_force(12));
    net.run(Duration::from_secs(2));
    let spread = (totals(&net).1 - before.1) / nodes as u64;

    // A host dies without announcing it.
    net.kill(nodes / 2);
    let dead = net.wait(Duration::from_secs(60), Net::settled);
    // Hosts are replaced one after the other: 14,400 a day, 35 times as many as expected.
    let mut churn = Vec::new();
    for number in 0..10 {
        net.kill(number);
        net.start(number, (nodes + number) as u16);
        churn.push(rates(&mut net, QUIET / 10).1);
    }
    let churn = churn.iter().sum::<f64>() / 10.0;
    println!(
        "{nodes:>5} {regions} {:>6.1} {packets:>6.1} {bytes:>7.0} {cpu:>8.5} {memory:>8} {calls:>6.1} \
         {:>6.2} {:>6.2} {:>6.2} {spread:>8} {:>6.2} {churn:>6.0}",
        settled.as_secs_f64(),
        sum.as_secs_f64() / 10.0,
        slowest.as_secs_f64(),
        large.unwrap_or_default().as_secs_f64(),
        dead.unwrap_or_default().as_secs_f64(),
    );
}

fn main() {
    println!("start s: until all are ready; msg/s, B/s, core: per process in a quiet fleet, sent;");
    println!("memory: resident bytes per process; calls/s: to the service, from all together;");
    println!("mean, max, 1 MB: seconds until a revision is in force everywhere;");
    println!(
        "spread: bytes sent per process for 1 MB; dead: seconds until all have dropped a host."
    );
    println!(
        "nodes r  start  msg/s     B/s     core   memory calls/s   mean    max   1 MB   spread   dead  churn"
    );
    let arguments = std::env::args().skip(1);
    let mut sizes: Vec<usize> = arguments.filter_map(|size| size.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![6, 9, 30, 100, 300, 760];
    }
    for size in sizes {
        measure(size, if size > 100 { 2 } else { 1 });
    }
}
