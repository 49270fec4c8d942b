//! Requests that end the backend servers which run them, known as queries of death.
//!
//! Load pattern: the content of one request ends each server that begins to run it, and its caller asks
//! again, at any host. Taken for faults of the servers, these ends are made up for at the next replica: one
//! search ends both replicas of all its shards, again at each attempt, and nothing else is served
//! meanwhile.
//!
//! What tells such a request is that servers ended under it, and that none which ran it ever replied. Until that
//! is decided, one server at a time finds out (a canary request): a request that was merely there
//! when servers ended is answered by the canary and served, a few milliseconds later. A request under whose
//! canaries servers ended as well is quarantined at all hosts.
//!
//! Two requests that are suspect at the same time may have their canaries at the same server, and one ends it. So it
//! takes more than one canary, and more of them for a request that servers have answered lately: a popular
//! search is in flight whenever servers end.

mod account;
mod proven;
mod record;

pub use account::SharedRecord;
pub use account::State;

use crate::rendezvous;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use proven::Proven;
use record::Record;
use std::collections::HashMap;
use std::time::Duration;

/// Identifies one process of a backend server.
pub type ProcessId = u64;

/// The process of the backend server that `start` tells from those before and after it.
pub fn process_id(backend: &str, start: u64) -> ProcessId {
    rendezvous::weight(&start.to_string(), backend)
}

/// Figures of quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Servers that have to end under a request, with no reply of any, before it is quarantined.
    pub ends: usize,
    /// How many of them have to end under canaries.
    pub canary_ends: usize,
    /// The same for a request that servers have answered within `memory`.
    pub proven_canary_ends: usize,
    /// Time after which an end that led to nothing is forgotten.
    pub memory: Duration,
    /// Time until a canary finds out whether servers bear the request by now; doubled after each.
    pub hold: Duration,
    /// Such canaries; after the last the request is held until an operator lifts that.
    pub trials: u32,
    /// Requests that are remembered.
    pub records: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ends: 3,
            canary_ends: 2,
            proven_canary_ends: 4,
            memory: Duration::from_secs(600),
            hold: Duration::from_secs(60),
            trials: 2,
            records: 1024,
        }
    }
}

/// What is held of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent as usual.
    Clear,
    /// Servers ended under it and none has replied: it may be sent to one server at a time.
    Suspect,
    /// It must not be sent.
    Quarantined(Duration),
}

impl Verdict {
    /// How the next send for the request may be made.
    ///
    /// `is_trial` tells whether it was let in to find out; `is_under_way`, whether something of it is under
    /// way, which mostly is answered, so that no canary is needed.
    pub fn next(self, is_trial: bool, is_under_way: bool) -> Next {
        match self {
            Self::Clear => Next::Send,
            Self::Quarantined(_) if !is_trial => Next::GiveUp,
            _ if is_under_way => Next::Wait,
            _ => Next::Canary,
        }
    }
}

/// How the next send for a request may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// As usual.
    Send,
    /// As the only one, to find out what the request does to a server.
    Canary,
    /// Not before that is known.
    Wait,
    /// Not any more.
    GiveUp,
}

/// How a request that has just arrived is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As usual.
    Serve,
    /// One server at a time, until one replies.
    Canary,
    /// Not at all; the time is until it may be asked again.
    Refuse(Duration),
}

/// A server that ended while it had a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The process that ended.
    pub process: ProcessId,
    /// Whether nothing else was sent for the request at that time, because it was suspect.
    pub canary: bool,
}

/// Time that is told for a quarantine without an end.
const FOREVER: Duration = Duration::from_secs(24 * 3600);

/// What this host holds of requests under which servers ended.
#[derive(Debug, Default)]
pub struct Table {
    // INVARIANT: No more than `Options::records`.
    records: HashMap<Fingerprint, Record>,
    /// Requests that servers have answered lately.
    proven: Proven,
    /// Whether some record has changed since others were told.
    has_news: bool,
}

