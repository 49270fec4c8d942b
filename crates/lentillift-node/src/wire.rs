//! Serialized forms of messages.
//!
//! These types are separate from those that the program works with, so that either side can change
//! without the other. `bincode` encodes fields and variants by position: their order is part of the
//! protocol.

use crate::gossip;
use crate::lease::Claim;
use crate::lease::Transfer;
use crate::lease::Verdict;
use crate::message;
use crate::mirror::mirror;
use crate::once::ActionRequest;
use crate::once::ActionResponse;
use crate::once::HandoverBatch;
use bincode::Decode;
use bincode::Encode;
use lentillift_core::hit;
use lentillift_core::outcome;
use lentillift_core::sub;
use std::time::Duration;

/// See [`message::Message`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Message {
    /// See [`message::Message::Sub`].
    Sub(Sub),
    /// See [`message::Message::Cancel`].
    Cancel(u64),
    /// See [`message::Message::Result`].
    Result(Component, u64, SubResult, Option<Load>),
    /// See [`message::Message::Submit`].
    Submit(u64, ActionRequest),
    /// See [`message::Message::Settled`].
    Settled(u64, ActionResponse),
    /// See [`message::Message::NotHome`].
    NotHome(u64),
    /// See [`message::Message::Handover`].
    Handover(HandoverBatch),
    /// See [`message::Message::Taken`].
    Taken(u64),
    /// See [`message::Message::Forward`].
    Forward(String, Sub),
    /// See [`message::Message::Claims`].
    Claims(u64, Vec<Claim>),
    /// See [`message::Message::Verdicts`].
    Verdicts(u64, Vec<(String, u64, Verdict)>),
    /// See [`message::Message::Release`].
    Release(Vec<(String, u64)>),
    /// See [`message::Message::Cede`].
    Cede(Transfer),
    /// See [`message::Message::Ceded`].
    Ceded(String),
    /// See [`message::Message::Sync`].
    Sync(gossip::Sync),
}

/// See [`sub::Sub`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Sub {
    id: u64,
    service: String,
    backend: String,
    caller: String,
    work: Work,
    allowance_us: u64,
    body: Vec<u8>,
    hedge: bool,
}

mirror! {
    Component of sub::Component {
        Query,
        Once,
    }
}

/// See [`sub::Work`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Work {
    /// See [`sub::Work::Search`].
    Search(u64, u32),
    /// See [`sub::Work::Action`].
    Action(String),
}

/// See [`sub::Result`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum SubResult {
    /// See [`sub::Result::Hits`].
    Hits(Vec<Hit>),
    /// See [`sub::Result::Reply`].
    Reply(Vec<u8>),
    /// See [`sub::Result::Failed`].
    Failed(Failure, Outcome),
}

/// See [`sub::Load`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Load {
    queued: u32,
    running: u32,
    limit: u32,
    cold: bool,
    wait_us: u64,
    run_us: u64,
}

/// See [`hit::Hit`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Hit {
    id: String,
    score: f64,
    json: String,
}

mirror! {
    Failure of sub::Failure {
        Refused,
        Cold,
        SnapshotGone,
        NotOwner,
        Out,
        Shed,
        Connection,
        Timeout,
        Malformed,
        Ended,
    }
}

mirror! {
    Outcome of outcome::Outcome {
        Done,
        NotRun,
        Unknown,
    }
}

impl From<message::Message> for Message {
    fn from(message: message::Message) -> Self {
        match message {
            message::Message::Sub(sub) => Self::Sub(sub.into()),
            message::Message::Cancel(id) => Self::Cancel(id),
            message::Message::Result {
                component,
                id,
                result,
                load,
            } => Self::Result(component.into(), id, result.into(), load.map(Load::from)),
            message::Message::Submit { request, submit } => Self::Submit(request, submit.into()),
            message::Message::Settled { request, settled } => {
                Self::Settled(request, settled.into())
            }
            message::Message::NotHome { request } => Self::NotHome(request),
            message::Message::Handover(batch) => Self::Handover(batch.into()),
            message::Message::Taken { number } => Self::Taken(number),
            message::Message::Forward { from, sub } => Self::Forward(from.to_string(), sub.into()),
            message::Message::Claims { sent, claims } => Self::Claims(
                sent.as_micros() as u64,
                claims.into_iter().map(Claim::from).collect(),
            ),
            message::Message::Verdicts { sent, verdicts } => {
                let verdicts = verdicts.into_iter();
                let verdicts =
                    verdicts.map(|(name, number, v)| (name.to_string(), number, v.into()));
                Self::Verdicts(sent.as_micros() as u64, verdicts.collect())
            }
            message::Message::Release(released) => {
                let released = released.into_iter();
                Self::Release(released.map(|(name, n)| (name.to_string(), n)).collect())
            }
            message::Message::Cede(transfer) => Self::Cede(transfer.into()),
            message::Message::Ceded(backend) => Self::Ceded(backend.to_string()),
            message::Message::Sync(message) => Self::Sync(message.into()),
        }
    }
}

impl TryFrom<Message> for message::Message {
    type Error = String;

