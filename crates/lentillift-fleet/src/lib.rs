//! The fleet as one process sees it: values in force, who is alive, who owns which backend server.

#![forbid(unsafe_code)]

pub mod grant;
pub mod guardian;
pub mod lease;
pub mod rendezvous;
pub mod tenure;
pub mod view;
