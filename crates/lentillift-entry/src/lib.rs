//! The entry's side: a caller's query from its arrival to its answer.
//!
//! [`core::Entry`] takes events and returns what to do; it holds no socket and reads no clock.

#![forbid(unsafe_code)]

pub mod answer;
pub mod core;
pub mod flights;
pub mod kept;
pub mod plan;
pub mod query;
