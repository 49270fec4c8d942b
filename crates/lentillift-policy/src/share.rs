//! Recent usage of each caller, relative to its fair share by weight.
//!
//! Pattern: one caller sends twenty times its share. One request alone does not show who is over
//! its share; that takes the usage of the last second. Usage is averaged with exponential decay, so
//! that the state of a caller is three numbers.
//!
//! The number of callers is bounded, because callers can invent names. A caller that does not fit
//! counts as within its share, and is bounded by the shares of the others.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of callers that are tracked.
const MAX_CALLERS: usize = 4096;

/// Time constant of the exponential decay, in seconds.
const DECAY_SECONDS: f64 = 1.0;

/// Interval between removals of callers with negligible usage.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of the total usage below which a caller is removed.
const MIN_USAGE: f64 = 0.001;

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Cost per second at `at`.
    rate: f64,
    at: Time,
    weight: u32,
}

/// Recent usage of each caller.
///
/// The unit of cost is the user's choice, the same for all calls: shards or microseconds, say.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    // INVARIANT: At most `MAX_CALLERS` long.
    callers: HashMap<id::Caller, Usage>,
    /// Weight of all in `callers`.
    weight: u64,
    /// Cost per second of all in `callers`, as of the last sweep.
    rate: f64,
    last_sweep: Time,
}

impl Shares {
    /// Bytes per caller, its name's pointer included.
    pub const BYTES_PER_CALLER: usize = size_of::<(id::Caller, Usage)>();

    /// Records work that is done for a caller; a weight of 0 counts as 1.
    pub fn record(&mut self, now: Time, caller: &id::Caller, weight: u32, cost: f64) {
        let cost = cost / DECAY_SECONDS;
        if let Some(usage) = self.callers.get_mut(caller) {
            usage.rate = usage.decayed(now) + cost;
            usage.at = now;
        } else if self.callers.len() < MAX_CALLERS {
            let weight = weight.max(1);
            self.weight += u64::from(weight);
            let usage = Usage {
                rate: cost,
                at: now,
                weight,
            };
            self.callers.insert(caller.clone(), usage);
        }
        if now.saturating_sub(self.last_sweep) >= SWEEP_INTERVAL {
            self.sweep(now);
        }
    }

    /// Recent usage of a caller in cost per second; 0 if it is not tracked.
    pub fn rate(&self, now: Time, caller: &str) -> f64 {
        let usage = self.callers.get(caller);
        usage.map_or(0.0, |usage| usage.decayed(now))
    }

    /// Fair share of a caller by weight, from 0 to 1.
    pub fn share(&self, caller: &str) -> f64 {
        let weight = self.callers.get(caller).map_or(1, |usage| usage.weight);
        f64::from(weight) / (self.weight.max(1) as f64)
    }

    /// Recent usage of a caller as a multiple of its fair share.
    pub fn excess(&self, now: Time, caller: &str) -> f64 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        self.rate(now, caller) / self.rate / self.share(caller)
    }

    /// Number of callers that are tracked.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no caller is tracked.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Recomputes the totals and removes callers with negligible usage.
    fn sweep(&mut self, now: Time) {
        self.last_sweep = now;
        self.rate = self.callers.values().map(|usage| usage.decayed(now)).sum();
        let least = self.rate * MIN_USAGE;
        self.callers.retain(|_, usage| usage.decayed(now) >= least);
        let weights = self.callers.values().map(|usage| u64::from(usage.weight));
        self.weight = weights.sum();
    }
}

impl Usage {
    fn decayed(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / DECAY_SECONDS).exp()
    }
}
