//! Settings of one process.

use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;

/// Settings of one process; each may also be given on the command line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: id::Host,
    /// The failure domain the host is in.
    pub domain: id::Domain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the system's other processes connect.
    pub node_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where the platform's configuration service listens.
    pub platform_address: SocketAddr,
    /// Node addresses of some other processes, which a start asks when the platform can't be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}
