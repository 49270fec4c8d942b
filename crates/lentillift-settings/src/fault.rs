//! Faults of a text: the field, what was found there, and what was expected.

use serde::Serialize;
use std::fmt;

/// A fault of one field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Names of the enclosing fields and of the field itself, outermost first; empty for the whole
    /// text.
    pub path: Vec<String>,
    /// What was found there, in words.
    pub found: String,
    /// What the check expects, in words.
    #[serde(rename = "right")]
    pub expected: String,
}

impl Fault {
    /// Creates a fault of the field at `path`.
    pub fn new<P, S>(path: P, found: impl Into<String>, expected: impl Into<String>) -> Self
    where
        P: IntoIterator<Item = S>,
        S: Into<String>,
    {
        Self {
            path: path.into_iter().map(Into::into).collect(),
            found: found.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path.join("."))?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)
    }
}

/// A fault and the line where it was found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Number of the line; the first is 1.
    pub line: usize,
    /// The fault found there.
    #[serde(flatten)]
    pub fault: Fault,
}

/// All faults of one text, sorted by line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Name of the file, key of the published value, or other name of the text.
    pub file: String,
    /// The faults, by line.
    // INVARIANT: Never empty.
    pub faults: Vec<Line>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, Line { line, fault }) in self.faults.iter().enumerate() {
            let end = if number == 0 { "" } else { "\n" };
            write!(f, "{end}{}:{line}: {fault}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}

/// Result of a check.
pub type Result<T> = std::result::Result<T, Report>;
