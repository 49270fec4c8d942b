//! Searches that other hosts are asked for parts of, over modelled backend servers in virtual time.

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

/// Shards without a replica here are asked for through one host. It tells of all but one shard early;
/// the missing one is asked for directly at the other replica, and no third server ever runs it.
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

/// The host that was asked has just died. Its shards are asked for directly, and the next search
/// does not go through it.
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

/// Whether a search that begins at `now` goes to another host.
fn uses_a_branch(core: &mut Core, plan: &Plan, now: Time) -> bool {
    let (_, first) = Query::start(core, plan.clone(), now);
    first
        .iter()
        .any(|send| matches!(send.target, Target::Host { .. }))
}

/// Most backend servers turn half of their requests away for seconds. The host that is asked has one replica
/// of each shard to send to and loses half of the shards; there are repeats for a fifth, and searches fail
/// for want of a few. Sent directly, each goes round the servers that turned it away before. Once the
/// servers are well again, hosts are asked as before.
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

/// What a host that was asked tells of lost shards counts, what it declined or did not tell does not: it
/// may have died, which says nothing of the servers.
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

/// A host is asked for shards by another one, which has counted their requests for the budget. Were
/// they counted again here, the hosts together would repeat a fifth more than the servers bear.
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

/// The server near the host that is asked turns a shard's request away. That host does not repeat it,
/// here or elsewhere; the one that has the caller does.
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

/// All hosts have a small share of a processor, and their answers come fifteen milliseconds after they
/// are due, each time. Held for late, every part of every search is asked for twice, and the budget is
/// gone when a backend server is slow.
#[test]
fn consistently_slow_hosts_are_waited_for() {
    let route = Arc::new(route(scatter(5, 1.0), Kind::Idempotent));
    let mut core = core(view((*route).clone(), remote_pairs(5)));
    core.hosts.update([("h".into(), "b".into())]);
    let view = core.view.clone().expect("a view");
    let mut now = START;
    let mut last = usize::MAX;
    for _ in 0..40 {
        // Long after the host was last held for late, so that it is asked again.
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

/// A backend server crashed while the service that publishes is away, and another one has its address. The
/// host that was asked for its shard had no other replica near, and tried it with every search; so did
/// late searches. 426 requests in ten seconds came to the other server, whose service may get 235 more than
/// there are searches. Lines of branches showed `another server's address` in each of them.
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
    // Published anew, it is asked again.
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

/// The near replica of a shard can't be reached and is left alone. A host that is asked declines the shard
/// at once, which costs nothing, and whoever asked goes to the other replica.
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

/// The same, found out with the search's own send.
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

/// A host that is asked declines one shard at once, since its server is gone, and works on the others.
/// Only that one is asked for elsewhere; taken for late, all the others would be sent twice.
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

/// The server near the host that is asked is slow for good, and that host knows. Sent there, each
/// request would have to be repeated by the asking host, and the budget would soon be gone.
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

/// A failure domain is taken out of service. Shards that have no replica here are asked for through a host
/// of another one; the host in the domain that is out would only decline.
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
