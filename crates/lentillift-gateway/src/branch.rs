//! Asking another host for shards that have replicas in its failure domain.
//!
//! The host that is asked sends each shard's request once, to a replica near it, and never repeats
//! it: whether and where to ask again is decided by the host that has the caller, which alone knows
//! how often the request was sent and what the budget allows. For that it is told early: what is here
//! when most replies should be, what could not be asked at all, and the rest as it comes.

pub mod answer;
mod wire;

use crate::dialect::Dialect;
use crate::exchange::ExchangeResult;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::message::Message;
use crate::quarantine;
use crate::source::Source;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::outcome::Brought;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::report::Report;
use tracing::info;
use wire::Answer;
use wire::SlowBackend;

/// Path of these requests.
pub const PATH: &str = "/v2/branch";

/// Parts that another host merged.
#[derive(Debug, Default)]
pub struct Merged {
    /// Their servers' signatures.
    pub signatures: Vec<Box<str>>,
    /// Their records.
    pub records: Vec<u8>,
}

/// Answers of a host that has not told everything yet.
#[derive(Debug)]
pub struct PendingAnswers {
    reader: Reader<Answer>,
    send: Send,
    deadline: Time,
    /// Legs of which nothing was heard.
    open_legs: usize,
}

/// What one message of a host means.
#[derive(Debug)]
pub struct BranchReply {
    /// For the decisions.
    pub ended: ExchangeResult,
    /// Parts that it brought.
    pub merged: Option<Merged>,
    /// Whatever is still to come.
    pub rest: Option<PendingAnswers>,
}

impl BranchReply {
    fn without(outcome: Outcome, why: &'static str) -> Self {
        Self {
            ended: ExchangeResult {
                outcome,
                reply: None,
                reason: why,
            },
            merged: None,
            rest: None,
        }
    }
}

/// Asks `to` for the legs of `send`; returns with its first message.
pub async fn request_branch<D, S>(
    host: &Host<D, S>,
    to: &id::Host,
    send: Send,
    services: Vec<String>,
    authority: &str,
    message: &Message,
) -> BranchReply
where
    D: Dialect,
    S: Source,
{
    let address = host.swim.borrow().table().get(to).map(|m| m.address);
    let Some(address) = address else {
        return BranchReply::without(Outcome::Unreachable, "host is not known");
    };
    let asked = host.now();
    let until = asked + send.left;
    let stamp = Stamp {
        host: host.name.clone(),
        incarnation: host.swim.borrow().own().incarnation,
        at: asked,
    };
    let question = wire::branch_request(&send, services, authority, message, &stamp);
    let Ok(body) = frame::encode(&question, to) else {
        return BranchReply::without(Outcome::Unreachable, "question can't be encoded");
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://host/v2/branch");
    let sent = tokio::time::timeout(send.left, host.peers.send(address, request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.step == Step::Connect => {
            return BranchReply::without(Outcome::Unreachable, "host can't be reached");
        }
        Ok(Err(_)) => return BranchReply::without(Outcome::Broken, "host failed"),
        Err(_) => {
            host.peers.drop_connection(address);
            return BranchReply::without(Outcome::Broken, "host did not answer in time");
        }
    };
    if response.status() != StatusCode::OK {
        return BranchReply::without(Outcome::Unreachable, "host declined");
    }
    let rest = PendingAnswers {
        reader: Reader::new(to, response.into_body()),
        open_legs: send.legs.len(),
        send,
        deadline: until,
    };
    let told = rest.next(host).await;
    if told.ended.outcome == Outcome::Broken {
        host.peers.drop_connection(address);
    }
    told
}

impl PendingAnswers {
    /// Waits for the next message.
    pub async fn next<D, S>(mut self, host: &Host<D, S>) -> BranchReply
    where
        D: Dialect,
        S: Source,
    {
        let left = self.deadline.saturating_sub(host.now());
        let answer = match tokio::time::timeout(left, self.reader.next(left)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => {
                return BranchReply::without(Outcome::Broken, "host did not tell everything");
            }
        };
        if !answer.slow.is_empty() {
            merge_reports(host, &self.reader, &answer.slow);
        }
        if let Some(account) = &answer.quarantine {
            quarantine::merge_accounts(host, self.reader.peer(), std::slice::from_ref(account));
        }
        let legs = |places: &[u16]| -> Vec<usize> {
            let legs = places
                .iter()
                .filter_map(|p| self.send.legs.get(usize::from(*p)));
            legs.copied().collect()
        };
        let places: Vec<u16> = answer.parts.iter().map(|(place, _)| *place).collect();
        let mut brought = Brought {
            done: legs(&places),
            declined: legs(&answer.declined),
            failed: legs(&answer.failed),
            last: false,
        };
        let heard = brought.done.len() + brought.declined.len() + brought.failed.len();
        self.open_legs = self.open_legs.saturating_sub(heard);
        brought.last = self.open_legs == 0;
        let signatures = answer.parts.into_iter().map(|(_, text)| text.into());
        let merged = Merged {
            signatures: signatures.collect(),
            records: answer.records,
        };
        BranchReply {
            merged: Some(merged),
            rest: (!brought.last).then_some(self),
            ended: ExchangeResult {
                outcome: Outcome::Branch(brought),
                reply: None,
                reason: "told",
            },
        }
    }
}

/// Takes in what another host says of slow backend servers.
fn merge_reports<D, S>(host: &Host<D, S>, from: &Reader<Answer>, slow: &[SlowBackend])
where
    D: Dialect,
    S: Source,
{
    let reports: Vec<Report> = slow.iter().map(Report::from).collect();
    let now = host.now();
    let newer = host.core.borrow_mut().book.hear(&reports, now);
    if newer > 0 {
        info!(
            event = "slow",
            from = from.peer(),
            told = reports.len(),
            newer,
            "another host knows of slow backend servers"
        );
    }
}
