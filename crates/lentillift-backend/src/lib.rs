//! The HTTP interface to backend servers.

#![forbid(unsafe_code)]

pub mod client;
mod connect;
pub mod reply;
mod resolve;
