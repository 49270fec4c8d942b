//! Simulated backend servers and a simulated configuration service of the platform, for tests and
//! load runs.
//!
//! They implement the interfaces of `docs/INTERFACES.md` on loopback and inject faults on request.

#![forbid(unsafe_code)]

pub mod backend;
pub mod behavior;
pub mod control;
pub mod fault;
pub mod platform;
pub mod world;
