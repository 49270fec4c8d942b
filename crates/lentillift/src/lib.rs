//! What the command-line tool works out from what processes tell it.

#![forbid(unsafe_code)]

pub mod fleet;
pub mod merge;
pub mod story;
