//! The time line: notable state changes in this process, for operators.

use lentillift_core::id;
use lentillift_core::time::Time;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of events kept; beyond it, the oldest of the most frequent kind is evicted.
const MAX_EVENTS: usize = 4096;

/// A state change that operators can see on the time line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Kind of the change, such as `ready` or `lease`.
    pub kind: String,
    /// The object that changed: a backend server, a host, a key.
    pub subject: String,
    /// The change in words.
    pub detail: String,
    /// The service involved, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::Service>,
    /// The backend server involved, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<id::Backend>,
    /// Id of the request involved, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// What was sent to another process or received from one, such as `config 7`.
    ///
    /// An event with [`Note::from`] happened after the event of that host with the same token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// The host that sent what `token` names; none if this process sent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<id::Host>,
}

impl Note {
    /// Creates a note without the optional fields.
    pub fn new(kind: &str, subject: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: kind.to_owned(),
            subject: subject.to_owned(),
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Sets the service involved.
    pub fn service(mut self, service: &id::Service) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Sets the backend server involved.
    pub fn backend(mut self, backend: &id::Backend) -> Self {
        self.backend = Some(backend.clone());
        self
    }

    /// Sets the id of the request involved.
    pub fn request(mut self, request: impl ToString) -> Self {
        self.request = Some(request.to_string());
        self
    }

    /// Sets what was sent, or what was received and the host that it came `from`.
    pub fn token(mut self, token: impl Into<String>, from: Option<&id::Host>) -> Self {
        self.token = Some(token.into());
        self.from = from.cloned();
        self
    }
}

/// A note with its number and times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number within the process; later events have higher numbers.
    pub number: u64,
    /// Time since the process started, in microseconds; monotonic.
    pub at_us: u64,
    /// Time since the Unix epoch by the host's clock, in milliseconds; clocks of hosts differ.
    pub wall_ms: u64,
    /// The change.
    #[serde(flatten)]
    pub note: Note,
}

/// The latest events of one process, oldest first.
#[derive(Debug, Default)]
pub struct Timeline {
    events: VecDeque<Event>,
    kind_counts: BTreeMap<String, usize>,
    last_number: u64,
}

impl Timeline {
    /// Appends an event; `wall` is the time since the Unix epoch.
    pub fn push(&mut self, now: Time, wall: Duration, note: Note) {
        if self.events.len() == MAX_EVENTS {
            self.evict();
        }
        self.last_number += 1;
        *self.kind_counts.entry(note.kind.clone()).or_default() += 1;
        self.events.push_back(Event {
            number: self.last_number,
            at_us: now.as_micros() as u64,
            wall_ms: wall.as_millis() as u64,
            note,
        });
    }

    /// Removes the oldest event of the most frequent kind.
    ///
    /// In an outage, one kind of event may occur a thousand times a second. If the oldest event of
    /// all were removed, the change that started the outage would be gone when an operator looks.
    fn evict(&mut self) {
        let most_frequent = self.kind_counts.iter_mut().max_by_key(|(_, count)| **count);
        let Some((kind, count)) = most_frequent else {
            return;
        };
        *count -= 1;
        let index = self
            .events
            .iter()
            .position(|event| event.note.kind == *kind);
        self.events.remove(index.unwrap_or_default());
    }

    /// The events whose number is `since` or higher, oldest first.
    pub fn since(&self, since: u64) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |event| event.number >= since)
    }
}

/// The response of `/timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The host whose time line this is.
    pub host: id::Host,
    /// Incarnation of the process on that host.
    pub incarnation: id::Incarnation,
    /// The events, oldest first.
    pub events: Vec<Event>,
}
