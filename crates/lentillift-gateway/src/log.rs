//! Structured logs that never block a request.
//!
//! If the reader of the output stalls, the pipe fills and the next write would block the only
//! thread. Lines therefore go through a bounded queue to a writer thread, which writes them in
//! batches. Lines that find the queue full are dropped and counted.

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

/// Capacity of the queue, in lines: one second of the heaviest load.
const QUEUE_LINES: usize = 2048;

/// Highest sustained rate, in lines per second. Formatting and writing a line takes some 20 us of
/// processor time, so this is 2% of a quarter of a core.
const LINES_PER_SECOND: f64 = 250.0;

/// Largest burst, in lines, after a quiet period.
const BURST_LINES: f64 = 500.0;

/// Time for which lines are collected before they are written together, to save wake-ups.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Handle to a log; clones write to the same queue.
#[derive(Debug, Clone)]
pub struct Log {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Log {
    /// Starts the writer thread for `output`.
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

    /// Installs this as the process's log, for events of `level` and above.
    pub fn install(&self, level: &str) {
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_env_filter(EnvFilter::new(level))
            .with_writer(self.clone())
            .init();
    }

    /// Waits long enough for queued lines to be written, before the process exits.
    pub fn wait_until_written(&self) {
        std::thread::sleep(BATCH_INTERVAL * 3);
    }

    /// Number of lines of this log that were left out or dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Number of lines that all logs of this process left out or dropped.
static ALL_DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines that all logs of this process left out or dropped.
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
        // A failed write can't be reported: this is the log itself.
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
