//! A summary of the fleet, from the status of each process.

use lentillift_core::id;
use lentillift_operator::status::Entry;
use lentillift_operator::status::Owner;
use lentillift_operator::status::Status;
use lentillift_operator::status::View;
use lentillift_operator::trend::Span;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Minimum number of days with answers for a decline to be reported.
const MIN_DAYS: usize = 3;

/// Minimum fall of the mean coverage that counts as a decline.
///
/// One document in a thousand that is no longer found is what families notice first.
const MIN_COVERAGE_FALL: f64 = 0.001;

/// Minimum factor by which the 99th percentile rises in a decline.
const MIN_P99_FACTOR: f64 = 1.1;

/// Summary of one process.
#[derive(Debug, Serialize)]
pub struct Node {
    /// Host that it runs on.
    pub host: id::Host,
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Whether it serves callers.
    pub ready: bool,
    /// Revision of the configuration in force.
    pub revision: id::Revision,
    /// Time since its start, in seconds.
    pub uptime_s: u64,
    /// Number of hosts that it considers alive.
    pub alive: usize,
    /// Number of backend servers that it owns and has sent requests to.
    pub owned: usize,
    /// Number of those that are still warming up.
    pub cold: usize,
    /// Requests in flight at its backend servers.
    pub in_flight: u32,
    /// Sub-requests queued for its backend servers.
    pub queue: usize,
    /// Queries that are not yet answered.
    pub waiting: usize,
}

/// Summary of one service over all processes.
#[derive(Debug, Serialize)]
pub struct Service {
    /// Days, oldest first.
    pub days: Vec<Span>,
    /// The last hour that saw a query.
    pub hour: Option<Span>,
    /// Declines over the days, in words.
    pub declines: Vec<String>,
}

/// Summary of the fleet.
#[derive(Debug, Default, Serialize)]
pub struct Fleet {
    /// The processes that answered.
    pub nodes: Vec<Node>,
    /// Hosts by the revision in force there.
    pub revisions: BTreeMap<id::Revision, BTreeSet<id::Host>>,
    /// Whether each failure domain is in service, by the newest revision.
    pub domains: BTreeMap<id::Domain, bool>,
    /// Hosts that are out of service, by the newest revision.
    pub hosts_out: BTreeSet<id::Host>,
    /// The services that processes have recorded queries for.
    pub services: BTreeMap<id::Service, Service>,
}

impl Fleet {
    /// Summarises the statuses of processes.
    pub fn new(statuses: &[Status]) -> Self {
        let mut fleet = Self::default();
        for status in statuses {
            let view: View = section(status, "view");
            let hosts = fleet.revisions.entry(view.config).or_default();
            hosts.insert(status.host.clone());
            if fleet.revisions.last_key_value().map(|(newest, _)| *newest) == Some(view.config) {
                fleet.domains.clone_from(&view.domains);
                fleet.hosts_out.clone_from(&view.hosts_out);
            }
            fleet.nodes.push(node(status, &view));
        }
        fleet.nodes.sort_by(|a, b| a.host.cmp(&b.host));
        fleet.services = services(statuses);
        fleet
    }

    /// The processes that differ from the others: not ready, at an older revision than the newest, or
    /// with fewer hosts alive than the most that a process reports.
    pub fn unusual(&self) -> impl Iterator<Item = &Node> {
        let newest = self.revisions.keys().next_back().copied();
        let max_alive = self.nodes.iter().map(|node| node.alive).max();
        self.nodes.iter().filter(move |node| {
            !node.ready || Some(node.revision) != newest || Some(node.alive) != max_alive
        })
    }
}

/// Decodes a section of a process's status; the default if the section is missing or malformed.
fn section<T>(status: &Status, name: &str) -> T
where
    T: DeserializeOwned + Default,
{
    let section = status.sections.get(name);
    section
        .and_then(|section| T::deserialize(section).ok())
        .unwrap_or_default()
}

