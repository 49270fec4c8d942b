//! Headers through which callers, this host and backend servers exchange request metadata.

use http::HeaderMap;
use http::HeaderName;
use http::request;
use http::response;
use lentillift_core::id;
use lentillift_scatter::replica::Load;
use std::time::Duration;

/// Metadata in the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's id of this attempt; none if it sent none.
    pub id: Option<Box<str>>,
    /// Time that the caller waits for an answer; none if it did not specify one.
    pub timeout: Option<Duration>,
}

/// Whether a backend server executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Executed {
    /// It may have been executed.
    Maybe,
    /// The server states that it was not executed.
    No,
    /// It was not executed: the request names another backend server than the one that received it.
    Misdirected,
}

/// Metadata in the head of a backend server's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyInfo {
    /// Id of the attempt that the reply answers; none if it names none, or several.
    pub id: Option<Box<str>>,
    /// Whether the request was executed.
    pub executed: Executed,
    /// The server's signature; none if the reply is not signed, or more than once.
    pub signature: Option<Box<str>>,
    /// The server's load; none if it reports none.
    pub load: Option<Load>,
}

/// Value of a header that a sound peer sends once; none if it is missing, repeated or not text.
///
/// A server that stops within a head and sends another one on the same connection makes one head of
/// both, in which headers of the first come before those of the second.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    match values.next() {
        Some(_) => None,
        None => value.to_str().ok(),
    }
}

/// Parses and sets the headers of a protocol between callers, this host and backend servers.
pub trait Dialect: 'static {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> RequestInfo;

    /// Sets the headers that direct a request to `backend` and limit its time to `timeout`.
    fn set_target_headers(&self, headers: &mut HeaderMap, backend: &id::Backend, timeout: Duration);

    /// Parses the head of a backend server's reply.
    fn parse_reply(&self, head: &response::Parts) -> ReplyInfo;

    /// Sets the headers of an answer that was merged from parts with these signatures and lacks
    /// `missing` parts.
    fn set_merged_headers(&self, headers: &mut HeaderMap, signatures: &[Box<str>], missing: usize);
}
