//! Decides which callers are given up when the host runs out of what they hold.
//!
//! Load: hundreds of callers begin a large request, send all but its end, and keep their connections
//! open. They look like callers on a slow way, and hold their memory for as long as they may.
//! Refused newcomers would pay for them, so the host would serve nobody else.
//!
//! So a caller that stalls pays: the request that was begun first is given up for one that was begun
//! later. An ordinary caller sends its request in a few round trips and is rarely the first. The
//! order is that of the beginnings, not of the last bytes, since a caller can send a byte now and
//! then for as long as it likes. Small bodies are never given up: they hold little even together.

use std::collections::BTreeMap;

/// Size from which a body may be given up, in bytes. Smaller ones of as many callers as a host has
/// connections for leave half of the memory to others.
const MIN_BODY_BYTES: usize = 16 * 1024;

/// Number of a request; one that begins later has a higher one.
pub type Ticket = u64;

/// Requests that have begun and are not complete.
#[derive(Debug, Default)]
pub struct Waiting {
    next: Ticket,
    /// Bytes that the body of each request holds.
    bodies: BTreeMap<Ticket, usize>,
}

impl Waiting {
    /// Adds a request that begins now.
    pub fn begin(&mut self) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        self.bodies.insert(ticket, 0);
        ticket
    }

    /// Records how many bytes the body of a request holds.
    pub fn set_held(&mut self, ticket: Ticket, bytes: usize) {
        if let Some(held) = self.bodies.get_mut(&ticket) {
            *held = bytes;
        }
    }

    /// Removes a request that is complete, given up or gone.
    pub fn end(&mut self, ticket: Ticket) {
        self.bodies.remove(&ticket);
    }

    /// Returns the request whose body is to be given up for the body of `ticket`: the first of those begun before it
    /// that holds more than a little. None if there is none, so that the body of `ticket` is to be given up.
    pub fn body_to_give_up(&self, ticket: Ticket) -> Option<Ticket> {
        let mut earlier = self.bodies.range(..ticket);
        let found = earlier.find(|(_, held)| **held >= MIN_BODY_BYTES);
        found.map(|(ticket, _)| *ticket)
    }
}
