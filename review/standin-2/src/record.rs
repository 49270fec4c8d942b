//! What was sent, answered and run, with times in milliseconds since the start of the case.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A requester's attempt.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    /// Index of the host that the requester connected to.
    pub host: usize,
    pub at: f64,
}

/// The end of an attempt as its requester saw it; status 0 is a connection without an answer.
#[derive(Debug, Clone)]
pub struct Answered {
    pub id: String,
    pub at: f64,
    pub status: u16,
}

/// An arrival of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub backend: String,
    pub at: f64,
    /// Whether the server was cold.
    pub is_cold: bool,
    /// Whether it ran the request; otherwise it rejected it.
    pub ran: bool,
}

/// Everything that requesters, backend servers and the platform have seen.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    pub sent: Mutex<Vec<Sent>>,
    pub answered: Mutex<Vec<Answered>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    notes: Mutex<Vec<(f64, String)>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            sent: Mutex::default(),
            answered: Mutex::default(),
            arrivals: Mutex::default(),
            notes: Mutex::default(),
        }
    }
}

impl Record {
    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Notes an event; returns its time.
    pub fn note(&self, text: impl Into<String>) -> f64 {
        let at = self.now();
        self.notes.lock().unwrap().push((at, text.into()));
        at
    }

    /// Writes all events in the order of their times.
    pub fn write(&self, path: &Path) {
        let mut lines = self.notes.lock().unwrap().clone();
        for sent in self.sent.lock().unwrap().iter() {
            let text = format!("sent {} to host {}", sent.id, sent.host);
            lines.push((sent.at, text));
        }
        for answered in self.answered.lock().unwrap().iter() {
            let text = format!("answered {} with {}", answered.id, answered.status);
            lines.push((answered.at, text));
        }
        for arrival in self.arrivals.lock().unwrap().iter() {
            let Arrival {
                id,
                backend,
                is_cold,
                ran,
                ..
            } = arrival;
            let text = format!("arrived {id} at {backend}, cold {is_cold}, ran {ran}");
            lines.push((arrival.at, text));
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let lines = lines.iter().map(|(at, text)| format!("{at:10.1} {text}\n"));
        fs::write(path, lines.collect::<String>()).expect("record is written");
    }
}
