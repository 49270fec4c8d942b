//! Overload policies: admission, queueing, load shedding, replica choice, hedging and retries.
//!
//! No module here opens a socket, reads a clock or draws a random number: time and randomness are
//! passed in. Each module's text names the load pattern it addresses, what happens without it, and
//! the reasons for its defaults. The settings come from [`lentillift_settings::policy`].

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
