//! Parameters of overload control, with their defaults.
//!
//! Most mechanisms have a switch, so that a load test can compare the system with and without them;
//! all are on by default. Shares are whole percentages and not floating point numbers, so that
//! configurations can be compared for exact equality.

use crate::fault::Fault;
use crate::shape::Shape;
use lentillift_core::id;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Parameters of all mechanisms of overload control.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Priority classes of callers whose requests do not have the class of the service.
    pub classes: BTreeMap<id::Caller, id::Class>,
    /// Which queries an entry admits.
    pub admission: Admission,
    /// Which queued sub-request an owner sends to its backend server next.
    pub queue: Queue,
    /// Whether identical queries share one execution.
    pub coalescing: Coalescing,
    /// How many requests may be in flight at a warm backend server.
    pub slots: Slots,
    /// How many requests may be in flight at a backend server in a cold start.
    pub warmup: Warmup,
    /// Which replica of a shard receives a sub-request.
    pub choice: Choice,
    /// When a second replica receives the same sub-request.
    pub hedge: Hedge,
    /// When a failed sub-request is sent again.
    pub retry: Retry,
    /// How requests that make backend servers terminate are handled.
    pub quarantine: Quarantine,
    /// When an answer is sent although shards are missing.
    pub partial: Partial,
    /// When an owner pauses a backend server.
    pub health: Health,
}

impl Policy {
    /// Switches off every mechanism that has a switch, as a baseline for load tests.
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

/// Parameters of admission control at an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admission {
    /// Whether it is on.
    pub on: bool,
    /// Length of the window in which refusals by owners are counted, in milliseconds.
    pub window_ms: u64,
    /// Share of refused sub-requests in a window that indicates overload, in percent.
    pub refused_percent: u32,
    /// Decrease of the admitted rate after a window with overload, in percent.
    pub fall_percent: u32,
    /// Increase of the admitted rate after a window without overload, in percent.
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

/// Parameters of an owner's queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// Whether it is on; if off, sub-requests are sent in order of arrival.
    pub on: bool,
    /// Least run time of a request that counts as long, as a multiple of the service's usual time.
    pub long_factor: u32,
    /// Use from which a caller may not take the last free slot, in percent of its fair share; 0
    /// disables the limit.
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

/// Parameters of the coalescing of identical queries.
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

/// Parameters of the adaptive concurrency limit of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Slots {
    /// Whether it is on; if off, the limit is always the configured number of slots.
    pub on: bool,
    /// Latency from which a reply counts as slow, in percent of the backend server's baseline.
    pub slow_percent: u32,
    /// Number of slow replies minus quick ones that lowers the limit by one.
    pub slow_replies: u32,
    /// Number of quick replies, minus three for each slow one, that raises the limit by one.
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

/// Parameters of the warm-up of a backend server after a cold start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Warmup {
    /// Whether it is on; if off, a cold backend server has its full limit at once.
    pub on: bool,
    /// Number of successes that raises the limit by one.
    pub successes: u32,
    /// Latency that indicates a cold start, in percent of the baseline.
    pub jump_percent: u32,
    /// Number of consecutive replies with such a latency that count as a cold start.
    pub jump_replies: u32,
    /// How long a backend server's own report of a cold start takes precedence over good results, in
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

/// Parameters of the selection of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Choice {
    /// Whether it is on; if off, a replica is chosen at random.
    pub on: bool,
    /// Age from which the load that an owner reported is stale and ignored, in milliseconds.
    pub age_ms: u64,
    /// Advantage that a replica in another failure domain must have to be chosen, in percent.
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

/// Parameters of hedging.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// Whether it is on.
    pub on: bool,
    /// Hedge budget: most hedges per hundred sub-requests.
    pub budget_percent: u32,
    /// Quantile of a service's latency after which a hedge is sent, in percent.
    pub quantile_percent: u32,
    /// Least delay before a hedge, in milliseconds.
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

/// Parameters of retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Whether a budget limits retries; if off, every failure is retried.
    pub on: bool,
    /// Retry budget: most retries per hundred sub-requests.
    pub budget_percent: u32,
    /// Share of failures from which a whole service counts as refusing, in percent.
    pub refusing_percent: u32,
    /// Most replicas of one shard that a query tries, hedges included.
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

/// Parameters of the quarantine of requests that make backend servers terminate.
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

/// Parameters of partial answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Partial {
    /// Time reserved from an allowance to merge the hits and send the answer to the caller, in
    /// milliseconds.
    pub margin_ms: u64,
}

impl Default for Partial {
    fn default() -> Self {
        Self { margin_ms: 5 }
    }
}

/// Parameters of an owner's health tracking of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Health {
    /// Whether it is on.
    pub on: bool,
    /// Number of consecutive failures after which a backend server is paused.
    pub failures: u32,
    /// Length of the first pause, in milliseconds; each further one is twice as long.
    pub pause_ms: u64,
    /// Upper limit of the length of a pause, in milliseconds.
    pub most_pause_ms: u64,
    /// How long a backend server's own report that it is leaving remains valid, in milliseconds.
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
    /// Returns all parameters that are out of bounds.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut require_positive = |field: &str, found: u64| {
            if found == 0 {
                faults.push(Fault::new(path(field), "0", "at least 1"));
            }
        };
        require_positive("admission.window_ms", self.admission.window_ms);
        require_positive("queue.long_factor", self.queue.long_factor.into());
        require_positive("slots.slow_replies", self.slots.slow_replies.into());
        require_positive("slots.quick_replies", self.slots.quick_replies.into());
        require_positive("warmup.successes", self.warmup.successes.into());
        require_positive("warmup.jump_replies", self.warmup.jump_replies.into());
        require_positive("retry.tries", self.retry.tries.into());
        require_positive("health.failures", self.health.failures.into());
        let mut require_percentage = |field: &str, found: u32| {
            if found > 100 {
                let expected = "a whole number from 0 to 100";
                faults.push(Fault::new(path(field), found.to_string(), expected));
            }
        };
        require_percentage("admission.refused_percent", self.admission.refused_percent);
        require_percentage("admission.fall_percent", self.admission.fall_percent);
        require_percentage("hedge.budget_percent", self.hedge.budget_percent);
        require_percentage("hedge.quantile_percent", self.hedge.quantile_percent);
        require_percentage("retry.budget_percent", self.retry.budget_percent);
        require_percentage("retry.refusing_percent", self.retry.refusing_percent);
        faults
    }
}

/// Converts a parameter in milliseconds to a duration.
pub fn millis(parameter: u64) -> Duration {
    Duration::from_millis(parameter)
}

fn path(field: &str) -> impl Iterator<Item = &str> {
    ["policy"].into_iter().chain(field.split('.'))
}

/// The shape of a policy: that of its default, with every field optional.
pub const SHAPE: Shape = Shape::Like(|| {
    // Cannot fail: every value of the type can be written as JSON.
    serde_json::to_value(Policy::default()).unwrap_or_default()
});
