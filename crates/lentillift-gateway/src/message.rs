//! A caller's request as it is passed on.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Uri;
use http::header;
use lentillift_core::fingerprint::Fingerprint;

/// A request, without what concerns only the connection it came on.
#[derive(Debug, Clone)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub path: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The caller's id of this attempt.
    pub id: Box<str>,
    /// What it has in common with other attempts of the same request.
    pub fingerprint: Fingerprint,
}

/// Headers that concern one connection.
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

/// Removes the headers that concern only the connection they came on.
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
