//! Fleet state of one process: published values in force, membership, and ownership of backend
//! servers.
//!
//! [`core`] combines most of the other modules into one state machine. The crate opens no socket,
//! reads no clock and seeds no random number generator: the caller passes in events, the time and
//! the generator.

#![forbid(unsafe_code)]

mod anti_entropy;
pub mod core;
mod exchange;
pub mod follow;
pub mod freshness;
pub mod gossip;
pub mod grant;
pub mod guardian;
pub mod lease;
pub mod lease_manager;
pub mod lifecycle;
pub mod member;
pub mod packet;
mod periodic;
pub mod probe;
pub mod quarantine;
pub mod read;
pub mod rendezvous;
pub mod seen;
mod stats;
pub mod swim;
pub mod sync;
pub mod value;
pub mod view;
mod view_state;
