//! Logs under load, and with a reader that does not read.

use lentillift_gateway::log::Log;
use std::io;
use std::io::Write;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

/// An output whose reader has stopped reading: each write waits for good.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log stops reading. Lines are dropped and counted; the process goes on.
#[test]
fn a_reader_that_does_not_read_holds_nothing_up() {
    let mut log = Log::start(Stuck);
    for _ in 0..100_000 {
        log.write_all(b"line\n").expect("taken");
    }
    assert!(log.dropped() > 90_000);
}

/// An output that hands on what is written.
struct Passing(Sender<Vec<u8>>);

impl Write for Passing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test may have seen enough.
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A burst of lines comes in at once. Some are written, the rest are left out, and the log says how
/// many.
#[test]
fn a_burst_is_thinned_and_the_log_says_so() {
    let (sender, written) = channel();
    let mut log = Log::start(Passing(sender));
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
