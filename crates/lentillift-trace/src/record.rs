//! Recording a part of a running process.

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

/// Lines that wait to be written at most.
const QUEUE: usize = 4096;

/// Lines of a trace at most, so that one that is forgotten does not fill its file system.
const MOST: usize = 1_000_000;

/// Writes a trace.
///
/// A trace must have no gap, or it could not be replayed. One that can't be written as fast as
/// things happen, or is long enough, ends where it is.
#[derive(Debug)]
pub struct Recorder {
    lines: Option<SyncSender<String>>,
    written: usize,
    names: Names,
}

impl Recorder {
    /// Starts a trace in a file.
    ///
    /// # Errors
    ///
    /// Names the file that can't be made.
    pub fn start(path: &Path, head: &Head) -> Result<Self> {
        let file = File::create(path);
        let file = file.map_err(|e| Error::new(Step::Write, path.display(), e))?;
        let (lines, queue) = sync_channel(QUEUE);
        let mut recorder = Self {
            lines: Some(lines),
            written: 0,
            names: Names::default(),
        };
        recorder.push(head);
        std::thread::spawn(move || write(file, &queue));
        Ok(recorder)
    }

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
        if !sent || self.written >= MOST {
            warn!(lines = self.written, "trace ended");
            self.lines = None;
        }
    }

    /// Notes an event and its effects.
    fn note<E>(&mut self, now: Time, mut event: Value, effects: &[E])
    where
        E: Serialize,
    {
        self.names.name(&mut event);
        let effects = effects
            .iter()
            .map(|e| serde_json::to_value(e).unwrap_or_default());
        let mut effects: Vec<Value> = effects.collect();
        self.names.learn(&effects);
        effects
            .iter_mut()
            .for_each(|effect| self.names.name(effect));
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

/// A part that is recorded, or not.
#[derive(Debug)]
pub struct Traced<C> {
    core: C,
    recorder: Option<Recorder>,
}

impl<C> Traced<C>
where
    C: Core,
{
    /// Wraps a part that was just started.
    pub fn new(core: C, recorder: Option<Recorder>) -> Self {
        Self { core, recorder }
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, now: Time, event: C::Event) -> Vec<C::Effect> {
        let Some(recorder) = self.recorder.as_mut().filter(|r| r.lines.is_some()) else {
            return self.core.handle(now, event);
        };
        let shown = serde_json::to_value(&event).unwrap_or_default();
        let effects = self.core.handle(now, event);
        recorder.note(now, shown, &effects);
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
