//! What hosts tell each other of slow backend servers.

mod common;

use common::MS;
use common::NOON;
use common::core;
use common::route;
use common::scatter;
use common::server;
use common::view;
use lentillift_core::time::Time;
use lentillift_scatter::config::Kind;
use lentillift_scatter::core::Core;
use lentillift_scatter::replica::Sign;
use std::time::Duration;

const TYPICAL: Duration = Duration::from_millis(10);

/// Servers, each of a shard of its own, in this host's failure domain and in another.
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
        choice(&mut host, n, NOON);
    }
    host
}

fn choice(host: &mut Core, shard: usize, now: Time) -> String {
    let view = host.view.clone().expect("a view");
    let service = format!("s{shard}").as_str().into();
    let choice = host.choose(&view, &service, TYPICAL, now, |_| true);
    choice.expect("a server").server.entry.id.to_string()
}

/// Replies of the server near this host, one after the other.
fn replies(host: &mut Core, shard: usize, from: Time, count: u32, slowness: f64) -> Time {
    let backend = format!("near{shard}").as_str().into();
    let mut now = from;
    for _ in 0..count {
        let number = host.number();
        host.replicas.get(&backend).sent(number, now);
        now += TYPICAL.mul_f64(slowness);
        host.ended(number, &backend, Sign::Replied { slowness }, now, None);
    }
    now
}

/// A host that has met one slow server and nine that are well.
fn witness() -> (Core, Time) {
    let mut host = host();
    for shard in 1..SERVERS {
        replies(&mut host, shard, NOON, 2, 1.0);
    }
    let now = replies(&mut host, 0, NOON, 4, 9.0);
    (host, now)
}

/// A host with a search a second would find out by itself when the server is well again, and each of
/// its searches would be late by one part in the meantime.
#[test]
fn a_host_that_was_told_goes_round_a_slow_server() {
    let (witness, now) = witness();
    let reports = witness.replicas.reports(now);
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

/// Three hosts pass the same word around ten times a second. It must not become younger by that: the
/// server would never be tried again.
#[test]
fn word_that_is_passed_around_fades() {
    let (first, start) = witness();
    let mut hosts = [first, host(), host()];
    let mut now = start;
    for turn in 0..60 {
        let reports = hosts[turn % 3].replicas.reports(now);
        now += MS * 5;
        hosts[(turn + 1) % 3].replicas.merge_reports(&reports, now);
        now += MS * 95;
    }
    for host in &mut hosts {
        assert_eq!(choice(host, 0, now), "near0");
    }
}

/// A host stands still for some seconds and finds every server slow. Its word would send the whole fleet
/// to servers in other failure domains.
#[test]
fn a_host_that_finds_most_servers_slow_keeps_it_to_itself() {
    let mut host = host();
    let mut now = NOON;
    for shard in 0..SERVERS {
        now = now.max(replies(&mut host, shard, NOON, 4, 9.0));
    }
    assert_eq!(host.replicas.reports(now), []);
}

/// A host has asked nobody lately, and is told of a slow server. That it knows of nothing else is no
/// reason to keep it to itself: the next host asks this one, not the one that found out.
#[test]
fn word_is_passed_on_by_a_host_that_saw_nothing() {
    let (witness, now) = witness();
    let mut between = host();
    between
        .replicas
        .merge_reports(&witness.replicas.reports(now), now);
    let mut last = host();
    last.replicas
        .merge_reports(&between.replicas.reports(now + MS), now + MS);
    assert_eq!(choice(&mut last, 0, now + MS), "far0");
}

/// The server has recovered and a host has just seen it. Older word must not outweigh that.
#[test]
fn what_a_host_saw_itself_just_now_holds() {
    let (witness, told) = witness();
    let mut other = host();
    let seen = replies(&mut other, 0, told + MS * 100, 2, 1.0);
    let reports = witness.replicas.reports(seen);
    assert_eq!(reports.len(), 1);
    other.replicas.merge_reports(&reports, seen);
    assert_eq!(choice(&mut other, 0, seen), "near0");
}

/// A peer names servers that nobody published. They would fill the memory.
#[test]
fn unknown_servers_are_not_kept() {
    let (witness, now) = witness();
    let mut reports = witness.replicas.reports(now);
    reports[0].backend = "made-up".into();
    let mut other = host();
    other.replicas.merge_reports(&reports, now);
    assert_eq!(other.replicas.reports(now), []);
}

/// A server has fallen silent and is left alone for a while by the host that asks it most. Hosts that ask
/// it once in four seconds would each lose three requests before they do the same.
#[test]
fn a_server_that_is_left_alone_is_told_of() {
    let (mut witness, mut now) = witness();
    let backend = "near1".into();
    for pause in [0, 0, 400, 800] {
        let number = witness.number();
        witness.replicas.get(&backend).sent(number, now);
        now += MS * 200;
        witness.ended(number, &backend, Sign::Failed, now, None);
        now += MS * pause;
    }
    let number = witness.number();
    witness.replicas.get(&backend).sent(number, now);
    witness.ended(number, &backend, Sign::Failed, now, None);
    // By now the share of failures alone would say that it is well again.
    now += MS * 1200;
    for shard in 2..SERVERS {
        replies(&mut witness, shard, now - TYPICAL * 2, 2, 1.0);
    }
    let reports = witness.replicas.reports(now);
    let named = |report: &lentillift_scatter::report::Report| report.backend == backend;
    assert!(reports.iter().any(named), "{reports:?}");
    let mut other = host();
    other.replicas.merge_reports(&reports, now);
    assert_eq!(choice(&mut other, 1, now), "far1");
}
