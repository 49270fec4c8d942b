//! What a query wants sent, how sends end, and what to do next.

use crate::leg::Target;
use crate::replica::Load;
use crate::replica::SendId;
use lentillift_core::time::Time;
use std::time::Duration;

/// Something to be sent.
#[derive(Debug, Clone)]
pub struct Send {
    /// Its number.
    pub id: SendId,
    /// Where to.
    pub target: Target,
    /// The legs that it is for.
    pub legs: Vec<usize>,
    /// Time until the receiver should give up.
    pub timeout: Duration,
    /// Time until a host that is asked should tell for the first time what it has.
    pub first_update_after: Duration,
    /// Whether it repeats an earlier send.
    pub repeat: bool,
    /// Whether it finds out by itself what its request does to a server.
    pub canary: bool,
    /// Whether a server has answered the request, whatever else is held of it.
    pub has_reply: bool,
}

/// How a send ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole reply that can be used.
    Part {
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// The server's own failure; it ran.
    Failure {
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// The server said that it did not run it.
    Rejected {
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// Another server has the address; it did not run.
    Misdirected,
    /// It never left this host: the server could not be reached.
    Unreachable,
    /// It never left this host: in the meantime its request became suspect.
    Withheld,
    /// It may have run; the reply was lost, cut off, late or malformed.
    Broken,
    /// The server's process ended while it had the request.
    ServerEnded,
    /// Another host told of some legs.
    Branch(BranchUpdate),
}

/// What another host told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BranchUpdate {
    /// Legs whose part it brought.
    pub done: Vec<usize>,
    /// Legs for which it sent nothing.
    pub declined: Vec<usize>,
    /// Legs whose send brought nothing.
    pub failed: Vec<usize>,
    /// Whether it has told of all legs.
    pub last: bool,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Wait for a reply, and until then at most.
    Wait(Time),
    /// Answer with the parts that these sends brought.
    Answer {
        /// The sends, in the order of the legs; one that brought several legs is named once.
        sends: Vec<SendId>,
        /// Legs whose part is left out.
        missing: usize,
    },
    /// Pass the backend server's own failure on.
    Pass(SendId),
    /// It has not run and will not; say when to come back.
    Refuse(Duration),
    /// It has not run and will not, because it ends the servers that run it; say when to come back.
    Quarantine(Duration),
    /// It may have run and there is no answer.
    Fail,
    /// It may have run and the time is over.
    Timeout,
}
