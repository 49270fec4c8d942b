//! The HTTP interface to callers.

#![forbid(unsafe_code)]

pub mod call;
pub mod parse;
pub mod render;
pub mod server;