impl Table {
    /// What is held of a request.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Time) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) => record.verdict(now),
            None => Verdict::Clear,
        }
    }

    /// How a request that has just arrived is treated.
    ///
    /// The end of a quarantine lets one canary through: the quarantine is renewed before it is sent,
    /// so that no other host sends one as well.
    pub fn admit(&mut self, options: &Options, fingerprint: Fingerprint, now: Time) -> Admission {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Admission::Serve;
        };
        if record.renew(options, now) {
            self.has_news = true;
            return Admission::Canary;
        }
        match record.verdict(now) {
            Verdict::Clear => Admission::Serve,
            Verdict::Suspect => Admission::Canary,
            Verdict::Quarantined(left) => Admission::Refuse(left),
        }
    }

    /// Notes a server that ended while it had the request, with no reply of another to it.
    pub fn record_end(&mut self, options: &Options, fingerprint: Fingerprint, end: End, now: Time) {
        self.make_room(options, fingerprint, now);
        let canary_ends = self.canary_ends(options, fingerprint, now);
        let record = self.records.entry(fingerprint).or_default();
        self.has_news |= record.ended(options, canary_ends, end, now);
    }

    /// Servers that have to end under canaries of a request.
    fn canary_ends(&self, options: &Options, fingerprint: Fingerprint, now: Time) -> usize {
        match self.proven.has(fingerprint, now, options.memory) {
            true => options.proven_canary_ends,
            false => options.canary_ends,
        }
    }

    /// Notes that a server ran the request and replied.
    pub fn record_reply(&mut self, options: &Options, fingerprint: Fingerprint, now: Time) {
        self.proven.note(fingerprint, now, options.records);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.clear(now);
            self.has_news |= record.is_news();
        }
    }

    /// Lets a request be sent again, by an operator's word; says whether it was known.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let lifted = record.clear(now);
        self.has_news |= record.is_news();
        lifted
    }

    /// Takes in what another host holds; says how much of it was new.
    pub fn merge(&mut self, options: &Options, accounts: &[SharedRecord], now: Time) -> usize {
        let mut new = 0;
        for account in accounts {
            self.make_room(options, account.fingerprint, now);
            let canary_ends = self.canary_ends(options, account.fingerprint, now);
            let record = self.records.entry(account.fingerprint).or_default();
            new += usize::from(record.hear(options, canary_ends, account, now));
        }
        self.has_news |= new > 0;
        new
    }

    /// Whether others should be told something.
    pub fn has_updates(&self) -> bool {
        self.has_news
    }

    /// What has changed since this was last asked for.
    pub fn take_updates(&mut self, now: Time) -> Vec<SharedRecord> {
        self.has_news = false;
        let records = self.records.iter_mut();
        let changed = records.filter_map(|(fingerprint, record)| {
            let is_news = record.take_news();
            is_news.then(|| record.account(*fingerprint, now))
        });
        changed.collect()
    }

    /// What is held of `most` requests; the latest first.
    pub fn shared_records(&self, most: usize, now: Time) -> Vec<SharedRecord> {
        let records = self.records.iter();
        let mut accounts: Vec<SharedRecord> = records
            .map(|(fingerprint, record)| record.account(*fingerprint, now))
            .collect();
        accounts.sort_by_key(|account| account.age);
        accounts.truncate(most);
        accounts
    }

    /// What is held of one request.
    pub fn shared_record(&self, fingerprint: Fingerprint, now: Time) -> Option<SharedRecord> {
        let record = self.records.get(&fingerprint)?;
        Some(record.account(fingerprint, now))
    }

    /// Forgets what led to nothing.
    pub fn expire(&mut self, options: &Options, now: Time) {
        self.records
            .retain(|_, record| !record.is_over(options, now));
    }

    /// Makes room for one more request: first goes what is clear, then what is suspect, then
    /// the oldest quarantine. Requests that are made up on purpose push each other out.
    fn make_room(&mut self, options: &Options, fingerprint: Fingerprint, now: Time) {
        let is_known = self.records.contains_key(&fingerprint);
        if is_known || self.records.len() < options.records {
            return;
        }
        self.expire(options, now);
        let records = self.records.iter();
        let least = records.min_by_key(|(_, record)| record.worth());
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if self.records.len() >= options.records
            && let Some(least) = least
        {
            self.records.remove(&least);
        }
    }
}
