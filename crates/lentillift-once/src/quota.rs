//! Room that is shared by callers.
//!
//! Pattern: one caller asks for ids, or sends requests, without end. Without this module it fills
//! the table and every other caller is refused. Half of the room is common; of the other half each
//! configured caller has its share to itself, by weight. A caller above its share is admitted only
//! while less than half of the whole is used, so the shares can always be honoured: at most half is
//! used by callers above their share, and the shares add up to the other half.

use lentillift_core::id;
use std::collections::HashMap;

/// How much of the room each caller uses.
#[derive(Debug)]
pub struct Quota {
    room: usize,
    // INVARIANT: The sum of `held`, and at most `room`.
    used: usize,
    held: HashMap<id::Caller, usize>,
}

/// A caller's weight among all callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The caller's weight.
    pub weight: u64,
    /// The weights of all configured callers.
    pub total: u64,
}

impl Quota {
    /// Starts with nothing used.
    pub fn new(room: usize) -> Self {
        Self {
            room,
            used: 0,
            held: HashMap::new(),
        }
    }

    /// Takes a place for `caller`, if there is one for it.
    #[must_use]
    pub fn take(&mut self, caller: &id::Caller, share: Share) -> bool {
        let held = self.held.get(caller).copied().unwrap_or_default();
        let own = (self.room / 2) as u64 * share.weight / share.total.max(1);
        let common = self.used < self.room / 2;
        if self.used >= self.room || (!common && held as u64 >= own) {
            return false;
        }
        self.force(caller);
        true
    }

    /// Takes a place that can't be denied, such as for a record that another process handed over.
    pub fn force(&mut self, caller: &id::Caller) {
        self.used += 1;
        *self.held.entry(caller.clone()).or_default() += 1;
    }

    /// Gives a place of `caller` back.
    pub fn give(&mut self, caller: &id::Caller) {
        let Some(held) = self.held.get_mut(caller) else {
            return;
        };
        *held -= 1;
        self.used -= 1;
        if *held == 0 {
            self.held.remove(caller);
        }
    }
}
