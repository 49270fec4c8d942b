//! Searches that use branches to other hosts, over modelled backend servers in virtual time.

mod common;

use common::MS;
use common::START;
use common::core;
use common::route;
use common::scatter;
use common::server;
use common::simulation::CALLER_TIMEOUT;
use common::simulation::pairs;
use common::simulation::remote_pairs;
use common::simulation::remote_search;
use common::simulation::search_with;
use common::simulation::service_names;
use common::view;
use lentillift_core::id::Backend;
use lentillift_core::time::Time;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Kind;
use lentillift_scatter::core::Core;
use lentillift_scatter::ledger::Purpose;
use lentillift_scatter::leg::State;
use lentillift_scatter::leg::Target;
use lentillift_scatter::outcome::BranchUpdate;
use lentillift_scatter::outcome::Next;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::query::Query;
use lentillift_scatter::replica::Observation;
use std::sync::Arc;
use std::time::Duration;

/// Shards without a local replica go through one branch. Its host returns all but one shard early;
/// the missing one is requested directly from the other replica, and no third server ever runs it.
#[test]
fn a_late_shard_of_a_branch_is_requested_directly() {
    let (mut core, plan) = remote_search();
    let (mut query, first) = Query::start(&mut core, plan, START);
    let [send] = first.as_slice() else {
        panic!("one send: {first:?}");
    };
    assert!(matches!(&send.target, Target::Host { host, .. } if &**host == "h"));
    let update = BranchUpdate {
        done: vec![0, 1, 3, 4],
        declined: Vec::new(),
        failed: Vec::new(),
        last: false,
    };
    let now = START + send.first_update_after;
    let again = query.ended(&mut core, now, send.id, Outcome::Branch(update));
    let [again] = again.as_slice() else {
        panic!("one more: {again:?}");
    };
    assert!(matches!(&again.target, Target::Server(s) if &*s.entry.id == "c2"));
    let failed = query.ended(&mut core, now + MS, again.id, Outcome::Broken);
    assert!(failed.is_empty(), "a third server: {failed:?}");
    let rest = BranchUpdate {
        done: vec![2],
        declined: Vec::new(),
        failed: Vec::new(),
        last: true,
    };
    query.ended(&mut core, now + MS * 2, send.id, Outcome::Branch(rest));
    let expected = Next::Answer {
        sends: vec![send.id],
        missing: 0,
    };
    assert_eq!(query.next(now + MS * 2), expected);
}

/// The host that was asked has just died. Its shards are requested directly, and the next search
/// does not use that host.
#[test]
fn a_dead_host_is_avoided() {
    let servers = (0..5).map(|n| server(&format!("b{n}"), &format!("s{n}"), "b"));
    let (mut core, plan) = search_with(servers.collect());
    let (mut query, first) = Query::start(&mut core, plan.clone(), START);
    let send_id = first[0].id;
    let direct = query.ended(&mut core, START + MS, send_id, Outcome::Unreachable);
    assert_eq!(direct.len(), 5);
    assert!(
        direct.iter().all(|send| !send.repeat),
        "nothing had arrived"
    );
    let (_, next) = Query::start(&mut core, plan, START + MS);
    assert_eq!(next.len(), 5, "directly: {next:?}");
}

/// Whether a search that begins at `now` uses a branch.
fn uses_a_branch(core: &mut Core, plan: &Plan, now: Time) -> bool {
    let (_, first) = Query::start(core, plan.clone(), now);
    first
        .iter()
        .any(|send| matches!(send.target, Target::Host { .. }))
}

