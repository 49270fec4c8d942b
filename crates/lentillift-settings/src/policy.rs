//! Figures of the decisions under load, each with a default and a switch.
//!
//! A load run compares a decision with its absence by turning its switch off; everything is on
//! unless the configuration says otherwise. Shares are in percent, so that a configuration can be
//! compared bit by bit.

use crate::fault::Fault;
use crate::shape::Shape;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Figures of all decisions under load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Priority classes of callers whose queries do not have their service's class.
    pub classes: BTreeMap<id::Caller, id::Class>,
    /// Which queries an entry takes.
    pub admission: Admission,
    /// Which sub-request a backend server gets next.
    pub queue: Queue,
    /// Whether identical queries share a run.
    pub coalescing: Coalescing,
    /// How many requests a warm backend server gets at a time.
    pub slots: Slots,
    /// How many requests a cold backend server gets at a time.
    pub warmup: Warmup,
    /// Which replica of a shard is asked.
    pub choice: Choice,
    /// When a second replica is asked as well.
    pub hedge: Hedge,
    /// When a failed sub-request is sent again.
    pub retry: Retry,
    /// What is done about requests that end backend servers.
    pub quarantine: Quarantine,
    /// When an answer is given although shards are missing.
    pub partial: Partial,
    /// When a backend server gets nothing.
    pub health: Health,
}

impl Policy {
    /// Switches off every decision that has a switch, as a baseline for load runs.
    pub fn switch_off(&mut self) {
        self.admission.on = false;
        self.queue.on = false;
        self.coalescing.on = false;
        self.slots.on = false;
        self.warmup.on = false;
        self.choice.on = false;
        self.hedge.on = false;
        self.retry.on = false;
        self.quarantine.on = false;
        self.health.on = false;
    }
}

/// Figures of the admission at an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Whether it is on.
    pub on: bool,
    /// Time over which refusals by owners are counted, in milliseconds.
    pub window_ms: u64,
    /// Share of refused sub-requests in a window that is held for overload, in percent.
    pub refused_percent: u32,
    /// By how much the admitted rate falls after a window with overload, in percent.
    pub fall_percent: u32,
    /// By how much the admitted rate rises after a window without, in percent.
    pub rise_percent: u32,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            on: true,
            window_ms: 100,
            refused_percent: 2,
            fall_percent: 10,
            rise_percent: 5,
        }
    }
}

/// Figures of an owner's queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// Whether it is on; without it sub-requests go in the order of their arrival.
    pub on: bool,
    /// How many times the service's usual time a long request takes at least.
    pub long_factor: u32,
    /// Use from which a caller leaves the last slot to others, in percent of its fair share; 0 for
    /// never.
    pub excess_percent: u32,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            on: true,
            long_factor: 4,
            excess_percent: 150,
        }
    }
}

/// Figures of the coalescing of identical queries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Coalescing {
    /// Whether it is on.
    pub on: bool,
}

impl Default for Coalescing {
    fn default() -> Self {
        Self { on: true }
    }
}

/// Figures of the adaptive slot limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slots {
    /// Whether it is on; without it the published limit is always used in full.
    pub on: bool,
    /// Latency that counts as slow, in percent of the backend server's baseline.
    pub slow_percent: u32,
    /// Slow replies, less quick ones, that lower the limit by one.
    pub slow_replies: u32,
    /// Quick replies, less three for each slow one, that raise the limit by one.
    pub quick_replies: u32,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            on: true,
            slow_percent: 200,
            slow_replies: 8,
            quick_replies: 10,
        }
    }
}

/// Figures of the warm-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Warmup {
    /// Whether it is on; without it a cold backend server gets its full share at once.
    pub on: bool,
    /// Successes that raise the limit by one.
    pub successes: u32,
    /// Latency that is held for a sign of a cold start, in percent of the baseline.
    pub jump_percent: u32,
    /// Replies in a row with such a latency that make the sign.
    pub jump_replies: u32,
    /// How long a backend server's own word that it is cold outweighs good results, in
    /// milliseconds.
    pub report_ms: u64,
}

impl Default for Warmup {
    fn default() -> Self {
        Self {
            on: true,
            successes: 20,
            jump_percent: 500,
            jump_replies: 5,
            report_ms: 60_000,
        }
    }
}

