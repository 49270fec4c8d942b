//! The time line of what happened in this process.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;

/// Events that are kept at most; the oldest make room.
const MOST: usize = 4096;

/// A change of state worth telling an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number within the process; later events have higher numbers.
    pub number: u64,
    /// Time since the process started, in microseconds.
    pub at_us: u64,
    /// What kind of change it is.
    pub kind: String,
    /// What it is about: a backend server, a host, a key.
    pub subject: String,
    /// What changed, in words.
    pub detail: String,
}

/// The time line of one process.
#[derive(Debug, Default)]
pub struct Timeline {
    events: VecDeque<Event>,
    next: u64,
}

impl Timeline {
    /// Appends an event.
    pub fn push(&mut self, now: Time, kind: &str, subject: &str, detail: String) {
        if self.events.len() == MOST {
            self.events.pop_front();
        }
        self.next += 1;
        self.events.push_back(Event {
            number: self.next,
            at_us: now.as_micros() as u64,
            kind: kind.to_owned(),
            subject: subject.to_owned(),
            detail,
        });
    }

    /// The events from number `since` on.
    pub fn since(&self, since: u64) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |event| event.number >= since)
    }
}

/// What `/timeline` returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The host.
    pub host: id::Host,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// The events, oldest first.
    pub events: Vec<Event>,
}
