//! One request to one backend server, and what its reply is worth.
//!
//! What goes wrong: a reply is cut off, belongs to another request, comes without a signature, or is
//! encoded on the way. Passed on, it would look like the caller's answer. Each is told apart here and
//! counts as lost; the caller gets another server's reply, or an error.

use crate::dialect::Dialect;
use crate::dialect::Executed;
use crate::dialect::ReplyInfo;
use crate::host::Host;
use crate::message::Message;
use crate::metric;
use crate::pool::Failure;
use crate::source::Source;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use lentillift_fleet::quarantine::Verdict;
use lentillift_scatter::config::Kind;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::server::Server;
use std::time::Duration;
use tracing::info;

/// Time beyond a server's limit after which its reply is no longer awaited.
const REPLY_SLACK: Duration = Duration::from_millis(30);

/// A whole reply of a backend server.
#[derive(Debug)]
pub struct Reply {
    /// Its head and body.
    pub response: Response<Bytes>,
    /// The server's signature.
    pub signature: Option<Box<str>>,
}

/// How an exchange ended.
#[derive(Debug)]
pub struct ExchangeResult {
    /// For the decisions.
    pub outcome: Outcome,
    /// The reply, if there is one to be used or passed on.
    pub reply: Option<Reply>,
    /// What happened, for the log.
    pub reason: &'static str,
}

impl ExchangeResult {
    fn without(outcome: Outcome, why: &'static str) -> Self {
        Self {
            outcome,
            reply: None,
            reason: why,
        }
    }
}

/// Sends `message` to `server` and reads its reply.
pub async fn exchange<D, S>(
    host: &Host<D, S>,
    server: &Server,
    kind: Kind,
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
    let left = send.left;
    host.dialect
        .set_target_headers(request.headers_mut(), backend, left);
    let is_withheld = || is_withheld(host, message, send);
    let may_leave = || host.core.borrow().may_leave(server, host.now()) && !is_withheld();
    let exchange = host.pool.exchange(server, kind, request, may_leave);
    match tokio::time::timeout(left + REPLY_SLACK, exchange).await {
        Ok(Ok(response)) => classify(&host.dialect, message, response),
        Ok(Err(Failure::Unsent(_))) if is_withheld() => {
            ExchangeResult::without(Outcome::Withheld, "request became suspect")
        }
        Ok(Err(Failure::Unsent(why))) => ExchangeResult::without(Outcome::Unreachable, why),
        Ok(Err(Failure::Broken(why))) => ExchangeResult::without(Outcome::Broken, why),
        Ok(Err(Failure::Cut(why))) => match host.pool.is_refused(server).await {
            true => record_server_end(host, server, message),
            false => ExchangeResult::without(Outcome::Broken, why),
        },
        Err(_) => ExchangeResult::without(Outcome::Broken, "no reply in time"),
    }
}

/// Whether servers ended under the request since the send was decided.
fn is_withheld<D, S>(host: &Host<D, S>, message: &Message, send: &Send) -> bool {
    let core = host.core.borrow();
    let verdict = core.verdict(Some(message.fingerprint), host.clock.now());
    !send.canary && !send.proven && verdict != Verdict::Clear
}

/// Notes that a server's process ended while it had the request.
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

/// Says what a reply is worth.
fn classify<D>(dialect: &D, message: &Message, response: Response<Bytes>) -> ExchangeResult
where
    D: Dialect,
{
    let (head, body) = response.into_parts();
    let mark = dialect.parse_reply(&head);
    let response = Response::from_parts(head, body);
    match reply_class(&mark, message, &response) {
        ReplyClass::Misdirected => {
            ExchangeResult::without(Outcome::Misdirected, "another server's address")
        }
        ReplyClass::NotRun => {
            ExchangeResult::without(Outcome::Rejected { load: mark.load }, "turned away")
        }
        ReplyClass::Unusable(why) => ExchangeResult::without(Outcome::Broken, why),
        ReplyClass::Failure => with_reply(Outcome::Failure { load: mark.load }, mark, response),
        ReplyClass::Part => with_reply(Outcome::Part { load: mark.load }, mark, response),
    }
}

fn with_reply(outcome: Outcome, mark: ReplyInfo, response: Response<Bytes>) -> ExchangeResult {
    let why = match &outcome {
        Outcome::Part { .. } => "whole",
        _ => "the server's own failure",
    };
    ExchangeResult {
        outcome,
        reply: Some(Reply {
            response,
            signature: mark.signature,
        }),
        reason: why,
    }
}

/// What a reply is worth.
enum ReplyClass {
    Part,
    Failure,
    NotRun,
    Misdirected,
    Unusable(&'static str),
}

fn reply_class(mark: &ReplyInfo, message: &Message, response: &Response<Bytes>) -> ReplyClass {
    match mark.executed {
        Executed::Misdirected => return ReplyClass::Misdirected,
        Executed::No => return ReplyClass::NotRun,
        Executed::Maybe => {}
    }
    if mark.id.as_ref().is_some_and(|id| *id != message.id) {
        return ReplyClass::Unusable("answers another request");
    }
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return ReplyClass::Unusable("encoded on the way");
    }
    if mark.signature.is_none() {
        return ReplyClass::Unusable("not signed");
    }
    match response.status() {
        status if status.is_success() => ReplyClass::Part,
        StatusCode::CONTINUE | StatusCode::SWITCHING_PROTOCOLS => ReplyClass::Unusable("not final"),
        _ => ReplyClass::Failure,
    }
}
