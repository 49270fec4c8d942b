//! Whether a request ran on a backend server.

use serde::Deserialize;
use serde::Serialize;

/// What is known about whether a request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran it and its reply was received.
    Done,
    /// No backend server ran it, and none will.
    ///
    /// Used only if no byte of the request can have reached a backend server, or if the backend
    /// server itself reported that it did not run the request.
    NotRun,
    /// It may or may not have run.
    Unknown,
}
