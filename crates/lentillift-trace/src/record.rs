//! Recording of a core in a running process.

use crate::core::Core;
use crate::line::Head;
use crate::line::Line;
use crate::names::Names;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::time::Time;
use serde::Serialize;
use serde_json::Value;
use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::ops::Deref;
use std::ops::DerefMut;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use tracing::warn;

/// Maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 4096;

/// Maximum number of lines of a trace, so that a forgotten recording does not fill its file system.
const MAX_LINES: usize = 1_000_000;

/// Writes a trace to a file, on a thread of its own.
///
/// A trace with a gap can't be replayed. The recording therefore ends when the writer falls behind
/// and the queue is full, or when the trace has reached its maximum length.
#[derive(Debug)]
pub struct Recorder {
    lines: Option<SyncSender<String>>,
    written: usize,
    names: Names,
}

impl Recorder {
    /// Creates the file and writes the head of the trace.
    ///
    /// # Errors
    ///
    /// Names the file if it can't be created.
    pub fn start(path: &Path, head: &Head) -> Result<Self> {
        let file = File::create(path);
        let file = file.map_err(|e| Error::new(Step::Write, path.display(), e))?;
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let mut recorder = Self {
            lines: Some(lines),
            written: 0,
            names: Names::default(),
        };
        recorder.push(head);
        std::thread::spawn(move || write(file, &queue));
        Ok(recorder)
    }

    /// Queues a line, or ends the recording if that is not possible.
    fn push<T>(&mut self, line: &T)
    where
        T: Serialize,
    {
        let text = serde_json::to_string(line).ok();
        let sent = match (&self.lines, text) {
            (Some(lines), Some(text)) => lines.try_send(text).is_ok(),
            _ => false,
        };
        self.written += 1;
        if !sent || self.written >= MAX_LINES {
            warn!(
                lines = self.written,
                "recording of the trace ended: queue full, write failed or maximum length reached"
            );
            self.lines = None;
        }
    }

    /// Records an event and its effects, with names in place of generated ids.
    fn record<E>(&mut self, now: Time, mut event: Value, effects: &[E])
    where
        E: Serialize,
    {
        self.names.replace_ids(&mut event);
        let effects = effects
            .iter()
            .map(|e| serde_json::to_value(e).unwrap_or_default());
        let mut effects: Vec<Value> = effects.collect();
        self.names.register(&effects);
        effects
            .iter_mut()
            .for_each(|effect| self.names.replace_ids(effect));
        self.push(&Line {
            at_ns: now.as_nanos() as u64,
            event,
            effects: Some(effects),
        });
    }
}

fn write(file: File, lines: &Receiver<String>) {
    let mut file = BufWriter::new(file);
    while let Ok(line) = lines.recv() {
        if writeln!(file, "{line}")
            .and_then(|()| file.flush())
            .is_err()
        {
            return;
        }
    }
}

/// A core whose events and effects are recorded if it has a recorder.
#[derive(Debug)]
pub struct Traced<C> {
    core: C,
    recorder: Option<Recorder>,
}

impl<C> Traced<C>
where
    C: Core,
{
    /// Wraps a core that has not processed any event yet.
    pub fn new(core: C, recorder: Option<Recorder>) -> Self {
        Self { core, recorder }
    }

    /// Processes an event and returns its effects, and records both.
    pub fn handle(&mut self, now: Time, event: C::Event) -> Vec<C::Effect> {
        let Some(recorder) = self.recorder.as_mut().filter(|r| r.lines.is_some()) else {
            return self.core.handle(now, event);
        };
        let event_json = serde_json::to_value(&event).unwrap_or_default();
        let effects = self.core.handle(now, event);
        recorder.record(now, event_json, &effects);
        effects
    }
}

impl<C> Deref for Traced<C> {
    type Target = C;

    fn deref(&self) -> &C {
        &self.core
    }
}

impl<C> DerefMut for Traced<C> {
    fn deref_mut(&mut self) -> &mut C {
        &mut self.core
    }
}
