//! Inputs and outputs of [`crate::core::Once`].
//!
//! Both are recorded in traces and replayed, so the names of their variants and fields are part of
//! a stored format.

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

/// An input of [`crate::core::Once`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A caller requests an id.
    Issue {
        /// Number of the caller's request at its entry.
        request: id::Request,
        /// The service that the id is for.
        service: id::Service,
        /// The caller.
        caller: id::Caller,
    },
    /// A caller of this process sent a request under an id.
    Call {
        /// Number of the caller's request at its entry.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// An entry on another host forwarded a request whose home may be this process.
    Submit {
        /// The entry's host.
        from: id::Host,
        /// Number of the caller's request at that entry.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// A forwarded request certainly never left this process.
    Undelivered {
        /// Number of the caller's request at its entry.
        request: id::Request,
    },
    /// The home of a forwarded request answered.
    Settled {
        /// The host that answered.
        from: id::Host,
        /// Number of the caller's request at its entry.
        request: id::Request,
        /// The response for its caller.
        settled: ActionResponse,
    },
    /// The host that a request was forwarded to isn't its home.
    NotHome {
        /// The host that rejected the request.
        from: id::Host,
        /// Number of the caller's request at its entry.
        request: id::Request,
    },
    /// An owner answered a sub-request.
    Result {
        /// Number of the sub-request.
        id: id::Sub,
        /// How the sub-request ended.
        result: sub::Result,
    },
    /// The link to a host ended; messages sent over it may or may not have arrived.
    Down {
        /// The host at the other end of the link.
        host: id::Host,
    },
    /// Another process hands over the records of its ids.
    Handover {
        /// Host of that process.
        from: id::Host,
        /// The records.
        parcel: HandoverBatch,
    },
    /// A host acknowledged a batch of records.
    Taken {
        /// Number of the batch.
        number: u64,
    },
    /// A batch of records certainly never left this process.
    Returned(HandoverBatch),
    /// The process is shutting down.
    Leave {
        /// Time that requests in flight may still take.
        within: Duration,
    },
    /// The view of the fleet changed.
    View(Arc<View>),
    /// A timer may be due; see [`crate::core::Once::next_wake`].
    Tick,
}

/// An output of [`crate::core::Once`]: an action for the process to carry out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Answer a caller's request for an id.
    Issued {
        /// Number of the caller's request at its entry.
        request: id::Request,
        /// The id, or why none is issued.
        key: Result<String, Refusal>,
    },
    /// Answer a caller's request; the caller is connected to this process.
    Settle {
        /// Number of the caller's request at its entry.
        request: id::Request,
        /// The response.
        settled: ActionResponse,
    },
    /// Forward a request to its home.
    Forward {
        /// The home, or the host that may have taken over from it.
        to: id::Host,
        /// Number of the caller's request at its entry.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// Answer an entry that forwarded a request.
    Answer {
        /// The entry's host.
        to: id::Host,
        /// Number of the caller's request at that entry.
        request: id::Request,
        /// The response for its caller.
        settled: ActionResponse,
    },
    /// Reject a forwarded request because this process isn't the home of its id.
    NotHome {
        /// The entry's host.
        to: id::Host,
        /// Number of the caller's request at that entry.
        request: id::Request,
    },
    /// Send a sub-request to an owner.
    Send {
        /// Host of the owner.
        to: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// Hand over the records of ids.
    Handover {
        /// The host that takes them over.
        to: id::Host,
        /// The records.
        parcel: HandoverBatch,
    },
    /// Acknowledge a batch of records.
    Taken {
        /// The host that handed it over.
        to: id::Host,
        /// Number of the batch.
        number: u64,
    },
    /// The handover is complete or timed out; the process may end.
    Left,
}
