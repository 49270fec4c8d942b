//! Read-only HTTP client of the platform's configuration service.

#![forbid(unsafe_code)]

pub mod client;
