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
const SLACK: Duration = Duration::from_millis(30);

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
pub struct Ended {
    /// For the decisions.
    pub outcome: Outcome,
    /// The reply, if there is one to be used or passed on.
    pub reply: Option<Reply>,
    /// What happened, for the log.
    pub why: &'static str,
}

impl Ended {
    fn without(outcome: Outcome, why: &'static str) -> Self {
        Self {
            outcome,
            reply: None,
            why,
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
) -> Ended
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
    match tokio::time::timeout(left + SLACK, exchange).await {
        Ok(Ok(response)) => judge(&host.dialect, message, response),
        Ok(Err(Failure::Unsent(_))) if is_withheld() => {
            Ended::without(Outcome::Withheld, "request became suspect")
        }
        Ok(Err(Failure::Unsent(why))) => Ended::without(Outcome::Unreachable, why),
        Ok(Err(Failure::Broken(why))) => Ended::without(Outcome::Broken, why),
        Ok(Err(Failure::Cut(why))) => match host.pool.is_refused(server).await {
            true => server_ended(host, server, message),
            false => Ended::without(Outcome::Broken, why),
        },
        Err(_) => Ended::without(Outcome::Broken, "no reply in time"),
    }
}

/// Whether servers ended under the request since the send was decided.
fn is_withheld<D, S>(host: &Host<D, S>, message: &Message, send: &Send) -> bool {
    let core = host.core.borrow();
    let verdict = core.verdict(Some(message.fingerprint), host.clock.now());
    !send.canary && !send.proven && verdict != Verdict::Clear
}

/// Notes that a server's process ended while it had the request.
fn server_ended<D, S>(host: &Host<D, S>, server: &Server, message: &Message) -> Ended
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
    host.board.add(metric::SERVERS_ENDED, 1);
    Ended::without(Outcome::ServerEnded, "server ended")
}

/// Says what a reply is worth.
fn judge<D>(dialect: &D, message: &Message, response: Response<Bytes>) -> Ended
where
    D: Dialect,
{
    let (head, body) = response.into_parts();
    let mark = dialect.parse_reply(&head);
    let response = Response::from_parts(head, body);
    match worth(&mark, message, &response) {
        Worth::Misdirected => Ended::without(Outcome::Misdirected, "another server's address"),
        Worth::NotRun => Ended::without(Outcome::Rejected { load: mark.load }, "turned away"),
        Worth::Nothing(why) => Ended::without(Outcome::Broken, why),
        Worth::Failure => whole(Outcome::Failure { load: mark.load }, mark, response),
        Worth::Part => whole(Outcome::Part { load: mark.load }, mark, response),
    }
}

fn whole(outcome: Outcome, mark: ReplyInfo, response: Response<Bytes>) -> Ended {
    let why = match &outcome {
        Outcome::Part { .. } => "whole",
        _ => "the server's own failure",
    };
    Ended {
        outcome,
        reply: Some(Reply {
            response,
            signature: mark.signature,
        }),
        why,
    }
}

/// What a reply is worth.
enum Worth {
    Part,
    Failure,
    NotRun,
    Misdirected,
    Nothing(&'static str),
}

fn worth(mark: &ReplyInfo, message: &Message, response: &Response<Bytes>) -> Worth {
    match mark.executed {
        Executed::Misdirected => return Worth::Misdirected,
        Executed::No => return Worth::NotRun,
        Executed::Maybe => {}
    }
    if mark.id.as_ref().is_some_and(|id| *id != message.id) {
        return Worth::Nothing("answers another request");
    }
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return Worth::Nothing("encoded on the way");
    }
    if mark.signature.is_none() {
        return Worth::Nothing("not signed");
    }
    match response.status() {
        status if status.is_success() => Worth::Part,
        StatusCode::CONTINUE | StatusCode::SWITCHING_PROTOCOLS => Worth::Nothing("not final"),
        _ => Worth::Failure,
    }
}
