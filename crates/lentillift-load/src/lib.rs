//! Open-loop load on running processes, and reports of what callers received.
//!
//! Arrivals are drawn beforehand and each latency is counted from the time at which its request
//! was due, so that a slow system can't slow its own load down and look better for it.

#![forbid(unsafe_code)]

pub mod arrival;
pub mod balancer;
pub mod control;
pub mod html;
pub mod report;
pub mod run;
pub mod sample;
pub mod scenario;
