//! What the system's processes say to each other.

use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Desk;
use lentillift_core::sub::Load;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::grant::Attempt;
use lentillift_fleet::grant::Claim;
use lentillift_fleet::grant::Verdict;
use lentillift_fleet::lease_manager::Transfer;
use lentillift_fleet::sync;
use lentillift_once::record::Parcel;
use lentillift_once::submit::Settled;
use lentillift_once::submit::Submit;

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
        /// The backend server's load, if the sender owns it.
        load: Option<Load>,
    },
    /// An entry passes a request that may run at most once to its home.
    Submit {
        /// The request's number at the entry.
        request: id::Request,
        /// The request.
        submit: Submit,
    },
    /// A home answers such a request.
    Settled {
        /// The request's number at the entry.
        request: id::Request,
        /// What became of it.
        settled: Settled,
    },
    /// The host that was asked isn't the home of such a request.
    NotHome {
        /// The request's number at the entry.
        request: id::Request,
    },
    /// A home that ends hands over ids that it has given up.
    Handover(Parcel),
    /// A host has taken over what a parcel held.
    Taken {
        /// The parcel's number.
        number: u64,
    },
    /// A process passes a sub-request on to the host that it knows to hold the backend server.
    Forward {
        /// The host whose entry sent it, and which gets the result.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// A process claims backend servers from one of their guardians.
    Claims {
        /// When it was sent, by the sender's clock; the answer brings it back.
        sent: Time,
        /// The claims.
        claims: Vec<Claim>,
    },
    /// A guardian answers claims.
    Verdicts {
        /// When the claims were sent, as they said.
        sent: Time,
        /// The answers.
        verdicts: Vec<(id::Backend, Attempt, Verdict)>,
    },
    /// A process gives grants back.
    Release(Vec<(id::Backend, Attempt)>),
    /// A holder hands a backend server over; it sends nothing more to it.
    Cede(Transfer),
    /// A successor has taken a backend server over.
    Ceded(id::Backend),
    /// About hosts and values.
    Sync(sync::Message),
}
