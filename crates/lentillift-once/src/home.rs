//! The ids that one home issued, with the state of each request.

use crate::key::Key;
use crate::quota::Quota;
use crate::quota::Share;
use crate::record::Digest;
use crate::record::HandoverRecord;
use crate::record::Record;
use crate::record::State;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Limits of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long the record of an id is kept, from the time of issue.
    pub lifetime: Duration,
    /// How long an unused id stays valid, from the time of issue.
    pub unused_lifetime: Duration,
    /// Maximum number of records; each takes about 250 bytes, its reply not counted.
    pub max_ids: usize,
    /// Maximum bytes of replies that are kept; the oldest replies are dropped first.
    pub max_reply_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            unused_lifetime: Duration::from_secs(60),
            max_ids: 20_000,
            max_reply_bytes: 4 * 1024 * 1024,
        }
    }
}

/// How a request is to be handled, by the record of its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// It was not sent yet, and may be.
    Send,
    /// It is in flight; wait for its result.
    Wait,
    /// It ran; holds the reply if that is still kept.
    Done(Option<Arc<[u8]>>),
    /// It may or may not have run.
    Unknown,
    /// The id's lifetime is over and its record dropped, so it may or may not have run.
    Expired,
    /// It never ran and never will: the id was closed, not used in time, or never issued.
    Closed,
    /// The id belongs to another body, service or caller.
    Mismatch,
}

/// The ids that one home issued, with the state of each request.
#[derive(Debug)]
pub struct IdTable {
    host: id::Host,
    incarnation: id::Incarnation,
    options: Options,
    /// Whether this process issued the ids itself.
    // INVARIANT: If true, an id within its lifetime that has no record was never sent, or certainly
    // reached no backend server. Without a record it is never sent again.
    issued_here: bool,
    records: BTreeMap<u64, Record>,
    /// Numbers with the time at which each is dropped if still unused, in order of time.
    unused_queue: VecDeque<(Time, u64)>,
    /// Numbers of the records with a reply, oldest first.
    reply_order: VecDeque<u64>,
    reply_bytes: usize,
    quota: Quota,
    /// The highest number that was issued or taken over.
    last_number: u64,
}

impl IdTable {
    /// Creates an empty table for the ids that this process issues.
    pub fn new(host: id::Host, incarnation: id::Incarnation, options: &Options) -> Self {
        Self {
            host,
            incarnation,
            options: *options,
            issued_here: true,
            records: BTreeMap::new(),
            unused_queue: VecDeque::new(),
            reply_order: VecDeque::new(),
            reply_bytes: 0,
            quota: Quota::new(options.max_ids),
            last_number: 0,
        }
    }

    /// Creates an empty table for ids that another process issued and handed over.
    pub fn adopted(host: id::Host, incarnation: id::Incarnation, options: &Options) -> Self {
        Self {
            issued_here: false,
            ..Self::new(host, incarnation, options)
        }
    }

    /// Issues an id; none if the caller exceeds its quota.
    pub fn issue(
        &mut self,
        now: Time,
        caller: &id::Caller,
        share: Share,
        secret: u64,
    ) -> Option<Key> {
        self.drop_expired(now);
        if !self.quota.try_acquire(caller, share) {
            return None;
        }
        self.last_number += 1;
        let issued = now.as_millis() as u64;
        let record = Record {
            issued,
            secret,
            caller: caller.clone(),
            expires_at: now + self.options.lifetime,
            state: State::Unused,
        };
        self.records.insert(self.last_number, record);
        self.unused_queue
            .push_back((now + self.options.unused_lifetime, self.last_number));
        Some(Key {
            host: self.host.clone(),
            incarnation: self.incarnation,
            issued,
            number: self.last_number,
            secret,
        })
    }

    /// Whether `key` names this home and incarnation as its issuer.
    pub fn is_issuer_of(&self, key: &Key) -> bool {
        self.belongs_to(&key.host, key.incarnation)
    }