/// Figures of the choice of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Choice {
    /// Whether it is on; without it a replica is drawn at random.
    pub on: bool,
    /// Age from which an owner's load counts are no longer believed, in milliseconds.
    pub age_ms: u64,
    /// By how much a replica in another failure domain must be better, in percent.
    pub domain_percent: u32,
}

impl Default for Choice {
    fn default() -> Self {
        Self {
            on: true,
            age_ms: 1000,
            domain_percent: 5,
        }
    }
}

/// Figures of hedging.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// Whether it is on.
    pub on: bool,
    /// Hedges for every hundred sub-requests at most.
    pub budget_percent: u32,
    /// Share of a service's replies that come before a hedge is sent, in percent.
    pub quantile_percent: u32,
    /// Least wait before a hedge, in milliseconds.
    pub least_ms: u64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            on: true,
            budget_percent: 5,
            quantile_percent: 95,
            least_ms: 1,
        }
    }
}

/// Figures of retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Whether a budget bounds them; without it each failure is tried again.
    pub on: bool,
    /// Retries for every hundred sub-requests at most.
    pub budget_percent: u32,
    /// Share of failures from which a service is held to refuse as a whole, in percent.
    pub refusing_percent: u32,
    /// Replicas of one shard that a query tries at most, hedges included.
    pub tries: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            on: true,
            budget_percent: 10,
            refusing_percent: 50,
            tries: 3,
        }
    }
}

/// Figures of the quarantine of requests that end backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quarantine {
    /// Whether it is on.
    pub on: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self { on: true }
    }
}

/// Figures of partial answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Partial {
    /// Time kept back from an allowance for the merge and the way to the caller, in milliseconds.
    pub margin_ms: u64,
}

impl Default for Partial {
    fn default() -> Self {
        Self { margin_ms: 5 }
    }
}

/// Figures of the view that an owner has of a backend server's health.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Health {
    /// Whether it is on.
    pub on: bool,
    /// Failures in a row after which a backend server gets nothing for a while.
    pub failures: u32,
    /// Length of the first such pause, in milliseconds; each further one is twice as long.
    pub pause_ms: u64,
    /// Length of the longest pause, in milliseconds.
    pub most_pause_ms: u64,
    /// How long a backend server's own word that it is leaving is believed, in milliseconds.
    pub leaving_ms: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            on: true,
            failures: 3,
            pause_ms: 250,
            most_pause_ms: 4000,
            leaving_ms: 60_000,
        }
    }
}

impl Policy {
    /// All that makes the figures unfit to be in force.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut least = |field: &str, found: u64| {
            if found == 0 {
                faults.push(Fault::new(path(field), "0", "at least 1"));
            }
        };
        least("admission.window_ms", self.admission.window_ms);
        least("queue.long_factor", self.queue.long_factor.into());
        least("slots.slow_replies", self.slots.slow_replies.into());
        least("slots.quick_replies", self.slots.quick_replies.into());
        least("warmup.successes", self.warmup.successes.into());
        least("warmup.jump_replies", self.warmup.jump_replies.into());
        least("retry.tries", self.retry.tries.into());
        least("health.failures", self.health.failures.into());
        let mut share = |field: &str, found: u32| {
            if found > 100 {
                let right = "a whole number from 0 to 100";
                faults.push(Fault::new(path(field), found.to_string(), right));
            }
        };
        share("admission.refused_percent", self.admission.refused_percent);
        share("admission.fall_percent", self.admission.fall_percent);
        share("hedge.budget_percent", self.hedge.budget_percent);
        share("hedge.quantile_percent", self.hedge.quantile_percent);
        share("retry.budget_percent", self.retry.budget_percent);
        share("retry.refusing_percent", self.retry.refusing_percent);
        faults
    }
}

/// A figure in milliseconds as a duration.
pub fn millis(figure: u64) -> Duration {
    Duration::from_millis(figure)
}

fn path(field: &str) -> impl Iterator<Item = &str> {
    ["policy"].into_iter().chain(field.split('.'))
}

/// The shape of the figures: that of their defaults, of which any part may be left out.
pub const SHAPE: Shape = Shape::Like(|| {
    // The type holds nothing that JSON could not.
    serde_json::to_value(Policy::default()).unwrap_or_default()
});
