//! Taking in results, and answering callers.

use super::Effect;
use super::Entry;
use super::key;
use crate::flights::Flight;
use crate::query::Query;
use crate::query::State;
use lentillift_core::coverage::Reason;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::Next;
use lentillift_policy::admission;
use lentillift_policy::retry;
use rand::Rng;

impl<R> Entry<R>
where
    R: Rng,
{
    pub(super) fn reply(
        &mut self,
        now: Time,
        id: id::Sub,
        result: sub::Result,
        load: Option<Load>,
    ) -> Vec<Effect> {
        // A reply that is late or doubled finds no flight and counts for nothing.
        let Some(flight) = self.flights.remove(id) else {
            return Vec::new();
        };
        if let Some(load) = load {
            self.loads.note(now, &flight.backend, load);
        }
        let mut effects = match result {
            sub::Result::Hits(hits) => self.answered(now, &flight, hits),
            sub::Result::Reply(_) => {
                self.give_up(&flight, Reason::Failed);
                Vec::new()
            }
            sub::Result::Failed { failure, outcome } => {
                if failure == Failure::Ended {
                    self.note_end(now, id, &flight);
                }
                self.failed(now, &flight, failure, outcome)
            }
        };
        effects.extend(self.finish_if_settled(now, flight.run));
        effects
    }

    /// Takes in a shard's hits, and cancels whoever else was asked for them.
    fn answered(&mut self, now: Time, flight: &Flight, hits: Vec<Hit>) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&flight.run) else {
            return Vec::new();
        };
        query.states[flight.position] = State::Answered(hits);
        let pace = self.paces.entry(query.ask.service.clone()).or_default();
        pace.retry.succeeded();
        let rivals = self.flights.remove_shard(flight.run, flight.position);
        // A hedge's own time would tell nothing of the replica that was too slow.
        let first = rivals.iter().map(|(_, rival)| rival.since).min();
        let since = first.unwrap_or(flight.since).min(flight.since);
        pace.hedge
            .replied(&self.policy.hedge, now.saturating_sub(since));
        if flight.hedge {
            self.counts.add("lentillift_hedges_won_total");
        }
        let mut effects = cancel(rivals);
        effects.extend(self.clear(now, flight.run));
        effects
    }

    /// Takes in a failure: another replica is asked, or has been, or the shard is given up.
    fn failed(
        &mut self,
        now: Time,
        flight: &Flight,
        failure: Failure,
        outcome: Outcome,
    ) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&flight.run) else {
            return Vec::new();
        };
        query.reached |= outcome != Outcome::NotRun;
        if failure == Failure::SnapshotGone {
            let snapshot = query.map.snapshot;
            self.gone.note(now, flight.backend.clone(), snapshot);
        }
        let State::Pending { tried } = &mut query.states[flight.position] else {
            return Vec::new();
        };
        if flight.hedge && outcome == Outcome::NotRun {
            tried.retain(|backend| *backend != flight.backend);
        }
        let tried = tried.clone();
        let pace = self.paces.entry(query.ask.service.clone()).or_default();
        if flight.hedge && outcome == Outcome::NotRun {
            pace.hedge.refused();
            if let Some(due) = pace.hedge.again(now) {
                self.flights.set_hedge(flight.run, flight.position, due);
            }
        }
        if self.flights.has_shard(flight.run, flight.position) {
            return Vec::new();
        }
        match self.next_send(now, flight.run) {
            Next::Send => {}
            Next::Wait => {
                self.hold(flight);
                return Vec::new();
            }
            Next::Canary => {
                self.hold(flight);
                return self.next_canary(now, flight.run);
            }
            Next::GiveUp => {
                self.give_up_held(flight.run);
                self.give_up(flight, reason(failure));
                return Vec::new();
            }
        }
        let Some(query) = self.queries.get(&flight.run) else {
            return Vec::new();
        };
        let deadline = query.deadline;
        let pace = self.paces.entry(query.ask.service.clone()).or_default();
        let failed = retry::Failed {
            failure,
            outcome,
            idempotent: true,
            tries: tried.len() as u32,
        };
        let again = match pace.retry.next(&self.policy.retry, &failed) {
            retry::Next::Retry if now < deadline => {
                self.try_replica(now, flight.run, flight.position, tried, true)
            }
            retry::Next::Spent | retry::Next::Refusing => {
                self.counts.add("lentillift_retries_denied_total");
                None
            }
            _ => None,
        };
        if let Some(again) = again {
            self.counts.add("lentillift_retries_total");
            return vec![again];
        }
        self.give_up(flight, reason(failure));
        match failure {
            Failure::SnapshotGone => self.restart(now, flight.run),
            _ => Vec::new(),
        }
    }

    /// Has a shard wait until it is known what its query does to servers.
    fn hold(&mut self, flight: &Flight) {
        if let Some(query) = self.queries.get_mut(&flight.run) {
            query.held.push(flight.position);
        }
    }

    fn give_up(&mut self, flight: &Flight, reason: Reason) {
        if let Some(query) = self.queries.get_mut(&flight.run) {
            query.give_up(flight.position, reason);
        }
        self.close_if_holed(flight.run);
    }

    /// Lets no more callers share a run that has lost a shard.
    pub(super) fn close_if_holed(&mut self, run: id::Request) {
        if let Some(query) = self.queries.get(&run)
            && query.has_hole()
        {
            self.runs.close(&key(query), run);
        }
    }

    /// Gives up the sub-requests that were with a host whose link ended.
    pub(super) fn lose(&mut self, now: Time, host: &id::Host) -> Vec<Effect> {
        let lost = self.flights.with_owner(host);
        let failed = || sub::Result::unknown(Failure::Connection);
        let effects = lost
            .into_iter()
            .map(|id| self.reply(now, id, failed(), None));
        effects.flatten().collect()
    }

    pub(super) fn finish_if_settled(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let members = match self.queries.get(&run) {
            Some(query) if query.is_settled() => query.members.clone(),
            _ => return Vec::new(),
        };
        let effects = members.into_iter().map(|member| self.finish(now, member));
        effects.flatten().collect()
    }

    pub(super) fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied()
            && deadline <= now
        {
            effects.extend(self.finish(now, request));
        }
        effects.extend(self.hedge(now));
        effects
    }

    /// Gives a caller its answer with what is at hand.
    fn finish(&mut self, now: Time, request: id::Request) -> Vec<Effect> {
        let Some(member) = self.members.remove(&request) else {
            return Vec::new();
        };
        self.deadlines.remove(&(member.deadline, request));
        let Some(query) = self.queries.get(&member.run) else {
            return Vec::new();
        };
        let least = member.ask.least_coverage;
        let answer = query.answer(member.ask.limit);
        self.kept.insert(key(query), member.ask.limit, &answer);
        let effect = if !answer.coverage.satisfies(least) {
            let detail = format!("reached {}, asked for at least {least}", answer.coverage);
            let mut refusal = Refusal::new(Cause::Coverage, detail).outcome(query.outcome());
            if answer.coverage.missing.iter().any(|m| is_load(m.reason)) {
                refusal = refusal.retry_after(admission::COME_BACK.0);
            }
            Effect::Refuse { request, refusal }
        } else {
            Effect::Answer { request, answer }
        };
        let mut effects = vec![effect];
        effects.extend(self.leave(now, member.run, request));
        effects
    }

    pub(super) fn abandon(&mut self, now: Time, request: id::Request) -> Vec<Effect> {
        let Some(member) = self.members.remove(&request) else {
            return Vec::new();
        };
        self.deadlines.remove(&(member.deadline, request));
        self.leave(now, member.run, request)
    }

    /// Takes a caller out of a run, and ends the run with the last one.
    fn leave(&mut self, now: Time, run: id::Request, request: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        query.members.remove(&request);
        if !query.members.is_empty() {
            return Vec::new();
        }
        let Some(query) = self.queries.remove(&run) else {
            return Vec::new();
        };
        self.runs.close(&key(&query), run);
        let done = done(&query);
        let pace = self.paces.entry(query.ask.service.clone()).or_default();
        pace.admission.done(&self.policy.admission, now, &done);
        cancel(self.flights.remove_run(run))
    }
}

