//! The sub-requests in flight, indexed by number, by shard, by owner and by the time of their
//! hedge.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// A sub-request that was sent and has no reply yet.
#[derive(Debug, Clone)]
pub struct SubRequest {
    /// The run that it is part of, by the number of the request that started it.
    pub run: id::Request,
    /// Position of the shard in the map of the run's snapshot.
    pub position: usize,
    /// Host of the owner that it was sent to.
    pub owner: id::Host,
    /// The backend server that the owner sends it to.
    pub backend: id::Backend,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Time at which a hedge for it is due, if one may still be sent.
    pub hedge_at: Option<Time>,
    /// Whether it is a hedge itself.
    pub is_hedge: bool,
}

/// The sub-requests in flight, with their indexes.
#[derive(Debug, Default)]
pub struct InFlight {
    subs: HashMap<id::Sub, SubRequest>,
    // INVARIANT: Both indexes hold the sub-requests in `subs` and no other.
    by_shard: BTreeSet<(id::Request, usize, id::Sub)>,
    by_owner: BTreeSet<(id::Host, id::Sub)>,
    /// The sub-requests that a hedge may be sent for, by the time it is due.
    hedges: BTreeSet<(Time, id::Sub)>,
}

impl InFlight {
    /// Adds a sub-request that is being sent.
    pub fn insert(&mut self, id: id::Sub, sub: SubRequest) {
        self.by_shard.insert((sub.run, sub.position, id));
        self.by_owner.insert((sub.owner.clone(), id));
        if let Some(due) = sub.hedge_at {
            self.hedges.insert((due, id));
        }
        self.subs.insert(id, sub);
    }

    /// Whether a run has a sub-request in flight.
    pub fn has_run(&self, run: id::Request) -> bool {
        let first = (run, 0, id::Sub::MIN);
        let mut shards = self.by_shard.range(first..);
        shards.next().is_some_and(|(other, ..)| *other == run)
    }

    /// Removes a sub-request.
    pub fn remove(&mut self, id: id::Sub) -> Option<SubRequest> {
        let sub = self.subs.remove(&id)?;
        self.by_shard.remove(&(sub.run, sub.position, id));
        self.by_owner.remove(&(sub.owner.clone(), id));
        if let Some(due) = sub.hedge_at {
            self.hedges.remove(&(due, id));
        }
        Some(sub)
    }

    /// Removes all sub-requests of a run.
    pub fn remove_run(&mut self, run: id::Request) -> Vec<(id::Sub, SubRequest)> {
        self.remove_range(run, 0, usize::MAX)
    }

    /// Removes all sub-requests of one shard of a run, including hedges.
    pub fn remove_shard(
        &mut self,
        run: id::Request,
        position: usize,
    ) -> Vec<(id::Sub, SubRequest)> {
        self.remove_range(run, position, position)
    }

    fn remove_range(
        &mut self,
        run: id::Request,
        first: usize,
        last: usize,
    ) -> Vec<(id::Sub, SubRequest)> {
        let range = (run, first, 0)..=(run, last, id::Sub::MAX);
        let ids: Vec<id::Sub> = self.by_shard.range(range).map(|(_, _, id)| *id).collect();
        let removed = ids.into_iter().map(|id| Some((id, self.remove(id)?)));
        removed.flatten().collect()
    }

    /// Whether a shard of a run has a sub-request in flight.
    pub fn has_shard(&self, run: id::Request, position: usize) -> bool {
        let range = (run, position, 0)..=(run, position, id::Sub::MAX);
        self.by_shard.range(range).next().is_some()
    }

    /// Numbers of the sub-requests at an owner.
    pub fn ids_at_owner(&self, owner: &id::Host) -> Vec<id::Sub> {
        let range = (owner.clone(), 0)..=(owner.clone(), id::Sub::MAX);
        self.by_owner.range(range).map(|(_, id)| *id).collect()
    }

    /// Time at which the next hedge is due.
    pub fn next_hedge(&self) -> Option<Time> {
        self.hedges.first().map(|(due, _)| *due)
    }

    /// Returns a sub-request whose hedge is due, and clears its hedge time.
    pub fn pop_hedge(&mut self, now: Time) -> Option<SubRequest> {
        let (due, id) = *self.hedges.first()?;
        if due > now {
            return None;
        }
        self.hedges.pop_first();
        let sub = self.subs.get_mut(&id)?;
        sub.hedge_at = None;
        Some(sub.clone())
    }

    /// Sets the time of the hedge for the oldest sub-request in flight of a shard.
    pub fn set_hedge(&mut self, run: id::Request, position: usize, due: Time) {
        let range = (run, position, 0)..=(run, position, id::Sub::MAX);
        let Some((_, _, id)) = self.by_shard.range(range).next().copied() else {
            return;
        };
        if let Some(sub) = self.subs.get_mut(&id) {
            if let Some(old) = sub.hedge_at.replace(due) {
                self.hedges.remove(&(old, id));
            }
            self.hedges.insert((due, id));
        }
    }

    /// Number of sub-requests in flight.
    pub fn len(&self) -> usize {
        self.subs.len()
    }

    /// Whether no sub-request is in flight.
    pub fn is_empty(&self) -> bool {
        self.subs.is_empty()
    }
}
