//! Counters of policy decisions, exported as metrics.

use std::collections::BTreeMap;

/// Name of a counter in the exported metrics.
pub type Name = &'static str;

/// Counter increments since the last [`Counts::take`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    counts: BTreeMap<Name, u64>,
}

impl Counts {
    /// Adds one to a counter.
    pub fn add(&mut self, name: Name) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Returns all counts and resets them to zero.
    pub fn take(&mut self) -> BTreeMap<Name, u64> {
        std::mem::take(&mut self.counts)
    }
}
