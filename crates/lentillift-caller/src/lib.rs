//! The HTTP interface to callers: parses queries and actions, and renders answers and refusals.

#![forbid(unsafe_code)]

pub mod call;
pub mod parse;
pub mod render;
pub mod server;
