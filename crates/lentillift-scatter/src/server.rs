//! A backend server as it registered itself.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a backend server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// What a backend server published about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub id: id::Backend,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it is in.
    pub domain: id::Domain,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub stage: Stage,
    /// How much longer it was cold when it wrote this.
    pub cold_for: Duration,
    /// When its process started, in milliseconds since 1970; 0 if it did not say.
    ///
    /// It tells an account of an earlier process of the same name, which may arrive late.
    pub process_start_ms: u64,
}

/// A backend server that may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// What it published.
    pub entry: Entry,
    /// When it stops being cold.
    pub cold_until: Time,
    /// Until when it may be asked where nothing else is left; none if it takes work.
    pub last_resort_until: Option<Time>,
}
