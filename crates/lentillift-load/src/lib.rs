//! Open-loop load on running processes, and reports of what callers received.
//!
//! All arrivals are drawn before the run, and each latency is measured from the time at which its
//! request was due. A slow system therefore can't slow its own load down and look better than it is
//! (coordinated omission).

#![forbid(unsafe_code)]

pub mod arrival;
pub mod balancer;
pub mod control;
pub mod html;
pub mod report;
pub mod run;
pub mod sample;
pub mod scenario;
