//! One fresh start of a query at a newer snapshot.
//!
//! A version change drops a snapshot while queries on it are under way. Without a fresh start each
//! of them would miss the shards whose servers have moved on, although all of the newer snapshot can
//! be had. More than one would let a query run after versions until its time is up.

use super::Effect;
use super::Entry;
use super::key;
use super::settle::cancel;
use crate::plan;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;

impl<R> Entry<R>
where
    R: Rng,
{
    /// Starts a run anew if it may and if there is time.
    pub(super) fn restart(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        // A run takes about as long as this one has taken to get here, or longer.
        let spent = now.saturating_sub(query.since);
        if query.restarted || query.deadline.saturating_sub(now) <= spent {
            return Vec::new();
        }
        let newest = plan::snapshot(&self.view, &query.ask.service, &self.gone, now);
        let Some(map) = newest.filter(|map| map.snapshot > query.map.snapshot) else {
            return Vec::new();
        };
        let old = key(query);
        query.restart(map.clone());
        let new = key(query);
        self.runs.close(&old, run);
        self.runs.start(new, run);
        self.counts.add("lentillift_fresh_starts_total");
        let mut effects = cancel(self.flights.remove_run(run));
        effects.extend(self.start(now, run));
        effects
    }

    /// Asks for all shards of a run.
    pub(super) fn start(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let shards = self.queries.get(&run).map_or(0, |q| q.map.parts.len());
        let mut effects = Vec::with_capacity(shards);
        for position in 0..shards {
            let sent = self.try_replica(now, run, position, Vec::new(), false);
            if sent.is_none()
                && let Some(query) = self.queries.get_mut(&run)
            {
                let part = &query.map.parts[position];
                let reason = plan::absence(&self.view, part, query.map.snapshot, &self.gone, now);
                query.give_up(position, reason);
            }
            effects.extend(sent);
        }
        self.close_if_holed(run);
        effects
    }
}
