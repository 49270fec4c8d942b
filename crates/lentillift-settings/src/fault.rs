//! What is wrong with a value, where it stands, and what would be right.

use serde::Serialize;
use std::fmt;

/// Something wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The field, from the outermost to the innermost name.
    pub path: Vec<String>,
    /// What was found there.
    pub found: String,
    /// What the check expects, in words.
    #[serde(rename = "right")]
    pub expected: String,
}

impl Fault {
    /// Makes a fault of the field at `path`.
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

/// A fault and its line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// The line's number; the first is 1.
    pub line: usize,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// All faults of one text, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The file, key or other name of the text.
    pub file: String,
    /// The faults.
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
