//! The fleet as one process sees it: values in force, who is alive, who owns which backend server.

#![forbid(unsafe_code)]

pub mod rendezvous;
pub mod seen;
pub mod view;
