//! Callers at different distances: an answer has to leave in time for the one that waits for it.

mod common;

use common::MS;
use common::START;
use common::core;
use common::route;
use common::scatter;
use common::server;
use common::view;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Kind;
use lentillift_scatter::core::Core;
use std::time::Duration;

/// Waiting time that a caller announces if it has spent none of it.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

fn host() -> Core {
    let route = route(scatter(1, 1.0), Kind::Idempotent);
    core(view(route, vec![server("b", "s0", "a")]))
}

/// Returns when an incomplete answer to a request on this connection is sent, relative to its
/// arrival.
fn latest_answer(core: &mut Core, caller: &mut Caller, spent: Duration) -> Duration {
    let view = core.view.clone().expect("a view");
    let route = view.config.routes().next().expect("a route");
    let plan = common::plan(
        core,
        caller,
        route,
        vec!["s0".into()],
        CALLER_TIMEOUT - spent,
    );
    plan.soft_deadline - START
}

/// A caller is six milliseconds away, and most others of its host are close. If its answers are
/// timed for a close one, each reaches it a few milliseconds after the objective.
#[test]
fn answers_leave_in_time_for_near_and_far_callers_of_one_host() {
    let mut core = host();
    let (mut near, mut far) = (Caller::default(), Caller::default());
    latest_answer(&mut core, &mut Caller::default(), Duration::ZERO);
    latest_answer(&mut core, &mut near, MS);
    latest_answer(&mut core, &mut far, MS * 13);
    for _ in 0..50 {
        latest_answer(&mut core, &mut Caller::default(), MS);
    }
    let near = latest_answer(&mut core, &mut near, Duration::ZERO);
    let far = latest_answer(&mut core, &mut far, Duration::ZERO);
    assert_eq!(near - far, MS * 12);
    assert!(far <= MS * (100 - 13), "{far:?}");
}

/// A caller's first request spent most of its time at another host and was refused. The caller is
/// not half an objective away; if it were considered so, its answers would lack parts for the life
/// of the connection.
#[test]
fn a_caller_that_retries_is_not_considered_remote() {
    let mut core = host();
    let mut retrying = Caller::default();
    latest_answer(&mut core, &mut Caller::default(), Duration::ZERO);
    let usual = latest_answer(&mut core, &mut Caller::default(), Duration::ZERO);
    latest_answer(&mut core, &mut retrying, MS * 45);
    assert_eq!(
        latest_answer(&mut core, &mut retrying, Duration::ZERO),
        usual
    );
}

/// Callers without a measurement are served with the round trip measured for others of this host.
#[test]
fn the_measured_round_trip_is_assumed_for_other_callers() {
    let mut core = host();
    latest_answer(&mut core, &mut Caller::default(), Duration::ZERO);
    for _ in 0..50 {
        latest_answer(&mut core, &mut Caller::default(), MS * 13);
    }
    assert!(core.caller_rtt.rtt().abs_diff(MS * 13) < MS);
}
