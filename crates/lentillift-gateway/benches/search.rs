//! Processor time that a host spends on one search of 20 and of 90 shards. Callers and backend
//! servers run on other threads and are excluded.

#[path = "../tests/common/mod.rs"]
mod common;

use common::Reaction;
use criterion::Criterion;
use lentillift_scatter::source::Item;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Starts one backend server for each shard, all on one separate thread.
fn backends(shards: usize) -> Vec<Item> {
    let (sender, addresses) = channel();
    std::thread::spawn(move || {
        common::run(async move {
            for _ in 0..shards {
                let reply = common::complete_reply(&"r".repeat(192));
                let backend = common::backend(vec![Reaction::Write(reply)]).await;
                sender.send(backend.address).expect("the bench");
                // Dropping the receiver would end the server; the recorded requests are not needed.
                std::mem::forget(backend);
            }
            std::future::pending::<()>().await;
        });
    });
    let names: Vec<String> = (0..shards).map(|n| format!("s{n}")).collect();
    let mut items = vec![common::item("config", names.join(" "))];
    for (n, address) in addresses.iter().take(shards).enumerate() {
        items.push(common::item(&format!("b{n}"), format!("s{n} {address} a")));
    }
    items
}

/// Starts a host on a separate thread; returns the address for callers and the path of the thread's
/// `schedstat`.
fn gateway(items: Vec<Item>) -> (SocketAddr, PathBuf) {
    let (sender, started) = channel();
    std::thread::spawn(move || {
        common::run(async move {
            let served = common::serve(items).await;
            let thread = std::fs::read_link("/proc/thread-self").expect("a thread");
            let times = PathBuf::from("/proc").join(thread).join("schedstat");
            sender.send((served.front, times)).expect("the bench");
            std::future::pending::<()>().await;
        });
    });
    started.recv().expect("started")
}

/// Processor time that a thread has used.
fn spent(times: &PathBuf) -> Duration {
    let text = std::fs::read_to_string(times).expect("times");
    let nanos = text.split(' ').next().expect("a number");
    Duration::from_nanos(nanos.parse().expect("a number"))
}

/// Sends one request over a persistent connection.
fn send_request(stream: &mut TcpStream, request: &[u8]) {
    stream.write_all(request).expect("written");
    let mut answer = Vec::new();
    let mut part = [0; 16384];
    // The merged records come last in the answer.
    while !answer.ends_with(&[b'r'; 160]) {
        let length = stream.read(&mut part).expect("read");
        answer.extend_from_slice(&part[..length]);
    }
}

fn search(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("processor time of a search");
    group.sample_size(20);
    for shards in [20, 90] {
        let (front, times) = gateway(backends(shards));
        let mut stream = TcpStream::connect(front).expect("connected");
        let request = common::get("/all/x", "9c41d07be2a35f68");
        send_request(&mut stream, request.as_bytes());
        group.bench_function(format!("{shards} shards"), |bench| {
            bench.iter_custom(|count| {
                let before = spent(&times);
                for _ in 0..count {
                    send_request(&mut stream, request.as_bytes());
                }
                spent(&times) - before
            });
        });
    }
}

fn main() {
    let mut bench = Criterion::default().configure_from_args();
    search(&mut bench);
    bench.final_summary();
}
