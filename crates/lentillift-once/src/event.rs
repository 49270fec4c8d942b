//! What happens to the part that serves requests that may run at most once, and what it wants done.

use crate::record::HandoverBatch;
use crate::submit::ActionRequest;
use crate::submit::ActionResponse;
use lentillift_core::id;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Sub;
use lentillift_fleet::view::View;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// What happens.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A caller wants an id.
    Issue {
        /// The call's number.
        request: id::Request,
        /// The service that the id is for.
        service: id::Service,
        /// The caller.
        caller: id::Caller,
    },
    /// A caller sent a request.
    Call {
        /// The call's number.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// An entry passed on a request whose home may be here.
    Submit {
        /// The entry's host.
        from: id::Host,
        /// The call's number there.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// A request that was passed on certainly never left this process.
    Undelivered {
        /// The call's number.
        request: id::Request,
    },
    /// The home of a request that was passed on has answered.
    Settled {
        /// The host that answered.
        from: id::Host,
        /// The call's number.
        request: id::Request,
        /// What became of it.
        settled: ActionResponse,
    },
    /// The host that a request was passed on to isn't its home.
    NotHome {
        /// The host that answered.
        from: id::Host,
        /// The call's number.
        request: id::Request,
    },
    /// An owner answered a sub-request.
    Result {
        /// The sub-request's number.
        id: id::Sub,
        /// The result.
        result: sub::Result,
    },
    /// The link to a host ended; what it was sent may or may not have arrived.
    Down {
        /// The host.
        host: id::Host,
    },
    /// Another process has given up ids for this one to take over.
    Handover {
        /// The process's host.
        from: id::Host,
        /// The ids.
        parcel: HandoverBatch,
    },
    /// A host has taken over what a parcel held.
    Taken {
        /// The parcel's number.
        number: u64,
    },
    /// A parcel certainly never left this process.
    Returned(HandoverBatch),
    /// The process is to end.
    Leave {
        /// How long requests under way may still take.
        within: Duration,
    },
    /// The view of the fleet changed.
    View(Arc<View>),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Give a caller its id, or turn it away.
    Issued {
        /// The call's number.
        request: id::Request,
        /// The id.
        key: Result<String, Refusal>,
    },
    /// Answer a caller of this process.
    Settle {
        /// The call's number.
        request: id::Request,
        /// What became of its request.
        settled: ActionResponse,
    },
    /// Pass a request on to its home.
    Forward {
        /// The home.
        to: id::Host,
        /// The call's number.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// Answer an entry that passed on a request.
    Answer {
        /// The entry's host.
        to: id::Host,
        /// The call's number there.
        request: id::Request,
        /// What became of the request.
        settled: ActionResponse,
    },
    /// Tell an entry that this process isn't the home of a request's id.
    NotHome {
        /// The entry's host.
        to: id::Host,
        /// The call's number there.
        request: id::Request,
    },
    /// Send a sub-request to an owner.
    Send {
        /// The owner.
        to: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// Hand ids over.
    Handover {
        /// The host that is to take them over.
        to: id::Host,
        /// The ids.
        parcel: HandoverBatch,
    },
    /// Tell a host that its parcel was taken over.
    Taken {
        /// The host.
        to: id::Host,
        /// The parcel's number.
        number: u64,
    },
    /// Nothing is left to be done before the process ends.
    Left,
}
