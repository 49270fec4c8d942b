//! Recording and replay of the decisions of a process's cores.
//!
//! A core takes timed events and returns effects, and does no I/O itself. A trace is a file of JSON
//! lines: a head, then each event with its time and, if they were recorded, its effects. A replay
//! feeds the events to the same code again in virtual time, without network or clock.

#![forbid(unsafe_code)]

pub mod core;
pub mod line;
pub mod names;
pub mod record;
pub mod replay;
