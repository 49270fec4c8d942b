//! Start of a query, and its single restart at a newer snapshot.
//!
//! A version change drops a snapshot while queries on it are running. Without a restart each of
//! them would miss the shards whose servers dropped the snapshot, although the newer one can be
//! served completely. A query is restarted at most once, as it could otherwise follow version after
//! version until its deadline.

use super::Effect;
use super::Entry;
use super::coalescing_key;
use super::result::cancel;
use crate::plan;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;

impl<R> Entry<R>
where
    R: Rng,
{
    /// Restarts a run at a newer snapshot, if it was not restarted yet and has time left.
    pub(super) fn restart(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.get_mut(&run) else {
            return Vec::new();
        };
        // The restarted run takes at least about as long as this one has taken so far.
        let spent = now.saturating_sub(query.started_at);
        if query.restarted || query.deadline.saturating_sub(now) <= spent {
            return Vec::new();
        }
        let newest = plan::choose_snapshot(
            &self.view,
            &query.search.service,
            &self.missing_snapshots,
            now,
        );
        let Some(map) = newest.filter(|map| map.snapshot > query.map.snapshot) else {
            return Vec::new();
        };
        let old_key = coalescing_key(query);
        query.restart(map.clone());
        let new_key = coalescing_key(query);
        self.runs.close(&old_key, run);
        self.runs.start(new_key, run);
        self.counts.add("lentillift_fresh_starts_total");
        let mut effects = cancel(self.in_flight.remove_run(run));
        effects.extend(self.start(now, run));
        effects
    }

    /// Sends the first sub-request for each shard of a run.
    pub(super) fn start(&mut self, now: Time, run: id::Request) -> Vec<Effect> {
        let shards = self.queries.get(&run).map_or(0, |q| q.map.parts.len());
        let mut effects = Vec::with_capacity(shards);
        for position in 0..shards {
            let sent = self.try_replica(now, run, position, Vec::new(), false);
            if sent.is_none()
                && let Some(query) = self.queries.get_mut(&run)
            {
                let part = &query.map.parts[position];
                let reason = plan::unservable_reason(
                    &self.view,
                    part,
                    query.map.snapshot,
                    &self.missing_snapshots,
                    now,
                );
                query.mark_missing(position, reason);
            }
            effects.extend(sent);
        }
        self.close_if_incomplete(run);
        effects
    }
}
