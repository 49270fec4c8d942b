//! The owner's side: which sub-request goes to which backend server, and when.
//!
//! [`core::Owner`] takes events and returns what to do; it holds no socket and reads no clock.

#![forbid(unsafe_code)]

pub mod core;
pub mod queue;
pub mod server;
