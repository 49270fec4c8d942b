//! Published placement of a service: its backend servers and the shard maps of its snapshots.

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
    /// It accepts new work.
    Live,
    /// It finishes the work it has and accepts no new work.
    Leaving,
}

/// A backend server as the platform publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Name of the failure domain that it is in.
    pub domain: id::Domain,
    /// Whether it accepts new work.
    pub state: State,
}

/// The published placement of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Revision of the placement; later publications have higher numbers.
    pub revision: id::Revision,
    /// Backend servers of the service by name.
    pub servers: BTreeMap<id::Backend, Server>,
    /// Shard maps of the snapshots that may be searched, newest first.
    ///
    /// Empty for a service of actions.
    pub maps: Vec<Map>,
}

impl Placement {
    /// All faults for which a process rejects the placement, each as a sentence.
    pub fn faults(&self) -> Vec<String> {
        // Cannot fail: every value of the type can be written as JSON.
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

/// The shape of a published backend server or host.
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
