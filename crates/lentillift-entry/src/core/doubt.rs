//! Queries under which backend servers ended.
//!
//! What goes wrong without it: the end of each server is made up for at the next replica, one query ends both
//! replicas of every shard, and does so again at its caller's next attempt. See
//! [`lentillift_fleet::quarantine`].

use super::Effect;
use super::Entry;
use crate::flights::Flight;
use crate::query::Query;
use crate::query::State;
use lentillift_core::coverage::Reason;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine;
use lentillift_fleet::quarantine::Admission;
use lentillift_fleet::quarantine::End;
use lentillift_fleet::quarantine::Next;
use lentillift_fleet::quarantine::Options;
use rand::Rng;

impl<R> Entry<R>
where
    R: Rng,
{
    /// How a query that has just arrived is treated.
    pub(super) fn treat(&mut self, now: Time, query: &Query) -> Admission {
        if !self.policy.quarantine.on {
            return Admission::Serve;
        }
        let options = Options::default();
        self.quarantine.admit(&options, query.fingerprint, now)
    }

    /// Asks for one shard; all others wait for what comes of it.
    pub(super) fn start_with_canary(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        let shards = query.states.len();
        query.held = (0..shards).collect();
        for state in &mut query.states {
            *state = State::Pending { tried: Vec::new() };
        }
        // A quarantine that is over is renewed while its canary finds out.
        query.trial = true;
        self.next_canary(now, run)
    }

    /// How a shard of a run may be asked for again.
    pub(super) fn next_send(&self, now: Time, run: id::Request) -> Next {
        let Some(query) = self.queries.get(&run) else {
            return Next::GiveUp;
        };
        if !self.policy.quarantine.on || query.ran() {
            return Next::Send;
        }
        let verdict = self.quarantine.verdict(query.fingerprint, now);
        verdict.next(query.trial, self.flights.has_run(run))
    }

    /// Notes a server that ended while it had a part of a query, unless another one has replied to it.
    pub(super) fn note_end(&mut self, now: Time, id: id::Sub, flight: &Flight) {
        let Some(query) = self.queries.get_mut(&flight.run) else {
            return;
        };
        let canary = query.canary == Some(flight.position);
        query.trial &= !canary;
        if !self.policy.quarantine.on || query.ran() {
            return;
        }
        let process = quarantine::process_id(&flight.backend, id);
        let end = End { process, canary };
        self.quarantine
            .record_end(&Options::default(), query.fingerprint, end, now);
    }

    /// Notes that a server replied to a query, and asks for the shards that waited for that.
    pub(super) fn clear(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        let held = std::mem::take(&mut query.held);
        query.canary = None;
        self.quarantine
            .record_reply(&Options::default(), query.fingerprint, now);
        let mut effects = Vec::new();
        for position in held {
            effects.extend(self.ask_held(now, run, position));
        }
        effects
    }

    /// Asks for a shard that waited, or gives it up.
    fn ask_held(&mut self, now: Time, run: id::Request, position: usize) -> Option<Effect> {
        let query = self.queries.get(&run)?;
        let State::Pending { tried } = &query.states[position] else {
            return None;
        };
        let tried = tried.clone();
        let may = (tried.len() as u32) < self.policy.retry.tries && now < query.deadline;
        let sent = may.then(|| self.try_replica(now, run, position, tried, true));
        if let Some(sent) = sent.flatten() {
            return Some(sent);
        }
        if let Some(query) = self.queries.get_mut(&run) {
            query.give_up(position, Reason::Failed);
        }
        None
    }

    /// Asks for the first shard that waits and has a replica left; gives up those before it.
    pub(super) fn next_canary(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        while let Some(query) = self.queries.get_mut(&run)
            && !query.held.is_empty()
        {
            let start = u64::from(query.fingerprint.0[0]) as usize % query.held.len();
            let position = query.held.remove(start);
            query.canary = Some(position);
            if let Some(sent) = self.ask_held(now, run, position) {
                return vec![sent];
            }
        }
        Vec::new()
    }

    /// Gives up all shards that wait.
    pub(super) fn give_up_held(&mut self, run: id::Request) {
        if let Some(query) = self.queries.get_mut(&run) {
            for position in std::mem::take(&mut query.held) {
                query.give_up(position, Reason::Failed);
            }
        }
    }
}
