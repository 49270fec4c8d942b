//! The hosts by which data was relayed, from the host that read it to the one that has it now.
//!
//! Fault that this prevents: two failure domains are cut off, and in the first second hosts there
//! choose each other as origins. Each is connected and receives data that is not old yet, and
//! nobody reads the service until the data is two thirds of the bound old; what is published
//! meanwhile comes into force too late. A host that receives the relay path finds itself on it with
//! the first message that has gone round, some milliseconds after the ring has closed, and leaves.

use lentillift_core::id;

/// Maximum length of a relay path: seven hosts are usual in a fleet of 760, and each origin that is
/// replaced by a neighbour adds one.
pub const MAX_HOSTS: usize = 12;

/// Hosts by which data was relayed, the one that read the service first.
// INVARIANT: No host occurs twice, and there are at most `MAX_HOSTS`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayPath {
    hosts: Vec<id::Host>,
}

/// Why a relay path is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It contains the host that receives it.
    Ring,
    /// It contains a host twice.
    Repeated,
    /// It is longer than any that can arise.
    TooLong,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Ring => "its data was relayed by this host",
            Self::Repeated => "the relay path of its data contains a host twice",
            Self::TooLong => "the relay path of its data is too long",
        })
    }
}

impl RelayPath {
    /// Relay path of a host that reads the service.
    pub fn reader(me: &id::Host) -> Self {
        Self {
            hosts: vec![me.clone()],
        }
    }

    /// Relay path of data that `me` received from an origin whose path is `upstream`.
    ///
    /// # Errors
    ///
    /// When `upstream` contains `me` or is invalid.
    pub fn extend(upstream: &[id::Host], me: &id::Host) -> Result<Self, Refused> {
        if upstream.len() >= MAX_HOSTS {
            return Err(Refused::TooLong);
        }
        if upstream.contains(me) {
            return Err(Refused::Ring);
        }
        let repeated = (1..upstream.len()).any(|i| upstream[..i].contains(&upstream[i]));
        if repeated {
            return Err(Refused::Repeated);
        }
        let mut hosts = upstream.to_vec();
        hosts.push(me.clone());
        Ok(Self { hosts })
    }

    /// The hosts, the one that read the service first.
    pub fn hosts(&self) -> &[id::Host] {
        &self.hosts
    }
}
