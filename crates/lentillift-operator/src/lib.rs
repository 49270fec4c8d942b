//! The HTTP interface to operators: health, readiness, counters, status and the time line.

#![forbid(unsafe_code)]

pub mod event;
pub mod metric;
pub mod server;
