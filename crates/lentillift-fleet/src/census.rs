//! Figures about the fleet that would cost a pass over all hosts at each tick.

use crate::core::Fleet;
use crate::member::Member;
use crate::read;
use crate::view::Health;
use crate::view::Stage;
use lentillift_core::time::Time;

/// Figures about the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Census {
    /// What it was taken from: changes of hosts, changes of values, turn of watching.
    basis: Option<(u64, u64, u64)>,
    /// Hosts that are not over, this one included.
    pub(crate) hosts: usize,
    /// Whether every other host that is known has ended by its own word.
    pub(crate) alone: bool,
    /// Whether it is this process's turn to watch the configuration service.
    pub(crate) watcher: bool,
}

impl<R> Fleet<R> {
    /// The figures, taken anew if anything they rest on has changed.
    pub(crate) fn census(&mut self, now: Time) -> Census {
        let slot = read::slot(&self.options.read, self.options.wall + now);
        let basis = Some((self.table.changes(), self.store.digest(), slot));
        if self.census.basis != basis {
            let going = self.table.iter().filter(|m| !m.is_over());
            self.census = Census {
                basis,
                hosts: going.count() + 1,
                alone: self.table.iter().all(|m| m.stage == Stage::Gone),
                watcher: self.is_watcher(slot),
            };
        }
        self.census
    }

    fn is_watcher(&self, slot: u64) -> bool {
        let able = |m: &&Member| m.stage == Stage::Serving && m.health == Health::Alive;
        let able = self.table.iter().filter(able);
        let near = able.filter(|m| m.domain == self.own.domain);
        let near = near.map(|m| &m.host);
        read::is_watcher(&self.options.read, slot, &self.own.host, near)
    }
}
