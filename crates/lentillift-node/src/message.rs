//! Messages between the processes of the fleet.

use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Component;
use lentillift_core::sub::Load;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::grant::Attempt;
use lentillift_fleet::grant::Claim;
use lentillift_fleet::grant::Verdict;
use lentillift_fleet::lease_manager::Transfer;
use lentillift_fleet::sync;
use lentillift_once::record::HandoverBatch;
use lentillift_once::submit::ActionRequest;
use lentillift_once::submit::ActionResponse;

/// A message between two processes of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// An entry sends a sub-request to the owner of its backend server.
    Sub(Sub),
    /// An entry cancels a sub-request.
    Cancel(id::Sub),
    /// An owner answers a sub-request.
    Result {
        /// The component that sent the sub-request and receives its result.
        component: Component,
        /// The sub-request's id, assigned by that component.
        id: id::Sub,
        /// The hits or the reply, or the failure.
        result: sub::Result,
        /// The backend server's load, if the sender owns it.
        load: Option<Load>,
    },
    /// An entry forwards an at-most-once request to its home: the host that keeps the outcome for
    /// the request's id.
    Submit {
        /// The request's number at the entry.
        request: id::Request,
        /// The request.
        submit: ActionRequest,
    },
    /// A home answers an at-most-once request.
    Settled {
        /// The request's number at the entry.
        request: id::Request,
        /// The outcome, and the reply or the cause of a refusal.
        settled: ActionResponse,
    },
    /// The receiver of a [`Message::Submit`] is not the home of the request.
    NotHome {
        /// The request's number at the entry.
        request: id::Request,
    },
    /// A home that shuts down hands over request ids, which it no longer serves itself.
    Handover(HandoverBatch),
    /// A host has taken over the ids of a handover batch.
    Taken {
        /// The batch's number.
        number: u64,
    },
    /// A process forwards a sub-request to the host that it knows to hold the lease on the backend
    /// server.
    Forward {
        /// The host whose entry sent it, and which gets the result.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// A process claims leases on backend servers from one of their guardians (the hosts that grant
    /// these leases).
    Claims {
        /// Time of sending by the sender's clock; the answer repeats it.
        sent: Time,
        /// One claim per backend server.
        claims: Vec<Claim>,
    },
    /// A guardian answers claims.
    Verdicts {
        /// The time of sending that the claims carried.
        sent: Time,
        /// One verdict per claim, with the claim's backend server and attempt.
        verdicts: Vec<(id::Backend, Attempt, Verdict)>,
    },
    /// A process releases grants; each is named by its backend server and attempt.
    Release(Vec<(id::Backend, Attempt)>),
    /// A lease holder hands a backend server over; it sends no further requests to it.
    Cede(Transfer),
    /// A successor has taken over a backend server.
    Ceded(id::Backend),
    /// Synchronizes membership and published values.
    Sync(sync::Message),
}
