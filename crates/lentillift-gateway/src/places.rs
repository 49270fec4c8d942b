//! Decides which caller's connection is closed when a host has no place for another one.
//!
//! Load: hundreds of callers open connections and stay, without a request or with one that stops
//! short of its end. They take all connections that the host may have, and ordinary callers wait in
//! the listener's backlog until one of them leaves.
//!
//! So a newcomer takes the place of a caller that keeps the host waiting for longer than an ordinary
//! one: of the one that the host has awaited longest, with an unfinished or a first request, or else
//! of the one that was idle longest. Callers that send one request after the other keep their places,
//! and a connection whose request is being served is never closed.

use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a caller may keep the host waiting while others have no place. An ordinary caller
/// sends a request in less, and gives up a host that has not read its request after twice as much.
const PATIENCE: Duration = Duration::from_millis(500);

/// Number of a wait for a caller; one that begins later has a higher one.
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

impl Wait {
    /// Time from which its place may be taken.
    fn late_at(&self) -> Time {
        self.since + PATIENCE
    }
}

/// What makes room for a newcomer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// Closing this connection.
    Close(Ticket),
    /// Asking again at this time.
    Later(Time),
    /// The end of a request: all connections are being served.
    Served,
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

    /// Decides what makes room for a newcomer.
    pub fn make_room(&self, now: Time) -> Room {
        let unfinished = self.unfinished.first_key_value();
        let idle = self.idle.first_key_value();
        let longest = [unfinished, idle].into_iter().flatten();
        let mut late = longest.clone().filter(|(_, wait)| wait.late_at() <= now);
        if let Some((ticket, _)) = late.next() {
            return Room::Close(*ticket);
        }
        let next = longest.map(|(_, wait)| wait.late_at()).min();
        next.map_or(Room::Served, Room::Later)
    }

    /// Returns the connections whose heads have been incomplete for longer than `timeout`.
    pub fn overdue_heads(&self, now: Time, timeout: Duration) -> Vec<Ticket> {
        let waits = self.unfinished.iter();
        let overdue = waits.take_while(|(_, wait)| now.saturating_sub(wait.since) > timeout);
        let heads = overdue.filter(|(_, wait)| wait.awaited == Awaited::Head);
        heads.map(|(ticket, _)| *ticket).collect()
    }
}
