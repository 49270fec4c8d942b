//! Shutdown of a home: it stops sending, then hands the records of its ids over.
//!
//! The records of one home go to one host. This process gives them up before it sends the batches,
//! so that two processes never have the right to send the same id, even if batches are lost or
//! delayed.

use crate::core::Once;
use crate::core::Timer;
use crate::event::Effect;
use crate::forward;
use crate::home::IdTable;
use crate::key::Key;
use crate::record::HandoverBatch;
use crate::record::HandoverRecord;
use crate::record::State;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 500;

/// Maximum bytes of replies in one batch, well below the largest frame.
const MAX_BATCH_REPLY_BYTES: usize = 256 * 1024;

/// Timeout for acknowledgements of batches; more than ten round trips within a region.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of other homes whose records are kept here.
const MAX_ADOPTED_HOMES: usize = 64;

/// Progress of the shutdown of a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// Nothing new is sent; requests in flight may finish until this time.
    Draining(Time),
    /// All ids are given up.
    // INVARIANT: Followed by `Left` only: nothing is sent and no id is issued any more.
    GivenUp {
        /// Numbers of the batches that are not acknowledged yet.
        unacknowledged: BTreeSet<u64>,
        /// When the wait for the acknowledgements ends.
        until: Time,
    },
    /// The process may end.
    Left,
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Starts the shutdown; requests in flight may take up to `within`.
    pub(crate) fn leave(&mut self, now: Time, within: Duration) -> Vec<Effect> {
        if self.leaving.is_some() {
            return Vec::new();
        }
        let deadline = now + within;
        self.leaving = Some(Leaving::Draining(deadline));
        self.timers.insert((deadline, Timer::Leave));
        self.continue_leaving(now)
    }

    /// Moves the shutdown to its next stage if that is due.
    pub(crate) fn continue_leaving(&mut self, now: Time) -> Vec<Effect> {
        match &self.leaving {
            Some(Leaving::Draining(deadline)) if self.in_flight.is_empty() || *deadline <= now => {
                self.give_up(now)
            }
            Some(Leaving::GivenUp {
                unacknowledged,
                until,
            }) if unacknowledged.is_empty() || *until <= now => {
                self.leaving = Some(Leaving::Left);
                vec![Effect::Left]
            }
            _ => Vec::new(),
        }
    }

    /// Ends what is still in flight as "unknown" and hands over the records of all ids.
    fn give_up(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut keys: Vec<Key> = self.in_flight.keys().cloned().collect();
        keys.sort_unstable();
        for key in keys {
            effects.extend(self.mark_unknown(&key));
        }
        let mut batches = Vec::new();
        let mut adopted: Vec<_> = self.adopted.drain().collect();
        adopted.sort_by(|(a, _), (b, _)| a.cmp(b));
        for ((host, incarnation), mut ids) in adopted {
            batches.extend(split_into_batches(host, incarnation, ids.take_records(now)));
        }
        let own_records = self.own_ids.take_records(now);
        batches.extend(split_into_batches(
            self.host.clone(),
            self.incarnation,
            own_records,
        ));
        let mut unacknowledged = BTreeSet::new();
        for mut batch in batches {
            let Some(to) = forward::successor(&self.view, &batch.host, &self.host).cloned() else {
                continue;
            };
            self.next_batch += 1;
            batch.number = self.next_batch;
            unacknowledged.insert(batch.number);
            effects.push(Effect::Handover { to, parcel: batch });
        }
        let until = now + HANDOVER_TIMEOUT;
        self.leaving = Some(Leaving::GivenUp {
            unacknowledged,
            until,
        });
        self.timers.insert((until, Timer::Leave));
        effects.extend(self.continue_leaving(now));
        effects
    }

    /// Handles a batch that was acknowledged or returned undelivered.
    pub(crate) fn batch_closed(&mut self, now: Time, number: u64) -> Vec<Effect> {
        if let Some(Leaving::GivenUp { unacknowledged, .. }) = &mut self.leaving {
            unacknowledged.remove(&number);
        }
        self.continue_leaving(now)
    }

    /// Takes over the records of ids that another process has given up.
    pub(crate) fn adopt(&mut self, now: Time, from: id::Host, batch: HandoverBatch) -> Vec<Effect> {
        let at = (batch.host.clone(), batch.incarnation);
        let full = !self.adopted.contains_key(&at) && self.adopted.len() >= MAX_ADOPTED_HOMES;
        if self.leaving.is_some() || full || self.own_ids.belongs_to(&batch.host, batch.incarnation)
        {
            // Without an acknowledgement the sender ends after its timeout. The outcomes of its ids
            // are then reported as "unknown" at worst.
            return Vec::new();
        }
        let options = &self.options;
        let ids = self
            .adopted
            .entry(at)
            .or_insert_with(|| IdTable::adopted(batch.host, batch.incarnation, options));
        for record in batch.records {
            ids.take_over(now, record);
        }
        vec![Effect::Taken {
            to: from,
            number: batch.number,
        }]
    }
}

/// Splits records into batches that fit into frames.
fn split_into_batches(
    host: id::Host,
    incarnation: id::Incarnation,
    records: Vec<HandoverRecord>,
) -> Vec<HandoverBatch> {
    let mut batches: Vec<HandoverBatch> = Vec::new();
    let mut bytes = 0;
    for record in records {
        let reply = match &record.state {
            State::Done(_, Some(reply)) => reply.len(),
            _ => 0,
        };
        bytes += reply;
        match batches.last_mut() {
            Some(batch)
                if batch.records.len() < MAX_BATCH_RECORDS && bytes <= MAX_BATCH_REPLY_BYTES =>
            {
                batch.records.push(record);
            }
            _ => {
                bytes = reply;
                batches.push(HandoverBatch {
                    number: 0,
                    host: host.clone(),
                    incarnation,
                    records: vec![record],
                });
            }
        }
    }
    batches
}
