//! Serialized forms of the types in messages about leases.

use bincode::Decode;
use bincode::Encode;
use lentillift_fleet::grant;
use lentillift_fleet::lease_manager;
use std::time::Duration;

/// See [`grant::Holder`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Holder {
    host: String,
    incarnation: u64,
    attempt: u64,
}

/// See [`grant::Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Claim {
    backend: String,
    attempt: u64,
    ceded_by: Option<Holder>,
    revision: u64,
    sealed: u64,
}

/// See [`grant::Verdict`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// See [`grant::Verdict::Granted`].
    Granted,
    /// See [`grant::Verdict::Held`].
    Held(String),
    /// See [`grant::Verdict::Starting`].
    Starting,
    /// See [`grant::Verdict::Outdated`].
    Outdated,
}

/// See [`lease_manager::Transfer`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Transfer {
    backend: String,
    from: Holder,
    limit: u32,
    in_flight: u32,
    left_us: u64,
}

impl From<grant::Holder> for Holder {
    fn from(holder: grant::Holder) -> Self {
        Self {
            host: holder.host.to_string(),
            incarnation: holder.incarnation,
            attempt: holder.attempt,
        }
    }
}

impl From<Holder> for grant::Holder {
    fn from(holder: Holder) -> Self {
        Self {
            host: holder.host.into(),
            incarnation: holder.incarnation,
            attempt: holder.attempt,
        }
    }
}

impl From<grant::Claim> for Claim {
    fn from(claim: grant::Claim) -> Self {
        Self {
            backend: claim.backend.to_string(),
            attempt: claim.attempt,
            ceded_by: claim.ceded_by.map(Holder::from),
            revision: claim.revision,
            sealed: claim.sealed,
        }
    }
}

impl From<Claim> for grant::Claim {
    fn from(claim: Claim) -> Self {
        Self {
            backend: claim.backend.into(),
            attempt: claim.attempt,
            ceded_by: claim.ceded_by.map(grant::Holder::from),
            revision: claim.revision,
            sealed: claim.sealed,
        }
    }
}

impl From<grant::Verdict> for Verdict {
    fn from(verdict: grant::Verdict) -> Self {
        match verdict {
            grant::Verdict::Granted => Self::Granted,
            grant::Verdict::Held(host) => Self::Held(host.to_string()),
            grant::Verdict::Starting => Self::Starting,
            grant::Verdict::Outdated => Self::Outdated,
        }
    }
}

impl From<Verdict> for grant::Verdict {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Granted => Self::Granted,
            Verdict::Held(host) => Self::Held(host.into()),
            Verdict::Starting => Self::Starting,
            Verdict::Outdated => Self::Outdated,
        }
    }
}

impl From<lease_manager::Transfer> for Transfer {
    fn from(transfer: lease_manager::Transfer) -> Self {
        Self {
            backend: transfer.backend.to_string(),
            from: transfer.from.into(),
            limit: transfer.limit,
            in_flight: transfer.in_flight,
            left_us: transfer.left.as_micros() as u64,
        }
    }
}

impl From<Transfer> for lease_manager::Transfer {
    fn from(transfer: Transfer) -> Self {
        Self {
            backend: transfer.backend.into(),
            from: transfer.from.into(),
            limit: transfer.limit,
            in_flight: transfer.in_flight,
            left: Duration::from_micros(transfer.left_us),
        }
    }
}
