//! The fleet as one process sees it: values in force, who is alive, who owns which backend server.
//!
//! [`core`] is the whole of a process's part; the other modules are its decisions. Nothing here opens
//! a socket, reads a clock or draws a random number of its own.

#![forbid(unsafe_code)]

mod boot;
mod census;
pub mod core;
mod drift;
mod exchange;
pub mod follow;
pub mod freshness;
pub mod gossip;
pub mod grant;
pub mod guardian;
pub mod lease;
pub mod lease_manager;
pub mod life;
pub mod member;
pub mod packet;
mod picture;
pub mod probe;
pub mod quarantine;
pub mod read;
pub mod rendezvous;
pub mod seen;
pub mod swim;
pub mod sync;
pub mod value;
pub mod view;
