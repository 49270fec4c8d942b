//! What the system's processes say to each other.

use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub;
use lentillift_core::sub::Desk;
use lentillift_core::sub::Sub;
use lentillift_fleet::sync;
use std::time::Duration;

/// A message between two of the system's processes.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// An entry asks an owner to serve a sub-request.
    Sub(Sub),
    /// An entry no longer wants a sub-request.
    Cancel(id::Sub),
    /// An owner answers a sub-request.
    Result {
        /// The desk that sent the sub-request.
        desk: Desk,
        /// The sub-request's number there.
        id: id::Sub,
        /// The result.
        result: sub::Result,
    },
    /// An entry passes a request that may run at most once to its home.
    Submit(Submit),
    /// A home answers such a request.
    Settled {
        /// The request's number at the entry.
        request: id::Request,
        /// What became of it.
        outcome: Outcome,
        /// The backend server's reply, or a line that says what is wrong.
        body: Vec<u8>,
    },
    /// About hosts and values.
    Sync(sync::Message),
}

/// A request that may run at most once, on its way to its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submit {
    /// The request's number at the entry.
    pub request: id::Request,
    /// The id that its home issued.
    pub key: String,
    /// The service.
    pub service: id::Service,
    /// The caller.
    pub caller: id::Caller,
    /// Time left until its outcome is of no more use.
    pub allowance: Duration,
    /// The body, passed on as it came.
    pub body: Vec<u8>,
}
