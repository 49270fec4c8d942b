//! The time line of what happened in this process.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Events that are kept at most; the oldest of the most frequent kind make room.
const MOST: usize = 4096;

/// A change of state worth telling an operator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// What kind of change it is.
    pub kind: String,
    /// What it is about: a backend server, a host, a key.
    pub subject: String,
    /// What changed, in words.
    pub detail: String,
    /// The service, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::Service>,
    /// The backend server, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<id::Backend>,
    /// The request's id, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// What was sent to another process or received from one, such as `config 7`.
    ///
    /// An event with [`Note::from`] comes after the event of that host with the same token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// The host that sent what `token` names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<id::Host>,
}

impl Note {
    /// Makes a note of a change that concerns `subject`.
    pub fn new(kind: &str, subject: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            subject: subject.to_owned(),
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Adds the service that it concerns.
    pub fn service(mut self, service: &id::Service) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Adds the backend server that it concerns.
    pub fn backend(mut self, backend: &id::Backend) -> Self {
        self.backend = Some(backend.clone());
        self
    }

    /// Adds the request that it concerns.
    pub fn request(mut self, request: impl ToString) -> Self {
        self.request = Some(request.to_string());
        self
    }

    /// Adds what was handed over, and by whom if it was received.
    pub fn token(mut self, token: impl Into<String>, from: Option<&id::Host>) -> Self {
        self.token = Some(token.into());
        self.from = from.cloned();
        self
    }
}

/// A note with its place and time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number within the process; later events have higher numbers.
    pub number: u64,
    /// Time since the process started, in microseconds; never goes back.
    pub at_us: u64,
    /// Time since 1970 by the host's clock, in milliseconds; differs between hosts.
    pub wall_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub note: Note,
}

/// The time line of one process.
#[derive(Debug, Default)]
pub struct Timeline {
    events: VecDeque<Event>,
    kinds: BTreeMap<String, usize>,
    next: u64,
}

impl Timeline {
    /// Appends an event; `wall` is the time since 1970.
    pub fn push(&mut self, now: Time, wall: Duration, note: Note) {
        if self.events.len() == MOST {
            self.make_room();
        }
        self.next += 1;
        *self.kinds.entry(note.kind.clone()).or_default() += 1;
        self.events.push_back(Event {
            number: self.next,
            at_us: now.as_micros() as u64,
            wall_ms: wall.as_millis() as u64,
            note,
        });
    }

    /// Drops the oldest event of the kind that has most.
    ///
    /// In an outage one kind may come a thousand times a second. If the oldest went whatever its
    /// kind, the change that began the outage would be gone when an operator looks.
    fn make_room(&mut self) {
        let most = self.kinds.iter_mut().max_by_key(|(_, count)| **count);
        let Some((kind, count)) = most else {
            return;
        };
        *count -= 1;
        let at = self
            .events
            .iter()
            .position(|event| event.note.kind == *kind);
        self.events.remove(at.unwrap_or_default());
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
