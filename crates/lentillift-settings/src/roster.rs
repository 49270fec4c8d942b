//! The published list of hosts that run the system.

use crate::placement::State;
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
    /// All that makes the list unfit to be in force.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut addresses = BTreeMap::new();
        for (host, entry) in &self.hosts {
            if let Some(other) = addresses.insert(entry.address, host) {
                faults.push(format!(
                    "hosts.{host}.address: {} is the address of {other} too",
                    entry.address
                ));
            }
        }
        faults
    }
}
