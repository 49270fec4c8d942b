//! One request from its arrival to its answer, over modelled backend servers in virtual time.

mod common;

use common::MS;
use common::route;
use common::scatter;
use common::simulation::Behavior;
use common::simulation::CALLER_TIMEOUT;
use common::simulation::is_complete;
use common::simulation::pairs;
use common::simulation::pool;
use common::simulation::simulate;
use lentillift_scatter::config::Kind;
use lentillift_scatter::outcome::Next;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn every_shard_is_sent_once_to_the_local_replica() {
    let (mut core, route) = pairs(20, 1.0);
    let run = simulate(&mut core, route, CALLER_TIMEOUT, |_| {
        Behavior::Replies(MS * 5)
    });
    assert!(is_complete(&run), "{run:?}");
    assert_eq!(run.sent.len(), 20);
    assert!(run.sent.iter().all(|id| id.starts_with('a')));
}

/// One backend server pauses for a moment, as each does every few seconds. Without a hedge the
/// whole search would take as long as the pause.
#[test]
fn a_paused_server_is_hedged() {
    let (mut core, route) = pairs(20, 1.0);
    let run = simulate(&mut core, route, CALLER_TIMEOUT, |id| match id {
        "a7" => Behavior::Replies(MS * 400),
        _ => Behavior::Replies(MS * 10),
    });
    assert!(is_complete(&run), "{run:?}");
    assert!(run.took < MS * 60, "{run:?}");
    assert_eq!(run.sent.len(), 21);
}

/// Both replicas of one shard are silent. Callers that accept an answer without it get one in time,
/// which says that a shard is missing.
#[test]
fn a_lost_shard_is_left_out_in_time() {
    let (mut core, route) = pairs(20, 0.9);
    let run = simulate(&mut core, route, CALLER_TIMEOUT, |id| match id {
        "a7" | "b7" => Behavior::Hangs,
        _ => Behavior::Replies(MS * 10),
    });
    assert!(
        matches!(run.next, Next::Answer { missing: 1, .. }),
        "{run:?}"
    );
    assert!(run.took < MS * 100, "{run:?}");
}

/// The same, but the caller requires every shard. There is no answer, and no incomplete one is
/// sent.
#[test]
fn a_required_shard_is_not_left_out() {
    let (mut core, route) = pairs(20, 1.0);
    let run = simulate(&mut core, route, CALLER_TIMEOUT, |id| match id {
        "a7" | "b7" => Behavior::Hangs,
        _ => Behavior::Replies(MS * 10),
    });
    assert!(matches!(run.next, Next::Timeout | Next::Fail), "{run:?}");
}

/// Too many shards have no backend server at all. Requests for the others would be wasted, and the
/// caller is refused at once.
#[test]
fn a_hopeless_search_is_refused_unsent() {
    let (mut core, _) = pairs(10, 0.9);
    let run = simulate(
        &mut core,
        route(scatter(20, 0.9), Kind::Idempotent),
        CALLER_TIMEOUT,
        |_| Behavior::Replies(MS),
    );
    assert!(matches!(run.next, Next::Refuse(_)), "{run:?}");
    assert_eq!(run.took, Duration::ZERO);
    assert!(run.sent.is_empty());
}

/// A failure domain was evacuated while a request waited. No further send may go there.
#[test]
fn an_evacuated_domain_gets_no_hedge() {
    let (mut core, route) = pairs(1, 1.0);
    let mut latest = (**core.view.as_ref().expect("a view")).clone();
    latest.evacuated.insert("b".into());
    core.adopt(latest);
    let run = simulate(&mut core, route, CALLER_TIMEOUT, |_| Behavior::Hangs);
    assert_eq!(run.sent, ["a0"]);
}

macro_rules! single {
    ($($(#[$doc:meta])* $name:ident: $kind:ident, [$($behavior:expr),*] => $next:pat, $sends:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let behaviors = [$($behavior),*];
            let (mut core, route) = pool(behaviors.len(), Kind::$kind);
            let run = simulate(&mut core, route, CALLER_TIMEOUT, |id| {
                behaviors[id[1..].parse::<usize>().expect("a number")]
            });
            assert!(matches!(run.next, $next), "{run:?}");
            assert_eq!(run.sent.len(), $sends, "{run:?}");
        }
    )*};
}

