//! The protocol between the processes of the fleet: HTTP/2 streams (`h2`) of `bincode` frames over
//! TCP, and `bincode` datagrams over UDP at the same port.
//!
//! Two processes usually share one connection: the first one opened carries messages both ways.
//!
//! [`message`] holds the types that the rest of the program works with; [`wire`], [`gossip`],
//! [`lease`] and [`once`] hold their serialized forms.

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
