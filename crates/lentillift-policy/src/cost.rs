//! Expected cost of a request, by service and caller.
//!
//! Pattern: one caller's requests take a hundred times as long as another's, and nothing in the
//! request shows it. Without this module a queue counts requests, not time, and long requests
//! occupy every slot. Costs are kept by service and caller, over all backend servers of the owner,
//! and follow the median ([`Latency::baseline`]), so that one slow server does not make a caller
//! look expensive.
//!
//! The number of callers is bounded, because callers can invent names.

use crate::latency::Latency;
use lentillift_core::id;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of callers that are tracked for one service.
const MAX_CALLERS: usize = 4096;

/// Cost of the requests to one service.
#[derive(Debug, Clone, Default)]
pub struct Costs {
    all: Latency,
    // INVARIANT: At most `MAX_CALLERS` long.
    callers: HashMap<id::Caller, Latency>,
}

impl Costs {
    /// Records the latency of a reply.
    pub fn record(&mut self, caller: &id::Caller, latency: Duration) {
        self.all.record(latency);
        if let Some(own) = self.callers.get_mut(caller) {
            own.record(latency);
        } else if self.callers.len() < MAX_CALLERS {
            let own = self.callers.entry(caller.clone()).or_default();
            own.record(latency);
        }
    }

    /// Expected latency of a request of `caller`: its own median, or that of all requests to the
    /// service if the caller is not tracked; zero before the first reply.
    pub fn expected(&self, caller: &str) -> Duration {
        let own = self.callers.get(caller).unwrap_or(&self.all);
        own.baseline()
    }

    /// Whether the requests of `caller` take at least `factor` times the service's median.
    ///
    /// A caller without a reply counts as long: its first requests might otherwise occupy every
    /// slot before their cost is known. Once the table of callers is full, further ones are taken
    /// to have the service's median.
    pub fn is_long(&self, caller: &str, factor: u32) -> bool {
        let median = self.all.baseline();
        let known = self.callers.contains_key(caller) || self.callers.len() >= MAX_CALLERS;
        median > Duration::ZERO && (!known || self.expected(caller) >= median * factor)
    }
}
