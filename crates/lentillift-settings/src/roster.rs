//! The published list of the hosts that run the system.

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
    /// Address that its process listens on for the system's other processes.
    pub address: SocketAddr,
    /// Name of the failure domain that it is in.
    pub domain: id::Domain,
    /// Whether it accepts new work.
    pub state: State,
}

/// The published list of hosts. It may lag behind the actual state of the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Revision of the list; later publications have higher numbers.
    pub revision: id::Revision,
    /// Region of each failure domain. Those that are not listed form one region together.
    ///
    /// Leases use these regions and not those of the configuration, because everything that
    /// determines which host may send work has to change under a single revision.
    #[serde(default)]
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// Hosts by name.
    pub hosts: BTreeMap<id::Host, Entry>,
}

impl Roster {
    /// All faults for which a process rejects the list, each as a sentence.
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
