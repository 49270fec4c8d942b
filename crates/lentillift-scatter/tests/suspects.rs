//! Requests during which backend servers end, over modelled servers in virtual time.

mod common;

use common::MS;
use common::START;
use common::simulation::Behavior;
use common::simulation::CALLER_TIMEOUT;
use common::simulation::is_complete;
use common::simulation::pairs;
use common::simulation::pool;
use common::simulation::service_names;
use common::simulation::simulate;
use lentillift_fleet::quarantine::End;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Kind;
use lentillift_scatter::leg::State;
use lentillift_scatter::outcome::Next;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::query::Query;
use std::sync::Arc;

/// A search that ends each server which runs it ends both replicas of every shard, and no other
/// search is answered until they are up again.
macro_rules! spares_replicas {
    ($($name:ident: $after:expr;)*) => {$(
        #[test]
        fn $name() {
            let coverage = 0.89;
            let (mut core, route) = pairs(20, coverage);
            let run = simulate(&mut core, route, CALLER_TIMEOUT, |_| Behavior::Ends($after));
            let replicas = run.sent.iter().filter(|id| id.starts_with('b')).count();
            // What an answer may lack, and two canaries.
            let allowed = (20.0 * (1.0 - coverage)) as usize + 2;
            assert!(replicas <= allowed, "{replicas} of {run:?}");
        }
    )*};
}

spares_replicas! {
    a_search_that_ends_servers_at_once_spares_replicas: MS;
    a_search_that_ends_servers_in_time_spares_replicas: MS * 45;
    a_search_that_ends_servers_late_spares_replicas: MS * 80;
}

/// Harmless requests were in flight when servers ended. If they were blamed for it they would be
/// refused, though other replicas can serve them.
macro_rules! serves_harmless_requests {
    ($($(#[$doc:meta])* $name:ident: $behavior:expr => $missing:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (mut core, route) = pairs(20, 0.9);
            let objective = route.objective;
            let run = simulate(&mut core, route.clone(), CALLER_TIMEOUT, $behavior);
            let answered = matches!(run.next, Next::Answer { missing: $missing, .. });
            assert!(answered && run.took < objective, "{run:?}");
            let again = simulate(&mut core, route, CALLER_TIMEOUT, |_| Behavior::Replies(MS * 10));
            assert!(is_complete(&again), "{again:?}");
        }
    )*};
}

serves_harmless_requests! {
    one_server_ends: |id| match id {
        "a7" => Behavior::Ends(MS * 20),
        _ => Behavior::Replies(MS * 10),
    } => 0;
    a_server_ends_before_the_first_reply: |id| match id {
        "a7" => Behavior::Ends(MS),
        _ => Behavior::Replies(MS * 10),
    } => 0;
    a_failure_domain_ends_before_the_first_reply: |id| match id.starts_with('a') {
        true => Behavior::Ends(MS * 2),
        false => Behavior::Replies(MS * 10),
    } => 0;
    both_replicas_of_a_shard_end: |id| match id {
        "a7" | "b7" => Behavior::Ends(MS * 2),
        _ => Behavior::Replies(MS * 10),
    } => 1;
    servers_break_connections_and_live: |id| match id.starts_with('a') {
        true => Behavior::Breaks(MS * 2),
        false => Behavior::Replies(MS * 10),
    } => 0;
}

/// All servers end at once, for a reason unrelated to the search. No server is left for a canary,
/// and when they are up again the search has to be served when its caller retries it.
#[test]
fn a_search_is_served_after_all_servers_ended() {
    let (mut core, route) = pairs(20, 0.9);
    let run = simulate(&mut core, route.clone(), CALLER_TIMEOUT, |id| {
        match id.starts_with('a') {
            true => Behavior::Ends(MS * 2),
            false => Behavior::Refuses,
        }
    });
    assert!(!is_complete(&run), "{run:?}");
    let again = simulate(&mut core, route, CALLER_TIMEOUT, |_| {
        Behavior::Replies(MS * 10)
    });
    assert!(is_complete(&again), "{again:?}");
}

