//! Backend servers, as they register themselves.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a backend server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes work.
    Ready,
    /// It is draining: it only finishes the requests that it has.
    Leaving,
}

/// The entry that a backend server publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the server.
    pub id: id::Backend,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The failure domain that it is in.
    pub domain: id::Domain,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes work.
    pub stage: Stage,
    /// How much longer it was going to be cold when it published this entry.
    pub cold_for: Duration,
    /// When its process started, in milliseconds since 1970; 0 if not reported.
    ///
    /// It identifies entries of an earlier process of the same name, which may arrive late.
    pub process_start_ms: u64,
}

/// A backend server that may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The entry that it published.
    pub entry: Entry,
    /// When it stops being cold.
    pub cold_until: Time,
    /// Until when it may be used as a last resort; none if it takes work.
    pub last_resort_until: Option<Time>,
}
