//! Random exploration of callers, homes and owners under network and process faults.
//!
//! The state machines are the real ones; a simulated backend server counts the runs of each id. The
//! network delays, reorders and loses messages and breaks links; processes pause, crash and
//! restart; each has its own, possibly stale, view of the fleet. A caller sees a violation as a
//! notice that was filed twice, or as one that was filed after the answer "not run".

mod views;
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::Fate;
use world::HOSTS;
use world::Step;
use world::World;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        3 => Just(Fate::Reply),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Cut),
        2 => Just(Fate::Refused),
        1 => Just(Fate::Dropped),
    ];
    let step = prop_oneof![
        3 => (0..HOSTS).prop_map(Step::Issue),
        8 => (0..HOSTS, 0usize..4).prop_map(|(host, id)| Step::Send(host, id)),
        14 => (0usize..6).prop_map(Step::Deliver),
        2 => (0usize..6).prop_map(Step::Lose),
        2 => (0usize..6).prop_map(Step::Return),
        6 => (0usize..3, fate).prop_map(|(at, fate)| Step::Run(at, fate)),
        3 => (1u64..400).prop_map(Step::Wait),
        1 => (0..HOSTS, any::<bool>()).prop_map(|(host, paused)| Step::Pause(host, paused)),
        1 => (0..HOSTS).prop_map(Step::Kill),
        1 => (0..HOSTS).prop_map(Step::Leave),
        2 => (0..HOSTS, 0..HOSTS + 2).prop_map(|(host, which)| Step::View(host, which)),
    ];
    prop::collection::vec(step, 10..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any sequence of faults no id runs twice, and an id answered "not run" never runs.
    #[test]
    fn no_id_runs_twice_and_not_run_is_final(steps in steps()) {
        let mut world = World::start();
        for step in steps {
            world.step(step);
        }
        world.finish();
        world.check();
    }
}

/// A process is restarted on the same host while a backend server still runs one of its requests.
/// The late result reaches the new process, which must not take it for the result of its own
/// request.
#[test]
fn late_result_for_previous_process_is_ignored() {
    let mut world = World::start();
    let file = |world: &mut World, id| {
        world.step(Step::Issue(0));
        world.step(Step::Send(0, id));
        world.step(Step::Deliver(0));
    };
    file(&mut world, 0);
    world.kill(0);
    file(&mut world, 1);
    assert_eq!(world.at_owners.len(), 2);
    world.step(Step::Run(0, Fate::Reply));
    assert_eq!(world.done, 0);
    world.step(Step::Run(0, Fate::Reply));
    assert_eq!(world.done, 1);
    world.finish();
    world.check();
}

/// A host leaves after a request ran. Its caller did not get the reply and retries at another host
/// with the same id; it must get the outcome "done".
#[test]
fn leaving_home_hands_over_its_records() {
    let mut world = World::start();
    world.step(Step::Issue(0));
    world.step(Step::Send(0, 0));
    world.step(Step::Deliver(0));
    world.step(Step::Run(0, Fate::Reply));
    world.step(Step::Leave(0));
    while !world.messages.is_empty() {
        world.step(Step::Deliver(0));
    }
    world.kill(0);
    for host in 1..HOSTS {
        // View 1 is the one without host 0.
        world.step(Step::View(host, 1));
        world.step(Step::Send(host, 0));
    }
    world.finish();
    world.check();
    assert_eq!(world.done, 3);
}
