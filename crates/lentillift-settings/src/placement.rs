//! Where a service's data is: its backend servers and its snapshots' shard maps.

use crate::review;
use crate::shape::Shape;
use crate::shape::required;
use lentillift_core::id;
use lentillift_core::snapshot::Map;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
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
        // The type holds nothing that JSON could not.
        let value = serde_json::to_value(self).unwrap_or_default();
        let faults = review::placement(&value).into_iter();
        faults.map(|fault| fault.to_string()).collect()
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
