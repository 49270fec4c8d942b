//! The daemon: tasks that own sockets and state, and talk by messages.
//!
//! Each task drives one of the decision crates, which know neither sockets nor clocks.

#![forbid(unsafe_code)]

pub mod daemon;
pub mod entry;
pub mod fleet;
pub mod once;
pub mod owner;
pub mod peers;
mod report;
pub mod tenure;
mod trace;
