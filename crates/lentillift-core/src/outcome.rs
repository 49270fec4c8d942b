//! What became of a request.

use serde::Deserialize;
use serde::Serialize;

/// What became of a request that was, or was not, sent to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran it and its reply is at hand.
    Done,
    /// No backend server ran it, and none will.
    ///
    /// Said only where no byte of the request can have reached a backend server, or where the
    /// backend server itself said so.
    NotRun,
    /// It may or may not have run.
    Unknown,
}