/// Summarises one process.
fn node(status: &Status, view: &View) -> Node {
    let owner: Owner = section(status, "owner");
    let entry: Entry = section(status, "entry");
    let servers = || owner.values();
    Node {
        host: status.host.clone(),
        domain: view.domain.clone(),
        ready: status.ready,
        revision: view.config,
        uptime_s: status.uptime_s,
        alive: view.alive.len(),
        owned: owner.len(),
        cold: servers().filter(|server| !server.warm).count(),
        in_flight: servers().map(|server| server.in_flight).sum(),
        queue: servers().map(|server| server.queue).sum(),
        waiting: entry.waiting,
    }
}

/// Summarises each service over all processes.
fn services(statuses: &[Status]) -> BTreeMap<id::Service, Service> {
    let names: BTreeSet<&id::Service> = statuses.iter().flat_map(|s| s.trend.keys()).collect();
    let rows = |name: &id::Service| {
        let rows = statuses.iter().filter_map(|status| status.trend.get(name));
        rows.cloned().collect::<Vec<_>>()
    };
    let service = |name: &id::Service| {
        let rows = rows(name);
        let days = merge_spans(rows.iter().flat_map(|rows| &rows.days));
        Service {
            declines: find_declines(&days),
            hour: merge_spans(rows.iter().flat_map(|rows| &rows.hours)).pop(),
            days,
        }
    };
    names
        .into_iter()
        .map(|name| (name.clone(), service(name)))
        .collect()
}

/// Merges the spans of several processes that have the same start.
///
/// The 99th percentile is computed from the histograms of all processes, and is at most that of the
/// slowest process. The latter is used if a process does not send its histogram.
pub fn merge_spans<'a, I>(spans: I) -> Vec<Span>
where
    I: Iterator<Item = &'a Span>,
{
    let mut merged: BTreeMap<u64, Span> = BTreeMap::new();
    for span in spans {
        let whole = merged.entry(span.start_s).or_insert_with(|| Span {
            start_s: span.start_s,
            ..Span::default()
        });
        let share = whole.coverage * whole.answers as f64 + span.coverage * span.answers as f64;
        whole.answers += span.answers;
        whole.full += span.full;
        whole.refusals += span.refusals;
        whole.coverage = share / (whole.answers.max(1)) as f64;
        whole.times.add(&span.times);
        whole.p99_ms = whole.p99_ms.max(span.p99_ms);
    }
    let mut merged: Vec<Span> = merged.into_values().collect();
    for whole in &mut merged {
        if whole.times.count() == whole.answers
            && let Some(p99) = whole.times.quantile(0.99)
        {
            whole.p99_ms = whole.p99_ms.min(p99.as_secs_f64() * 1e3);
        }
    }
    merged
}

/// Describes what got worse from the first third of the days to the last.
///
/// In a slow decline no single day looks wrong, and two days differ by chance; means over thirds of
/// a longer time don't. Days without answers have no coverage and are left out.
pub fn find_declines(days: &[Span]) -> Vec<String> {
    let days: Vec<&Span> = days.iter().filter(|day| day.answers > 0).collect();
    if days.len() < MIN_DAYS {
        return Vec::new();
    }
    let third = days.len() / 3;
    let mean = |days: &[&Span], value: fn(&Span) -> f64| {
        let sum: f64 = days.iter().map(|day| value(day)).sum();
        sum / days.len() as f64
    };
    let (first, last) = (&days[..third], &days[days.len() - third..]);
    let coverage = |span: &Span| span.coverage;
    let p99 = |span: &Span| span.p99_ms;
    let mut declines = Vec::new();
    let (old, new) = (mean(first, coverage), mean(last, coverage));
    if old - new >= MIN_COVERAGE_FALL {
        declines.push(format!(
            "coverage fell from {:.2}% to {:.2}% over {} days",
            old * 100.0,
            new * 100.0,
            days.len()
        ));
    }
    let (old, new) = (mean(first, p99), mean(last, p99));
    if new >= old * MIN_P99_FACTOR && old > 0.0 {
        declines.push(format!(
            "p99 rose from {old:.0} ms to {new:.0} ms over {} days",
            days.len()
        ));
    }
    declines
}
