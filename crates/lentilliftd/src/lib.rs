//! The daemon: asynchronous tasks that own sockets and state and communicate over channels.
//!
//! Each task drives the state machine of one decision crate; those crates do no I/O and read no
//! clock.

#![forbid(unsafe_code)]

pub mod daemon;
pub mod entry;
pub mod fleet;
pub mod lease;
pub mod once;
pub mod owner;
pub mod peers;
mod report;
mod trace;
