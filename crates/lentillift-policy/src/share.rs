//! How much of what is served goes to each caller.
//!
//! Pattern: one caller asks for twenty times its share. Who is over its share can't be told from
//! one request; it takes a memory of the last second. Use is averaged with exponential decay, so
//! that a caller's state is three numbers.
//!
//! The number of callers is bounded, since anybody can invent a name; one that finds no room is
//! held to be within its share, and is bounded by the shares of the others.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Callers that are remembered at most.
const MOST_CALLERS: usize = 4096;

/// Time over which use is averaged.
const MEMORY: f64 = 1.0;

/// Time after which callers without much use are looked for.
const ROUND: Duration = Duration::from_millis(100);

/// Share of all use below which a caller counts as gone.
const LEAST: f64 = 0.001;

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Cost a second.
    rate: f64,
    at: Time,
    weight: u32,
}

/// How much of what is served goes to each caller.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    // INVARIANT: At most `MOST_CALLERS` long.
    callers: HashMap<id::Caller, Usage>,
    /// Weight of all in `callers`.
    weight: u64,
    /// Cost a second of all in `callers`, at the last round.
    rate: f64,
    round: Time,
}

impl Shares {
    /// Bytes that a caller takes, its name's pointer included.
    pub const BYTES_PER_CALLER: usize = size_of::<(id::Caller, Usage)>();

    /// Notes something that is served to a caller.
    pub fn note(&mut self, now: Time, caller: &id::Caller, weight: u32, cost: f64) {
        let cost = cost / MEMORY;
        if let Some(usage) = self.callers.get_mut(caller) {
            usage.rate = usage.decayed(now) + cost;
            usage.at = now;
        } else if self.callers.len() < MOST_CALLERS {
            let weight = weight.max(1);
            self.weight += u64::from(weight);
            let usage = Usage {
                rate: cost,
                at: now,
                weight,
            };
            self.callers.insert(caller.clone(), usage);
        }
        if now.saturating_sub(self.round) >= ROUND {
            self.count(now);
        }
    }

    /// Cost a second that a caller has used lately.
    pub fn rate(&self, now: Time, caller: &str) -> f64 {
        let usage = self.callers.get(caller);
        usage.map_or(0.0, |usage| usage.decayed(now))
    }

    /// The part of everything that is a caller's fair share, from 0 to 1.
    pub fn share(&self, caller: &str) -> f64 {
        let weight = self.callers.get(caller).map_or(1, |usage| usage.weight);
        f64::from(weight) / (self.weight.max(1) as f64)
    }

    /// How many times its fair share a caller has used lately.
    pub fn excess(&self, now: Time, caller: &str) -> f64 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        self.rate(now, caller) / self.rate / self.share(caller)
    }

    /// How many callers are remembered.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Adds everything up, and forgets callers that are gone.
    fn count(&mut self, now: Time) {
        self.round = now;
        self.rate = self.callers.values().map(|usage| usage.decayed(now)).sum();
        let least = self.rate * LEAST;
        self.callers.retain(|_, usage| usage.decayed(now) >= least);
        let weights = self.callers.values().map(|usage| u64::from(usage.weight));
        self.weight = weights.sum();
    }
}

impl Usage {
    fn decayed(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / MEMORY).exp()
    }
}
