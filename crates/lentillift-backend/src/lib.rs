//! The HTTP interface to backend servers: sends sub-requests and parses their replies.

#![forbid(unsafe_code)]

pub mod client;
mod connect;
pub mod reply;
mod resolve;
