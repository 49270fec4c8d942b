//! Requests that may run at most once.
//!
//! A caller first requests an id (an idempotency key) and then sends its request under that id. The
//! id is issued by one incarnation of one process, its home, and only that incarnation may send the
//! request to a backend server. No second process can hold this right, whatever the processes'
//! views of the fleet, so that no pause, partition or restart can run a request twice. The worst
//! case is the outcome "unknown" once the home is gone.
//!
//! "Not run" is final: before a caller gets this answer the id is closed, so that no copy of the
//! request that is still in flight can run.
//!
//! [`core::Once`] is a state machine that takes events and returns effects. It does no I/O and
//! reads no clock.

#![forbid(unsafe_code)]

pub mod core;
pub mod event;
pub mod forward;
pub mod home;
pub mod in_flight;
pub mod key;
pub mod leave;
pub mod quota;
pub mod record;
pub mod submit;
