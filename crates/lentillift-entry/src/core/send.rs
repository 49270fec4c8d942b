//! Sending of sub-requests: first attempts, retries and hedges.

use super::Effect;
use super::Entry;
use crate::in_flight::SubRequest;
use crate::query::ShardState;
use lentillift_core::id;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::Next;
use lentillift_policy::choice::Candidate;
use lentillift_policy::hedge;
use rand::Rng;

impl<R> Entry<R>
where
    R: Rng,
{
    /// Sends the sub-request for one shard to a replica that was not tried yet, if there is one.
    pub(super) fn try_replica(
        &mut self,
        now: Time,
        run: id::Request,
        position: usize,
        mut tried: Vec<id::Backend>,
        is_retry: bool,
    ) -> Option<Effect> {
        let backend = self.choose_replica(now, run, position, &tried)?;
        tried.push(backend.clone());
        let query = self.queries.get_mut(&run)?;
        query.states[position] = ShardState::Pending { tried };
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        let mut hedge_at = None;
        if !is_retry {
            controls.retry.record_sent(&self.policy.retry);
            hedge_at = controls.hedge.record_sent(&self.policy.hedge, now);
        }
        self.send(now, run, position, backend, hedge_at, false)
    }

    /// Sends the hedges that are due.
    pub(super) fn send_due_hedges(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(slow) = self.in_flight.pop_hedge(now) {
            effects.extend(self.send_hedge(now, &slow));
        }
        effects
    }

    /// Sends a hedge for a slow sub-request, unless its budget or the load forbids it.
    fn send_hedge(&mut self, now: Time, slow: &SubRequest) -> Option<Effect> {
        let (run, position) = (slow.run, slow.position);
        if self.next_send(now, run) != Next::Send {
            return None;
        }
        let query = self.queries.get(&run)?;
        let ShardState::Pending { tried } = &query.states[position] else {
            return None;
        };
        if tried.len() as u32 >= self.policy.retry.tries {
            return None;
        }
        let mut tried = tried.clone();
        let backend = self.choose_replica(now, run, position, &tried)?;
        let query = self.queries.get_mut(&run)?;
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        let busy = self.loads.is_busy(&self.policy.choice, now, &backend);
        match controls.hedge.decide(busy) {
            hedge::Decision::Send => {}
            hedge::Decision::Busy => {
                self.counts.add("lentillift_hedges_busy_total");
                if let Some(due) = controls.hedge.retry_at(now) {
                    self.in_flight.set_hedge(run, position, due);
                }
                return None;
            }
            hedge::Decision::Spent => {
                self.counts.add("lentillift_hedges_spent_total");
                return None;
            }
        }
        self.counts.add("lentillift_hedges_total");
        tried.push(backend.clone());
        query.states[position] = ShardState::Pending { tried };
        self.send(now, run, position, backend, None, true)
    }

    /// Chooses a replica of a shard that is in service, has an owner and was not tried yet.
    fn choose_replica(
        &mut self,
        now: Time,
        run: id::Request,
        position: usize,
        tried: &[id::Backend],
    ) -> Option<id::Backend> {
        let query = self.queries.get(&run)?;
        let view = &self.view;
        let usable = query.map.parts[position]
            .replicas
            .iter()
            .filter(|backend| view.in_service(backend) && !tried.contains(backend))
            .filter(|backend| view.owner(backend).is_some())
            .filter(|backend| {
                !self
                    .missing_snapshots
                    .is_missing(now, backend, query.map.snapshot)
            });
        let candidates: Vec<Candidate<'_>> = usable
            .map(|backend| Candidate {
                backend,
                same_domain: self.domain.as_ref()
                    == view.backends.get(backend).map(|b| &b.server.domain),
            })
            .collect();
        let options = &self.policy.choice;
        let chosen = self.loads.choose(options, now, &mut self.rng, &candidates);
        chosen.cloned()
    }

    /// Registers a sub-request as in flight and returns the effect that sends it.
    fn send(
        &mut self,
        now: Time,
        run: id::Request,
        position: usize,
        backend: id::Backend,
        hedge_at: Option<Time>,
        is_hedge: bool,
    ) -> Option<Effect> {
        let query = self.queries.get(&run)?;
        let owner = self.view.owner(&backend)?.clone();
        self.next_sub += 1;
        let sub = Sub {
            id: self.next_sub,
            service: query.search.service.clone(),
            backend: backend.clone(),
            caller: query.search.caller.clone(),
            work: Work::Search {
                snapshot: query.map.snapshot,
                shard: query.map.parts[position].shard,
            },
            allowance: query.deadline.saturating_sub(now),
            body: query.search.body.clone(),
            hedge: is_hedge,
        };
        self.loads.record_sent(&backend);
        let sub_request = SubRequest {
            run,
            position,
            owner: owner.clone(),
            backend,
            sent_at: now,
            hedge_at,
            is_hedge,
        };
        self.in_flight.insert(sub.id, sub_request);
        Some(Effect::Send { to: owner, sub })
    }
}
