//! Requests that may run at most once.
//!
//! An id is issued by one incarnation of one process, its home, and only that incarnation may send
//! the request. No second process can ever hold the same right, whatever the views of the fleet,
//! so that no pause, partition or restart can double a request: the worst that happens is the
//! outcome "unknown" after the home is gone.

#![forbid(unsafe_code)]

pub mod home;
pub mod key;
