//! Where a service's data is: its backend servers and its snapshots' shard maps.

use crate::fault::Fault;
use crate::review;
use crate::shape::Shape;
use crate::shape::quoted;
use crate::shape::required;
use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
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
    /// Faults that concern more than one field.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut snapshots = BTreeSet::new();
        for (at, map) in self.maps.iter().enumerate() {
            let at = at.to_string();
            if !snapshots.insert(map.snapshot) {
                let path = ["maps", &at, "snapshot"];
                let found = format!("{} a second time", map.snapshot);
                faults.push(Fault::new(path, found, "each snapshot once"));
            }
            self.check_parts(&at, &map.parts, &mut faults);
        }
        faults
    }

    fn check_parts(&self, map: &str, parts: &[Part], faults: &mut Vec<Fault>) {
        let mut shards = BTreeSet::new();
        for (at, part) in parts.iter().enumerate() {
            let at = at.to_string();
            if !shards.insert(part.shard) {
                let path = ["maps", map, "parts", &at, "shard"];
                let found = format!("{} a second time", part.shard);
                faults.push(Fault::new(path, found, "each shard once in a map"));
            }
            let unknown = part.replicas.iter().enumerate();
            for (number, name) in unknown.filter(|(_, name)| !self.servers.contains_key(*name)) {
                let number = number.to_string();
                let path = ["maps", map, "parts", &at, "replicas", &number];
                faults.push(Fault::new(path, quoted(name), "the name of one of servers"));
            }
        }
    }
}

/// The shape of a placement.
pub const SHAPE: Shape = Shape::Record(&[
    required("revision", review::REVISION),
    required("servers", Shape::Map(&SERVER)),
    required("maps", Shape::List(&MAP)),
]);

/// The shape of a backend server or a host as the platform publishes it.
pub(crate) const SERVER: Shape = Shape::Record(&[
    required("address", Shape::Address),
    required("domain", Shape::Name),
    required("state", Shape::Choice(&["live", "leaving"])),
]);

const MAP: Shape = Shape::Record(&[
    required("snapshot", Shape::Whole(0, u64::MAX)),
    required("parts", Shape::List(&PART)),
]);

const PART: Shape = Shape::Record(&[
    required("shard", Shape::Whole(0, u32::MAX as u64)),
    required("weight", Shape::Whole(0, u64::MAX)),
    required("replicas", Shape::List(&Shape::Name)),
]);