/// Tells owners that sub-requests are of no more use.
pub(super) fn cancel(flights: Vec<(id::Sub, Flight)>) -> Vec<Effect> {
    let cancel = |(id, flight): (id::Sub, Flight)| Effect::Cancel {
        to: flight.owner,
        id,
    };
    flights.into_iter().map(cancel).collect()
}

/// What a query that has ended tells the admission.
fn done(query: &Query) -> admission::Done {
    let states = query.states.iter();
    let refused = |state: &State| matches!(state, State::Missing(reason) if is_load(*reason));
    admission::Done {
        rank: query.rank,
        answered: states.filter(|s| matches!(s, State::Answered(_))).count() as u32,
        refused: query.states.iter().any(refused),
    }
}

/// Whether a shard is missing because its backend servers had too much to do.
fn is_load(reason: Reason) -> bool {
    matches!(reason, Reason::Refused | Reason::Cold)
}

/// What a failure means for a shard's place in the answer.
fn reason(failure: Failure) -> Reason {
    match failure {
        Failure::Refused | Failure::Shed => Reason::Refused,
        Failure::Cold => Reason::Cold,
        Failure::SnapshotGone => Reason::SnapshotGone,
        Failure::Out => Reason::DomainOut,
        Failure::NotOwner => Reason::NoReplica,
        Failure::Timeout => Reason::Deadline,
        Failure::Connection | Failure::Ended | Failure::Malformed => Reason::Failed,
    }
}
