//! The home of the ids that this incarnation has issued.

use crate::key::Key;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Figures of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long an id may be used, and its result is remembered, after it was issued.
    pub lifetime: Duration,
    /// Ids that are remembered at most.
    pub most: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            most: 10_000,
        }
    }
}

/// Where an id stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// Issued and not used.
    Unused,
    /// Sent to a backend server; no reply yet.
    Sent(Vec<u8>),
    /// A backend server ran it and this is its reply.
    Done(Vec<u8>, Vec<u8>),
    /// It can't be known whether it ran.
    Unknown(Vec<u8>),
}

#[derive(Debug)]
struct Record {
    issued: Time,
    state: State,
}

/// What to do about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Send it; this is said once for each id.
    Send,
    /// It is under way; wait for its result.
    Wait,
    /// It ran; this was the reply.
    Done(Vec<u8>),
    /// It can't be known whether it ran.
    Unknown,
    /// The id is not one that this home issued lately; whether it ran can't be known.
    Forgotten,
    /// The id was used with another body.
    Mismatch,
}

/// The home of the ids that this incarnation has issued.
#[derive(Debug)]
pub struct Home {
    host: id::Host,
    incarnation: id::Incarnation,
    options: Options,
    // INVARIANT: Holds every id that may be sent or was sent within its lifetime. An id that is not
    // here is never sent.
    records: BTreeMap<u64, Record>,
    next: u64,
}

impl Home {
    /// Starts without ids.
    pub fn new(host: id::Host, incarnation: id::Incarnation, options: &Options) -> Self {
        Self {
            host,
            incarnation,
            options: *options,
            records: BTreeMap::new(),
            next: 0,
        }
    }

    /// Issues an id, unless too many are remembered.
    pub fn issue(&mut self, now: Time) -> Option<Key> {
        self.forget(now);
        if self.records.len() >= self.options.most {
            return None;
        }
        self.next += 1;
        let record = Record {
            issued: now,
            state: State::Unused,
        };
        self.records.insert(self.next, record);
        Some(Key {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.next,
        })
    }

    /// Whether this incarnation issued `key`.
    pub fn is_home_of(&self, key: &Key) -> bool {
        key.host == self.host && key.incarnation == self.incarnation
    }

    /// Says what to do about a request with an id of this home.
    pub fn submit(&mut self, now: Time, key: &Key, body: &[u8]) -> Next {
        self.forget(now);
        let Some(record) = self.records.get_mut(&key.number) else {
            return Next::Forgotten;
        };
        match &record.state {
            State::Unused => {
                record.state = State::Sent(body.to_vec());
                Next::Send
            }
            State::Sent(sent) | State::Done(sent, _) | State::Unknown(sent) if sent != body => {
                Next::Mismatch
            }
            State::Sent(_) => Next::Wait,
            State::Done(_, reply) => Next::Done(reply.clone()),
            State::Unknown(_) => Next::Unknown,
        }
    }

    /// Notes that a backend server ran the request.
    pub fn done(&mut self, number: u64, reply: Vec<u8>) {
        if let Some(record) = self.records.get_mut(&number)
            && let State::Sent(body) = &mut record.state
        {
            record.state = State::Done(std::mem::take(body), reply);
        }
    }

    /// Notes that no backend server ran the request; its id may be used again.
    pub fn not_run(&mut self, number: u64) {
        if let Some(record) = self.records.get_mut(&number)
            && matches!(record.state, State::Sent(_))
        {
            record.state = State::Unused;
        }
    }

    /// Notes that it can't be known whether the request ran.
    pub fn unknown(&mut self, number: u64) {
        if let Some(record) = self.records.get_mut(&number)
            && let State::Sent(body) = &mut record.state
        {
            record.state = State::Unknown(std::mem::take(body));
        }
    }

    /// Drops the ids whose lifetime is over. Numbers rise with time, so the oldest come first.
    fn forget(&mut self, now: Time) {
        while let Some(first) = self.records.first_entry()
            && first.get().issued + self.options.lifetime <= now
        {
            first.remove();
        }
    }
}
