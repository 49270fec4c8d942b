//! The end of a home: it stops sending, then hands its ids over.
//!
//! The ids go to one host and this process gives them up before the parcels leave, so that at no
//! time two processes may send the same id, whatever becomes of the parcels on their way.

use crate::away;
use crate::core::Due;
use crate::core::Once;
use crate::event::Effect;
use crate::home::Home;
use crate::key::Key;
use crate::record::HandoverBatch;
use crate::record::HandoverRecord;
use crate::record::State;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Records that go into one parcel at most.
const MOST_RECORDS: usize = 500;

/// Bytes of replies that go into one parcel at most, well below the largest frame.
const MOST_BYTES: usize = 256 * 1024;

/// Longest wait for the host that takes over; ten round trips within a region and more.
const PATIENCE: Duration = Duration::from_millis(500);

/// Homes of other processes whose ids are kept at most.
const MOST_HOMES: usize = 64;

/// How far the end of a home has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// Nothing new is sent; requests under way may finish until then.
    Draining(Time),
    /// All ids are given up.
    // INVARIANT: Never left again: nothing is sent and no id is issued.
    GivenUp {
        /// The parcels that nobody is known to have taken over.
        open: BTreeSet<u64>,
        /// When the wait for them ends.
        until: Time,
    },
    /// The process may end.
    Left,
}

impl<R> Once<R>
where
    R: Rng,
{
    pub(crate) fn leave(&mut self, now: Time, within: Duration) -> Vec<Effect> {
        if self.leaving.is_some() {
            return Vec::new();
        }
        let by = now + within;
        self.leaving = Some(Leaving::Draining(by));
        self.due.insert((by, Due::Leave));
        self.leave_on(now)
    }

    /// Goes on with the end as far as possible.
    pub(crate) fn leave_on(&mut self, now: Time) -> Vec<Effect> {
        match &self.leaving {
            Some(Leaving::Draining(by)) if self.flights.is_empty() || *by <= now => {
                self.give_up(now)
            }
            Some(Leaving::GivenUp { open, until }) if open.is_empty() || *until <= now => {
                self.leaving = Some(Leaving::Left);
                vec![Effect::Left]
            }
            _ => Vec::new(),
        }
    }

    fn give_up(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut flying: Vec<Key> = self.flights.keys().cloned().collect();
        flying.sort_unstable();
        for key in flying {
            effects.extend(self.lose(&key));
        }
        let mut parcels = Vec::new();
        let mut adopted: Vec<_> = self.adopted.drain().collect();
        adopted.sort_by(|(a, _), (b, _)| a.cmp(b));
        for ((host, incarnation), mut home) in adopted {
            parcels.extend(split(host, incarnation, home.give_up(now)));
        }
        let own = self.home.give_up(now);
        parcels.extend(split(self.host.clone(), self.incarnation, own));
        let mut open = BTreeSet::new();
        for mut parcel in parcels {
            let Some(to) = away::successor(&self.view, &parcel.host, &self.host).cloned() else {
                continue;
            };
            self.next_parcel += 1;
            parcel.number = self.next_parcel;
            open.insert(parcel.number);
            effects.push(Effect::Handover { to, parcel });
        }
        let until = now + PATIENCE;
        self.leaving = Some(Leaving::GivenUp { open, until });
        self.due.insert((until, Due::Leave));
        effects.extend(self.leave_on(now));
        effects
    }

    /// Takes note that a parcel has arrived, or can't.
    pub(crate) fn closed(&mut self, now: Time, number: u64) -> Vec<Effect> {
        if let Some(Leaving::GivenUp { open, .. }) = &mut self.leaving {
            open.remove(&number);
        }
        self.leave_on(now)
    }

    /// Takes over ids that another process has given up.
    pub(crate) fn adopt(
        &mut self,
        now: Time,
        from: id::Host,
        parcel: HandoverBatch,
    ) -> Vec<Effect> {
        let at = (parcel.host.clone(), parcel.incarnation);
        let full = !self.adopted.contains_key(&at) && self.adopted.len() >= MOST_HOMES;
        if self.leaving.is_some() || full || self.home.is(&parcel.host, parcel.incarnation) {
            // The sender goes without an answer after a while; at worst its ids are "unknown".
            return Vec::new();
        }
        let options = &self.options;
        let home = self
            .adopted
            .entry(at)
            .or_insert_with(|| Home::adopted(parcel.host, parcel.incarnation, options));
        for carried in parcel.records {
            home.adopt(now, carried);
        }
        vec![Effect::Taken {
            to: from,
            number: parcel.number,
        }]
    }
}

/// Makes parcels that fit into frames.
fn split(
    host: id::Host,
    incarnation: id::Incarnation,
    records: Vec<HandoverRecord>,
) -> Vec<HandoverBatch> {
    let mut parcels: Vec<HandoverBatch> = Vec::new();
    let mut bytes = 0;
    for carried in records {
        let reply = match &carried.state {
            State::Done(_, Some(reply)) => reply.len(),
            _ => 0,
        };
        bytes += reply;
        match parcels.last_mut() {
            Some(parcel) if parcel.records.len() < MOST_RECORDS && bytes <= MOST_BYTES => {
                parcel.records.push(carried);
            }
            _ => {
                bytes = reply;
                parcels.push(HandoverBatch {
                    number: 0,
                    host: host.clone(),
                    incarnation,
                    records: vec![carried],
                });
            }
        }
    }
    parcels
}
