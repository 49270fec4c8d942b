//! Scheduling by the owner: which sub-request is sent to which backend server, and when.
//!
//! [`core::Owner`] is a state machine that takes events and returns effects; it opens no socket and
//! reads no clock.

#![forbid(unsafe_code)]

pub mod core;
pub mod queue;
pub mod server;