/// Most backend servers reject half of their requests for seconds. A branch host has one replica of
/// each shard to use and loses half of the shards; there are repeats for a fifth, and searches fail
/// because a few shards are missing. Direct sends avoid the servers that rejected before. Once the
/// servers have recovered, branches are used as before.
#[test]
fn branches_stop_while_losses_exceed_repeats() {
    let (mut core, plan) = remote_search();
    let mut now = START;
    for _ in 0..20 {
        core.loss.note(90, 0, now);
        now += MS * 1400;
    }
    assert!(uses_a_branch(&mut core, &plan, now));
    core.loss.note(47, 43, now);
    assert!(!uses_a_branch(&mut core, &plan, now + MS * 1400));
    assert!(!uses_a_branch(&mut core, &plan, now + MS * 4000));
    let later = now + MS * 9000;
    assert!(uses_a_branch(&mut core, &plan, later));
    core.loss.note(47, 43, later);
    assert!(!uses_a_branch(&mut core, &plan, later + MS * 1400));
    let well = later + MS * 9000;
    core.loss.note(90, 0, well);
    assert!(uses_a_branch(&mut core, &plan, well));
}

/// Shards that a branch host reports as lost count towards the loss. Shards that it declined or did
/// not report don't count: it may have died, which says nothing about the servers.
#[test]
fn only_reported_losses_count() {
    let lost = |outcome: Outcome| {
        let (mut core, plan) = remote_search();
        let (mut query, first) = Query::start(&mut core, plan, START);
        let now = START + first[0].first_update_after;
        query.ended(&mut core, now, first[0].id, outcome);
        core.loss.share(now)
    };
    let update = |declined: Vec<usize>, failed: Vec<usize>| {
        Outcome::Branch(BranchUpdate {
            done: vec![0, 1, 2],
            declined,
            failed,
            last: true,
        })
    };
    assert!(lost(update(Vec::new(), vec![3, 4])) > 0.0);
    assert_eq!(lost(update(vec![3, 4], Vec::new())), 0.0);
    assert_eq!(lost(Outcome::Broken), 0.0);
    assert_eq!(lost(Outcome::Unreachable), 0.0);
}

/// The host that serves the caller has counted the requests of a branch towards the budget. If the
/// branch host counted them again, the hosts together would repeat a fifth more than the servers
/// can take.
#[test]
fn a_branch_host_earns_no_repeats() {
    let (mut core, route) = pairs(20, 1.0);
    core.options.budget.extra = 0;
    let view = core.view.clone().expect("a view");
    let services = service_names(20);
    let deadline = START + CALLER_TIMEOUT;
    let plan = Plan::branch(&Arc::new(route), &view, services, START, deadline);
    for _ in 0..20 {
        let (mut query, sends) = Query::start(&mut core, plan.clone(), START);
        assert!(!sends.is_empty());
        for send in sends {
            query.ended(&mut core, START, send.id, Outcome::Part { load: None });
        }
    }
    assert!(!core.spend(&"s0".into(), START, Purpose::Answer));
}

/// Guards against more requests to a cold server than its service allows, from a branch host whose
/// configuration lacks the service and so its limits.
#[test]
fn a_branch_host_declines_services_whose_limits_it_lacks() {
    let (mut core, route) = pairs(2, 1.0);
    let mut view = (*core.view.clone().expect("a view")).clone();
    let mut config = (*view.config).clone();
    config.services.remove("s1");
    view.config = Arc::new(config);
    core.adopt(view.clone());
    let view = Arc::new(view);
    let deadline = START + CALLER_TIMEOUT;
    let plan = Plan::branch(&Arc::new(route), &view, service_names(2), START, deadline);
    let (mut query, sends) = Query::start(&mut core, plan, START);
    let legs: Vec<_> = sends.iter().flat_map(|send| &send.legs).collect();
    assert_eq!(legs, [&0]);
    assert!(query.tick(&mut core, START + MS * 500).is_empty());
    let states: Vec<_> = query.states().collect();
    assert_eq!(states, [State::Open, State::Declined]);
}

/// The local server of a branch host rejects a shard's request. The branch host does not repeat it,
/// locally or elsewhere; the host that serves the caller does.
#[test]
fn a_branch_host_repeats_nothing() {
    let (mut core, route) = pairs(1, 1.0);
    let view = core.view.clone().expect("a view");
    let deadline = START + CALLER_TIMEOUT;
    let plan = Plan::branch(&Arc::new(route), &view, vec!["s0".into()], START, deadline);
    let (mut query, sends) = Query::start(&mut core, plan, START);
    let rejected = Outcome::Rejected { load: None };
    let again = query.ended(&mut core, START + MS, sends[0].id, rejected);
    assert!(again.is_empty());
    assert!(query.tick(&mut core, START + MS * 500).is_empty());
}

