//! The protocol between the system's own processes: `h2` streams of `bincode` frames over TCP, and
//! `bincode` datagrams over UDP at the same port.
//!
//! Two processes share one connection as a rule; whichever dials first, both send over it.

#![forbid(unsafe_code)]

pub mod datagram;
pub mod frame;
pub mod gossip;
pub mod hub;
pub mod lease;
pub mod link;
pub mod message;
mod mirror;
pub mod once;
pub mod wire;
