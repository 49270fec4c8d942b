//! Calls as they pass from the listener to the tasks that carry them out.

use lentillift_core::id;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use lentillift_once::submit::ActionRequest;
use lentillift_once::submit::ActionResponse;
use tokio::sync::oneshot;

/// A call of a caller.
#[derive(Debug)]
pub enum Call {
    /// A query.
    Query {
        /// The call's number.
        request: id::Request,
        /// What is asked.
        ask: SearchRequest,
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
        /// The service that the id is for.
        service: id::Service,
        /// The caller.
        caller: id::Caller,
        /// Where the id goes.
        reply: oneshot::Sender<Result<String, Refusal>>,
    },
    /// A request that may run at most once.
    Action {
        /// The call's number.
        request: id::Request,
        /// What is asked.
        submit: ActionRequest,
        /// Where the outcome goes.
        reply: oneshot::Sender<ActionResponse>,
    },
}
