//! Analyses of the command-line tool: fleet status, merged time lines and explained requests.

#![forbid(unsafe_code)]

pub mod explanation;
pub mod fleet;
pub mod merge;
