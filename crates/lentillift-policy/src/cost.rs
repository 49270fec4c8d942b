//! What a caller's requests to a service usually cost.
//!
//! Pattern: one caller's requests take a hundred times as long as another's, and nothing in the
//! request says so. Without this module a queue shares by number and lets long requests take every
//! slot. Costs are kept by service and caller, over all backend servers of the owner, and follow
//! the median ([`Latency::baseline`]), so that one slow server makes no caller look long.
//!
//! The number of callers is bounded, since anybody can invent a name.

use crate::latency::Latency;
use lentillift_core::id;
use std::collections::HashMap;
use std::time::Duration;

/// Callers that are remembered for one service at most.
const MOST_CALLERS: usize = 4096;

/// What the requests to one service cost.
#[derive(Debug, Clone, Default)]
pub struct Costs {
    all: Latency,
    // INVARIANT: At most `MOST_CALLERS` long.
    callers: HashMap<id::Caller, Latency>,
}

impl Costs {
    /// Takes in a reply.
    pub fn note(&mut self, caller: &id::Caller, latency: Duration) {
        self.all.note(latency);
        if let Some(own) = self.callers.get_mut(caller) {
            own.note(latency);
        } else if self.callers.len() < MOST_CALLERS {
            let own = self.callers.entry(caller.clone()).or_default();
            own.note(latency);
        }
    }

    /// What a request of `caller` is expected to take; zero before the first reply.
    pub fn of(&self, caller: &str) -> Duration {
        let own = self.callers.get(caller).unwrap_or(&self.all);
        own.baseline()
    }

    /// Whether the requests of `caller` are long beside those of others.
    ///
    /// A caller without a reply is held to be so: its first long requests would else take every
    /// slot before anybody knew.
    pub fn is_long(&self, caller: &str, factor: u32) -> bool {
        let usual = self.all.baseline();
        let known = self.callers.contains_key(caller) || self.callers.len() >= MOST_CALLERS;
        usual > Duration::ZERO && (!known || self.of(caller) >= usual * factor)
    }
}
