//! Settings of a process, values that the platform publishes, and the validation of both.
//!
//! The platform publishes three kinds of values, each with a revision of its own:
//! [`config::Config`] under `config`, [`roster::Roster`] under `hosts`, and one
//! [`placement::Placement`] per service under `service/NAME`.

#![forbid(unsafe_code)]

pub mod answers;
pub mod change;
pub mod config;
pub mod consistency;
pub mod daemon;
pub mod depth;
pub mod document;
pub mod fault;
pub mod generate;
pub mod jsonc;
pub mod kind;
pub mod placement;
pub mod policy;
pub mod review;
pub mod revise;
pub mod roster;
pub mod shape;
