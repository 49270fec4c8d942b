//! Counts of decisions, for operators.

use std::collections::BTreeMap;

/// Name of a counter, as it stands in the metrics.
pub type Name = &'static str;

/// Counts since they were last taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    counts: BTreeMap<Name, u64>,
}

impl Counts {
    /// Adds one to a counter.
    pub fn add(&mut self, name: Name) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Takes all counts; what comes later counts anew.
    pub fn take(&mut self) -> BTreeMap<Name, u64> {
        std::mem::take(&mut self.counts)
    }
}
