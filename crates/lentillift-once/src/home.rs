//! The ids of one home and where they stand.

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

/// Figures of a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long the result of an id is remembered after the id was issued.
    pub lifetime: Duration,
    /// How long an id that was not used is kept.
    pub unused: Duration,
    /// Ids that are remembered at most; about 250 bytes each, its reply not counted.
    pub most: usize,
    /// Bytes of replies that are remembered at most; the oldest are dropped first.
    pub replies: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            unused: Duration::from_secs(60),
            most: 20_000,
            replies: 4 * 1024 * 1024,
        }
    }
}

/// What an id says about a request that carries it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// It may be sent.
    Send,
    /// It is under way; wait for its result.
    Wait,
    /// It ran; this was the reply, if that is still kept.
    Done(Option<Arc<[u8]>>),
    /// It can't be known whether it ran.
    Unknown,
    /// The id's lifetime is over, so that it can't be known whether it ran.
    Expired,
    /// It never ran and never will: the id was closed, never used in time, or never issued.
    Closed,
    /// The id belongs to another body, service or caller.
    Mismatch,
}

/// The ids of one home and where they stand.
#[derive(Debug)]
pub struct Home {
    host: id::Host,
    incarnation: id::Incarnation,
    options: Options,
    /// Whether this process issued the ids itself.
    // INVARIANT: If so, an id whose lifetime is not over and that has no record was never sent, or
    // certainly reached no backend server; having no record, it is never sent again.
    own: bool,
    records: BTreeMap<u64, Record>,
    /// Numbers in the order in which they are dropped if unused.
    unused: VecDeque<(Time, u64)>,
    /// Numbers whose reply is kept, oldest first.
    replies: VecDeque<u64>,
    reply_bytes: usize,
    quota: Quota,
    /// The last number that was issued or taken over.
    last: u64,
}

impl Home {
    /// Starts without ids, for those that this process will issue.
    pub fn new(host: id::Host, incarnation: id::Incarnation, options: &Options) -> Self {
        Self {
            host,
            incarnation,
            options: *options,
            own: true,
            records: BTreeMap::new(),
            unused: VecDeque::new(),
            replies: VecDeque::new(),
            reply_bytes: 0,
            quota: Quota::new(options.most),
            last: 0,
        }
    }

    /// Starts without ids, for those that another process issued and has handed over.
    pub fn adopted(host: id::Host, incarnation: id::Incarnation, options: &Options) -> Self {
        Self {
            own: false,
            ..Self::new(host, incarnation, options)
        }
    }

    /// Issues an id, unless its caller has too many.
    pub fn issue(
        &mut self,
        now: Time,
        caller: &id::Caller,
        share: Share,
        secret: u64,
    ) -> Option<Key> {
        self.forget(now);
        if !self.quota.take(caller, share) {
            return None;
        }
        self.last += 1;
        let issued = now.as_millis() as u64;
        let record = Record {
            issued,
            secret,
            caller: caller.clone(),
            expires: now + self.options.lifetime,
            state: State::Unused,
        };
        self.records.insert(self.last, record);
        self.unused
            .push_back((now + self.options.unused, self.last));
        Some(Key {
            host: self.host.clone(),
            incarnation: self.incarnation,
            issued,
            number: self.last,
            secret,
        })
    }

    /// Whether `key` was issued by the process whose ids these are.
    pub fn holds(&self, key: &Key) -> bool {
        self.is(&key.host, key.incarnation)
    }

    /// Whether these are the ids of `incarnation` of `host`.
    pub fn is(&self, host: &str, incarnation: id::Incarnation) -> bool {
        &*self.host == host && self.incarnation == incarnation
    }

    /// How many ids are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Says what `key` allows; changes nothing but to drop what is out of date.
    pub fn look(&mut self, now: Time, key: &Key, caller: &str, digest: Digest) -> Next {
        self.forget(now);
        let Some(record) = self.records.get(&key.number) else {
            return self.without_record(now, key);
        };
        if (record.issued, record.secret) != (key.issued, key.secret) {
            return Next::Closed;
        }
        if &*record.caller != caller {
            return Next::Mismatch;
        }
        match &record.state {
            State::Unused => Next::Send,
            State::Sent(sent) | State::Done(sent, _) | State::Unknown(sent) if *sent != digest => {
                Next::Mismatch
            }
            State::Sent(_) => Next::Wait,
            State::Done(_, reply) => Next::Done(reply.clone()),
            State::Unknown(_) => Next::Unknown,
        }
    }

