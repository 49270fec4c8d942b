//! Fleet statistics, cached because each takes a pass over all hosts and they are needed at each
//! tick.

use crate::core::Fleet;
use crate::member::Member;
use crate::read;
use crate::view::Health;
use crate::view::Stage;
use lentillift_core::time::Time;

/// Cached statistics about the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FleetStats {
    /// Inputs of the statistics: change counter of the hosts, digest of the values, watch slot.
    inputs: Option<(u64, u64, u64)>,
    /// Number of hosts that have not ended, this one included.
    pub(crate) hosts: usize,
    /// Whether every other known host has announced its end.
    pub(crate) alone: bool,
    /// Whether this process watches the configuration service in the current slot.
    pub(crate) watcher: bool,
}

impl<R> Fleet<R> {
    /// The statistics, recomputed if any of their inputs has changed.
    pub(crate) fn stats(&mut self, now: Time) -> FleetStats {
        let slot = read::slot(&self.options.read, self.options.wall + now);
        let inputs = Some((self.table.changes(), self.store.digest(), slot));
        if self.stats.inputs != inputs {
            let running = self.table.iter().filter(|m| !m.has_ended());
            self.stats = FleetStats {
                inputs,
                hosts: running.count() + 1,
                alone: self.table.iter().all(|m| m.stage == Stage::Gone),
                watcher: self.is_watcher(slot),
            };
        }
        self.stats
    }

    fn is_watcher(&self, slot: u64) -> bool {
        let able = |m: &&Member| m.stage == Stage::Serving && m.health == Health::Alive;
        let able = self.table.iter().filter(able);
        let near = able.filter(|m| m.domain == self.own.domain);
        let near = near.map(|m| &m.host);
        read::is_watcher(&self.options.read, slot, &self.own.host, near)
    }
}
