//! Types shared by every lentillift crate.
//!
//! Nothing here opens a socket or draws a random number, and only [`time::Clock`] reads a clock.

#![forbid(unsafe_code)]

pub mod coverage;
pub mod error;
pub mod excerpt;
pub mod fingerprint;
pub mod hit;
pub mod id;
pub mod outcome;
pub mod percent;
pub mod refusal;
pub mod snapshot;
pub mod sub;
pub mod text;
pub mod time;
