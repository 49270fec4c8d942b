//! What the tasks tell operators.

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

/// How often a task tells of itself.
const PERIOD: Duration = Duration::from_secs(1);

/// When a task is to tell of itself; a pause is not made up for.
pub(crate) fn times() -> Interval {
    let mut times = tokio::time::interval(PERIOD);
    times.set_missed_tick_behavior(MissedTickBehavior::Delay);
    times
}

/// Service and class of what is not in the configuration.
///
/// A name that a caller made up must not become a series: each would stay in memory for good.
const UNKNOWN: &str = "unknown";

/// What a query is counted under.
#[derive(Debug, Clone)]
pub(crate) struct Series {
    service: id::Service,
    class: id::Class,
}

impl Series {
    /// The series of a query.
    pub(crate) fn of(view: &View, ask: &SearchRequest) -> Self {
        let config = view.values.config.as_ref();
        let known = config.and_then(|config| {
            let service = config.services.get(&ask.service)?;
            let own = config.policy.classes.get(&ask.caller);
            Some(own.unwrap_or(&service.class).clone())
        });
        match known {
            Some(class) => Self {
                service: ask.service.clone(),
                class,
            },
            None => Self {
                service: UNKNOWN.into(),
                class: UNKNOWN.into(),
            },
        }
    }
}

/// Tells of an answer.
pub(crate) fn answer(board: &Board, series: &Series, latency: Time, answer: &Answer) {
    let Series { service, class } = series;
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

/// Tells of a refusal.
pub(crate) fn refusal(board: &Board, series: &Series, refusal: &Refusal) {
    let Series { service, class } = series;
    let labels = [
        ("service", &**service),
        ("class", &**class),
        ("cause", name(refusal.cause)),
    ];
    board.add("lentillift_refusals_total", &labels, 1);
    board.record_refusal(service);
}

/// Tells of a request that may or may not have run.
///
/// Somebody has to look it up at the backend server, and needs its id for that.
pub(crate) fn unknown(board: &Board, service: &id::Service, key: &str) {
    let detail = "may or may not have run; look for its id at the backend servers";
    let note = Note::new("unknown outcome", service, detail);
    board.note(note.service(service).request(key));
}

/// Tells of a change of a backend server.
pub(crate) fn backend(board: &Board, view: &View, backend: &id::Backend, change: &str) {
    let note = Note::new("backend", backend, change).backend(backend);
    board.note(match view.backends.get(backend) {
        Some(known) => note.service(&known.service),
        None => note,
    });
}

fn name(cause: Cause) -> &'static str {
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

/// Tells of the backend servers that the host owns.
pub(crate) fn owner(board: &Board, now: Time, view: &View, owner: &Owner) {
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

/// Tells of the queries whose callers wait.
pub(crate) fn entry(board: &Board, waiting: usize) {
    board.set("lentillift_queries_waiting", &[], waiting as f64);
    board.set_section("entry", &status::Entry { waiting });
}

/// Tells of each new view until there will be none.
pub(crate) async fn views(board: Board, domain: id::Domain, mut views: watch::Receiver<Arc<View>>) {
    loop {
        let view = views.borrow_and_update().clone();
        tell(&board, &domain, &view);
        // Views may change many times a second; operators look once.
        tokio::time::sleep(PERIOD).await;
        if views.changed().await.is_err() {
            return;
        }
    }
}

fn tell(board: &Board, domain: &id::Domain, view: &View) {
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