/// All hosts have a small share of a processor, and their updates come fifteen milliseconds after
/// they are due, each time. If they counted as late, every part of every search would be requested
/// twice, and the budget would be exhausted when a backend server is slow.
#[test]
fn consistently_slow_hosts_are_waited_for() {
    let route = Arc::new(route(scatter(5, 1.0), Kind::Idempotent));
    let mut core = core(view((*route).clone(), remote_pairs(5)));
    core.hosts.update([("h".into(), "b".into())]);
    let view = core.view.clone().expect("a view");
    let mut now = START;
    let mut last = usize::MAX;
    for _ in 0..40 {
        // Long after the host was last considered late, so that it is asked again.
        now += Duration::from_secs(3);
        let plan = Plan::new(
            &mut core,
            &mut Caller::default(),
            &route,
            &view,
            service_names(5),
            now,
            CALLER_TIMEOUT,
        );
        let (mut query, first) = Query::start(&mut core, plan, now);
        let [send] = first.as_slice() else {
            panic!("one send: {first:?}");
        };
        let arrival = now + send.first_update_after + MS * 15;
        let mut again = 0;
        while let Next::Wait(due) = query.next(now)
            && due < arrival
        {
            now = due;
            again += query.tick(&mut core, now).len();
        }
        now = arrival;
        let update = BranchUpdate {
            done: vec![0, 1, 2, 3, 4],
            declined: Vec::new(),
            failed: Vec::new(),
            last: true,
        };
        query.ended(&mut core, now, send.id, Outcome::Branch(update));
        query.abandon(&mut core, now);
        last = again;
    }
    assert_eq!(last, 0, "asked again before the host's usual time");
}

/// A backend server crashed while the publishing service was unavailable, and another one has its
/// address. The branch host had no other local replica for its shard and tried it with every
/// search, and so did late searches. 426 requests in ten seconds came to the other server, whose
/// service may get 235 more than there are searches. Each log line of a branch showed
/// `another server's address`.
#[test]
fn an_address_of_another_server_is_tried_once() {
    let (mut core, plan) = search_with(remote_pairs(5));
    core.options.branches = false;
    let mut tried = 0;
    for search in 0..50 {
        let now = START + MS * 100 * search;
        let plan = Plan {
            arrived: now,
            deadline: now + CALLER_TIMEOUT,
            branches: false,
            ..plan.clone()
        };
        let (mut query, mut sends) = Query::start(&mut core, plan, now);
        while let Some(send) = sends.pop() {
            let Target::Server(server) = &send.target else {
                panic!("directly: {send:?}");
            };
            let outcome = match &*server.entry.id {
                "b2" => Outcome::Misdirected,
                _ => Outcome::Part { load: None },
            };
            tried += u32::from(outcome == Outcome::Misdirected);
            sends.extend(query.ended(&mut core, now + MS, send.id, outcome));
        }
    }
    assert_eq!(tried, 1);
    // Once it is published with another process start, it is tried again.
    let mut latest = (**core.view.as_ref().expect("a view")).clone();
    let mut again = (*server("b2", "s2", "b")).clone();
    again.entry.process_start_ms = 2;
    latest.servers.insert("s2".into(), vec![Arc::new(again)]);
    core.adopt(latest);
    let view = core.view.clone().expect("a view");
    let now = START + Duration::from_secs(60);
    let typical = MS * 10;
    let choice = core.choose(&view, &"s2".into(), typical, now, |_| true);
    assert!(choice.is_some());
}

