//! Memory that a body in many small chunks takes.
//!
//! The only test of its process, since it measures the process's memory.

mod common;

use common::endless::Flood;
use common::endless::endless;
use common::get;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;

/// Memory that one reply may take while it is read, in bytes: four times the largest body.
const MAX_GROWTH_BYTES: usize = 32 * 1024 * 1024;

/// Highest memory that this process has had, in bytes.
fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes: usize = kilobytes.and_then(|kb| kb.parse().ok()).expect("a peak");
    kilobytes * 1024
}

/// Guards against bodies that take many times the memory of their data, because each small chunk is
/// kept as a buffer of its own.
#[test]
fn small_chunks_take_little_more_than_their_data() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let (address, mut floods) = endless(head, "4\r\nabcd\r\n").await;
        let served = serve(single_service(&[address])).await;
        let before = peak_bytes();
        let answer = send_request(served.front, &get("/one/x", "i")).await;
        assert_ne!(status(&answer), 200, "{answer}");
        assert_eq!(floods.recv().await, Some(Flood::Stopped));
        let growth = peak_bytes() - before;
        assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
    });
}
