//! Decides which caller's connection is closed when a host has no place for another one.
//!
//! Load: hundreds of callers open connections and stay, without a request or with one that stops
//! short of its end. They take all connections that the host may have, and ordinary callers wait in
//! the listener's backlog until one of them leaves.
//!
//! So a newcomer takes the place of a caller that keeps the host waiting. First come the connections
//! whose request the host has awaited for longer than an ordinary one takes, then idle ones that
//! served a request before, then the other unfinished ones; among equals the one that the host has
//! awaited longest. A connection whose request is being served is never closed.

use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which an ordinary caller sends a request.
const USUAL_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Number of a wait for a caller, in the order of their beginnings.
pub type Ticket = u64;

/// What a host awaits on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// The first request.
    FirstRequest,
    /// The next request.
    NextRequest,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body.
    Body,
}

impl Awaited {
    /// Whether nothing of a request was read to its end, so that the connection may be closed without an answer.
    pub fn is_unread(self) -> bool {
        matches!(self, Self::FirstRequest | Self::Head)
    }
}

/// Connections on which the host waits for the caller.
#[derive(Debug, Default)]
pub struct Places {
    next: Ticket,
    // INVARIANT: Later tickets do not have earlier times.
    unfinished: BTreeMap<Ticket, Wait>,
    idle: BTreeMap<Ticket, Wait>,
}

#[derive(Debug, Clone, Copy)]
struct Wait {
    awaited: Awaited,
    since: Time,
}

impl Places {
    /// Begins to wait for a caller; returns the number of the wait.
    pub fn begin(&mut self, awaited: Awaited, now: Time) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        let wait = Wait {
            awaited,
            since: now,
        };
        match awaited {
            Awaited::NextRequest => self.idle.insert(ticket, wait),
            _ => self.unfinished.insert(ticket, wait),
        };
        ticket
    }

    /// Records that the head of an unfinished request is complete. The wait began with the head.
    pub fn begin_body(&mut self, ticket: Ticket) {
        if let Some(wait) = self.unfinished.get_mut(&ticket) {
            wait.awaited = Awaited::Body;
        }
    }

    /// Ends a wait.
    pub fn end(&mut self, ticket: Ticket) {
        self.unfinished.remove(&ticket);
        self.idle.remove(&ticket);
    }

    /// Returns the connection to close for a newcomer; none if all are being served.
    pub fn to_close(&self, now: Time) -> Option<Ticket> {
        let unfinished = self.unfinished.first_key_value();
        let is_late = |wait: &Wait| now.saturating_sub(wait.since) > USUAL_REQUEST_TIME;
        let late = unfinished.filter(|(_, wait)| is_late(wait));
        let idle = self.idle.first_key_value();
        late.or(idle).or(unfinished).map(|(ticket, _)| *ticket)
    }

    /// Returns the connections whose heads have been incomplete for longer than `timeout`.
    pub fn overdue_heads(&self, now: Time, timeout: Duration) -> Vec<Ticket> {
        let waits = self.unfinished.iter();
        let overdue = waits.take_while(|(_, wait)| now.saturating_sub(wait.since) > timeout);
        let heads = overdue.filter(|(_, wait)| wait.awaited == Awaited::Head);
        heads.map(|(ticket, _)| *ticket).collect()
    }
}
