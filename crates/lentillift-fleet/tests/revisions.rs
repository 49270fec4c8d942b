//! Revisions of published values under faults of the service, of links and of processes.

mod common;
#[macro_use]
#[path = "common/table.rs"]
mod table;

use common::Net;
use common::host;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const HOSTS: usize = 9;

const SECOND: Duration = Duration::from_secs(1);

const HEAL: Duration = Duration::from_secs(30);

fn fleet(seed: u64) -> Net {
    let mut net = Net::fleet(seed, HOSTS);
    assert!(net.wait(HEAL, Net::settled).is_some());
    net.run(SECOND);
    net
}

cases! {
    /// Operators take a failure domain out of service. A host that learns of it late would go on
    /// giving that domain's hosts work.
    failure_domain_goes_out_everywhere(net) {
        net.publish_config(2, &["d1"], &[]);
        let out = net.wait(SECOND * 3, |net| {
            (0..HOSTS).all(|number| !net.view(number).alive.contains(&host(1)))
        });
        assert!(out.is_some());
        net.run(SECOND);
        assert!(!net.nodes[&host(5)].ready, "callers are sent elsewhere");
        net.publish_config(3, &[], &[]);
        assert!(net.wait(SECOND * 3, Net::settled).is_some());
    }

    /// The service goes down, and then a process restarts. It would start without a configuration,
    /// or with an older one than the others have.
    restart_while_the_service_is_down(net) {
        net.publish_config(5, &[], &[]);
        net.run(SECOND * 2);
        net.unserved = (0..HOSTS).map(host).collect();
        for number in 0..HOSTS {
            net.kill(number);
            net.run(SECOND);
            net.start(number, number as u16);
            let ready = net.wait(SECOND * 10, |net| net.nodes[&host(number)].ready);
            assert!(ready.is_some());
            assert_eq!(net.revision(number), 5);
        }
    }

    /// The service answers some hosts with a copy from before the latest revision. A host that
    /// restarts there would bring the old revision back.
    stale_service_for_some(net) {
        net.publish_config(4, &[], &[]);
        net.run(SECOND * 2);
        let stale = net.platform.clone();
        for number in [1, 2, 5, 6] {
            net.stale.insert(host(number), stale.clone());
        }
        net.publish_config(6, &["d3"], &[]);
        net.run(SECOND * 3);
        assert!(net.in_force(6));
        // Slow links, so that the service answers long before any peer has sent its full state.
        net.link_delay = SECOND / 5;
        for number in [1, 2, 5, 6] {
            net.kill(number);
            net.start(number, number as u16);
            assert!(net.wait(SECOND * 15, |net| net.nodes[&host(number)].ready).is_some());
            assert_eq!(net.revision(number), 6, "before it takes work");
        }
    }

    /// Operators publish an invalid configuration. It would stop every process, or leave processes
    /// without a configuration.
    invalid_revision_is_refused_and_named(net) {
        let mut body = net.config(2, &["d1"], &[]);
        body.truncate(body.len() / 2);
        net.publish("config", body);
        net.run(SECOND * 5);
        assert!(net.in_force(1));
        net.publish_config(3, &["nowhere"], &[]);
        net.run(SECOND * 5);
        assert!(net.in_force(1));
        let notes: Vec<&str> = net.nodes.values().flat_map(|n| &n.notes).map(|(_, n)| &**n).collect();
        assert!(notes.iter().any(|note| {
            note.starts_with("refused config:")
                && note.contains("domains_out: found \"nowhere\", expected one of \"d0\"")
        }));
        net.publish_config(4, &["d1"], &[]);
        assert!(net.wait(SECOND * 5, |net| net.in_force(4)).is_some());
    }

    /// One key can't be read or has an invalid value. Changes of all other keys would wait for it.
    one_bad_key_keeps_no_other_back(net) {
        net.publish("hosts", b"{".to_vec());
        net.publish_config(2, &[], &[]);
        assert!(net.wait(SECOND * 3, |net| net.in_force(2)).is_some());
    }

    /// Two operators publish within a moment of each other, and some hosts receive the second
    /// revision first.
    two_revisions_close_together(net) {
        net.publish_config(3, &["d1"], &[]);
        net.run(Duration::from_millis(1));
        net.publish_config(2, &["d2"], &[]);
        net.run(SECOND * 5);
        assert!(net.in_force(3));
    }

    /// Two operators publish different contents under one revision, and the service returns one to
    /// some hosts and the other to the rest. Some hosts would keep one and some the other
    /// permanently.
    one_revision_with_two_contents(net) {
        net.publish_config(2, &["d1"], &[]);
        let one = net.platform.clone();
        for number in [1, 2, 5, 6] {
            net.stale.insert(host(number), one.clone());
        }
        net.publish_config(2, &["d2"], &[]);
        net.run(SECOND * 5);
        let view = net.view(0);
        let same = |number| net.view(number).values.config == view.values.config;
        assert!((0..HOSTS).all(same));
        assert_eq!(net.revision(0), 2);
    }
}

