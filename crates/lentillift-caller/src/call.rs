//! Calls as they pass from the listener to the tasks that carry them out.

use crate::parse::Issue;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::Ask;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request that may run at most once, as its caller put it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// The service.
    pub service: id::Service,
    /// The caller.
    pub caller: id::Caller,
    /// How long the caller waits.
    pub allowance: Duration,
    /// The id that was issued for the request.
    pub key: String,
    /// The body, passed on as it came.
    pub body: Vec<u8>,
}

/// What became of a request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settled {
    /// What became of it.
    pub outcome: Outcome,
    /// The backend server's reply, or a line that says what is wrong.
    pub body: Vec<u8>,
}

/// A call of a caller.
#[derive(Debug)]
pub enum Call {
    /// A query.
    Query {
        /// The call's number.
        request: id::Request,
        /// What is asked.
        ask: Ask,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Answer, Refusal>>,
    },
    /// The caller of a query went away.
    Gone {
        /// The call's number.
        request: id::Request,
    },
    /// A caller wants an id for a request that may run at most once.
    Issue {
        /// For which service, and for whom.
        issue: Issue,
        /// Where the id goes.
        reply: oneshot::Sender<Result<String, Refusal>>,
    },
    /// A request that may run at most once.
    Action {
        /// The call's number.
        request: id::Request,
        /// What is asked.
        action: Action,
        /// Where the outcome goes.
        reply: oneshot::Sender<Settled>,
    },
}
