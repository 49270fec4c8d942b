//! Counters, gauges and latencies of this process, described in [`lentillift_operator::catalog`].

use lentillift_core::time::Time;
use lentillift_operator::metric::Metrics;
use std::cell::RefCell;
use std::time::Duration;

/// Counter of callers' requests, by outcome.
pub const REQUESTS: &str = "lentillift_gateway_requests_total";

/// Latency of callers' requests, by route and outcome.
pub const REQUEST_SECONDS: &str = "lentillift_gateway_request_seconds";

/// Latency of sends, by route, hop and outcome.
pub const SEND_SECONDS: &str = "lentillift_gateway_send_seconds";

/// Counter of sends, by kind of target.
pub const SENDS: &str = "lentillift_gateway_sends_total";

/// Counter of branch requests served, by whether the requesting host's configuration is older than
/// this host's, the same, or newer.
pub const BRANCH_REQUESTS: &str = "lentillift_gateway_branch_requests_total";

/// Counter of backend servers that ended while they had a request of this host.
pub const SERVERS_ENDED: &str = "lentillift_gateway_servers_ended_total";

/// Counter of backend servers' replies that did not name the request that waited, by reason.
pub const FOREIGN_REPLIES: &str = "lentillift_gateway_foreign_replies_total";

/// Counter of changes of quarantine records, by new state.
pub const QUARANTINE_CHANGES: &str = "lentillift_gateway_quarantine_changes_total";

/// Counter of repeated sends that the budget did not allow.
pub const REPEATS_REFUSED: &str = "lentillift_gateway_repeats_refused_total";

/// Counter of calls to the configuration service, by kind and outcome.
pub const SERVICE_CALLS: &str = "lentillift_gateway_service_calls_total";

/// Counter of accepted caller connections.
pub const CALLERS: &str = "lentillift_gateway_caller_connections_total";

/// Gauge of the number of callers' connections closed since the start because they kept the host
/// waiting.
pub const CALLERS_CLOSED: &str = "lentillift_gateway_callers_closed";

/// Counter of malformed datagrams.
pub const MALFORMED: &str = "lentillift_gateway_datagrams_malformed_total";

/// Gauge of the number of connections to backend servers opened since the start.
pub const OPENED: &str = "lentillift_gateway_backend_connections_opened";

/// Gauge of idle connections to backend servers.
pub const IDLE: &str = "lentillift_gateway_backend_connections_idle";

/// Gauge of the bytes of backend servers' replies that are being read.
pub const REPLY_BYTES: &str = "lentillift_gateway_reply_bytes";

/// Gauge of the bytes of callers' bodies, until their requests are answered.
pub const BODY_BYTES: &str = "lentillift_gateway_body_bytes";

/// Gauge of the number of callers' bodies given up since the start, for lack of memory.
pub const BODIES_GIVEN_UP: &str = "lentillift_gateway_bodies_given_up";

/// Gauge of hosts that may be serving, this one included.
pub const HOSTS: &str = "lentillift_gateway_hosts";

/// Gauge of the version of the configuration in force; 0 before the first.
pub const CONFIG: &str = "lentillift_gateway_config_version";

/// Gauge of hosts that follow this one.
pub const FOLLOWERS: &str = "lentillift_gateway_followers";

/// Counter of origins of published state that were left because they failed, by kind.
pub const ORIGINS_LOST: &str = "lentillift_gateway_origins_lost_total";

/// Counter of times that the local state became older than the freshness bound.
pub const OUTDATED: &str = "lentillift_gateway_outdated_total";

/// Counter of requests that waited for an update before they were served, by whether it came.
pub const CAUGHT_UP: &str = "lentillift_gateway_caught_up_total";

/// Counter of bytes of updates sent to followers.
pub const UPDATE_BYTES_SENT: &str = "lentillift_gateway_news_told_bytes_total";

/// Counter of bytes of updates received from other hosts.
pub const UPDATE_BYTES_RECEIVED: &str = "lentillift_gateway_news_heard_bytes_total";

/// Gauge of the age of the local state, in seconds; -1 before the first update.
pub const AGE: &str = "lentillift_gateway_age_seconds";

/// Gauge of the mean delay of timers, in seconds.
pub const LAG: &str = "lentillift_gateway_timer_lag_seconds";

/// Gauge of this process's resident memory, in bytes.
pub const MEMORY: &str = "lentillift_gateway_memory_bytes";

/// Gauge of log lines left out or dropped since the start.
pub const LOG_DROPPED: &str = "lentillift_gateway_log_lines_dropped";

/// Gauge of repeated sends that the budgets of all services still allow this host.
pub const BUDGET: &str = "lentillift_gateway_budget_left";

/// All metrics, shared by the tasks of one thread.
#[derive(Debug, Default)]
pub struct Registry {
    metrics: RefCell<Metrics>,
}

impl Registry {
    /// Counts one event of `name`, labelled with an outcome, a reason or a kind.
    pub fn count(&self, name: &'static str, kind: &'static str) {
        self.metrics.borrow_mut().add(name, &[("kind", kind)], 1);
    }

    /// Counts one call, labelled with its kind and whether it succeeded.
    pub fn count_call(&self, name: &'static str, kind: &'static str, succeeded: bool) {
        let outcome = if succeeded { "ok" } else { "failed" };
        let labels = [("kind", kind), ("outcome", outcome)];
        self.metrics.borrow_mut().add(name, &labels, 1);
    }

    /// Adds `count` events to an unlabelled counter.
    pub fn add(&self, name: &'static str, count: u64) {
        self.metrics.borrow_mut().add(name, &[], count);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: f64) {
        self.metrics.borrow_mut().set(name, &[], value);
    }

    /// Records a latency in a histogram.
    pub fn observe(&self, name: &'static str, labels: &[(&str, &str)], took: Duration) {
        self.metrics.borrow_mut().record(name, labels, took);
    }

    /// Renders all metrics as text, for a scrape.
    pub fn render(&self, now: Time) -> String {
        self.metrics.borrow().text(now)
    }
}
