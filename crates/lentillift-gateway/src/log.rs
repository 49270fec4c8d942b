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
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait at most; a second of the most talkative load.
const QUEUE: usize = 2048;

/// Time for which lines gather before they are written together: one wake-up in place of many.
const GATHER: Duration = Duration::from_millis(50);

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
        let (lines, queue) = sync_channel(QUEUE);
        std::thread::spawn(move || drain(&queue, output));
        Self {
            lines,
            dropped: Arc::default(),
        }
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

    /// Lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn drain<W>(queue: &Receiver<Vec<u8>>, mut output: W)
where
    W: Write,
{
    while let Ok(mut bytes) = queue.recv() {
        std::thread::sleep(GATHER);
        while let Ok(more) = queue.try_recv() {
            bytes.extend_from_slice(&more);
        }
        // Nobody is left to tell that the log can't be written.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

impl Write for Log {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
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
