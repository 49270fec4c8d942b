//! Stages of one backend server's lease at this process.

use super::Transfer;
use crate::grant::Attempt;
use crate::lease::Lease;
use crate::lease::Quorum;
use lentillift_core::id;
use lentillift_core::time::Time;

/// Stage of a backend server's lease at this process.
#[derive(Debug)]
pub(super) enum Stage {
    /// The process does not hold the server, and claims nothing before `retry`.
    Idle {
        retry: Time,
        holder: Option<id::Host>,
    },
    /// The process has claimed the server and has too few grants so far.
    Claiming {
        lease: Lease,
        since: Time,
        transfer: Option<Transfer>,
    },
    /// The process may send work while the lease lasts.
    Holding { lease: Lease },
    /// The process sends nothing more and waits for requests in flight, before it hands over to
    /// `to`.
    Ceding {
        lease: Lease,
        to: id::Host,
        since: Time,
    },
    /// The process has handed over and will never use the attempt again.
    Ceded { to: id::Host, since: Time },
}

/// A backend server that this process guards, claims or holds.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) quorum: Quorum,
    pub(super) stage: Stage,
}

impl Stage {
    pub(super) fn idle(now: Time) -> Self {
        Self::Idle {
            retry: now,
            holder: None,
        }
    }

    /// The lease that is to be renewed, if any, with the transfer that it started from.
    pub(super) fn lease(&self) -> Option<(&Lease, Option<&Transfer>)> {
        match self {
            Self::Claiming {
                lease, transfer, ..
            } => Some((lease, transfer.as_ref())),
            Self::Holding { lease } | Self::Ceding { lease, .. } => Some((lease, None)),
            Self::Idle { .. } | Self::Ceded { .. } => None,
        }
    }

    /// The lease that an answer to `attempt` counts for.
    pub(super) fn lease_mut(&mut self, attempt: Attempt) -> Option<&mut Lease> {
        let lease = match self {
            Self::Claiming { lease, .. } | Self::Holding { lease } | Self::Ceding { lease, .. } => {
                lease
            }
            Self::Idle { .. } | Self::Ceded { .. } => return None,
        };
        (lease.attempt == attempt).then_some(lease)
    }
}