    fn without_record(&self, now: Time, key: &Key) -> Next {
        let issued = Duration::from_millis(key.issued);
        if !self.own {
            return Next::Expired;
        }
        // An id from the future was forged: it is none of ours, and nobody else may send it either.
        if issued > now || key.number > self.last {
            return Next::Closed;
        }
        match issued + self.options.lifetime > now {
            true => Next::Closed,
            false => Next::Expired,
        }
    }

    /// Notes that a request is being sent.
    pub fn start(&mut self, number: u64, digest: Digest) {
        self.change(number, |_| State::Sent(digest));
    }

    /// Notes that a backend server ran the request.
    pub fn done(&mut self, number: u64, reply: &Arc<[u8]>) {
        let before = self.records.get(&number).map(|record| &record.state);
        let Some(State::Sent(digest) | State::Unknown(digest)) = before else {
            return;
        };
        let done = State::Done(*digest, Some(reply.clone()));
        self.change(number, |_| done);
        self.replies.push_back(number);
        self.reply_bytes += reply.len();
        self.drop_replies();
    }

    /// Notes that no backend server ran the request; its id may be used again.
    pub fn release(&mut self, number: u64) {
        self.change(number, |state| match state {
            State::Sent(_) | State::Unknown(_) => State::Unused,
            other => other,
        });
    }

    /// Notes that it can't be known whether the request ran.
    pub fn unknown(&mut self, number: u64) {
        self.change(number, |state| match state {
            State::Sent(digest) => State::Unknown(digest),
            other => other,
        });
    }

    /// Closes an id that certainly never ran, because its caller is being told so.
    ///
    /// Without this a copy of the request that is delayed on its way through another entry would
    /// run after its caller was told "not run", and the caller that filed again would see two.
    pub fn close(&mut self, number: u64) {
        if let Some(record) = self.records.get(&number)
            && record.state == State::Unused
        {
            self.remove(number);
        }
    }

    /// Gives up all ids; the caller of this must never use `self` again to send.
    pub fn give_up(&mut self, now: Time) -> Vec<HandoverRecord> {
        self.forget(now);
        let records = std::mem::take(&mut self.records).into_iter();
        records
            .map(|(number, record)| HandoverRecord {
                number,
                issued: record.issued,
                secret: record.secret,
                caller: record.caller,
                left: record.expires - now,
                state: match record.state {
                    State::Sent(digest) => State::Unknown(digest),
                    other => other,
                },
            })
            .collect()
    }

    /// Takes over an id; one that was taken over before is not taken again.
    pub fn adopt(&mut self, now: Time, carried: HandoverRecord) {
        if carried.number <= self.last || self.records.len() >= self.options.most {
            return;
        }
        self.last = carried.number;
        self.quota.force(&carried.caller);
        if let State::Done(_, Some(reply)) = &carried.state {
            self.replies.push_back(carried.number);
            self.reply_bytes += reply.len();
        }
        let record = Record {
            issued: carried.issued,
            secret: carried.secret,
            caller: carried.caller,
            expires: now + carried.left.min(self.options.lifetime),
            state: carried.state,
        };
        self.records.insert(carried.number, record);
        self.drop_replies();
    }

    fn change(&mut self, number: u64, change: impl FnOnce(State) -> State) {
        if let Some(record) = self.records.get_mut(&number) {
            let before = std::mem::replace(&mut record.state, State::Unused);
            record.state = change(before);
        }
    }

    fn drop_replies(&mut self) {
        while self.reply_bytes > self.options.replies
            && let Some(number) = self.replies.pop_front()
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
        self.quota.give(&record.caller);
        if let State::Done(_, Some(reply)) = record.state {
            self.reply_bytes -= reply.len();
        }
    }

    /// Drops the ids whose lifetime is over. Numbers rise with time, so the oldest come first.
    pub fn forget(&mut self, now: Time) {
        while let Some((due, number)) = self.unused.front().copied()
            && due <= now
        {
            self.unused.pop_front();
            self.close(number);
        }
        while let Some((number, record)) = self.records.first_key_value()
            && record.expires <= now
        {
            self.remove(*number);
        }
        while let Some(number) = self.replies.front()
            && !self.records.contains_key(number)
        {
            self.replies.pop_front();
        }
    }
}
