//! Requests that servers have answered recently.

use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests that servers have answered recently, which include the popular ones.
#[derive(Debug, Default)]
pub(super) struct RecentlyAnswered {
    answered: HashMap<Fingerprint, Time>,
    /// In the order in which they were first answered.
    // INVARIANT: Holds the keys of `answered`.
    order: VecDeque<Fingerprint>,
}

impl RecentlyAnswered {
    /// Records an answer; beyond `most` requests, those first answered longest ago are forgotten.
    pub(super) fn note(&mut self, fingerprint: Fingerprint, now: Time, most: usize) {
        if self.answered.insert(fingerprint, now).is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > most {
            let first = self.order.pop_front();
            first.and_then(|first| self.answered.remove(&first));
        }
    }

    /// Whether a request was answered within `memory`.
    pub(super) fn has(&self, fingerprint: Fingerprint, now: Time, memory: Duration) -> bool {
        let at = self.answered.get(&fingerprint);
        at.is_some_and(|at| now < *at + memory)
    }
}
