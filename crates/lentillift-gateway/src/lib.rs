//! Serves callers according to a published configuration, on a single thread.
//!
//! `lentillift-scatter` and `lentillift-fleet` make the decisions; this crate owns the sockets and
//! carries the decisions out. All tasks run on one thread and share [`host::Host`], whose cells are
//! never borrowed across an await. A host has a fraction of one processor, so a second thread or
//! message passing between tasks would cost wake-ups and gain nothing. A [`dialect::Dialect`]
//! defines the headers of callers and backend servers, and a [`source::Source`] supplies the
//! configuration.

#![forbid(unsafe_code)]

pub mod body_memory;
pub mod branch;
pub mod caller_connection;
pub mod daemon;
pub mod dialect;
mod dispatch;
pub mod exchange;
pub mod feed;
mod feed_wire;
pub mod frame;
pub mod front;
pub mod head_limit;
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
pub mod places;
pub mod pool;
pub mod quarantine;
mod receive;
mod request_log;
pub mod run;
pub mod source;
mod upload;
pub mod waiting;
