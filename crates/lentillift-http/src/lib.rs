//! An HTTP/1.1 listener with a bound on everything that a peer can hold.
//!
//! Bounded are the connections, the time to send a request's head, the time to send its body, and
//! the body's size. The library that the house style names first, `rouille`, sets no read timeout,
//! starts a thread for each connection without a bound, and stops listening for good at the first
//! failed `accept`; `hyper` is its nearest kin that leaves these choices to the program.

#![forbid(unsafe_code)]

pub mod listener;
