//! Errors that name the step and the peer at which they arose.

use thiserror::Error;

/// The step at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Opening a listener.
    Listen,
    /// Opening a connection.
    Connect,
    /// Writing to a peer.
    Write,
    /// Reading from a peer.
    Read,
    /// Making sense of what a peer sent.
    Decode,
    /// Checking a value that was read.
    Check,
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Listen => "listen",
            Self::Connect => "connect",
            Self::Write => "write",
            Self::Read => "read",
            Self::Decode => "decode",
            Self::Check => "check",
        })
    }
}

/// An error with the step and the peer at which it arose.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{step} {peer}: {cause}")]
pub struct Error {
    /// The step at which it arose.
    pub step: Step,
    /// The peer it arose with, by name or address.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}

impl Error {
    /// Makes an error from anything that can be shown.
    pub fn new(step: Step, peer: impl ToString, cause: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            cause: cause.to_string(),
        }
    }
}

/// Result of a step that involves a peer.
pub type Result<T> = std::result::Result<T, Error>;
