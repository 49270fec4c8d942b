//! Where a service's data is: its backend servers and its snapshots' shard maps.

use lentillift_core::id;
use lentillift_core::snapshot::Map;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Published state of a backend server or of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// A backend server as the platform publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// Whether it takes work.
    pub state: State,
}

/// The published placement of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The revision; it only rises.
    pub revision: id::Revision,
    /// The service's backend servers.
    pub servers: BTreeMap<id::Backend, Server>,
    /// The shard maps of the snapshots that may be served, newest first.
    ///
    /// A service of actions has none.
    pub maps: Vec<Map>,
}

impl Placement {
    /// All that makes the placement unfit to be in force.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for map in &self.maps {
            let mut shards = BTreeSet::new();
            for part in &map.parts {
                let place = format!("maps[snapshot {}].shard {}", map.snapshot, part.shard);
                if !shards.insert(part.shard) {
                    faults.push(format!("{place}: found twice, once is right"));
                }
                for backend in &part.replicas {
                    if !self.servers.contains_key(backend) {
                        faults.push(format!("{place}.replicas: no backend server `{backend}`"));
                    }
                }
            }
        }
        faults
    }
}
