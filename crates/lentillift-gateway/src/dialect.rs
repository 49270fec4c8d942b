//! How callers and backend servers spell what requests and replies say.

use http::HeaderMap;
use http::request;
use http::response;
use lentillift_core::id;
use lentillift_scatter::replica::Load;
use std::time::Duration;

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's id of this attempt; none if it named none.
    pub id: Option<Box<str>>,
    /// How long the caller waits; none if it did not say.
    pub timeout: Option<Duration>,
}

/// Whether a backend server ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Executed {
    /// It may have.
    Maybe,
    /// It certainly did not.
    No,
    /// It did not: it is another backend server than the request names.
    Misdirected,
}

/// What a backend server's reply says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyInfo {
    /// Id of the attempt that it answers; none if it names none.
    pub id: Option<Box<str>>,
    /// Whether the request ran.
    pub executed: Executed,
    /// The server's signature under its reply.
    pub signature: Option<Box<str>>,
    /// The server's load.
    pub load: Option<Load>,
}

/// How callers and backend servers spell things.
pub trait Dialect: 'static {
    /// What a request's head says.
    fn parse_request(&self, head: &request::Parts) -> RequestInfo;

    /// Marks a request for `backend`, which should give up after `left`.
    fn set_target_headers(&self, headers: &mut HeaderMap, backend: &id::Backend, left: Duration);

    /// What a reply's head says.
    fn parse_reply(&self, head: &response::Parts) -> ReplyInfo;

    /// Marks an answer that was merged from the parts with these signatures and lacks `missing`.
    fn set_merged_headers(&self, headers: &mut HeaderMap, signatures: &[Box<str>], missing: usize);
}
