//! What waits for a slot of a backend server, and what has one.

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
    /// When its reply is of no more use.
    pub deadline: Time,
}

/// A request that a backend server has.
#[derive(Debug)]
pub struct Flight {
    /// The host whose entry sent it.
    pub from: id::Host,
    /// The desk there.
    pub desk: Component,
    /// The sub-request's number there.
    pub id: id::Sub,
    /// The backend server.
    pub backend: id::Backend,
    /// The caller.
    pub caller: id::Caller,
    /// When it was sent.
    pub since: Time,
    /// Whether it is long beside others.
    pub long: bool,
    /// Whether its reply is of no more use.
    pub cancelled: bool,
}
