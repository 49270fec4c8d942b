//! Requests that may run at most once.
//!
//! An id is issued by one incarnation of one process, its home, and only that incarnation may send
//! the request. No second process can ever hold the same right, whatever the views of the fleet,
//! so that no pause, partition or restart can double a request: the worst that happens is the
//! outcome "unknown" after the home is gone.
//!
//! "Not run" is final. Once a caller has been told so, the id is closed and no copy of the request
//! that is still on its way can run.
//!
//! [`core::Once`] takes events and returns what to do; it holds no socket and reads no clock.

#![forbid(unsafe_code)]

pub mod away;
pub mod core;
pub mod event;
pub mod flight;
pub mod home;
pub mod key;
pub mod leave;
pub mod quota;
pub mod record;
pub mod submit;
