//! The queue in front of one backend server.

use lentillift_core::id;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use std::collections::VecDeque;

/// A sub-request that waits.
#[derive(Debug)]
pub struct Waiting {
    /// The host whose entry sent it.
    pub from: id::Host,
    /// The sub-request.
    pub sub: Sub,
    /// When its reply is of no more use.
    pub deadline: Time,
}

/// Sub-requests that wait for a slot of one backend server.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    /// Appends a sub-request.
    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Takes the next sub-request to send.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    /// Takes out a sub-request that its entry no longer wants.
    pub fn remove(&mut self, from: &str, id: id::Sub) -> Option<Waiting> {
        let at = self
            .waiting
            .iter()
            .position(|w| &*w.from == from && w.sub.id == id)?;
        self.waiting.remove(at)
    }

    /// How many sub-requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