single! {
    one_reply: Idempotent, [Behavior::Replies(MS)] => Next::Answer { .. }, 1;
    /// A backend server fails an idempotent request; another serves it.
    a_failure_is_retried: Idempotent, [Behavior::Fails(MS), Behavior::Replies(MS)]
        => Next::Answer { .. }, 2;
    /// The connection breaks; an idempotent request is retried.
    a_broken_reply_is_retried: Idempotent, [Behavior::Breaks(MS), Behavior::Replies(MS)]
        => Next::Answer { .. }, 2;
    /// Two servers fail. The caller gets the server's own failure, not one generated here.
    the_servers_failure_is_passed_on: Idempotent, [Behavior::Fails(MS), Behavior::Fails(MS), Behavior::Replies(MS)]
        => Next::Pass(_), 2;
    /// An action's reply is lost. It may have run, so it is not sent again, and the caller is not
    /// told that it did not run.
    an_action_is_never_repeated: Once, [Behavior::Breaks(MS), Behavior::Replies(MS)]
        => Next::Fail, 1;
    /// An action's server does not reply before the deadline.
    a_silent_action_times_out: Once, [Behavior::Hangs, Behavior::Replies(MS)]
        => Next::Timeout | Next::Fail, 1;
    /// An action's server reports a failure. That is the caller's answer.
    a_failed_action_is_passed_on: Once, [Behavior::Fails(MS), Behavior::Replies(MS)]
        => Next::Pass(_), 1;
    /// A full server rejects an action; it did not run, so it may be sent to another.
    a_rejected_action_is_sent_elsewhere: Once, [Behavior::Rejects(MS), Behavior::Replies(MS)]
        => Next::Answer { .. }, 2;
    /// Nothing listens at the address; nothing was sent.
    an_unreachable_server_is_skipped: Once, [Behavior::Refuses, Behavior::Replies(MS)]
        => Next::Answer { .. }, 2;
    /// Every server rejects it repeatedly. It is refused, correctly, long before its deadline.
    rejected_everywhere: Once, [Behavior::Rejects(MS), Behavior::Rejects(MS)] => Next::Refuse(_), 3;
    /// No server can be reached. It is refused at once.
    unreachable_everywhere: Idempotent, [Behavior::Refuses, Behavior::Refuses] => Next::Refuse(_), 2;
}

/// A request waits for a slow server and would use up half of its time. The hedge is sent early
/// enough to answer within the objective.
#[test]
fn a_hedge_leaves_time_for_its_reply() {
    let (mut core, route) = pool(2, Kind::Idempotent);
    let run = simulate(&mut core, route, CALLER_TIMEOUT, |id| match id {
        "a0" => Behavior::Hangs,
        _ => Behavior::Replies(MS * 20),
    });
    assert!(is_complete(&run), "{run:?}");
    assert!(run.took < MS * 100, "{run:?}");
    assert!(run.at[1] <= MS * 40, "{run:?}");
}

fn behavior() -> impl Strategy<Value = Behavior> {
    prop_oneof![
        4 => (1u32..300).prop_map(|ms| Behavior::Replies(MS * ms)),
        1 => (1u32..50).prop_map(|ms| Behavior::Fails(MS * ms)),
        1 => (1u32..20).prop_map(|ms| Behavior::Rejects(MS * ms)),
        1 => Just(Behavior::Refuses),
        1 => (1u32..50).prop_map(|ms| Behavior::Breaks(MS * ms)),
        1 => Just(Behavior::Hangs),
    ]
}

proptest! {
    /// Servers reply, fail, reject, refuse connections, break them and hang in any mixture. No more
    /// of them than the route allows run a shard's request, every request ends by its deadline, and
    /// an action that a server may have run is neither sent again nor reported as not run.
    #[test]
    fn limits_hold_whatever_servers_do(
        behaviors in prop::collection::vec(behavior(), 6),
        kind in prop::sample::select(vec![Kind::Idempotent, Kind::Once]),
    ) {
        let (mut core, route) = pool(behaviors.len(), kind);
        let limit = match kind {
            Kind::Once => 1,
            Kind::Idempotent => route.attempts as usize,
        };
        let of = |id: &str| behaviors[id[1..].parse::<usize>().expect("a number")];
        let run = simulate(&mut core, route, CALLER_TIMEOUT, of);
        let may_run = |id: &&String| !matches!(of(id), Behavior::Rejects(_) | Behavior::Refuses);
        let ran = run.sent.iter().filter(may_run).count();
        prop_assert!(ran <= limit, "{run:?}");
        prop_assert!(run.took <= CALLER_TIMEOUT, "{run:?}");
        if matches!(run.next, Next::Refuse(_)) {
            prop_assert_eq!(ran, 0, "{:?}", run);
        }
    }
}

/// Both servers of some shards reject most requests, and the budget is nearly spent. A search that
/// lacks more shards than its caller accepts gets repeats; one that lacks fewer does not.
#[test]
fn a_scarce_budget_saves_answers() {
    let lacking = |bad: usize| {
        let (mut core, route) = pairs(20, 0.9);
        core.options.budget.extra = 8;
        let run = simulate(&mut core, route, CALLER_TIMEOUT, |id| {
            let shard: usize = id[1..].parse().expect("a number");
            match (id.starts_with('a'), shard < bad) {
                (true, true) => Behavior::Rejects(MS),
                _ => Behavior::Replies(MS * 10),
            }
        });
        let repeats = run.sent.len() - 20;
        (run.next, repeats)
    };
    // The search itself earns the part from the ratio: 0.2 of a repeat for each shard.
    let (next, repeats) = lacking(2);
    assert!(matches!(next, Next::Answer { .. }));
    assert_eq!(repeats, 2, "four of eight may make answers more complete");
    let (next, repeats) = lacking(8);
    assert!(matches!(next, Next::Answer { missing: 0, .. }), "{next:?}");
    assert_eq!(repeats, 8);
}
