//! The sub-requests under way, found by number, by shard and by owner.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// A sub-request under way.
#[derive(Debug, Clone)]
pub struct Flight {
    /// The run that it is part of.
    pub run: id::Request,
    /// Position of the shard in the run's map.
    pub position: usize,
    /// The owner that has it.
    pub owner: id::Host,
    /// The backend server that it is for.
    pub backend: id::Backend,
    /// When it was sent.
    pub since: Time,
    /// When a hedge for it is due.
    pub hedge_at: Option<Time>,
    /// Whether it is a hedge itself.
    pub hedge: bool,
}

/// The sub-requests under way.
#[derive(Debug, Default)]
pub struct Flights {
    flights: HashMap<id::Sub, Flight>,
    // INVARIANT: Each of these holds the sub-requests in `flights` and no other.
    by_shard: BTreeSet<(id::Request, usize, id::Sub)>,
    by_owner: BTreeSet<(id::Host, id::Sub)>,
    /// Those that a hedge may be sent for.
    hedges: BTreeSet<(Time, id::Sub)>,
}

impl Flights {
    /// Adds a sub-request.
    pub fn insert(&mut self, id: id::Sub, flight: Flight) {
        self.by_shard.insert((flight.run, flight.position, id));
        self.by_owner.insert((flight.owner.clone(), id));
        if let Some(due) = flight.hedge_at {
            self.hedges.insert((due, id));
        }
        self.flights.insert(id, flight);
    }

    /// Whether any sub-request of a run is under way.
    pub fn has_run(&self, run: id::Request) -> bool {
        let first = (run, 0, id::Sub::MIN);
        let mut shards = self.by_shard.range(first..);
        shards.next().is_some_and(|(other, ..)| *other == run)
    }

    /// Takes out a sub-request.
    pub fn remove(&mut self, id: id::Sub) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        self.by_shard.remove(&(flight.run, flight.position, id));
        self.by_owner.remove(&(flight.owner.clone(), id));
        if let Some(due) = flight.hedge_at {
            self.hedges.remove(&(due, id));
        }
        Some(flight)
    }

    /// Takes out all sub-requests of a run.
    pub fn remove_run(&mut self, run: id::Request) -> Vec<(id::Sub, Flight)> {
        self.remove_range(run, 0, usize::MAX)
    }

    /// Takes out all sub-requests of one shard of a run.
    pub fn remove_shard(&mut self, run: id::Request, position: usize) -> Vec<(id::Sub, Flight)> {
        self.remove_range(run, position, position)
    }

    fn remove_range(
        &mut self,
        run: id::Request,
        first: usize,
        last: usize,
    ) -> Vec<(id::Sub, Flight)> {
        let range = (run, first, 0)..=(run, last, id::Sub::MAX);
        let ids: Vec<id::Sub> = self.by_shard.range(range).map(|(_, _, id)| *id).collect();
        let removed = ids.into_iter().map(|id| Some((id, self.remove(id)?)));
        removed.flatten().collect()
    }

    /// Whether a shard of a run has a sub-request under way.
    pub fn has_shard(&self, run: id::Request, position: usize) -> bool {
        let range = (run, position, 0)..=(run, position, id::Sub::MAX);
        self.by_shard.range(range).next().is_some()
    }

    /// The sub-requests that an owner has.
    pub fn with_owner(&self, owner: &id::Host) -> Vec<id::Sub> {
        let range = (owner.clone(), 0)..=(owner.clone(), id::Sub::MAX);
        self.by_owner.range(range).map(|(_, id)| *id).collect()
    }

    /// When the next hedge is due.
    pub fn next_hedge(&self) -> Option<Time> {
        self.hedges.first().map(|(due, _)| *due)
    }

    /// A sub-request whose hedge is due; it is said once for each.
    pub fn pop_hedge(&mut self, now: Time) -> Option<Flight> {
        let (due, id) = *self.hedges.first()?;
        if due > now {
            return None;
        }
        self.hedges.pop_first();
        let flight = self.flights.get_mut(&id)?;
        flight.hedge_at = None;
        Some(flight.clone())
    }

    /// Sets a new time for the hedge of a shard whose sub-request is under way.
    pub fn set_hedge(&mut self, run: id::Request, position: usize, due: Time) {
        let range = (run, position, 0)..=(run, position, id::Sub::MAX);
        let Some((_, _, id)) = self.by_shard.range(range).next().copied() else {
            return;
        };
        if let Some(flight) = self.flights.get_mut(&id) {
            if let Some(old) = flight.hedge_at.replace(due) {
                self.hedges.remove(&(old, id));
            }
            self.hedges.insert((due, id));
        }
    }

    /// How many sub-requests are under way.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }
}
