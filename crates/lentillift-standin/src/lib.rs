//! Small stand-ins for the platform's configuration service and for backend servers.
//!
//! They speak the interfaces of `docs/INTERFACES.md` over loopback and misbehave on request.

#![forbid(unsafe_code)]

pub mod backend;
pub mod behavior;
pub mod control;
pub mod fault;
pub mod platform;
pub mod world;
