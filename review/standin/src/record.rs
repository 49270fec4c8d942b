//! The record of a run: what was sent, answered and run.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start, written to a file at the end.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Adds a line.
    pub fn add(&self, line: impl std::fmt::Display) {
        let at = self.started.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        lines.push(format!("{at:9.4} {line}"));
    }

    /// Writes the summary, and then all lines.
    pub fn write(&self, path: &Path, summary: &[String]) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for line in summary {
            writeln!(file, "{line}")?;
        }
        writeln!(file)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        file.flush()
    }
}
