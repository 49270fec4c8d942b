//! Canary sub-requests for queries under which backend servers ended.
//!
//! Without them a query that ends servers would be retried at the next replica of each shard, end
//! both replicas of every shard, and do so again when its caller retries. See
//! [`lentillift_fleet::quarantine`].

use super::Effect;
use super::Entry;
use crate::in_flight::SubRequest;
use crate::query::Query;
use crate::query::ShardState;
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
    /// Whether the quarantine serves, refuses or tests a new query.
    pub(super) fn quarantine_admission(&mut self, now: Time, query: &Query) -> Admission {
        if !self.policy.quarantine.on {
            return Admission::Serve;
        }
        let options = Options::default();
        self.quarantine.admit(&options, query.fingerprint, now)
    }

    /// Sends the sub-request for one shard, and defers all others until its result.
    pub(super) fn start_with_canary(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        let shards = query.states.len();
        query.deferred = (0..shards).collect();
        for state in &mut query.states {
            *state = ShardState::Pending { tried: Vec::new() };
        }
        // An expired quarantine is renewed while its canary is in flight.
        query.on_trial = true;
        self.next_canary(now, run)
    }

    /// Whether a further sub-request of a run may be sent, is deferred or given up.
    pub(super) fn next_send(&self, now: Time, run: id::Request) -> Next {
        let Some(query) = self.queries.get(&run) else {
            return Next::GiveUp;
        };
        if !self.policy.quarantine.on || query.has_reply() {
            return Next::Send;
        }
        let verdict = self.quarantine.verdict(query.fingerprint, now);
        verdict.next(query.on_trial, self.in_flight.has_run(run))
    }

    /// Records that a server ended under a query, unless another server has replied to the query.
    pub(super) fn record_server_end(&mut self, now: Time, id: id::Sub, sub_request: &SubRequest) {
        let Some(query) = self.queries.get_mut(&sub_request.run) else {
            return;
        };
        let is_canary = query.canary == Some(sub_request.position);
        query.on_trial &= !is_canary;
        if !self.policy.quarantine.on || query.has_reply() {
            return;
        }
        let process = quarantine::process_id(&sub_request.backend, id);
        let end = End {
            process,
            canary: is_canary,
        };
        self.quarantine
            .record_end(&Options::default(), query.fingerprint, end, now);
    }

    /// Records that a server replied to a query, and sends its deferred shards.
    pub(super) fn send_deferred(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        let deferred = std::mem::take(&mut query.deferred);
        query.canary = None;
        self.quarantine
            .record_reply(&Options::default(), query.fingerprint, now);
        let mut effects = Vec::new();
        for position in deferred {
            effects.extend(self.send_deferred_shard(now, run, position));
        }
        effects
    }

    /// Sends the sub-request for a deferred shard, or marks the shard as missing.
    fn send_deferred_shard(
        &mut self,
        now: Time,
        run: id::Request,
        position: usize,
    ) -> Option<Effect> {
        let query = self.queries.get(&run)?;
        let ShardState::Pending { tried } = &query.states[position] else {
            return None;
        };
        let tried = tried.clone();
        let may_send = (tried.len() as u32) < self.policy.retry.tries && now < query.deadline;
        let sent = may_send.then(|| self.try_replica(now, run, position, tried, true));
        if let Some(sent) = sent.flatten() {
            return Some(sent);
        }
        if let Some(query) = self.queries.get_mut(&run) {
            query.mark_missing(position, Reason::Failed);
        }
        None
    }

    /// Sends one deferred shard as the canary; marks those without a replica left as missing.
    pub(super) fn next_canary(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        while let Some(query) = self.queries.get_mut(&run)
            && !query.deferred.is_empty()
        {
            let start = u64::from(query.fingerprint.0[0]) as usize % query.deferred.len();
            let position = query.deferred.remove(start);
            query.canary = Some(position);
            if let Some(sent) = self.send_deferred_shard(now, run, position) {
                return vec![sent];
            }
        }
        Vec::new()
    }

    /// Marks all deferred shards as missing.
    pub(super) fn give_up_deferred(&mut self, run: id::Request) {
        if let Some(query) = self.queries.get_mut(&run) {
            for position in std::mem::take(&mut query.deferred) {
                query.mark_missing(position, Reason::Failed);
            }
        }
    }
}
