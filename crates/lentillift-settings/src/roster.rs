//! The published list of hosts that run the system.

use crate::placement::SERVER;
use crate::placement::State;
use crate::review;
use crate::shape::Shape;
use crate::shape::optional;
use crate::shape::required;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A host as the platform publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where its process listens for the others.
    pub address: SocketAddr,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// Whether it takes work.
    pub state: State,
}

/// The published list of hosts; it lags behind reality.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The revision; it only rises.
    pub revision: id::Revision,
    /// The region of each failure domain; those that are not named are in one region together.
    ///
    /// Leases go by this and not by the configuration's, because all that decides who may send work
    /// has to change under one revision.
    #[serde(default)]
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// The hosts.
    pub hosts: BTreeMap<id::Host, Entry>,
}

impl Roster {
    /// All that makes the list unfit to be in force.
    pub fn faults(&self) -> Vec<String> {
        let faults = review::roster(self).into_iter();
        faults.map(|fault| fault.to_string()).collect()
    }
}

/// The shape of a list of hosts.
pub const SHAPE: Shape = Shape::Record(&[
    required("revision", review::REVISION),
    optional("regions", Shape::Map(&Shape::Name)),
    required("hosts", Shape::Map(&SERVER)),
]);
