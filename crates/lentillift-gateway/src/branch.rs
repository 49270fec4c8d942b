//! Branch requests: requests to another host for shards that have replicas in its failure domain.
//!
//! That host sends each shard's request once, to a replica near it, and never retries: retries are
//! decided by the requesting host, which has the caller and alone knows how often the request was
//! sent and what the budget allows. It therefore gets answers early: the shards that are complete
//! by the time most replies should be there, the shards that could not be sent at all, and all
//! others as they complete.

pub mod answer;
mod wire;

use crate::body_memory::Growth;
use crate::dialect::Dialect;
use crate::dispatch;
use crate::exchange::ExchangeResult;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::quarantine;
use crate::source::Source;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::outcome::BranchUpdate;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::report::Report;
use tracing::info;
use wire::Answer;
use wire::RoutedRequest;
use wire::SlowBackend;

/// Path of branch requests.
pub const PATH: &str = "/v3/branch";

/// Path of branch requests in the previous format, which hosts of the previous release send.
pub const PREVIOUS_PATH: &str = "/v2/branch";

/// Format of a branch request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// States what the requesting host's route determines.
    Routed,
    /// Leaves the route to the host that is asked.
    Previous,
}

impl Format {
    /// Returns the format of the requests to `path`; none if they are not branch requests.
    pub fn of(path: &str) -> Option<Self> {
        match path {
            PATH => Some(Self::Routed),
            PREVIOUS_PATH => Some(Self::Previous),
            _ => None,
        }
    }
}

/// Parts of several shards, merged by another host.
#[derive(Debug, Default)]
pub struct Merged {
    /// Signatures of the backend servers.
    pub signatures: Vec<Box<str>>,
    /// The merged records.
    pub records: Vec<u8>,
}

/// Stream of further answers of a host.
#[derive(Debug)]
pub struct PendingAnswers {
    reader: Reader<Answer>,
    send: Send,
    deadline: Time,
    /// Number of legs that no answer has reported on.
    open_legs: usize,
}

/// Result of one answer of a host, or of a failed branch request.
#[derive(Debug)]
pub struct BranchReply {
    /// Outcome and reason, as for a backend server.
    pub result: ExchangeResult,
    /// Parts in this answer; none if the request failed.
    pub merged: Option<Merged>,
    /// Further answers; none after the last one.
    pub pending: Option<PendingAnswers>,
}

impl BranchReply {
    fn without(outcome: Outcome, reason: &'static str) -> Self {
        Self {
            result: ExchangeResult::without(outcome, reason),
            merged: None,
            pending: None,
        }
    }
}

/// Requests the legs of `send` from host `to`; returns its first answer.
pub(crate) async fn request_branch<D, S>(
    host: &Host<D, S>,
    to: &id::Host,
    send: Send,
    services: Vec<String>,
    context: &dispatch::Context,
) -> BranchReply
where
    D: Dialect,
    S: Source,
{
    let address = host.swim.borrow().table().get(to).map(|m| m.address);
    let Some(address) = address else {
        return BranchReply::without(Outcome::Unreachable, "host is unknown");
    };
    let Some(route) = wire::Route::of(&context.route, context.config) else {
        return BranchReply::without(Outcome::Unreachable, "route has no shards");
    };
    let sent_at = host.now();
    let deadline = sent_at + send.timeout;
    let stamp = Stamp {
        host: host.name.clone(),
        incarnation: host.swim.borrow().own().incarnation,
        at: sent_at,
    };
    let dispatch::Context {
        message, authority, ..
    } = context;
    // The encoded request holds a copy of the body until the host has it.
    let mut memory = host.uploads.reservation();
    if memory.grow(message.body.len()) == Growth::Denied {
        return BranchReply::without(Outcome::Unreachable, "no memory for the request");
    }
    let routed = RoutedRequest {
        request: wire::branch_request(&send, services, authority, message, &stamp),
        route,
    };
    let Ok(body) = frame::encode(&routed, to) else {
        return BranchReply::without(Outcome::Unreachable, "request can't be encoded");
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://host/v3/branch");
    let result = tokio::time::timeout(send.timeout, host.peers.send(address, request)).await;
    drop(memory);
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.step == Step::Connect => {
            return BranchReply::without(Outcome::Unreachable, "host is unreachable");
        }
        Ok(Err(_)) => return BranchReply::without(Outcome::Broken, "host failed"),
        Err(_) => {
            host.peers.drop_connection(address);
            return BranchReply::without(Outcome::Broken, "host did not answer in time");
        }
    };
    if response.status() != StatusCode::OK {
        return BranchReply::without(Outcome::Unreachable, "host declined the request");
    }
    let pending = PendingAnswers {
        reader: Reader::new(to, response.into_body()),
        open_legs: send.legs.len(),
        send,
        deadline,
    };
    let reply = pending.next(host).await;
    if reply.result.outcome == Outcome::Broken {
        host.peers.drop_connection(address);
    }
    reply
}

impl PendingAnswers {
    /// Waits for the next answer.
    pub async fn next<D, S>(mut self, host: &Host<D, S>) -> BranchReply
    where
        D: Dialect,
        S: Source,
    {
        let remaining = self.deadline.saturating_sub(host.now());
        let answer = match tokio::time::timeout(remaining, self.reader.next(remaining)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => {
                return BranchReply::without(Outcome::Broken, "host stopped answering");
            }
        };
        if !answer.slow.is_empty() {
            merge_reports(host, &self.reader, &answer.slow);
        }
        if let Some(record) = &answer.quarantine {
            quarantine::merge_records(host, self.reader.peer(), std::slice::from_ref(record));
        }
        let legs = |indices: &[u16]| -> Vec<usize> {
            let legs = indices
                .iter()
                .filter_map(|index| self.send.legs.get(usize::from(*index)));
            legs.copied().collect()
        };
        let done: Vec<u16> = answer.parts.iter().map(|(index, _)| *index).collect();
        let mut progress = BranchUpdate {
            done: legs(&done),
            declined: legs(&answer.declined),
            failed: legs(&answer.failed),
            last: false,
        };
        let reported = progress.done.len() + progress.declined.len() + progress.failed.len();
        self.open_legs = self.open_legs.saturating_sub(reported);
        progress.last = self.open_legs == 0;
        let signatures = answer.parts.into_iter().map(|(_, text)| text.into());
        let merged = Merged {
            signatures: signatures.collect(),
            records: answer.records,
        };
        BranchReply {
            merged: Some(merged),
            pending: (!progress.last).then_some(self),
            result: ExchangeResult::without(Outcome::Branch(progress), "told"),
        }
    }
}

/// Merges another host's reports on slow backend servers.
fn merge_reports<D, S>(host: &Host<D, S>, from: &Reader<Answer>, slow: &[SlowBackend])
where
    D: Dialect,
    S: Source,
{
    let reports: Vec<Report> = slow.iter().map(Report::from).collect();
    let now = host.now();
    let newer = host.core.borrow_mut().replicas.merge_reports(&reports, now);
    if newer > 0 {
        info!(
            event = "slow",
            from = from.peer(),
            told = reports.len(),
            newer,
            "reports on slow backend servers received"
        );
    }
}
