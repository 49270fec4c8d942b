//! Recording and replay of decisions.
//!
//! The parts of a process that decide take timed events and return effects. A trace is a file of
//! JSON lines: a head, then each event with its time and, where it was recorded, its effects. The
//! same code is fed with it again under virtual time, without network or clock.

#![forbid(unsafe_code)]

pub mod core;
pub mod line;
pub mod names;
pub mod record;
pub mod replay;
