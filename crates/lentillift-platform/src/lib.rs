//! The HTTP interface to the platform's configuration service, which can only be read.

#![forbid(unsafe_code)]

pub mod client;
