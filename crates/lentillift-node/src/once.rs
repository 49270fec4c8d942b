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
pub struct Submit {
    key: String,
    service: String,
    caller: String,
    allowance_us: u64,
    body: Vec<u8>,
}

/// See [`submit::ActionResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Settled {
    outcome: Outcome,
    cause: Option<Cause>,
    retry_after_ms: Option<u64>,
    body: Vec<u8>,
}

/// See [`record::HandoverBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Parcel {
    number: u64,
    host: String,
    incarnation: u64,
    records: Vec<Carried>,
}

/// See [`record::HandoverRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Carried {
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

impl From<submit::ActionRequest> for Submit {
    fn from(submit: submit::ActionRequest) -> Self {
        Self {
            key: submit.key,
            service: submit.service.to_string(),
            caller: submit.caller.to_string(),
            allowance_us: submit.allowance.as_micros() as u64,
            body: submit.body.to_vec(),
        }
    }
}

impl From<Submit> for submit::ActionRequest {
    fn from(submit: Submit) -> Self {
        Self {
            key: submit.key,
            service: submit.service.into(),
            caller: submit.caller.into(),
            allowance: Duration::from_micros(submit.allowance_us),
            body: submit.body.into(),
        }
    }
}

impl From<submit::ActionResponse> for Settled {
    fn from(settled: submit::ActionResponse) -> Self {
        Self {
            outcome: settled.outcome.into(),
            cause: settled.cause.map(Into::into),
            retry_after_ms: settled.retry_after.map(|after| after.as_millis() as u64),
            body: settled.body,
        }
    }
}

impl From<Settled> for submit::ActionResponse {
    fn from(settled: Settled) -> Self {
        Self {
            outcome: settled.outcome.into(),
            cause: settled.cause.map(Into::into),
            retry_after: settled.retry_after_ms.map(Duration::from_millis),
            body: settled.body,
        }
    }
}

impl From<record::HandoverBatch> for Parcel {
    fn from(parcel: record::HandoverBatch) -> Self {
        Self {
            number: parcel.number,
            host: parcel.host.to_string(),
            incarnation: parcel.incarnation,
            records: parcel.records.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Parcel> for record::HandoverBatch {
    fn from(parcel: Parcel) -> Self {
        Self {
            number: parcel.number,
            host: parcel.host.into(),
            incarnation: parcel.incarnation,
            records: parcel.records.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<record::HandoverRecord> for Carried {
    fn from(carried: record::HandoverRecord) -> Self {
        let state = match carried.state {
            record::State::Unused => State::Unused,
            // The host that takes over can no longer learn the result of a request in flight.
            record::State::Sent(digest) | record::State::Unknown(digest) => State::Unknown(digest),
            record::State::Done(digest, reply) => {
                State::Done(digest, reply.map(|reply| reply.to_vec()))
            }
        };
        Self {
            number: carried.number,
            issued: carried.issued,
            secret: carried.secret,
            caller: carried.caller.to_string(),
            left_ms: carried.left.as_millis() as u64,
            state,
        }
    }
}

impl From<Carried> for record::HandoverRecord {
    fn from(carried: Carried) -> Self {
        let state = match carried.state {
            State::Unused => record::State::Unused,
            State::Done(digest, reply) => record::State::Done(digest, reply.map(Into::into)),
            State::Unknown(digest) => record::State::Unknown(digest),
        };
        Self {
            number: carried.number,
            issued: carried.issued,
            secret: carried.secret,
            caller: carried.caller.into(),
            left: Duration::from_millis(carried.left_ms),
            state,
        }
    }
}
