//! The sends that a query requests, how they end, and what to do next.

use crate::leg::Target;
use crate::replica::Load;
use crate::replica::SendId;
use lentillift_core::time::Time;
use std::time::Duration;

/// A send that the query requests.
#[derive(Debug, Clone)]
pub struct Send {
    /// Id of the send.
    pub id: SendId,
    /// Where it goes.
    pub target: Target,
    /// Indices of the legs that it is for.
    pub legs: Vec<usize>,
    /// Time after which the receiver should give up.
    pub timeout: Duration,
    /// Time until another host's first update is due; zero for a backend server.
    pub first_update_after: Duration,
    /// Whether it repeats an earlier send.
    pub repeat: bool,
    /// Whether it is a canary: a single send that tests whether its request ends servers.
    pub canary: bool,
    /// Whether a server has already replied to the request, whatever the quarantine verdict.
    pub has_reply: bool,
}

/// How a send ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete, usable reply.
    Part {
        /// Load that the server reported; none if it did not.
        load: Option<Load>,
    },
    /// A failure of the server's own; the request ran.
    Failure {
        /// Load that the server reported; none if it did not.
        load: Option<Load>,
    },
    /// The server rejected the request without running it.
    Rejected {
        /// Load that the server reported; none if it did not.
        load: Option<Load>,
    },
    /// Another server has the address; the request did not run.
    Misdirected,
    /// It never left this host: the server could not be reached.
    Unreachable,
    /// It never left this host: its request became suspect before it was sent.
    Withheld,
    /// The request may have run; the reply was lost, truncated, late or malformed.
    Broken,
    /// The server's process ended while it had the request.
    ServerEnded,
    /// Another host sent an update on some of the legs.
    Branch(BranchUpdate),
}

/// An update of another host on the legs that it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BranchUpdate {
    /// Legs whose part it returned.
    pub done: Vec<usize>,
    /// Legs that it sent to no backend server.
    pub declined: Vec<usize>,
    /// Legs whose sends failed.
    pub failed: Vec<usize>,
    /// Whether this is its last update.
    pub last: bool,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Wait for a reply, but no longer than until this time.
    Wait(Time),
    /// Answer with the parts that these sends returned.
    Answer {
        /// The sends in ascending order; one that returned several parts is listed once.
        sends: Vec<SendId>,
        /// Number of legs whose part is left out.
        missing: usize,
    },
    /// Pass on the backend server's own failure, from this send.
    Pass(SendId),
    /// Refuse: the request has not run and will not; the caller may retry after this time.
    Refuse(Duration),
    /// Refuse because the request ends the servers that run it; the caller may retry after this
    /// time.
    Quarantine(Duration),
    /// Fail: the request may have run, and there is no answer.
    Fail,
    /// Time out: the request may have run, and its deadline has passed.
    Timeout,
}