    /// Whether the ids in this table are those of `incarnation` of `host`.
    pub fn belongs_to(&self, host: &str, incarnation: id::Incarnation) -> bool {
        &*self.host == host && self.incarnation == incarnation
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Looks up how a request under `key` is to be handled.
    ///
    /// Changes no record but drops expired ones.
    pub fn lookup(&mut self, now: Time, key: &Key, caller: &str, digest: Digest) -> Lookup {
        self.drop_expired(now);
        let Some(record) = self.records.get(&key.number) else {
            return self.lookup_without_record(now, key);
        };
        if (record.issued, record.secret) != (key.issued, key.secret) {
            return Lookup::Closed;
        }
        if &*record.caller != caller {
            return Lookup::Mismatch;
        }
        match &record.state {
            State::Unused => Lookup::Send,
            State::Sent(sent) | State::Done(sent, _) | State::Unknown(sent) if *sent != digest => {
                Lookup::Mismatch
            }
            State::Sent(_) => Lookup::Wait,
            State::Done(_, reply) => Lookup::Done(reply.clone()),
            State::Unknown(_) => Lookup::Unknown,
        }
    }

    /// How a request is to be handled whose id has no record.
    fn lookup_without_record(&self, now: Time, key: &Key) -> Lookup {
        let issued = Duration::from_millis(key.issued);
        if !self.issued_here {
            return Lookup::Expired;
        }
        // An id issued in the future is forged. No process issued it, so none may send it.
        if issued > now || key.number > self.last_number {
            return Lookup::Closed;
        }
        match issued + self.options.lifetime > now {
            true => Lookup::Closed,
            false => Lookup::Expired,
        }
    }

    /// Records that the request is being sent.
    pub fn mark_sent(&mut self, number: u64, digest: Digest) {
        self.update_state(number, |_| State::Sent(digest));
    }

    /// Records that a backend server ran the request.
    pub fn mark_done(&mut self, number: u64, reply: &Arc<[u8]>) {
        let before = self.records.get(&number).map(|record| &record.state);
        let Some(State::Sent(digest) | State::Unknown(digest)) = before else {
            return;
        };
        let done = State::Done(*digest, Some(reply.clone()));
        self.update_state(number, |_| done);
        self.reply_order.push_back(number);
        self.reply_bytes += reply.len();
        self.drop_oldest_replies();
    }

    /// Records that no backend server ran the request; its id may be used again.
    pub fn mark_not_run(&mut self, number: u64) {
        self.update_state(number, |state| match state {
            State::Sent(_) | State::Unknown(_) => State::Unused,
            other => other,
        });
    }

    /// Records that the request may or may not have run.
    pub fn mark_unknown(&mut self, number: u64) {
        self.update_state(number, |state| match state {
            State::Sent(digest) => State::Unknown(digest),
            other => other,
        });
    }

    /// Closes an id whose request certainly did not run, before its caller is answered "not run".
    ///
    /// Otherwise a copy of the request that is delayed on its way through another entry would run
    /// after that answer, and a caller that filed its notice again would see two.
    pub fn close(&mut self, number: u64) {
        if let Some(record) = self.records.get(&number)
            && record.state == State::Unused
        {
            self.remove(number);
        }
    }

    /// Takes all records out for a handover; `self` must not be used to send afterwards.
    pub fn take_records(&mut self, now: Time) -> Vec<HandoverRecord> {
        self.drop_expired(now);
        let records = std::mem::take(&mut self.records).into_iter();
        records
            .map(|(number, record)| HandoverRecord {
                number,
                issued: record.issued,
                secret: record.secret,
                caller: record.caller,
                left: record.expires_at - now,
                state: match record.state {
                    State::Sent(digest) => State::Unknown(digest),
                    other => other,
                },
            })
            .collect()
    }

    /// Takes over a record; one that was taken over before is ignored.
    pub fn take_over(&mut self, now: Time, handed_over: HandoverRecord) {
        if handed_over.number <= self.last_number || self.records.len() >= self.options.max_ids {
            return;
        }
        self.last_number = handed_over.number;
        self.quota.acquire_unchecked(&handed_over.caller);
        if let State::Done(_, Some(reply)) = &handed_over.state {
            self.reply_order.push_back(handed_over.number);
            self.reply_bytes += reply.len();
        }
        let record = Record {
            issued: handed_over.issued,
            secret: handed_over.secret,
            caller: handed_over.caller,
            expires_at: now + handed_over.left.min(self.options.lifetime),
            state: handed_over.state,
        };
        self.records.insert(handed_over.number, record);
        self.drop_oldest_replies();
    }

    fn update_state(&mut self, number: u64, update: impl FnOnce(State) -> State) {
        if let Some(record) = self.records.get_mut(&number) {
            let before = std::mem::replace(&mut record.state, State::Unused);
            record.state = update(before);
        }
    }

    /// Drops the oldest replies until the rest fits the limit.
    fn drop_oldest_replies(&mut self) {
        while self.reply_bytes > self.options.max_reply_bytes
            && let Some(number) = self.reply_order.pop_front()
        {
            if let Some(record) = self.records.get_mut(&number)
                && let State::Done(_, reply) = &mut record.state
                && let Some(dropped) = reply.take()
            {
                self.reply_bytes -= dropped.len();
            }
        }
    }

    fn remove(&mut self, number: u64) {
        let Some(record) = self.records.remove(&number) else {
            return;
        };
        self.quota.release(&record.caller);
        if let State::Done(_, Some(reply)) = record.state {
            self.reply_bytes -= reply.len();
        }
    }

    /// Drops unused ids that are past their limit and records past their lifetime.
    ///
    /// Numbers increase with time, so the oldest records come first.
    pub fn drop_expired(&mut self, now: Time) {
        while let Some((drop_at, number)) = self.unused_queue.front().copied()
            && drop_at <= now
        {
            self.unused_queue.pop_front();
            self.close(number);
        }
        while let Some((number, record)) = self.records.first_key_value()
            && record.expires_at <= now
        {
            self.remove(*number);
        }
        while let Some(number) = self.reply_order.front()
            && !self.records.contains_key(number)
        {
            self.reply_order.pop_front();
        }
    }
}
