//! A caller's request as it is forwarded.

use crate::body_memory::Reservation;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Uri;
use http::header;
use lentillift_core::fingerprint::Fingerprint;

/// A request without its hop-by-hop headers.
#[derive(Debug)]
pub struct Message {
    /// HTTP method.
    pub method: Method,
    /// Path and query, exactly as the caller sent them.
    pub path: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// The caller's id of this attempt; empty if it sent none.
    pub id: Box<str>,
    /// Hash of method, authority, path and body, equal for all attempts of the same request.
    pub fingerprint: Fingerprint,
    /// Memory that the body holds, until the last send of the request has ended.
    pub memory: Reservation,
}

/// Headers that describe one connection or the framing of one message, and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
