//! Sub-requests that wait for a slot of a backend server or are in flight to it.

use lentillift_core::id;
use lentillift_core::sub::Component;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;

/// A sub-request that waits.
#[derive(Debug)]
pub struct Waiting {
    /// The host whose entry sent it.
    pub from: id::Host,
    /// The sub-request.
    pub sub: Sub,
    /// End of its allowance, after which its reply is useless.
    pub deadline: Time,
}

/// A request that was sent to a backend server and has no result yet.
#[derive(Debug)]
pub struct InFlight {
    /// The host whose entry sent the sub-request.
    pub from: id::Host,
    /// The component of that host's process that receives the result.
    pub component: Component,
    /// The sub-request's number there.
    pub id: id::Sub,
    /// The backend server it was sent to.
    pub backend: id::Backend,
    /// The caller whose request the sub-request is part of.
    pub caller: id::Caller,
    /// When it was sent to the backend server.
    pub sent_at: Time,
    /// Whether it takes far longer than the service's median.
    pub long: bool,
    /// Whether the entry has cancelled it.
    pub cancelled: bool,
}
