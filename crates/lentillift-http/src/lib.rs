//! An HTTP/1.1 listener that bounds every resource a peer can occupy.
//!
//! The bounds apply to the number of connections, the time to send a request's head, the time to
//! send its body, and the size of the body. `rouille`, the first choice of the style guide, sets no
//! read timeout, starts a thread for each connection without a limit, and stops listening for good
//! after the first failed `accept`. `hyper` is the closest library that leaves these decisions to
//! the program.

#![forbid(unsafe_code)]

pub mod body;
pub mod listener;
