//! Serialized forms of the types in messages about at-most-once requests.

use crate::mirror::mirror;
use crate::wire::Outcome;
use bincode::Decode;
use bincode::Encode;
use lentillift_core::refusal;
use lentillift_once::record;
use lentillift_once::submit;
use std::time::Duration;

/// See [`submit::ActionRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ActionRequest {
    key: String,
    service: String,
    caller: String,
    allowance_us: u64,
    body: Vec<u8>,
}

/// See [`submit::ActionResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ActionResponse {
    outcome: Outcome,
    cause: Option<Cause>,
    retry_after_ms: Option<u64>,
    body: Vec<u8>,
}

/// See [`record::HandoverBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HandoverBatch {
    number: u64,
    host: String,
    incarnation: u64,
    records: Vec<HandoverRecord>,
}

/// See [`record::HandoverRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HandoverRecord {
    number: u64,
    issued: u64,
    secret: u64,
    caller: String,
    left_ms: u64,
    state: State,
}

/// See [`record::State`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum State {
    /// See [`record::State::Unused`].
    Unused,
    /// See [`record::State::Done`].
    Done(u64, Option<Vec<u8>>),
    /// See [`record::State::Unknown`].
    Unknown(u64),
}

mirror! {
    Cause of refusal::Cause {
        UnknownService,
        UnknownCaller,
        Malformed,
        Allowance,
        Overload,
        Stale,
        Leaving,
        NoSnapshot,
        Coverage,
        Closed,
        Mismatch,
        Quarantined,
    }
}

impl From<submit::ActionRequest> for ActionRequest {
    fn from(request: submit::ActionRequest) -> Self {
        Self {
            key: request.key,
            service: request.service.to_string(),
            caller: request.caller.to_string(),
            allowance_us: request.allowance.as_micros() as u64,
            body: request.body.to_vec(),
        }
    }
}

impl From<ActionRequest> for submit::ActionRequest {
    fn from(request: ActionRequest) -> Self {
        Self {
            key: request.key,
            service: request.service.into(),
            caller: request.caller.into(),
            allowance: Duration::from_micros(request.allowance_us),
            body: request.body.into(),
        }
    }
}

impl From<submit::ActionResponse> for ActionResponse {
    fn from(response: submit::ActionResponse) -> Self {
        Self {
            outcome: response.outcome.into(),
            cause: response.cause.map(Into::into),
            retry_after_ms: response.retry_after.map(|after| after.as_millis() as u64),
            body: response.body,
        }
    }
}

impl From<ActionResponse> for submit::ActionResponse {
    fn from(response: ActionResponse) -> Self {
        Self {
            outcome: response.outcome.into(),
            cause: response.cause.map(Into::into),
            retry_after: response.retry_after_ms.map(Duration::from_millis),
            body: response.body,
        }
    }
}

impl From<record::HandoverBatch> for HandoverBatch {
    fn from(batch: record::HandoverBatch) -> Self {
        Self {
            number: batch.number,
            host: batch.host.to_string(),
            incarnation: batch.incarnation,
            records: batch.records.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<HandoverBatch> for record::HandoverBatch {
    fn from(batch: HandoverBatch) -> Self {
        Self {
            number: batch.number,
            host: batch.host.into(),
            incarnation: batch.incarnation,
            records: batch.records.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<record::HandoverRecord> for HandoverRecord {
    fn from(record: record::HandoverRecord) -> Self {
        let state = match record.state {
            record::State::Unused => State::Unused,
            // The host that takes over can no longer learn the result of a request in flight.
            record::State::Sent(digest) | record::State::Unknown(digest) => State::Unknown(digest),
            record::State::Done(digest, reply) => {
                State::Done(digest, reply.map(|reply| reply.to_vec()))
            }
        };
        Self {
            number: record.number,
            issued: record.issued,
            secret: record.secret,
            caller: record.caller.to_string(),
            left_ms: record.left.as_millis() as u64,
            state,
        }
    }
}

impl From<HandoverRecord> for record::HandoverRecord {
    fn from(record: HandoverRecord) -> Self {
        let state = match record.state {
            State::Unused => record::State::Unused,
            State::Done(digest, reply) => record::State::Done(digest, reply.map(Into::into)),
            State::Unknown(digest) => record::State::Unknown(digest),
        };
        Self {
            number: record.number,
            issued: record.issued,
            secret: record.secret,
            caller: record.caller.into(),
            left: Duration::from_millis(record.left_ms),
            state,
        }
    }
}
