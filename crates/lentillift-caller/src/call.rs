//! Messages from the HTTP listener to the tasks that execute requests of callers.

use lentillift_core::id;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use lentillift_once::submit::ActionRequest;
use lentillift_once::submit::ActionResponse;
use tokio::sync::oneshot;

/// A request of a caller, or its cancellation, with the channel for the response.
#[derive(Debug)]
pub enum Call {
    /// A search over the shards of a service.
    Query {
        /// Number of the request, unique in this process.
        request: id::Request,
        /// The parsed query.
        query: SearchRequest,
        /// Receives the answer or the refusal.
        reply: oneshot::Sender<Result<Answer, Refusal>>,
    },
    /// The caller of a query closed its connection before the answer.
    Gone {
        /// Number of the query.
        request: id::Request,
    },
    /// A request for a new id, under which an action runs at most once.
    Issue {
        /// Service on which the action will run.
        service: id::Service,
        /// Caller that will send the action.
        caller: id::Caller,
        /// Receives the id or the refusal.
        reply: oneshot::Sender<Result<String, Refusal>>,
    },
    /// An action, which runs at most once under its id.
    Action {
        /// Number of the request, unique in this process.
        request: id::Request,
        /// The parsed action.
        submit: ActionRequest,
        /// Receives the outcome.
        reply: oneshot::Sender<ActionResponse>,
    },
}
