//! Errors of communication, with the step that failed and the peer involved.

use thiserror::Error;

/// The step of an exchange that failed.
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
    /// Decoding the bytes that a peer sent.
    Decode,
    /// Validating a value that was decoded.
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

/// A failed step of an exchange with a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{step} {peer}: {cause}")]
pub struct Error {
    /// The step that failed.
    pub step: Step,
    /// Name or address of the peer, or the name of the value that was read.
    pub peer: String,
    /// Description of the failure.
    pub cause: String,
}

impl Error {
    /// Creates an error from a peer and a cause, both stored as text.
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
