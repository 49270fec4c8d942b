//! The HTTP interface for operators: health, readiness, metrics, status and the time line.

#![forbid(unsafe_code)]

pub mod board;
pub mod catalog;
pub mod event;
pub mod histogram;
pub mod latency;
pub mod metric;
pub mod server;
pub mod status;
pub mod trend;
