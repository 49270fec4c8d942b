//! Logging under load, and with a reader that stalls.

use lentillift_gateway::log::Log;
use std::io;
use std::io::Write;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

/// An output whose reader has stalled: each write blocks forever.
struct Blocked;

impl Write for Blocked {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stalls. Lines are dropped and counted; the process is not blocked.
#[test]
fn a_stalled_reader_does_not_block() {
    let mut log = Log::start(Blocked);
    for _ in 0..100_000 {
        log.write_all(b"line\n").expect("taken");
    }
    assert!(log.dropped() > 90_000);
}

/// An output that forwards what is written to a channel.
struct Forwarding(Sender<Vec<u8>>);

impl Write for Forwarding {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test may have ended and dropped the receiver.
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A burst exceeds the rate limit. Some lines are written, the rest are left out, and the log
/// states how many.
#[test]
fn a_burst_is_limited_and_reported() {
    let (sender, written) = channel();
    let mut log = Log::start(Forwarding(sender));
    for _ in 0..2000 {
        log.write_all(b"line\n").expect("taken");
    }
    let mut text = String::new();
    while !text.contains("left_out") {
        let bytes = written.recv().expect("more");
        text.push_str(&String::from_utf8(bytes).expect("text"));
    }
    assert!(text.lines().filter(|line| *line == "line").count() >= 100);
}
