//! One request to one backend server, and the classification of its reply.
//!
//! A reply may be truncated, belong to another request, lack a signature, or be re-encoded by an
//! intermediary. Forwarded, it would look like a valid answer to the caller. Each of these cases is
//! detected here and counts as a lost reply; the caller gets another server's reply, or an error.
//!
//! A faulty server sends a reply a second time, and the copy arrives where the reply to the next
//! request on the connection is expected. If it is that of a rejection and counted, the next request
//! would be sent again although it runs. Only the id tells the two apart, so it is checked first.

use crate::dialect::Dialect;
use crate::dialect::Executed;
use crate::dialect::ReplyInfo;
use crate::host::Host;
use crate::message::Message;
use crate::metric;
use crate::pool::Connection;
use crate::pool::ConnectionId;
use crate::pool::Failure;
use crate::pool::Requirement;
use crate::source::Source;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::ext::ReasonPhrase;
use lentillift_fleet::quarantine::Verdict;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::server::Server;
use std::time::Duration;
use tracing::info;
use tracing::warn;

/// Time that a reply may arrive after the server's own deadline.
const REPLY_SLACK: Duration = Duration::from_millis(30);

/// Start of a status line.
const STATUS_LINE_START: &[u8] = b"HTTP/";

/// Highest status that HTTP knows.
const MAX_STATUS: u16 = 599;

/// A complete reply of a backend server.
#[derive(Debug)]
pub struct Reply {
    /// Head and body of the reply.
    pub response: Response<Bytes>,
    /// The server's signature under the reply.
    pub signature: Option<Box<str>>,
}

/// Result of an exchange.
#[derive(Debug)]
pub struct ExchangeResult {
    /// Outcome as the query's decisions see it.
    pub outcome: Outcome,
    /// The reply, if it can be used or passed on.
    pub reply: Option<Reply>,
    /// Reason for the outcome, for the log.
    pub reason: &'static str,
    /// The connection on which the server rejected the request, if it did.
    pub rejected_on: Option<ConnectionId>,
}

impl ExchangeResult {
    /// A result without a reply that can be used.
    pub fn without(outcome: Outcome, reason: &'static str) -> Self {
        Self {
            outcome,
            reply: None,
            reason,
            rejected_on: None,
        }
    }

    fn rejected(outcome: Outcome, reason: &'static str, connection: ConnectionId) -> Self {
        Self {
            rejected_on: Some(connection),
            ..Self::without(outcome, reason)
        }
    }
}

/// Sends `message` to `server` and reads its reply.
pub async fn exchange<D, S>(
    host: &Host<D, S>,
    server: &Server,
    requirement: Requirement<'_>,
    message: &Message,
    send: &Send,
) -> ExchangeResult
where
    D: Dialect,
    S: Source,
{
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.path.clone();
    *request.headers_mut() = message.headers.clone();
    let backend = &server.entry.id;
    let remaining = send.timeout;
    host.dialect
        .set_target_headers(request.headers_mut(), backend, remaining);
    let is_withheld = || is_withheld(host, message, send);
    let may_send = || host.core.borrow().may_send(server, host.now()) && !is_withheld();
    let exchange = host.pool.exchange(server, requirement, request, may_send);
    match tokio::time::timeout(remaining + REPLY_SLACK, exchange).await {
        Ok(Ok((response, connection))) => classify(host, server, message, response, connection),
        Ok(Err(Failure::Unsent(_))) if is_withheld() => {
            ExchangeResult::without(Outcome::Withheld, "request became suspect before the send")
        }
        Ok(Err(Failure::Unsent(reason))) => ExchangeResult::without(Outcome::Unreachable, reason),
        Ok(Err(Failure::Broken(reason))) => ExchangeResult::without(Outcome::Broken, reason),
        Ok(Err(Failure::Cut(reason))) => match host.pool.is_refused(server).await {
            true => record_server_end(host, server, message),
            false => ExchangeResult::without(Outcome::Broken, reason),
        },
        Err(_) => ExchangeResult::without(Outcome::Broken, "no reply in time"),
    }
}

/// Whether the request became suspect after this send was decided, because servers ended while they
/// ran it.
fn is_withheld<D, S>(host: &Host<D, S>, message: &Message, send: &Send) -> bool {
    let core = host.core.borrow();
    let verdict = core.verdict(Some(message.fingerprint), host.clock.now());
    !send.canary && !send.has_reply && verdict != Verdict::Clear
}

/// Records that a server's process ended while it had the request.
fn record_server_end<D, S>(host: &Host<D, S>, server: &Server, message: &Message) -> ExchangeResult
where
    D: Dialect,
    S: Source,
{
    info!(
        event = "ended",
        id = %message.id,
        fingerprint = %message.fingerprint,
        backend = %server.entry.id,
        service = %server.entry.service,
        "backend server ended while it had the request"
    );
    host.metrics.add(metric::SERVERS_ENDED, 1);
    ExchangeResult::without(Outcome::ServerEnded, "server ended")
}

