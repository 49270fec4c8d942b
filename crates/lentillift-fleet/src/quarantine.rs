//! Detects requests that end the backend servers which run them, known as queries of death.
//!
//! Scenario: the content of one request ends each server that begins to run it, and its caller
//! retries at any host. If these ends are treated as faults of the servers, the request is retried
//! at the next replica: one search ends both replicas of all its shards, again at each attempt, and
//! nothing else is served meanwhile.
//!
//! Such a request is recognised by servers that ended while they had it, with no reply from any
//! server that ran it. Until that is decided, the request is sent to one server at a time (a canary
//! request). A request that was merely in flight when servers ended is answered by the canary and
//! served, a few milliseconds later. A request under whose canaries servers ended as well is
//! quarantined at all hosts.
//!
//! Two requests that are suspect at the same time may have their canaries at the same server, and
//! one of them ends it. So one canary is not enough, and a request that servers have answered
//! recently needs more of them: a popular search is in flight whenever servers end.

mod recently_answered;
mod record;
mod shared_record;

pub use shared_record::SharedRecord;
pub use shared_record::State;

use crate::rendezvous;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use recently_answered::RecentlyAnswered;
use record::Record;
use std::collections::HashMap;
use std::time::Duration;

/// Identifies one process of a backend server; a restarted server has another one.
pub type ProcessId = u64;

/// Identifier of the process of a backend server that `start` distinguishes from earlier and later
/// ones.
pub fn process_id(backend: &str, start: u64) -> ProcessId {
    rendezvous::weight(&start.to_string(), backend)
}

/// Parameters of quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Number of servers that have to end under a request, with no reply from any, before it is
    /// quarantined.
    pub ends: usize,
    /// Number of these servers that have to end under canaries.
    pub canary_ends: usize,
    /// The same for a request that servers have answered within `memory`.
    pub answered_canary_ends: usize,
    /// Time after which an end that led to no quarantine is forgotten.
    pub memory: Duration,
    /// Time until a canary tests whether servers can run the request by now; doubled after each
    /// canary.
    pub hold: Duration,
    /// Number of such canaries; after the last the request stays quarantined until an operator
    /// lifts it.
    pub trials: u32,
    /// Maximum number of requests that are remembered.
    pub records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ends: 3,
            canary_ends: 2,
            answered_canary_ends: 4,
            memory: Duration::from_secs(600),
            hold: Duration::from_secs(60),
            trials: 2,
            records: 1024,
        }
    }
}

/// State of a request at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent as usual.
    Clear,
    /// Servers ended under the request and none has replied: it may be sent to one server at a
    /// time.
    Suspect,
    /// The request must not be sent; the time is what remains of the quarantine.
    Quarantined(Duration),
}

impl Verdict {
    /// How the next send for the request may be made.
    ///
    /// `is_admitted_canary` says whether the request was admitted as a canary during a quarantine.
    /// `is_in_flight` says whether another send of the request is in flight; that one is mostly
    /// answered, so that no canary is needed.
    pub fn next(self, is_admitted_canary: bool, is_in_flight: bool) -> Next {
        match self {
            Self::Clear => Next::Send,
            Self::Quarantined(_) if !is_admitted_canary => Next::GiveUp,
            _ if is_in_flight => Next::Wait,
            _ => Next::Canary,
        }
    }
}

/// How the next send for a request may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// As usual.
    Send,
    /// As the only one in flight, to test what the request does to a server.
    Canary,
    /// Only after the result of the send in flight is known.
    Wait,
    /// The request is given up.
    GiveUp,
}

/// How a request that has just arrived is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As usual.
    Serve,
    /// The request is sent to one server at a time, until one replies.
    Canary,
    /// The request is refused; it may be retried after this time.
    Refuse(Duration),
}

/// A server process that ended while it had a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The process that ended.
    pub process: ProcessId,
    /// Whether the request was a canary: nothing else was sent for it at that time, because it was
    /// suspect.
    pub canary: bool,
}

/// Remaining time that is reported for a quarantine without an end.
const INDEFINITE: Duration = Duration::from_secs(24 * 3600);

/// Requests under which servers ended, as known to this host.
#[derive(Debug, Default)]
pub struct Table {
    // INVARIANT: No more than `Options::records`.
    records: HashMap<Fingerprint, Record>,
    /// Requests that servers have answered recently.
    recently_answered: RecentlyAnswered,
    /// Whether some record has changed since updates were last sent to other hosts.
    has_updates: bool,
}

