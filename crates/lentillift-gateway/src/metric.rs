//! Counters, gauges and latencies of this process; their meanings stand in
//! [`lentillift_operator::catalog`].

use lentillift_core::time::Time;
use lentillift_operator::metric::Metrics;
use std::cell::RefCell;
use std::time::Duration;

/// Callers' requests, by outcome.
pub const REQUESTS: &str = "lentillift_gateway_requests_total";

/// Time to answer callers' requests, by route and outcome.
pub const REQUEST_SECONDS: &str = "lentillift_gateway_request_seconds";

/// Time from a send to its end, by route, hop and outcome.
pub const SEND_SECONDS: &str = "lentillift_gateway_send_seconds";

/// Sends, by where they went.
pub const SENDS: &str = "lentillift_gateway_sends_total";

/// Backend servers that ended while they had a request of this host.
pub const SERVERS_ENDED: &str = "lentillift_gateway_servers_ended_total";

/// Changes in what is held of requests under which servers ended, by what is held now.
pub const QUARANTINE_CHANGES: &str = "lentillift_gateway_quarantine_changes_total";

/// Repeated sends that the budget did not allow.
pub const REPEATS_REFUSED: &str = "lentillift_gateway_repeats_refused_total";

/// Calls to the service that publishes, by kind and outcome.
pub const SERVICE_CALLS: &str = "lentillift_gateway_service_calls_total";

/// Connections of callers that were taken.
pub const CALLERS: &str = "lentillift_gateway_caller_connections_total";

/// Datagrams that could not be understood.
pub const MALFORMED: &str = "lentillift_gateway_datagrams_malformed_total";

/// Connections to backend servers that were opened.
pub const OPENED: &str = "lentillift_gateway_backend_connections_opened";

/// Connections to backend servers without a request.
pub const IDLE: &str = "lentillift_gateway_backend_connections_idle";

/// Hosts that may be at work, this one included.
pub const HOSTS: &str = "lentillift_gateway_hosts";

/// Version of the configuration in force.
pub const CONFIG: &str = "lentillift_gateway_config_version";

/// Hosts that learn from this one what is published.
pub const FOLLOWERS: &str = "lentillift_gateway_followers";

/// Origins of published state that were left because they failed, by kind.
pub const ORIGINS_LOST: &str = "lentillift_gateway_origins_lost_total";

/// Times that what is believed became older than the bound on news.
pub const OUTDATED: &str = "lentillift_gateway_outdated_total";

/// Requests that waited for news before they were served, by whether it came.
pub const CAUGHT_UP: &str = "lentillift_gateway_caught_up_total";

/// Bytes of published state that were told to followers.
pub const UPDATE_BYTES_SENT: &str = "lentillift_gateway_news_told_bytes_total";

/// Bytes of published state that were heard from other hosts.
pub const UPDATE_BYTES_RECEIVED: &str = "lentillift_gateway_news_heard_bytes_total";

/// Age of what is believed of the published state.
pub const AGE: &str = "lentillift_gateway_age_seconds";

/// How late timers fire on average.
pub const LAG: &str = "lentillift_gateway_timer_lag_seconds";

/// Bytes of this process in memory.
pub const MEMORY: &str = "lentillift_gateway_memory_bytes";

/// Lines that the log left out or dropped.
pub const LOG_DROPPED: &str = "lentillift_gateway_log_lines_dropped";

/// Repeated sends that the budgets of all services still allow this host.
pub const BUDGET: &str = "lentillift_gateway_budget_left";

/// Everything that is counted, shared by the tasks of one thread.
#[derive(Debug, Default)]
pub struct Registry {
    metrics: RefCell<Metrics>,
}

impl Registry {
    /// Counts one event of `name` with an outcome, a reason or a kind.
    pub fn count(&self, name: &'static str, kind: &'static str) {
        self.metrics.borrow_mut().add(name, &[("kind", kind)], 1);
    }

    /// Counts one call of a kind, and whether it brought what was asked for.
    pub fn count_call(&self, name: &'static str, kind: &'static str, succeeded: bool) {
        let outcome = if succeeded { "ok" } else { "failed" };
        let labels = [("kind", kind), ("outcome", outcome)];
        self.metrics.borrow_mut().add(name, &labels, 1);
    }

    /// Counts several events.
    pub fn add(&self, name: &'static str, count: u64) {
        self.metrics.borrow_mut().add(name, &[], count);
    }

    /// Sets a value that goes up and down.
    pub fn gauge(&self, name: &'static str, value: f64) {
        self.metrics.borrow_mut().set(name, &[], value);
    }

    /// Notes how long something took.
    pub fn observe(&self, name: &'static str, labels: &[(&str, &str)], took: Duration) {
        self.metrics.borrow_mut().record(name, labels, took);
    }

    /// All of it, as text.
    pub fn render(&self, now: Time) -> String {
        self.metrics.borrow().text(now)
    }
}