/// Classifies a reply, and releases its connection if the reply belongs to the request.
fn classify<D, S>(
    host: &Host<D, S>,
    server: &Server,
    message: &Message,
    response: Response<Bytes>,
    connection: Connection,
) -> ExchangeResult
where
    D: Dialect,
    S: Source,
{
    let (head, body) = response.into_parts();
    let info = host.dialect.parse_reply(&head);
    let response = Response::from_parts(head, body);
    let class = reply_class(&info, message, &response);
    let id = connection.id();
    if !matches!(class, ReplyClass::Foreign(_) | ReplyClass::Malformed(_)) {
        host.pool.release(connection);
    }
    match class {
        ReplyClass::Misdirected => ExchangeResult::rejected(
            Outcome::Misdirected,
            "address belongs to another server",
            id,
        ),
        ReplyClass::NotRun => {
            let outcome = Outcome::Rejected { load: info.load };
            ExchangeResult::rejected(outcome, "rejected before it ran", id)
        }
        ReplyClass::Foreign(reason) => {
            record_foreign_reply(host, server, message, &info, reason);
            ExchangeResult::without(Outcome::Broken, reason)
        }
        ReplyClass::Malformed(reason) | ReplyClass::Unusable(reason) => {
            ExchangeResult::without(Outcome::Broken, reason)
        }
        ReplyClass::Failure => with_reply(Outcome::Failure { load: info.load }, info, response),
        ReplyClass::Part => with_reply(Outcome::Part { load: info.load }, info, response),
    }
}

/// Records a reply that does not name the request which waited for it.
fn record_foreign_reply<D, S>(
    host: &Host<D, S>,
    server: &Server,
    message: &Message,
    info: &ReplyInfo,
    reason: &'static str,
) {
    warn!(
        event = "foreign",
        id = %message.id,
        backend = %server.entry.id,
        service = %server.entry.service,
        reply_id = info.id.as_deref().unwrap_or_default(),
        executed = ?info.executed,
        reason,
        "reply of a backend server does not name the request that waited for it"
    );
    host.metrics.count(metric::FOREIGN_REPLIES, reason);
}

fn with_reply(outcome: Outcome, info: ReplyInfo, response: Response<Bytes>) -> ExchangeResult {
    let reason = match &outcome {
        Outcome::Part { .. } => "whole",
        _ => "server reported a failure",
    };
    ExchangeResult {
        outcome,
        reply: Some(Reply {
            response,
            signature: info.signature,
        }),
        reason,
        rejected_on: None,
    }
}

/// How a reply may be used.
enum ReplyClass {
    Part,
    Failure,
    NotRun,
    Misdirected,
    /// It does not name the request, which may have run.
    Foreign(&'static str),
    /// It is no reply in HTTP, so nothing in it counts.
    Malformed(&'static str),
    Unusable(&'static str),
}

/// Whether a status line is the reason phrase of another one: the server stopped before that phrase
/// and sent another reply on the same connection.
fn has_two_status_lines(response: &Response<Bytes>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let reason = reason.map_or(b"".as_slice(), |reason| reason.as_bytes());
    let mut parts = reason.windows(STATUS_LINE_START.len());
    parts.any(|part| part == STATUS_LINE_START)
}

fn reply_class(info: &ReplyInfo, message: &Message, response: &Response<Bytes>) -> ReplyClass {
    if response.status().as_u16() > MAX_STATUS {
        return ReplyClass::Malformed("reply with an unknown status");
    }
    if has_two_status_lines(response) {
        return ReplyClass::Malformed("reply within the status line of another one");
    }
    // A reply proves nothing about a request that it does not name, not even that it did not run.
    match &info.id {
        Some(id) if *id != message.id => {
            return ReplyClass::Foreign("reply to another request");
        }
        None if !message.id.is_empty() => {
            return ReplyClass::Foreign("reply names no request");
        }
        _ => {}
    }
    match info.executed {
        Executed::Misdirected => return ReplyClass::Misdirected,
        Executed::No => return ReplyClass::NotRun,
        Executed::Maybe => {}
    }
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return ReplyClass::Unusable("reply encoded in transit");
    }
    if info.signature.is_none() {
        return ReplyClass::Unusable("reply not signed");
    }
    match response.status() {
        status if status.is_success() => ReplyClass::Part,
        StatusCode::CONTINUE | StatusCode::SWITCHING_PROTOCOLS => {
            ReplyClass::Unusable("status not final")
        }
        _ => ReplyClass::Failure,
    }
}
