//! Reports on slow backend servers between hosts.

mod common;

use common::MS;
use common::START;
use common::core;
use common::route;
use common::scatter;
use common::server;
use common::view;
use lentillift_core::time::Time;
use lentillift_scatter::config::Kind;
use lentillift_scatter::core::Core;
use lentillift_scatter::replica::Observation;
use std::time::Duration;

const TYPICAL: Duration = Duration::from_millis(10);

/// Number of shards, each with a server in this host's failure domain and one in another.
const SERVERS: usize = 10;

fn host() -> Core {
    let servers = (0..SERVERS).flat_map(|n| {
        let service = format!("s{n}");
        [("near", "a"), ("far", "b")]
            .map(|(name, domain)| server(&format!("{name}{n}"), &service, domain))
    });
    let route = route(scatter(SERVERS, 1.0), Kind::Idempotent);
    let mut host = core(view(route, servers.collect()));
    for n in 0..SERVERS {
        choice(&mut host, n, START);
    }
    host
}

fn choice(host: &mut Core, shard: usize, now: Time) -> String {
    let view = host.view.clone().expect("a view");
    let service = format!("s{shard}").as_str().into();
    let choice = host.choose(&view, &service, TYPICAL, now, |_| true);
    choice.expect("a server").server.entry.id.to_string()
}

/// Makes `count` sequential sends to the local server of a shard, all with this slowness.
fn replies(host: &mut Core, shard: usize, from: Time, count: u32, slowness: f64) -> Time {
    let backend = format!("near{shard}").as_str().into();
    let mut now = from;
    for _ in 0..count {
        let send_id = host.next_send_id();
        host.replicas.get(&backend).sent(send_id, now);
        now += TYPICAL.mul_f64(slowness);
        host.ended(
            send_id,
            &backend,
            Observation::Replied { slowness },
            now,
            None,
        );
    }
    now
}

/// A host that has observed one slow server and nine healthy ones.
fn observer() -> (Core, Time) {
    let mut host = host();
    for shard in 1..SERVERS {
        replies(&mut host, shard, START, 2, 1.0);
    }
    let now = replies(&mut host, 0, START, 4, 9.0);
    (host, now)
}

/// A host with one search a second would detect the slow server on its own only when it has
/// recovered, and until then each of its searches would have one late part.
#[test]
fn a_host_with_a_report_avoids_a_slow_server() {
    let (observer, now) = observer();
    let reports = observer.replicas.reports(now);
    let [report] = reports.as_slice() else {
        panic!("one server is slow: {reports:?}");
    };
    assert_eq!(&*report.backend, "near0");
    let mut other = host();
    assert_eq!(choice(&mut other, 0, now), "near0");
    other.replicas.merge_reports(&reports, now + MS);
    assert_eq!(choice(&mut other, 0, now + MS), "far0");
    assert_eq!(choice(&mut other, 1, now + MS), "near1");
}

/// Three hosts forward the same report ten times a second. Its age must not be reset by that: the
/// server would never be tried again.
#[test]
fn forwarded_reports_expire() {
    let (first, start) = observer();
    let mut hosts = [first, host(), host()];
    let mut now = start;
    for round in 0..60 {
        let reports = hosts[round % 3].replicas.reports(now);
        now += MS * 5;
        hosts[(round + 1) % 3].replicas.merge_reports(&reports, now);
        now += MS * 95;
    }
    for host in &mut hosts {
        assert_eq!(choice(host, 0, now), "near0");
    }
}

/// A host is stopped for some seconds and finds every server slow. Its reports would move the
/// requests of the whole fleet to servers in other failure domains.
#[test]
fn a_host_that_finds_most_servers_slow_reports_none() {
    let mut host = host();
    let mut now = START;
    for shard in 0..SERVERS {
        now = now.max(replies(&mut host, shard, START, 4, 9.0));
    }
    assert_eq!(host.replicas.reports(now), []);
}

/// A host has no recent observations of its own and receives a report on a slow server. It still
/// has to forward the report: the next host asks this one, not the one that made the observation.
#[test]
fn reports_are_forwarded_by_a_host_without_observations() {
    let (observer, now) = observer();
    let mut between = host();
    between
        .replicas
        .merge_reports(&observer.replicas.reports(now), now);
    let mut last = host();
    last.replicas
        .merge_reports(&between.replicas.reports(now + MS), now + MS);
    assert_eq!(choice(&mut last, 0, now + MS), "far0");
}

/// The server has recovered and a host has just observed it. An older report must not override
/// that.
#[test]
fn a_recent_own_observation_overrides_an_older_report() {
    let (observer, reported_at) = observer();
    let mut other = host();
    let observed_at = replies(&mut other, 0, reported_at + MS * 100, 2, 1.0);
    let reports = observer.replicas.reports(observed_at);
    assert_eq!(reports.len(), 1);
    other.replicas.merge_reports(&reports, observed_at);
    assert_eq!(choice(&mut other, 0, observed_at), "near0");
}

/// A peer reports servers that were never published. They would fill the memory.
#[test]
fn unknown_servers_are_not_kept() {
    let (observer, now) = observer();
    let mut reports = observer.replicas.reports(now);
    reports[0].backend = "made-up".into();
    let mut other = host();
    other.replicas.merge_reports(&reports, now);
    assert_eq!(other.replicas.reports(now), []);
}

/// A server stops answering and is backed off by the host that uses it most. Hosts that use it once
/// in four seconds would each lose three requests before they back off too.
#[test]
fn a_server_that_is_backed_off_is_reported() {
    let (mut observer, mut now) = observer();
    let backend = "near1".into();
    for pause in [0, 0, 400, 800] {
        let send_id = observer.next_send_id();
        observer.replicas.get(&backend).sent(send_id, now);
        now += MS * 200;
        observer.ended(send_id, &backend, Observation::Failed, now, None);
        now += MS * pause;
    }
    let send_id = observer.next_send_id();
    observer.replicas.get(&backend).sent(send_id, now);
    observer.ended(send_id, &backend, Observation::Failed, now, None);
    // By now the failure rate alone would say that it has recovered.
    now += MS * 1200;
    for shard in 2..SERVERS {
        replies(&mut observer, shard, now - TYPICAL * 2, 2, 1.0);
    }
    let reports = observer.replicas.reports(now);
    let named = |report: &lentillift_scatter::report::Report| report.backend == backend;
    assert!(reports.iter().any(named), "{reports:?}");
    let mut other = host();
    other.replicas.merge_reports(&reports, now);
    assert_eq!(choice(&mut other, 1, now), "far1");
}
