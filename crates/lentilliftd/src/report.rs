//! Metrics, status sections and time line events that the tasks publish to operators.

use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::time::Time;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use lentillift_fleet::view::View;
use lentillift_operator::board::Board;
use lentillift_operator::event::Note;
use lentillift_operator::status;
use lentillift_owner::core::Owner;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

/// Interval between two status reports of a task.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Timer for a task's status reports; ticks missed during a pause are not caught up.
pub(crate) fn interval() -> Interval {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

/// Label value for a service or class that is not in the configuration.
///
/// A name invented by a caller must not create a metric series: series are never removed from
/// memory.
const UNKNOWN_LABEL: &str = "unknown";

/// Metric labels of a query.
#[derive(Debug, Clone)]
pub(crate) struct QueryLabels {
    service: id::Service,
    class: id::Class,
}

impl QueryLabels {
    /// The labels of a query, or [`UNKNOWN_LABEL`] where the configuration lacks its service.
    pub(crate) fn of(view: &View, request: &SearchRequest) -> Self {
        let config = view.values.config.as_ref();
        let known = config.and_then(|config| {
            let service = config.services.get(&request.service)?;
            let caller_class = config.policy.classes.get(&request.caller);
            Some(caller_class.unwrap_or(&service.class).clone())
        });
        match known {
            Some(class) => Self {
                service: request.service.clone(),
                class,
            },
            None => Self {
                service: UNKNOWN_LABEL.into(),
                class: UNKNOWN_LABEL.into(),
            },
        }
    }
}

/// Records an answer's latency and coverage.
pub(crate) fn record_answer(board: &Board, labels: &QueryLabels, latency: Time, answer: &Answer) {
    let QueryLabels { service, class } = labels;
    let labels = [("service", &**service), ("class", &**class)];
    let coverage = &answer.coverage;
    board.observe("lentillift_query_seconds", &labels, latency);
    let shards = u64::from(coverage.shards);
    board.add("lentillift_shards_total", &labels, shards);
    let answered = u64::from(coverage.answered);
    board.add("lentillift_shards_answered_total", &labels, answered);
    for missing in &coverage.missing {
        let reason = missing.reason.to_string();
        let labels = [("service", &**service), ("reason", &*reason)];
        board.add("lentillift_shards_missing_total", &labels, 1);
    }
    board.record_answer(service, latency, coverage.share());
}

/// Counts a refusal by its cause.
pub(crate) fn record_refusal(board: &Board, labels: &QueryLabels, refusal: &Refusal) {
    let QueryLabels { service, class } = labels;
    let labels = [
        ("service", &**service),
        ("class", &**class),
        ("cause", cause_label(refusal.cause)),
    ];
    board.add("lentillift_refusals_total", &labels, 1);
    board.record_refusal(service);
}

/// Adds a request that may or may not have run to the time line.
///
/// An operator has to look it up at the backend servers and needs its id for that.
pub(crate) fn record_unknown_outcome(board: &Board, service: &id::Service, key: &str) {
    let detail = "may or may not have run; look for its id at the backend servers";
    let note = Note::new("unknown outcome", service, detail);
    board.note(note.service(service).request(key));
}

/// Adds a state change of a backend server to the time line.
pub(crate) fn record_backend_change(
    board: &Board,
    view: &View,
    backend: &id::Backend,
    change: &str,
) {
    let note = Note::new("backend", backend, change).backend(backend);
    board.note(match view.backends.get(backend) {
        Some(known) => note.service(&known.service),
        None => note,
    });
}

fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::UnknownService => "unknown-service",
        Cause::UnknownCaller => "unknown-caller",
        Cause::Malformed => "malformed",
        Cause::Allowance => "allowance",
        Cause::Overload => "overload",
        Cause::Stale => "stale",
        Cause::Leaving => "leaving",
        Cause::NoSnapshot => "no-snapshot",
        Cause::Coverage => "coverage",
        Cause::Quarantined => "quarantined",
        Cause::Closed => "closed",
        Cause::Mismatch => "mismatch",
    }
}

/// Publishes the status of the backend servers that this host owns.
pub(crate) fn publish_owner_status(board: &Board, now: Time, view: &View, owner: &Owner) {
    let mut section = status::Owner::new();
    let Some(config) = &view.values.config else {
        return;
    };
    let policy = &config.policy;
    for (name, server) in owner.servers() {
        let Some(backend) = view.backends.get(name) else {
            continue;
        };
        if !owner.may_queue(name) {
            continue;
        }
        let server = status::Server {
            service: backend.service.clone(),
            domain: backend.server.domain.clone(),
            in_flight: server.in_flight(),
            queue: server.queue.len(),
            limit: server.limit(policy, now),
            warm: server.warmup.is_warm(),
        };
        section.insert(name.clone(), server);
    }
    let cold = section.values().filter(|server| !server.warm).count();
    let queue: usize = section.values().map(|server| server.queue).sum();
    board.set("lentillift_backends_owned", &[], section.len() as f64);
    board.set("lentillift_backends_cold", &[], cold as f64);
    board.set("lentillift_queue", &[], queue as f64);
    board.set_section("owner", &section);
}

/// Publishes the number of queries that wait for an answer.
pub(crate) fn publish_entry_status(board: &Board, waiting: usize) {
    board.set("lentillift_queries_waiting", &[], waiting as f64);
    board.set_section("entry", &status::Entry { waiting });
}

/// Publishes the fleet view when it changes, until the view's sender is dropped.
pub(crate) async fn publish_views(
    board: Board,
    domain: id::Domain,
    mut views: watch::Receiver<Arc<View>>,
) {
    loop {
        let view = views.borrow_and_update().clone();
        publish_view(&board, &domain, &view);
        // The view may change many times a second; publishing it once per interval is enough.
        tokio::time::sleep(REPORT_INTERVAL).await;
        if views.changed().await.is_err() {
            return;
        }
    }
}

fn publish_view(board: &Board, domain: &id::Domain, view: &View) {
    let values = &view.values;
    let config = values.config.as_deref();
    let domains = config.map(|config| {
        config.domains.iter().map(|domain| {
            let out = config.domains_out.contains(domain);
            (domain.clone(), !out)
        })
    });
    let section = status::View {
        domain: domain.clone(),
        config: config.map_or(0, |config| config.revision),
        hosts: values.roster.as_ref().map_or(0, |roster| roster.revision),
        placements: values
            .placements
            .iter()
            .map(|(service, placement)| (service.clone(), placement.revision))
            .collect(),
        domains: domains.into_iter().flatten().collect(),
        hosts_out: config
            .map(|config| config.hosts_out.clone())
            .unwrap_or_default(),
        alive: view.alive.iter().cloned().collect(),
    };
    let config = [("value", "config")];
    board.set("lentillift_revision", &config, section.config as f64);
    let hosts = [("value", "hosts")];
    board.set("lentillift_revision", &hosts, section.hosts as f64);
    board.set_section("view", &section);
}