/// The local replica of a shard can't be reached and is backed off. A branch host declines the
/// shard at once, which costs nothing, and the host that asked uses the other replica.
#[test]
fn a_branch_host_uses_no_server_that_is_backed_off() {
    let (mut core, _) = pairs(3, 1.0);
    core.domain = "a".into();
    let down: Backend = "a1".into();
    for send_id in 0..5 {
        let replica = core.replicas.get(&down);
        replica.ended(send_id, START, Observation::Unreachable, None);
    }
    let route = Arc::new(route(scatter(3, 1.0), Kind::Idempotent));
    let view = core.view.clone().expect("a view");
    let plan = Plan::branch(
        &route,
        &view,
        service_names(3),
        START,
        START + CALLER_TIMEOUT,
    );
    let (query, first) = Query::start(&mut core, plan, START);
    assert_eq!(first.len(), 2, "{first:?}");
    let states: Vec<State> = query.states().collect();
    assert_eq!(states[1], State::Declined);
}

/// The same, but detected with the search's own send.
#[test]
fn a_branch_host_declines_what_it_could_not_reach() {
    let (mut core, _) = pairs(3, 1.0);
    core.domain = "a".into();
    let route = Arc::new(route(scatter(3, 1.0), Kind::Idempotent));
    let view = core.view.clone().expect("a view");
    let plan = Plan::branch(
        &route,
        &view,
        service_names(3),
        START,
        START + CALLER_TIMEOUT,
    );
    let (mut query, first) = Query::start(&mut core, plan, START);
    let send_id = first[1].id;
    let again = query.ended(&mut core, START + MS, send_id, Outcome::Unreachable);
    assert!(again.is_empty(), "{again:?}");
    let states: Vec<State> = query.states().collect();
    assert_eq!(states[1], State::Declined);
}

/// A branch host declines one shard at once, since its server is gone, and works on the others.
/// Only that one is requested elsewhere; if the others counted as late, all of them would be sent
/// twice.
#[test]
fn an_early_update_makes_no_shard_late() {
    let (mut core, plan) = remote_search();
    let (mut query, first) = Query::start(&mut core, plan, START);
    let update = BranchUpdate {
        done: Vec::new(),
        declined: vec![2],
        failed: Vec::new(),
        last: false,
    };
    let again = query.ended(&mut core, START + MS, first[0].id, Outcome::Branch(update));
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].legs, [2]);
    assert!(!again[0].repeat, "nothing had been sent for it");
}

/// The local server of a branch host is permanently slow, and the host knows it. If the request
/// went there, the asking host would have to repeat each one, and the budget would soon be
/// exhausted.
#[test]
fn a_branch_host_declines_a_slow_server() {
    let (mut core, route) = pairs(1, 1.0);
    let view = core.view.clone().expect("a view");
    let route = Arc::new(route);
    let typical = core.reply_times(&route).typical;
    let mut now = START;
    for _ in 0..4 {
        let plan = Plan::branch(&route, &view, vec!["s0".into()], now, now + CALLER_TIMEOUT);
        let (mut query, sends) = Query::start(&mut core, plan, now);
        let Some(send) = sends.first() else {
            let state = query.states().next();
            assert_eq!(state, Some(State::Declined));
            return;
        };
        now += typical * 8;
        let part = Outcome::Part { load: None };
        query.ended(&mut core, now, send.id, part);
    }
    panic!("sent to a slow server again and again");
}

/// A failure domain is evacuated. Shards without a local replica go through a host of another
/// domain; a host of the evacuated one would only decline.
#[test]
fn hosts_of_an_evacuated_domain_are_not_asked() {
    let servers = remote_pairs(5);
    let route = route(scatter(5, 1.0), Kind::Idempotent);
    let mut latest = view(route.clone(), servers);
    latest.evacuated.insert("b".into());
    let mut core = core(latest);
    core.hosts
        .update([("hb".into(), "b".into()), ("hc".into(), "c".into())]);
    let view = core.view.clone().expect("a view");
    let services = service_names(5);
    let plan = Plan::new(
        &mut core,
        &mut Caller::default(),
        &Arc::new(route),
        &view,
        services,
        START,
        CALLER_TIMEOUT,
    );
    let (_, sends) = Query::start(&mut core, plan, START);
    let [send] = sends.as_slice() else {
        panic!("one send: {sends:?}");
    };
    assert!(matches!(&send.target, Target::Host { host, .. } if &**host == "hc"));
}
