//! Callers, homes, owners and a counting backend server under every mix of faults.
//!
//! The cores are the real ones. The network between them delays, cuts and loses; processes pause,
//! die and come back; each keeps a view of its own, which may be old. What a caller notices of a
//! breach is a notice that was filed twice, or one that it was told had not been filed.

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

    /// Whatever happens, no id runs twice, and one that its caller was told had not run never runs.
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

/// A process dies and is started again at the same host while a backend server still works on a
/// request of its. The late result comes to the new process, whose caller must not be told that
/// its own notice was filed.
#[test]
fn a_late_result_is_for_the_process_before() {
    let mut world = World::start();
    let file = |world: &mut World, id| {
        world.step(Step::Issue(0));
        world.step(Step::Send(0, id));
        world.step(Step::Deliver(0));
    };
    file(&mut world, 0);
    world.kill(0);
    file(&mut world, 1);
    assert_eq!(world.held.len(), 2);
    world.step(Step::Run(0, Fate::Reply));
    assert_eq!(world.done, 0);
    world.step(Step::Run(0, Fate::Reply));
    assert_eq!(world.done, 1);
    world.finish();
    world.check();
}

/// A host is replaced after a notice was filed by it. Its caller, who did not get the reply, asks
/// another host with the same id and must learn that the notice was filed.
#[test]
fn a_home_that_leaves_hands_over_what_it_knows() {
    let mut world = World::start();
    world.step(Step::Issue(0));
    world.step(Step::Send(0, 0));
    world.step(Step::Deliver(0));
    world.step(Step::Run(0, Fate::Reply));
    world.step(Step::Leave(0));
    while !world.mail.is_empty() {
        world.step(Step::Deliver(0));
    }
    world.kill(0);
    for host in 1..HOSTS {
        // The view without the first host.
        world.step(Step::View(host, 1));
        world.step(Step::Send(host, 0));
    }
    world.finish();
    world.check();
    assert_eq!(world.done, 3);
}
