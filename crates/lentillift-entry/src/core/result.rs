//! Handling of results, deadlines and answers to callers.

use super::Effect;
use super::Entry;
use super::coalescing_key;
use crate::in_flight::SubRequest;
use crate::query::Query;
use crate::query::ShardState;
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
    /// Handles the result of a sub-request.
    pub(super) fn on_result(
        &mut self,
        now: Time,
        id: id::Sub,
        result: sub::Result,
        load: Option<Load>,
    ) -> Vec<Effect> {
        // A late or duplicate reply matches no sub-request in flight and is ignored.
        let Some(sub_request) = self.in_flight.remove(id) else {
            return Vec::new();
        };
        if let Some(load) = load {
            self.loads.record(now, &sub_request.backend, load);
        }
        let mut effects = match result {
            sub::Result::Hits(hits) => self.on_hits(now, &sub_request, hits),
            sub::Result::Reply(_) => {
                self.give_up(&sub_request, Reason::Failed);
                Vec::new()
            }
            sub::Result::Failed { failure, outcome } => {
                if failure == Failure::Ended {
                    self.record_server_end(now, id, &sub_request);
                }
                self.on_failure(now, &sub_request, failure, outcome)
            }
        };
        effects.extend(self.finish_if_settled(now, sub_request.run));
        effects
    }

    /// Records a shard's hits, and cancels the other sub-requests for that shard.
    fn on_hits(&mut self, now: Time, sub_request: &SubRequest, hits: Vec<Hit>) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&sub_request.run) else {
            return Vec::new();
        };
        query.states[sub_request.position] = ShardState::Answered(hits);
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        controls.retry.record_success();
        let others = self
            .in_flight
            .remove_shard(sub_request.run, sub_request.position);
        // Measured from the first sub-request: a hedge's own latency would hide that of the slow
        // replica.
        let first = others.iter().map(|(_, other)| other.sent_at).min();
        let since = first
            .unwrap_or(sub_request.sent_at)
            .min(sub_request.sent_at);
        controls
            .hedge
            .record_reply(&self.policy.hedge, now.saturating_sub(since));
        if sub_request.is_hedge {
            self.counts.add("lentillift_hedges_won_total");
        }
        let mut effects = cancel(others);
        effects.extend(self.send_deferred(now, sub_request.run));
        effects
    }

    /// Handles a failure: leaves the shard to another sub-request in flight, retries it at another
    /// replica, defers it, or marks it as missing.
    fn on_failure(
        &mut self,
        now: Time,
        sub_request: &SubRequest,
        failure: Failure,
        outcome: Outcome,
    ) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&sub_request.run) else {
            return Vec::new();
        };
        query.may_have_run |= outcome != Outcome::NotRun;
        if failure == Failure::SnapshotGone {
            let snapshot = query.map.snapshot;
            self.missing_snapshots
                .record(now, sub_request.backend.clone(), snapshot);
        }
        let ShardState::Pending { tried } = &mut query.states[sub_request.position] else {
            return Vec::new();
        };
        if sub_request.is_hedge && outcome == Outcome::NotRun {
            tried.retain(|backend| *backend != sub_request.backend);
        }
        let tried = tried.clone();
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        if sub_request.is_hedge && outcome == Outcome::NotRun {
            controls.hedge.record_refused();
            if let Some(due) = controls.hedge.retry_at(now) {
                self.in_flight
                    .set_hedge(sub_request.run, sub_request.position, due);
            }
        }
        if self
            .in_flight
            .has_shard(sub_request.run, sub_request.position)
        {
            return Vec::new();
        }
        match self.next_send(now, sub_request.run) {
            Next::Send => {}
            Next::Wait => {
                self.defer(sub_request);
                return Vec::new();
            }
            Next::Canary => {
                self.defer(sub_request);
                return self.next_canary(now, sub_request.run);
            }
            Next::GiveUp => {
                self.give_up_deferred(sub_request.run);
                self.give_up(sub_request, missing_reason(failure));
                return Vec::new();
            }
        }
        let Some(query) = self.queries.get(&sub_request.run) else {
            return Vec::new();
        };
        let deadline = query.deadline;
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        let failed = retry::Failed {
            failure,
            outcome,
            idempotent: true,
            tries: tried.len() as u32,
        };
        let retry = match controls.retry.decide(&self.policy.retry, &failed) {
            retry::Decision::Retry if now < deadline => {
                self.try_replica(now, sub_request.run, sub_request.position, tried, true)
            }
            retry::Decision::Spent | retry::Decision::Refusing => {
                self.counts.add("lentillift_retries_denied_total");
                None
            }
            _ => None,
        };
        if let Some(retry) = retry {
            self.counts.add("lentillift_retries_total");
            return vec![retry];
        }
        self.give_up(sub_request, missing_reason(failure));
        match failure {
            Failure::SnapshotGone => self.restart(now, sub_request.run),
            _ => Vec::new(),
        }
    }

    /// Defers a shard until the canary of its query got a result.
    fn defer(&mut self, sub_request: &SubRequest) {
        if let Some(query) = self.queries.get_mut(&sub_request.run) {
            query.deferred.push(sub_request.position);
        }
    }

    /// Marks a shard as missing.
    fn give_up(&mut self, sub_request: &SubRequest, reason: Reason) {
        if let Some(query) = self.queries.get_mut(&sub_request.run) {
            query.mark_missing(sub_request.position, reason);
        }
        self.close_if_incomplete(sub_request.run);
    }

    /// Stops further callers from sharing a run that misses a shard.
    pub(super) fn close_if_incomplete(&mut self, run: id::Request) {
        if let Some(query) = self.queries.get(&run)
            && query.has_missing_shard()
        {
            self.runs.close(&coalescing_key(query), run);
        }
    }

    /// Fails all sub-requests at a host whose link ended.
    pub(super) fn fail_host(&mut self, now: Time, host: &id::Host) -> Vec<Effect> {
        let lost = self.in_flight.ids_at_owner(host);
        let failed = || sub::Result::unknown(Failure::Connection);
        let effects = lost
            .into_iter()
            .map(|id| self.on_result(now, id, failed(), None));
        effects.flatten().collect()
    }

    /// Answers all callers of a run if no shard is pending.
    pub(super) fn finish_if_settled(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let members = match self.queries.get(&run) {
            Some(query) if query.is_settled() => query.members.clone(),
            _ => return Vec::new(),
        };
        let effects = members.into_iter().map(|member| self.finish(now, member));
        effects.flatten().collect()
    }

    /// Answers the callers whose deadline has passed, and sends the hedges that are due.
    pub(super) fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied()
            && deadline <= now
        {
            effects.extend(self.finish(now, request));
        }
        effects.extend(self.send_due_hedges(now));
        effects
    }

    /// Answers a caller from the replies so far, or refuses it if their coverage is too low.
    fn finish(&mut self, now: Time, request: id::Request) -> Vec<Effect> {
        let Some(member) = self.members.remove(&request) else {
            return Vec::new();
        };
        self.deadlines.remove(&(member.deadline, request));
        let Some(query) = self.queries.get(&member.run) else {
            return Vec::new();
        };
        let least_coverage = member.search.least_coverage;
        let answer = query.answer(member.search.limit);
        self.cache
            .insert(coalescing_key(query), member.search.limit, &answer);
        let effect = if !answer.coverage.satisfies(least_coverage) {
            let detail = format!(
                "reached {}, asked for at least {least_coverage}",
                answer.coverage
            );
            let mut refusal = Refusal::new(Cause::Coverage, detail).outcome(query.outcome());
            if answer
                .coverage
                .missing
                .iter()
                .any(|m| is_overload(m.reason))
            {
                refusal = refusal.retry_after(admission::RETRY_AFTER_BOUNDS.0);
            }
            Effect::Refuse { request, refusal }
        } else {
            Effect::Answer { request, answer }
        };
        let mut effects = vec![effect];
        effects.extend(self.remove_member(now, member.run, request));
        effects
    }

    /// Removes the request of a caller that closed its connection.
    pub(super) fn abandon(&mut self, now: Time, request: id::Request) -> Vec<Effect> {
        let Some(member) = self.members.remove(&request) else {
            return Vec::new();
        };
        self.deadlines.remove(&(member.deadline, request));
        self.remove_member(now, member.run, request)
    }

    /// Removes a caller from a run, and ends the run after the last one.
    fn remove_member(&mut self, now: Time, run: id::Request, request: id::Request) -> Vec<Effect> {
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
        self.runs.close(&coalescing_key(&query), run);
        let done = admission_outcome(&query);
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        controls
            .admission
            .record_completion(&self.policy.admission, now, &done);
        cancel(self.in_flight.remove_run(run))
    }
}

/// The effects that cancel sub-requests at their owners.
pub(super) fn cancel(in_flight: Vec<(id::Sub, SubRequest)>) -> Vec<Effect> {
    let cancel = |(id, sub_request): (id::Sub, SubRequest)| Effect::Cancel {
        to: sub_request.owner,
        id,
    };
    in_flight.into_iter().map(cancel).collect()
}

/// The result of a query that ended, as feedback for admission control.
fn admission_outcome(query: &Query) -> admission::Completion {
    let states = query.states.iter();
    let refused =
        |state: &ShardState| matches!(state, ShardState::Missing(reason) if is_overload(*reason));
    admission::Completion {
        rank: query.rank,
        answered: states
            .filter(|s| matches!(s, ShardState::Answered(_)))
            .count() as u32,
        refused: query.states.iter().any(refused),
    }
}

/// Whether a shard is missing because its backend servers were overloaded.
fn is_overload(reason: Reason) -> bool {
    matches!(reason, Reason::Refused | Reason::Cold)
}

/// The reason for a missing shard, by the failure of its last sub-request.
fn missing_reason(failure: Failure) -> Reason {
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
