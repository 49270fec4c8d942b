//! The way that knowledge took, from the host that read it to the one that has it now.
//!
//! What goes wrong without it: two failure domains are cut off, and in the first second hosts there take
//! each other for origins. Each is connected, each is told of knowledge that is not old yet, and nobody
//! reads the service until that knowledge is two thirds of the bound old; what is published meanwhile
//! comes into force too late. Whoever is told the way finds itself on it with the first message that
//! has gone round, some milliseconds after the ring has closed, and leaves.

use lentillift_core::id;

/// Longest way that is believed: it has seven hosts in a fleet of 760, and each origin that is replaced by
/// a neighbour adds one.
pub const MOST: usize = 12;

/// Hosts over which knowledge came, the reader first.
// INVARIANT: No host stands in it twice, and it is not longer than `MOST`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayPath {
    hosts: Vec<id::Host>,
}

/// Why a way is not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It leads over the host that is told of it.
    Ring,
    /// A host stands in it twice.
    Repeated,
    /// It is longer than any that arises.
    TooLong,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Ring => "its knowledge comes from this host",
            Self::Repeated => "the way of its knowledge names a host twice",
            Self::TooLong => "the way of its knowledge is too long",
        })
    }
}

impl RelayPath {
    /// The way of a host that reads the service.
    pub fn reader(me: &id::Host) -> Self {
        Self {
            hosts: vec![me.clone()],
        }
    }

    /// The way to `me` of knowledge that came by `told` to whoever tells it.
    ///
    /// # Errors
    ///
    /// When `told` leads over `me` or can't be the way of anything.
    pub fn extend(told: &[id::Host], me: &id::Host) -> Result<Self, Refused> {
        if told.len() >= MOST {
            return Err(Refused::TooLong);
        }
        if told.contains(me) {
            return Err(Refused::Ring);
        }
        let repeated = (1..told.len()).any(|i| told[..i].contains(&told[i]));
        if repeated {
            return Err(Refused::Repeated);
        }
        let mut hosts = told.to_vec();
        hosts.push(me.clone());
        Ok(Self { hosts })
    }

    /// The hosts, the reader first.
    pub fn hosts(&self) -> &[id::Host] {
        &self.hosts
    }
}
