//! Sub-requests: the part of a caller's request that one backend server serves.

use crate::hit::Hit;
use crate::id;
use crate::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// What a sub-request asks of its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Search one shard of one snapshot; may be repeated.
    Search {
        /// The snapshot to search.
        snapshot: id::Snapshot,
        /// The shard to search.
        shard: id::Shard,
    },
    /// Run a request that may not be repeated.
    Action {
        /// The caller's idempotency key.
        key: Arc<str>,
    },
}

/// The part of a process that sent a sub-request and waits for its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Component {
    /// The part that serves queries.
    Query,
    /// The part that serves requests that may run at most once.
    Once,
}

impl Work {
    /// The part of a process that sends this kind of work.
    pub fn component(&self) -> Component {
        match self {
            Self::Search { .. } => Component::Query,
            Self::Action { .. } => Component::Once,
        }
    }
}

/// A sub-request on its way from an entry to an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sub {
    /// The sub-request's number at the desk that sent it.
    pub id: id::Sub,
    /// The service it belongs to.
    pub service: id::Service,
    /// The backend server to send it to.
    pub backend: id::Backend,
    /// The caller whose request it is part of.
    pub caller: id::Caller,
    /// What is asked.
    pub work: Work,
    /// Time left until its reply is of no more use.
    ///
    /// A duration and not a point in time, because hosts' clocks differ.
    pub allowance: Duration,
    /// The caller's body, passed on as it came.
    #[serde(with = "crate::text")]
    pub body: Arc<[u8]>,
    /// Whether another replica was asked as well; it then runs at once on a warm backend server
    /// with a free slot, or not at all.
    pub hedge: bool,
}

/// Why a sub-request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The owner's queue is full or the sub-request would have been late.
    Refused,
    /// The backend server is in a cold start and has all the work it can bear.
    Cold,
    /// The backend server does not hold the snapshot.
    SnapshotGone,
    /// The process that was asked does not own the backend server.
    NotOwner,
    /// The backend server is out of service or leaving.
    Out,
    /// The backend server shed it.
    Shed,
    /// The connection failed before, during or after the request was written.
    Connection,
    /// The backend server's process ended while it had the request.
    Ended,
    /// The reply did not come in time.
    Timeout,
    /// The reply was malformed, too large, or for something else.
    Malformed,
}

/// Result of a sub-request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The hits of one shard, in the order of [`crate::hit::order`].
    Hits(Vec<Hit>),
    /// The reply to an action, as the backend server wrote it.
    Reply(#[serde(with = "crate::text")] Vec<u8>),
    /// It failed.
    Failed {
        /// Why it failed.
        failure: Failure,
        /// Whether a backend server may have run it.
        outcome: Outcome,
    },
}

impl Result {
    /// What is known of whether a backend server ran the sub-request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Hits(_) | Self::Reply(_) => Outcome::Done,
            Self::Failed { outcome, .. } => *outcome,
        }
    }

    /// A failure of which it is certain that no backend server ran it.
    pub fn not_run(failure: Failure) -> Self {
        Self::Failed {
            failure,
            outcome: Outcome::NotRun,
        }
    }

    /// A failure after which a backend server may have run it.
    pub fn unknown(failure: Failure) -> Self {
        Self::Failed {
            failure,
            outcome: Outcome::Unknown,
        }
    }
}

/// Load and state that a backend server reports with a reply.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Reported load, from 0 (idle) to 1 (full).
    pub load: Option<f64>,
    /// Whether the backend server says that it is leaving.
    pub draining: bool,
    /// Whether the backend server says that it is in a cold start.
    pub cold: bool,
    /// Number of the backend server's own start, where it tells one.
    pub incarnation: Option<id::Incarnation>,
}

/// Load of a backend server as its owner counts it; sent along with each result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sub-requests that wait.
    pub queued: u32,
    /// Requests in flight.
    pub running: u32,
    /// Requests that may be in flight.
    pub limit: u32,
    /// Whether the backend server is not warm.
    pub cold: bool,
    /// Time until a further request would be sent.
    pub wait: Duration,
    /// Time that requests took lately.
    pub run: Duration,
}
