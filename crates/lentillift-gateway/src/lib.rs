//! Serves callers from a configuration that others publish, on one thread.
//!
//! Decisions stand in `lentillift-scatter` and `lentillift-fleet`; this crate owns the sockets and
//! carries the decisions out. All tasks run on one thread and share [`host::Host`], whose cells are
//! borrowed only between two awaits; a host has a fraction of one processor, where a second thread
//! or a message between tasks costs a wake-up and brings nothing. How callers and backend servers
//! spell things is up to a [`dialect::Dialect`], and where the configuration comes from is up to a
//! [`source::Source`].

#![forbid(unsafe_code)]

pub mod branch;
pub mod daemon;
pub mod dialect;
mod dispatch;
pub mod exchange;
pub mod feed;
mod feed_wire;
pub mod frame;
pub mod front;
pub mod host;
pub mod listen;
pub mod local;
pub mod log;
pub mod member;
pub mod memory;
pub mod message;
pub mod metric;
pub mod pack;
pub mod part;
pub mod peer;
pub mod pool;
pub mod quarantine;
mod request_log;
pub mod run;
pub mod source;
