//! A fixed capacity that callers share by weight.
//!
//! Guards against one caller that requests ids, or sends requests, without limit: without a quota
//! it fills the table and every other caller is refused. Half of the capacity is common; the other
//! half is reserved for the configured callers in proportion to their weights. A caller above its
//! share is admitted only while less than half of the whole capacity is used. The reserved shares
//! can therefore always be honoured: callers above their share use at most one half, and the shares
//! add up to the other half.

use lentillift_core::id;
use std::collections::HashMap;

/// Tracks how much of a fixed capacity each caller uses, in places.
#[derive(Debug)]
pub struct Quota {
    capacity: usize,
    // INVARIANT: The sum of `by_caller`, and at most `capacity`.
    used: usize,
    by_caller: HashMap<id::Caller, usize>,
}

/// A caller's weight among all callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The caller's weight.
    pub weight: u64,
    /// The sum of the weights of all configured callers.
    pub total: u64,
}

impl Quota {
    /// Creates a quota of `capacity` places, none of them used.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            by_caller: HashMap::new(),
        }
    }

    /// Takes a place for `caller`, whose weight is `share`.
    ///
    /// Returns false, and takes none, when the quota is full, or when half of it is used and the
    /// caller has its whole reserved share.
    #[must_use]
    pub fn try_acquire(&mut self, caller: &id::Caller, share: Share) -> bool {
        let used_by_caller = self.by_caller.get(caller).copied().unwrap_or_default();
        let reserved = (self.capacity / 2) as u64 * share.weight / share.total.max(1);
        let common_free = self.used < self.capacity / 2;
        if self.used >= self.capacity || (!common_free && used_by_caller as u64 >= reserved) {
            return false;
        }
        self.acquire_unchecked(caller);
        true
    }

    /// Takes a place without checking the limits.
    ///
    /// For records that can't be refused, such as those that another process handed over.
    pub fn acquire_unchecked(&mut self, caller: &id::Caller) {
        self.used += 1;
        *self.by_caller.entry(caller.clone()).or_default() += 1;
    }

    /// Returns a place of `caller`; does nothing if it has none.
    pub fn release(&mut self, caller: &id::Caller) {
        let Some(used_by_caller) = self.by_caller.get_mut(caller) else {
            return;
        };
        *used_by_caller -= 1;
        self.used -= 1;
        if *used_by_caller == 0 {
            self.by_caller.remove(caller);
        }
    }
}
