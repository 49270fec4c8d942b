//! The entry: the process that takes a caller's query, sends it to all shards and merges the
//! replies.
//!
//! [`core::Entry`] is a state machine that takes events and returns effects. It does no I/O and
//! reads no clock.

#![forbid(unsafe_code)]

pub mod answer;
pub mod cache;
pub mod core;
pub mod in_flight;
pub mod plan;
pub mod query;
