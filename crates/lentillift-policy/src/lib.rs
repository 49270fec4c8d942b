//! Decisions under load: whom to serve, who waits, who is refused, and where work goes.
//!
//! No module here opens a socket, reads a clock or draws a random number: time and randomness are
//! passed in. Each names the load pattern it answers, what happens without it, and the grounds
//! for its figures. The figures come from [`lentillift_settings::policy`].

#![forbid(unsafe_code)]

pub mod admission;
pub mod budget;
pub mod choice;
pub mod coalescing;
pub mod cost;
pub mod count;
pub mod health;
pub mod hedge;
pub mod latency;
pub mod partial;
pub mod queue;
pub mod retry;
pub mod share;
pub mod slots;
pub mod warmup;
