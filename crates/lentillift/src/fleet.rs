//! The fleet at a glance, put together from the status of each process.

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

/// Days at least before anything is said about a decline.
const LEAST_DAYS: usize = 3;

/// Fall of the mean coverage that counts as a decline.
///
/// One document in a thousand that is no longer found is what families notice first.
const FALL: f64 = 0.001;

/// Rise of the 99th percentile that counts as a decline, as a factor.
const RISE: f64 = 1.1;

/// One process at a glance.
#[derive(Debug, Serialize)]
pub struct Node {
    /// Its host.
    pub host: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it serves callers.
    pub ready: bool,
    /// Revision of the configuration in force.
    pub revision: id::Revision,
    /// Time since its start, in seconds.
    pub uptime_s: u64,
    /// Hosts that it holds to be alive.
    pub alive: usize,
    /// Backend servers that it owns and has used.
    pub owned: usize,
    /// Those of them that are not warm.
    pub cold: usize,
    /// Requests in flight at its backend servers.
    pub in_flight: u32,
    /// Sub-requests that wait for its backend servers.
    pub queue: usize,
    /// Queries whose callers wait.
    pub waiting: usize,
}

/// One service over all processes.
#[derive(Debug, Serialize)]
pub struct Service {
    /// Days, oldest first.
    pub days: Vec<Span>,
    /// The last hour that saw a query.
    pub hour: Option<Span>,
    /// What declines, in words.
    pub declines: Vec<String>,
}

/// The fleet at a glance.
#[derive(Debug, Default, Serialize)]
pub struct Fleet {
    /// The processes that answered.
    pub nodes: Vec<Node>,
    /// Hosts by the revision in force there.
    pub revisions: BTreeMap<id::Revision, BTreeSet<id::Host>>,
    /// Failure domains, by the newest revision: whether each is in service.
    pub domains: BTreeMap<id::Domain, bool>,
    /// Hosts that are out of service, by the newest revision.
    pub hosts_out: BTreeSet<id::Host>,
    /// The services.
    pub services: BTreeMap<id::Service, Service>,
}

impl Fleet {
    /// Puts the status of processes together.
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

    /// The processes that are not as the others: not ready, behind, or seeing fewer hosts.
    pub fn unusual(&self) -> impl Iterator<Item = &Node> {
        let newest = self.revisions.keys().next_back().copied();
        let most = self.nodes.iter().map(|node| node.alive).max();
        self.nodes.iter().filter(move |node| {
            !node.ready || Some(node.revision) != newest || Some(node.alive) != most
        })
    }
}

/// A section of a process's status; empty if it has none yet.
fn section<T>(status: &Status, name: &str) -> T
where
    T: DeserializeOwned + Default,
{
    let section = status.sections.get(name);
    section
        .and_then(|section| T::deserialize(section).ok())
        .unwrap_or_default()
}

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

fn services(statuses: &[Status]) -> BTreeMap<id::Service, Service> {
    let names: BTreeSet<&id::Service> = statuses.iter().flat_map(|s| s.trend.keys()).collect();
    let rows = |name: &id::Service| {
        let rows = statuses.iter().filter_map(|status| status.trend.get(name));
        rows.cloned().collect::<Vec<_>>()
    };
    let service = |name: &id::Service| {
        let rows = rows(name);
        let days = merged(rows.iter().flat_map(|rows| &rows.days));
        Service {
            declines: declines(&days),
            hour: merged(rows.iter().flat_map(|rows| &rows.hours)).pop(),
            days,
        }
    };
    names
        .into_iter()
        .map(|name| (name.clone(), service(name)))
        .collect()
}

/// Spans of several processes put together by their start.
///
/// The 99th percentile of the whole is worked out from the counts of all processes. It is never above
/// that of the worst one, which stands in where a process does not tell its counts.
pub fn merged<'a, I>(spans: I) -> Vec<Span>
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

/// What gets worse from the first third of the days to the last, in words.
///
/// No single day looks wrong in a slow decline, and two days differ by chance; thirds of a longer
/// time don't. Days without an answer say nothing about coverage and are left out.
pub fn declines(days: &[Span]) -> Vec<String> {
    let days: Vec<&Span> = days.iter().filter(|day| day.answers > 0).collect();
    if days.len() < LEAST_DAYS {
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
    if old - new >= FALL {
        declines.push(format!(
            "coverage fell from {:.2}% to {:.2}% over {} days",
            old * 100.0,
            new * 100.0,
            days.len()
        ));
    }
    let (old, new) = (mean(first, p99), mean(last, p99));
    if new >= old * RISE && old > 0.0 {
        declines.push(format!(
            "p99 rose from {old:.0} ms to {new:.0} ms over {} days",
            days.len()
        ));
    }
    declines
}