/// All hosts but one are served an old copy, so all watchers may be. The fleet must not wait for
/// the watchers for ever.
#[test]
fn one_current_reader_overrides_stale_watchers() {
    // Hosts of one failure domain, of which some watch the service and some don't.
    for number in [0, 4, 8] {
        let mut net = fleet(7);
        let stale = net.platform.clone();
        for other in (0..HOSTS).filter(|other| *other != number) {
            net.stale.insert(host(other), stale.clone());
        }
        net.publish_config(2, &[], &[]);
        assert!(net.wait(SECOND * 35, |net| net.in_force(2)).is_some());
    }
}

/// A fleet of forty is quiet for a minute. If each process watched the service for itself, the
/// service's call limit would be used up as the fleet grows.
#[test]
fn service_calls_are_bounded() {
    let mut net = Net::fleet(9, 40);
    assert!(net.wait(HEAL, Net::settled).is_some());
    let before = net.calls;
    net.run(SECOND * 60);
    let calls = net.calls - before;
    // Two watchers in each of four failure domains, with a watch of one second and a short pause;
    // two polls each from the 32 others.
    assert!(calls <= 8 * 55 + 32 * 2, "{calls} calls");
}

/// Events in a fleet.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Publish(u64),
    Invalid(u64),
    Stale(usize),
    Cut(usize, usize),
    Unserved(usize),
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    Heal,
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..5usize;
    prop_oneof![
        4 => (1..3000u64).prop_map(Step::Run),
        3 => (1..40u64).prop_map(Step::Publish),
        1 => (1..40u64).prop_map(Step::Invalid),
        1 => host().prop_map(Step::Stale),
        2 => (host(), host()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => host().prop_map(Step::Unserved),
        1 => host().prop_map(Step::Kill),
        2 => host().prop_map(Step::Start),
        1 => (host(), 100..4000u64).prop_map(|(host, time)| Step::Pause(host, time)),
        1 => Just(Step::Heal),
    ]
}

fn apply(net: &mut Net, step: &Step) {
    match *step {
        Step::Run(millis) => net.run(Duration::from_millis(millis)),
        Step::Publish(revision) => net.publish_config(revision, &[], &[]),
        Step::Invalid(revision) => net.publish_config(revision, &["nowhere"], &[]),
        Step::Stale(number) => {
            let platform = net.platform.clone();
            net.stale.insert(host(number), platform);
        }
        Step::Cut(from, to) => net.cut(&[from], &[to]),
        Step::Unserved(number) => {
            net.unserved.insert(host(number));
        }
        Step::Kill(number) => net.kill(number),
        Step::Start(number) if net.nodes.contains_key(&host(number)) => {}
        Step::Start(number) => net.start(number, number as u16),
        Step::Pause(number, millis) => net.pause(number, Duration::from_millis(millis)),
        Step::Heal => heal(net),
    }
}

fn heal(net: &mut Net) {
    net.cut.clear();
    net.unserved.clear();
    net.stale.clear();
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Links, processes and the service fail in any order. A revision that decreased at any process
    /// would put a failure domain that was taken out of service to work again.
    #[test]
    fn revisions_never_fall_back(steps in prop::collection::vec(step(), 1..40)) {
        let mut net = Net::fleet(3, 5);
        prop_assert!(net.wait(HEAL, Net::settled).is_some());
        net.loss = 0.05;
        let mut highest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        let mut published = 1;
        for step in &steps {
            if let Step::Publish(revision) = step {
                published = published.max(*revision);
            }
            apply(&mut net, step);
            for number in 0..5 {
                let Some(node) = net.nodes.get(&host(number)) else {
                    continue;
                };
                let process = (number, node.incarnation);
                let revision = net.revision(number);
                let before = highest.insert(process, revision).unwrap_or(0);
                prop_assert!(revision >= before, "host {number}: {before} then {revision}");
                prop_assert!(revision <= published);
            }
        }
        heal(&mut net);
        net.loss = 0.0;
        // The service may hold only an invalid value, and all processes may have been killed.
        apply(&mut net, &Step::Publish(published + 1));
        for number in 0..5 {
            apply(&mut net, &Step::Start(number));
        }
        let agreed = net.wait(Duration::from_secs(90), |net| {
            net.settled() && net.in_force(published + 1)
        });
        prop_assert!(agreed.is_some(), "the fleet did not agree again");
    }
}