impl Table {
    /// State of a request at this host.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Time) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) => record.verdict(now),
            None => Verdict::Clear,
        }
    }

    /// Decides how a request that has just arrived is treated.
    ///
    /// The end of a quarantine lets one canary through: the quarantine is renewed before the canary
    /// is sent, so that no other host sends one as well.
    pub fn admit(&mut self, options: &Options, fingerprint: Fingerprint, now: Time) -> Admission {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Admission::Serve;
        };
        if record.renew(options, now) {
            self.has_updates = true;
            return Admission::Canary;
        }
        match record.verdict(now) {
            Verdict::Clear => Admission::Serve,
            Verdict::Suspect => Admission::Canary,
            Verdict::Quarantined(left) => Admission::Refuse(left),
        }
    }

    /// Records a server that ended while it had the request, with no reply of another to it.
    pub fn record_end(&mut self, options: &Options, fingerprint: Fingerprint, end: End, now: Time) {
        self.make_room(options, fingerprint, now);
        let canary_ends = self.canary_ends(options, fingerprint, now);
        let record = self.records.entry(fingerprint).or_default();
        self.has_updates |= record.ended(options, canary_ends, end, now);
    }

    /// Number of servers that have to end under canaries of a request before it is quarantined.
    fn canary_ends(&self, options: &Options, fingerprint: Fingerprint, now: Time) -> usize {
        match self.recently_answered.has(fingerprint, now, options.memory) {
            true => options.answered_canary_ends,
            false => options.canary_ends,
        }
    }

    /// Records that a server ran the request and replied.
    pub fn record_reply(&mut self, options: &Options, fingerprint: Fingerprint, now: Time) {
        self.recently_answered
            .note(fingerprint, now, options.records);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.clear(now);
            self.has_updates |= record.has_changes();
        }
    }

    /// Lifts a quarantine on behalf of an operator; returns whether the request was suspect or
    /// quarantined.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let lifted = record.clear(now);
        self.has_updates |= record.has_changes();
        lifted
    }

    /// Merges records of another host; returns how many of them changed something.
    pub fn merge(&mut self, options: &Options, received: &[SharedRecord], now: Time) -> usize {
        let mut new = 0;
        for shared in received {
            self.make_room(options, shared.fingerprint, now);
            let canary_ends = self.canary_ends(options, shared.fingerprint, now);
            let record = self.records.entry(shared.fingerprint).or_default();
            new += usize::from(record.merge(options, canary_ends, shared, now));
        }
        self.has_updates |= new > 0;
        new
    }

    /// Whether there are updates to send to other hosts.
    pub fn has_updates(&self) -> bool {
        self.has_updates
    }

    /// Takes the records that have changed since the last call.
    pub fn take_updates(&mut self, now: Time) -> Vec<SharedRecord> {
        self.has_updates = false;
        let records = self.records.iter_mut();
        let changed = records.filter_map(|(fingerprint, record)| {
            let has_changes = record.take_changed();
            has_changes.then(|| record.shared_record(*fingerprint, now))
        });
        changed.collect()
    }

    /// Records of at most `most` requests, the most recently changed first.
    pub fn shared_records(&self, most: usize, now: Time) -> Vec<SharedRecord> {
        let records = self.records.iter();
        let mut shared: Vec<SharedRecord> = records
            .map(|(fingerprint, record)| record.shared_record(*fingerprint, now))
            .collect();
        shared.sort_by_key(|record| record.age);
        shared.truncate(most);
        shared
    }

    /// Record of one request.
    pub fn shared_record(&self, fingerprint: Fingerprint, now: Time) -> Option<SharedRecord> {
        let record = self.records.get(&fingerprint)?;
        Some(record.shared_record(fingerprint, now))
    }

    /// Forgets requests that led to no quarantine within [`Options::memory`].
    pub fn expire(&mut self, options: &Options, now: Time) {
        self.records
            .retain(|_, record| !record.is_expired(options, now));
    }

    /// Makes room for one more request: clear ones are removed first, then suspect ones, then the
    /// oldest quarantine. Requests that are crafted to fill the table evict each other.
    fn make_room(&mut self, options: &Options, fingerprint: Fingerprint, now: Time) {
        let is_known = self.records.contains_key(&fingerprint);
        if is_known || self.records.len() < options.records {
            return;
        }
        self.expire(options, now);
        let records = self.records.iter();
        let victim = records.min_by_key(|(_, record)| record.eviction_rank());
        let victim = victim.map(|(fingerprint, _)| *fingerprint);
        if self.records.len() >= options.records
            && let Some(victim) = victim
        {
            self.records.remove(&victim);
        }
    }
}
