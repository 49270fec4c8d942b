//! Where a process stands with one backend server.

use super::Transfer;
use crate::grant::Attempt;
use crate::lease::Lease;
use crate::lease::Quorum;
use lentillift_core::id;
use lentillift_core::time::Time;

/// Where a process stands with a backend server.
#[derive(Debug)]
pub(super) enum Stage {
    /// It does not hold it; nothing is claimed before `retry`.
    Idle {
        retry: Time,
        holder: Option<id::Host>,
    },
    /// It has asked for grants and has too few so far.
    Claiming {
        lease: Lease,
        since: Time,
        transfer: Option<Transfer>,
    },
    /// It may send work while the lease lasts.
    Holding { lease: Lease },
    /// It sends nothing more and waits for requests under way, to hand over.
    Ceding {
        lease: Lease,
        to: id::Host,
        since: Time,
    },
    /// It has handed over and will never use the attempt again.
    Ceded { to: id::Host, since: Time },
}

/// A backend server that this process guards, claims or holds.
#[derive(Debug)]
pub(super) struct Place {
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

    /// The lease that is to be renewed, if any.
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