    fn try_from(message: Message) -> Result<Self, Self::Error> {
        Ok(match message {
            Message::Sub(sub) => Self::Sub(sub.into()),
            Message::Cancel(id) => Self::Cancel(id),
            Message::Result(component, id, result, load) => Self::Result {
                component: component.into(),
                id,
                result: result.try_into()?,
                load: load.map(sub::Load::from),
            },
            Message::Submit(request, submit) => Self::Submit {
                request,
                submit: submit.into(),
            },
            Message::Settled(request, settled) => Self::Settled {
                request,
                settled: settled.into(),
            },
            Message::NotHome(request) => Self::NotHome { request },
            Message::Handover(batch) => Self::Handover(batch.into()),
            Message::Taken(number) => Self::Taken { number },
            Message::Forward(from, sub) => Self::Forward {
                from: from.into(),
                sub: sub.into(),
            },
            Message::Claims(sent, claims) => Self::Claims {
                sent: Duration::from_micros(sent),
                claims: claims.into_iter().map(Into::into).collect(),
            },
            Message::Verdicts(sent, verdicts) => {
                let verdicts = verdicts.into_iter();
                let verdicts = verdicts.map(|(name, number, v)| (name.into(), number, v.into()));
                Self::Verdicts {
                    sent: Duration::from_micros(sent),
                    verdicts: verdicts.collect(),
                }
            }
            Message::Release(released) => {
                let released = released.into_iter();
                Self::Release(released.map(|(name, n)| (name.into(), n)).collect())
            }
            Message::Cede(transfer) => Self::Cede(transfer.into()),
            Message::Ceded(backend) => Self::Ceded(backend.into()),
            Message::Sync(message) => Self::Sync(message.try_into()?),
        })
    }
}

impl From<sub::Sub> for Sub {
    fn from(sub: sub::Sub) -> Self {
        Self {
            id: sub.id,
            service: sub.service.to_string(),
            backend: sub.backend.to_string(),
            caller: sub.caller.to_string(),
            work: sub.work.into(),
            allowance_us: sub.allowance.as_micros() as u64,
            body: sub.body.to_vec(),
            hedge: sub.hedge,
        }
    }
}

impl From<Sub> for sub::Sub {
    fn from(sub: Sub) -> Self {
        Self {
            id: sub.id,
            service: sub.service.into(),
            backend: sub.backend.into(),
            caller: sub.caller.into(),
            work: sub.work.into(),
            allowance: Duration::from_micros(sub.allowance_us),
            body: sub.body.into(),
            hedge: sub.hedge,
        }
    }
}

impl From<sub::Work> for Work {
    fn from(work: sub::Work) -> Self {
        match work {
            sub::Work::Search { snapshot, shard } => Self::Search(snapshot, shard),
            sub::Work::Action { key } => Self::Action(key.to_string()),
        }
    }
}

impl From<Work> for sub::Work {
    fn from(work: Work) -> Self {
        match work {
            Work::Search(snapshot, shard) => Self::Search { snapshot, shard },
            Work::Action(key) => Self::Action { key: key.into() },
        }
    }
}

impl From<sub::Result> for SubResult {
    fn from(result: sub::Result) -> Self {
        match result {
            sub::Result::Hits(hits) => Self::Hits(hits.into_iter().map(Hit::from).collect()),
            sub::Result::Reply(body) => Self::Reply(body),
            sub::Result::Failed { failure, outcome } => {
                Self::Failed(failure.into(), outcome.into())
            }
        }
    }
}

impl TryFrom<SubResult> for sub::Result {
    type Error = String;

    fn try_from(result: SubResult) -> Result<Self, Self::Error> {
        Ok(match result {
            SubResult::Hits(hits) => {
                let hits = hits.into_iter().map(hit::Hit::try_from);
                Self::Hits(hits.collect::<Result<_, _>>()?)
            }
            SubResult::Reply(body) => Self::Reply(body),
            SubResult::Failed(failure, outcome) => Self::Failed {
                failure: failure.into(),
                outcome: outcome.into(),
            },
        })
    }
}

impl From<sub::Load> for Load {
    fn from(load: sub::Load) -> Self {
        Self {
            queued: load.queued,
            running: load.running,
            limit: load.limit,
            cold: load.cold,
            wait_us: load.wait.as_micros() as u64,
            run_us: load.run.as_micros() as u64,
        }
    }
}

impl From<Load> for sub::Load {
    fn from(load: Load) -> Self {
        Self {
            queued: load.queued,
            running: load.running,
            limit: load.limit,
            cold: load.cold,
            wait: Duration::from_micros(load.wait_us),
            run: Duration::from_micros(load.run_us),
        }
    }
}

impl From<hit::Hit> for Hit {
    fn from(hit: hit::Hit) -> Self {
        Self {
            id: hit.id,
            score: hit.score,
            json: hit.json,
        }
    }
}

impl TryFrom<Hit> for hit::Hit {
    type Error = String;

    fn try_from(hit: Hit) -> Result<Self, Self::Error> {
        if hit.score.is_nan() {
            return Err(format!("hit `{}`: score is not a number", hit.id));
        }
        Ok(Self {
            id: hit.id,
            score: hit.score,
            json: hit.json,
        })
    }
}
