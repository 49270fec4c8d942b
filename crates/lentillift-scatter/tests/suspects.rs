//! Requests under which backend servers end, over modelled servers in virtual time.

mod common;

use common::MS;
use common::NOON;
use common::story::PATIENCE;
use common::story::Way;
use common::story::names;
use common::story::pairs;
use common::story::play;
use common::story::pool;
use common::story::whole;
use lentillift_fleet::quarantine::End;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Kind;
use lentillift_scatter::leg::State;
use lentillift_scatter::outcome::Next;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::query::Query;
use std::sync::Arc;

/// A search that ends each server which runs it ends both replicas of every shard, and no other search is
/// answered until they are back.
macro_rules! spares_replicas {
    ($($name:ident: $after:expr;)*) => {$(
        #[test]
        fn $name() {
            let coverage = 0.89;
            let (mut core, route) = pairs(20, coverage);
            let story = play(&mut core, route, PATIENCE, |_| Way::Ends($after));
            let replicas = story.sent.iter().filter(|id| id.starts_with('b')).count();
            // What an answer may lack, and two more to find out.
            let allowed = (20.0 * (1.0 - coverage)) as usize + 2;
            assert!(replicas <= allowed, "{replicas} of {story:?}");
        }
    )*};
}

spares_replicas! {
    a_search_that_ends_servers_at_once_spares_replicas: MS;
    a_search_that_ends_servers_in_time_spares_replicas: MS * 45;
    a_search_that_ends_servers_late_spares_replicas: MS * 80;
}

/// Requests that were merely there when servers ended. Held for what ended them they would be refused, though
/// other replicas serve them.
macro_rules! serves_bystanders {
    ($($(#[$doc:meta])* $name:ident: $way:expr => $missing:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (mut core, route) = pairs(20, 0.9);
            let objective = route.objective;
            let story = play(&mut core, route.clone(), PATIENCE, $way);
            let answered = matches!(story.next, Next::Answer { missing: $missing, .. });
            assert!(answered && story.took < objective, "{story:?}");
            let again = play(&mut core, route, PATIENCE, |_| Way::Replies(MS * 10));
            assert!(whole(&again), "{again:?}");
        }
    )*};
}

serves_bystanders! {
    one_server_ends: |id| match id {
        "a7" => Way::Ends(MS * 20),
        _ => Way::Replies(MS * 10),
    } => 0;
    a_server_ends_before_the_first_reply: |id| match id {
        "a7" => Way::Ends(MS),
        _ => Way::Replies(MS * 10),
    } => 0;
    a_failure_domain_ends_before_the_first_reply: |id| match id.starts_with('a') {
        true => Way::Ends(MS * 2),
        false => Way::Replies(MS * 10),
    } => 0;
    both_replicas_of_a_shard_end: |id| match id {
        "a7" | "b7" => Way::Ends(MS * 2),
        _ => Way::Replies(MS * 10),
    } => 1;
    servers_break_connections_and_live: |id| match id.starts_with('a') {
        true => Way::Breaks(MS * 2),
        false => Way::Replies(MS * 10),
    } => 0;
}

/// All servers end at once, whatever they were asked. Nobody can be asked to find out, and when they are
/// back the search that its caller asks again has to be served.
#[test]
fn a_search_is_served_after_all_servers_ended() {
    let (mut core, route) = pairs(20, 0.9);
    let story = play(&mut core, route.clone(), PATIENCE, |id| {
        match id.starts_with('a') {
            true => Way::Ends(MS * 2),
            false => Way::Refuses,
        }
    });
    assert!(!whole(&story), "{story:?}");
    let again = play(&mut core, route, PATIENCE, |_| Way::Replies(MS * 10));
    assert!(whole(&again), "{again:?}");
}

/// A request is sent on, each time that its caller comes again, though each server that ran it ended.
macro_rules! stops_fatal_requests {
    ($($name:ident: $world:expr, $servers:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut core, route) = $world;
            let mut sent = 0;
            for _ in 0..10 {
                let story = play(&mut core, route.clone(), PATIENCE, |_| Way::Ends(MS * 45));
                let refused = matches!(story.next, Next::Quarantine(_) | Next::Refuse(_));
                assert_eq!(refused, story.sent.is_empty(), "{story:?}");
                sent += story.sent.len();
            }
            assert_eq!(sent, $servers);
            let last = play(&mut core, route, PATIENCE, |_| Way::Replies(MS));
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

/// Sends wait for connections while the first server ends. They are withheld, which is not the servers' fault, and
/// go out once the canary has been answered.
#[test]
fn sends_that_are_withheld_go_out_after_the_canary() {
    let (mut core, route) = pairs(3, 1.0);
    let route = Arc::new(route);
    let plan = common::plan(
        &mut core,
        &mut Caller::default(),
        &route,
        names(3),
        PATIENCE,
    );
    let (mut query, first) = Query::start(&mut core, plan, NOON);
    let [ends, waits, waits_too] = first.as_slice() else {
        panic!("{first:?}");
    };
    let now = NOON + MS;
    let held = query.ended(&mut core, now, ends.number, Outcome::ServerEnded);
    assert!(held.is_empty(), "{held:?}");
    let held = query.ended(&mut core, now, waits.number, Outcome::Withheld);
    assert!(held.is_empty(), "{held:?}");
    let canary = query.ended(&mut core, now, waits_too.number, Outcome::Withheld);
    assert!(
        matches!(canary.as_slice(), [send] if send.canary),
        "{canary:?}"
    );
    let now = NOON + MS * 10;
    let load = None;
    query.ended(&mut core, now, canary[0].number, Outcome::Part { load });
    let sends = query.tick(&mut core, now);
    assert_eq!(sends.len(), 2, "{sends:?}");
    assert!(
        sends.iter().all(|send| !send.repeat && !send.canary),
        "{sends:?}"
    );
    assert_eq!(query.repeats(), 1);
}

/// Another host asks for shards of a search under which servers ended here. It is told so, and nothing is
/// sent: what it knows decides.
#[test]
fn a_suspect_search_is_not_sent_for_another_host() {
    let (mut core, route) = pairs(5, 1.0);
    let end = |process| End {
        process,
        canary: false,
    };
    let content = common::fingerprint("/q/x");
    core.quarantine
        .record_end(&core.options.quarantine, content, end(1), NOON);
    let view = core.view.clone().expect("a view");
    let plan = Plan::branch(&Arc::new(route), &view, names(5), NOON, NOON + PATIENCE);
    let (query, sends) = Query::start(&mut core, plan.with(content), NOON);
    assert!(sends.is_empty(), "{sends:?}");
    assert!(query.states().all(|state| state == State::Declined));
}
