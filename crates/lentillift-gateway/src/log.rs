//! Structured logs to standard output that never hold up a request.
//!
//! What goes wrong without it: whoever reads the output stops reading, the pipe fills, and the next
//! line blocks the only thread. Lines go through a bounded queue to a thread of their own, which
//! writes what has gathered at once; lines that find the queue full are dropped and counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait at most; a second of the most talkative load.
const QUEUE_LINES: usize = 2048;

/// Lines that are written in one second at most; formatting and writing one takes some 20 us of the
/// processor, so this is 2% of a quarter of a core.
const LINES_PER_SECOND: f64 = 250.0;

/// Lines that may be written at once after a calm time.
const BURST_LINES: f64 = 500.0;

/// Time for which lines gather before they are written together: one wake-up in place of many.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A way to write lines.
#[derive(Debug, Clone)]
pub struct Log {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Log {
    /// Starts the thread that writes to `output`.
    pub fn start<W>(output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped: Arc<AtomicU64> = Arc::default();
        let counter = dropped.clone();
        std::thread::spawn(move || drain(&queue, &counter, output));
        Self { lines, dropped }
    }

    /// Makes this the process's log, for events of `level` and above.
    pub fn install(&self, level: &str) {
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_env_filter(EnvFilter::new(level))
            .with_writer(self.clone())
            .init();
    }

    /// Waits until what was logged so far has been written, before the process ends.
    pub fn wait_until_written(&self) {
        std::thread::sleep(BATCH_INTERVAL * 3);
    }

    /// Lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Lines that all logs of this process have left out or dropped.
static ALL_DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that all logs of this process have left out or dropped.
pub fn all_dropped() -> u64 {
    ALL_DROPPED.load(Ordering::Relaxed)
}

fn count_dropped(own: &AtomicU64, lines: u64) {
    own.fetch_add(lines, Ordering::Relaxed);
    ALL_DROPPED.fetch_add(lines, Ordering::Relaxed);
}

fn drain<W>(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut output: W)
where
    W: Write,
{
    let mut tokens = BURST_LINES;
    let mut last = Instant::now();
    while let Ok(first) = queue.recv() {
        std::thread::sleep(BATCH_INTERVAL);
        tokens = (tokens + last.elapsed().as_secs_f64() * LINES_PER_SECOND).min(BURST_LINES);
        last = Instant::now();
        let mut bytes = Vec::new();
        let mut left_out = 0;
        for line in std::iter::once(first).chain(queue.try_iter()) {
            if tokens < 1.0 {
                left_out += 1;
                continue;
            }
            tokens -= 1.0;
            bytes.extend_from_slice(&line);
        }
        if left_out > 0 {
            count_dropped(dropped, left_out);
            let line = format!("{{\"event\":\"log\",\"left_out\":{left_out}}}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to tell that the log can't be written.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

impl Write for Log {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            count_dropped(&self.dropped, 1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
