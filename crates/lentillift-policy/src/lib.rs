//! Decisions under load: whom to serve, who waits, who is refused, and where work goes.
//!
//! No module here opens a socket, reads a clock or draws a random number: time and randomness are
//! passed in. Each names the load pattern it answers, what happens without it, and the grounds
//! for its figures.

#![forbid(unsafe_code)]

pub mod warmup;
