//! Sub-requests: the part of a caller's request that one backend server serves.

use crate::hit::Hit;
use crate::id;
use crate::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// The operation that a sub-request makes a backend server run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Search one shard of one snapshot. Idempotent.
    Search {
        /// The snapshot to search.
        snapshot: id::Snapshot,
        /// The shard to search.
        shard: id::Shard,
    },
    /// Run a request that is not idempotent, at most once.
    Action {
        /// The caller's idempotency key.
        key: Arc<str>,
    },
}

/// The component of a process that sent a sub-request and receives its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Component {
    /// The component that serves queries.
    Query,
    /// The component that serves actions, which run at most once.
    Once,
}

impl Work {
    /// The component that sends this kind of work.
    pub fn component(&self) -> Component {
        match self {
            Self::Search { .. } => Component::Query,
            Self::Action { .. } => Component::Once,
        }
    }
}

/// A sub-request, sent by an entry to the owner of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sub {
    /// Number of the sub-request, assigned by the component that sent it.
    pub id: id::Sub,
    /// The service that the caller's request is for.
    pub service: id::Service,
    /// The backend server that is to run it.
    pub backend: id::Backend,
    /// Name of the caller whose request it is part of.
    pub caller: id::Caller,
    /// The operation to run.
    pub work: Work,
    /// Time left until the deadline of the reply.
    ///
    /// A duration and not a point in time, because the clocks of hosts differ.
    pub allowance: Duration,
    /// Body of the caller's request, unchanged.
    #[serde(with = "crate::text")]
    pub body: Arc<[u8]>,
    /// Whether this is a hedge: a second sub-request for a shard that another replica is already
    /// searching. A hedge runs at once on a warm backend server with a free slot, or not at all.
    pub hedge: bool,
}

/// Why a sub-request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The owner's queue is full, or the reply would have missed its deadline.
    Refused,
    /// The backend server is in a cold start and at its limit of requests in flight.
    Cold,
    /// The backend server does not hold the snapshot.
    SnapshotGone,
    /// The process that received the sub-request does not own the backend server.
    NotOwner,
    /// The backend server is out of service or leaving.
    Out,
    /// The backend server rejected it because of its own load.
    Shed,
    /// The connection failed before, during or after the request was written.
    Connection,
    /// The process of the backend server ended while the request was in flight there.
    Ended,
    /// No reply arrived before the deadline.
    Timeout,
    /// The reply was malformed, too large, or belonged to another request.
    Malformed,
}

/// Result of a sub-request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The hits of one shard, sorted by [`crate::hit::order`].
    Hits(Vec<Hit>),
    /// The body of the reply to an action, unchanged.
    Reply(#[serde(with = "crate::text")] Vec<u8>),
    /// No usable reply was received.
    Failed {
        /// Why there is no reply.
        failure: Failure,
        /// Whether a backend server ran it, as far as it is known.
        outcome: Outcome,
    },
}

impl Result {
    /// Whether a backend server ran the sub-request, as far as it is known.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Hits(_) | Self::Reply(_) => Outcome::Done,
            Self::Failed { outcome, .. } => *outcome,
        }
    }

    /// A failure of a sub-request that no backend server ran, for certain.
    pub fn not_run(failure: Failure) -> Self {
        Self::Failed {
            failure,
            outcome: Outcome::NotRun,
        }
    }

    /// A failure of a sub-request that a backend server may have run.
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
    /// Whether the backend server reports that it is leaving: it finishes its requests and accepts
    /// no new ones.
    pub draining: bool,
    /// Whether the backend server reports that it is in a cold start.
    pub cold: bool,
    /// Incarnation of the backend server's process, if it reports one.
    pub incarnation: Option<id::Incarnation>,
}

/// Load of a backend server as its owner measures it; sent with each result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sub-requests in the owner's queue for the backend server.
    pub queued: u32,
    /// Requests in flight at the backend server.
    pub running: u32,
    /// Current limit of requests in flight.
    pub limit: u32,
    /// Whether the backend server is in a cold start or still warming up.
    pub cold: bool,
    /// Estimated time that a further request would spend in the queue.
    pub wait: Duration,
    /// Recent time that the backend server took to run a request.
    pub run: Duration,
}
