//! The published list of hosts that run the system.

use crate::fault::Fault;
use crate::placement::SERVER;
use crate::placement::State;
use crate::review;
use crate::shape::Shape;
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
    /// The hosts.
    pub hosts: BTreeMap<id::Host, Entry>,
}

impl Roster {
    /// Faults that concern more than one field.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut addresses = BTreeMap::new();
        for (host, entry) in &self.hosts {
            if let Some(other) = addresses.insert(entry.address, host) {
                let path = ["hosts", host, "address"];
                let found = format!("{}, which is also that of {other}", entry.address);
                faults.push(Fault::new(path, found, "an address of its own"));
            }
        }
        faults
    }
}

/// The shape of a list of hosts.
pub const SHAPE: Shape = Shape::Record(&[
    required("revision", review::REVISION),
    required("hosts", Shape::Map(&SERVER)),
]);