/// A request is sent on each time that its caller retries it, though each server that ran it ended.
macro_rules! stops_fatal_requests {
    ($($name:ident: $world:expr, $servers:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut core, route) = $world;
            let mut sent = 0;
            for _ in 0..10 {
                let run =
                    simulate(&mut core, route.clone(), CALLER_TIMEOUT, |_| Behavior::Ends(MS * 45));
                let refused = matches!(run.next, Next::Quarantine(_) | Next::Refuse(_));
                assert_eq!(refused, run.sent.is_empty(), "{run:?}");
                sent += run.sent.len();
            }
            assert_eq!(sent, $servers);
            let last = simulate(&mut core, route, CALLER_TIMEOUT, |_| Behavior::Replies(MS));
            assert!(matches!(last.next, Next::Quarantine(_)), "{last:?}");
        }
    )*};
}

stops_fatal_requests! {
    // One replica of each shard, and two canaries.
    a_fatal_search_ends_one_replica_of_each_shard: pairs(20, 0.89), 22;
    // One hedge for the shard that an answer may lack, and two canaries.
    a_fatal_search_of_two_shards: pairs(2, 0.5), 5;
    // The first send, its hedge, and two canaries.
    a_fatal_request_to_one_service: pool(9, Kind::Idempotent), 4;
    a_fatal_action: pool(9, Kind::Once), 3;
}

/// Sends wait for connections while the first server ends. They are withheld, which is not the
/// servers' fault, and go out once the canary has been answered.
#[test]
fn sends_that_are_withheld_go_out_after_the_canary() {
    let (mut core, route) = pairs(3, 1.0);
    let route = Arc::new(route);
    let plan = common::plan(
        &mut core,
        &mut Caller::default(),
        &route,
        service_names(3),
        CALLER_TIMEOUT,
    );
    let (mut query, first) = Query::start(&mut core, plan, START);
    let [ends, waits, waits_too] = first.as_slice() else {
        panic!("{first:?}");
    };
    let now = START + MS;
    let held = query.ended(&mut core, now, ends.id, Outcome::ServerEnded);
    assert!(held.is_empty(), "{held:?}");
    let held = query.ended(&mut core, now, waits.id, Outcome::Withheld);
    assert!(held.is_empty(), "{held:?}");
    let canary = query.ended(&mut core, now, waits_too.id, Outcome::Withheld);
    assert!(
        matches!(canary.as_slice(), [send] if send.canary),
        "{canary:?}"
    );
    let now = START + MS * 10;
    let load = None;
    query.ended(&mut core, now, canary[0].id, Outcome::Part { load });
    let sends = query.tick(&mut core, now);
    assert_eq!(sends.len(), 2, "{sends:?}");
    assert!(
        sends.iter().all(|send| !send.repeat && !send.canary),
        "{sends:?}"
    );
    assert_eq!(query.repeats(), 1);
}

/// Another host asks for shards of a search during which servers ended here. This host declines
/// them and sends nothing: the asking host decides.
#[test]
fn a_suspect_search_is_not_sent_for_another_host() {
    let (mut core, route) = pairs(5, 1.0);
    let end = |process| End {
        process,
        canary: false,
    };
    let content = common::fingerprint("/q/x");
    core.quarantine
        .record_end(&core.options.quarantine, content, end(1), START);
    let view = core.view.clone().expect("a view");
    let plan = Plan::branch(
        &Arc::new(route),
        &view,
        service_names(5),
        START,
        START + CALLER_TIMEOUT,
    );
    let (query, sends) = Query::start(&mut core, plan.with_fingerprint(content), START);
    assert!(sends.is_empty(), "{sends:?}");
    assert!(query.states().all(|state| state == State::Declined));
}
