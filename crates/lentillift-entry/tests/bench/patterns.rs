//! The load patterns.

use super::World;
use super::backend::Says;
use super::load::Body;
use super::load::Stream;
use super::report::Summary;
use super::setup::Setup;
use super::setup::backend;
use super::setup::domain;
use lentillift_settings::policy::Policy;
use std::time::Duration;

/// The queries of `label` that were asked from `from` to `until`, in seconds.
pub fn summary(world: &World, label: &str, from: f64, until: f64) -> Summary {
    let pace = world.pace;
    world.caught.summary(label, from * pace, until * pace)
}

/// Four shards with two replicas of two slots bear 800 queries a second. One fifth of that is
/// asked, and ten times as much for two seconds.
pub fn burst(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        pace,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 160.0, 0.0, 8.0));
    world.stream(Stream::new("reader", 1440.0, 3.0, 5.0));
    world.run(Duration::from_secs(9));
    world
}

/// Three callers with the same weight; the third asks for twenty times as much as the others.
pub fn hot_caller(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("a", "name", 1), ("b", "name", 1), ("c", "name", 1)],
        policy,
        pace,
        ..Setup::default()
    });
    others(&mut world);
    world.stream(Stream::new("c", 1000.0, 5.0, 40.0));
    world.run(Duration::from_secs(41));
    world
}

fn others(world: &mut World) {
    for (label, from, until) in [("before", 0.0, 5.0), ("a", 5.0, 40.0)] {
        world.stream(Stream {
            label,
            ..Stream::new("a", 50.0, from, until)
        });
    }
    for (label, from, until) in [("before", 0.0, 5.0), ("b", 5.0, 40.0)] {
        world.stream(Stream {
            label,
            ..Stream::new("b", 50.0, from, until)
        });
    }
}

/// The same two callers without the third.
pub fn without_hot_caller(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("a", "name", 1), ("b", "name", 1), ("c", "name", 1)],
        policy,
        pace,
        ..Setup::default()
    });
    others(&mut world);
    world.run(Duration::from_secs(41));
    world
}

/// One body is asked for fifty times as often as all others together.
pub fn hot_key(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        pace,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 40.0, 0.0, 10.0));
    world.stream(Stream {
        label: "hot",
        body: Body::Same,
        ..Stream::new("reader", 2000.0, 0.0, 10.0)
    });
    world.run(Duration::from_secs(11));
    world
}

fn wide(policy: Policy, pace: f64) -> World {
    World::new(&Setup {
        shards: 68,
        hosts: 6,
        policy,
        pace,
        ..Setup::default()
    })
}

/// 68 shards at a quarter of their capacity. After ten seconds one server takes ten times as long,
/// after twenty it hangs.
pub fn slow_server(policy: Policy, pace: f64) -> World {
    let mut world = wide(policy, pace);
    for (label, from, until) in [
        ("warm", 0.0, 5.0),
        ("well", 5.0, 10.0),
        ("slow", 10.0, 20.0),
        ("hung", 20.0, 30.0),
    ] {
        world.stream(Stream {
            label,
            ..Stream::new("reader", 200.0, from, until)
        });
    }
    world.at(Duration::from_secs(10), |w| {
        w.set(&backend(0, 0), |b| b.slow = 10.0)
    });
    world.at(Duration::from_secs(20), |w| {
        w.set(&backend(0, 0), |b| b.hung = true)
    });
    world.run(Duration::from_secs(31));
    world
}

/// One request in a hundred takes ten times as long.
pub fn stragglers(policy: Policy, pace: f64) -> World {
    let mut world = wide(policy, pace);
    for fake in world.backends.values_mut() {
        fake.stragglers = 0.01;
    }
    for (label, from, until) in [("warm", 0.0, 5.0), ("reader", 5.0, 25.0)] {
        world.stream(Stream {
            label,
            ..Stream::new("reader", 150.0, from, until)
        });
    }
    world.run(Duration::from_secs(26));
    world
}

/// One caller's requests take twenty times as long as those of the other, who asks ten times as
/// often; before that the other is alone.
pub fn long_jobs(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("reader", "name", 1), ("batch", "name", 1)],
        shards: 1,
        replicas: 2,
        queue_ms: 2000,
        policy,
        pace,
        ..Setup::default()
    });
    let allowance = Duration::from_secs(2);
    for (label, from, until) in [("before", 0.0, 20.0), ("reader", 20.0, 60.0)] {
        world.stream(Stream {
            label,
            allowance,
            ..Stream::new("reader", 100.0, from, until)
        });
    }
    world.stream(Stream {
        body: Body::Long,
        allowance,
        ..Stream::new("batch", 10.0, 20.0, 60.0)
    });
    world.run(Duration::from_secs(62));
    world
}

/// Four shards bear 1,600 sub-requests... of each replica pair; 800 queries a second in all. Name
/// search asks for half of that and the archive for five halves.
pub fn overload(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("name", "name", 1), ("archive", "archive", 1)],
        policy,
        pace,
        ..Setup::default()
    });
    world.stream(Stream {
        label: "before",
        ..Stream::new("name", 300.0, 0.0, 5.0)
    });
    world.stream(Stream::new("name", 400.0, 5.0, 65.0));
    world.stream(Stream::new("archive", 2000.0, 5.0, 65.0));
    world.stream(Stream {
        label: "recovery",
        ..Stream::new("archive", 300.0, 65.0, 70.0)
    });
    world.stream(Stream {
        label: "after",
        ..Stream::new("archive", 300.0, 70.0, 75.0)
    });
    world.run(Duration::from_secs(76));
    world
}

/// A server restarts without notice under 70% load and needs a hundred requests to be warm; while
/// it has more than one at a time it falls over. A second one follows, and one restarts again
/// during its ramp.
pub fn cold_return(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        pace,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 560.0, 0.0, 30.0));
    let chill = |at: f64, shard: u32| (Duration::from_secs_f64(at), shard);
    for (at, shard) in [chill(10.0, 0), chill(10.0, 1), chill(10.3, 0)] {
        world.at(at, move |w| {
            w.set(&backend(shard, 0), |b| {
                b.cold = 100;
                b.incarnation = Some(b.incarnation.unwrap_or(1) + 1);
            });
        });
    }
    world.run(Duration::from_secs(31));
    world
}

/// Three replicas of each shard in three domains at 70% of the capacity; one domain is taken out,
/// and comes back cold.
pub fn domain_out(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![
            ("name", "name", 1),
            ("timetable", "timetable", 1),
            ("archive", "archive", 1),
        ],
        replicas: 3,
        policy,
        pace,
        ..Setup::default()
    });
    for (caller, rate) in [("name", 280.0), ("timetable", 280.0), ("archive", 280.0)] {
        world.stream(Stream::new(caller, rate, 0.0, 40.0));
    }
    world.at(Duration::from_secs(10), |w| {
        w.publish(|c| {
            c.domains_out.insert(domain(0));
        });
    });
    world.at(Duration::from_secs(20), |w| {
        for shard in 0..4 {
            for replica in 0..3 {
                if (shard + replica) % 3 == 0 {
                    w.set(&backend(shard, replica as usize), |b| b.cold = 100);
                }
            }
        }
        w.publish(|c| c.domains_out.clear());
    });
    world.run(Duration::from_secs(41));
    world
}

/// One replica of each shard reports something else every ten seconds, whatever is true; at first
/// that it is idle while it is slow. The load is a quarter of the capacity.
pub fn false_reports(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        pace,
        ..Setup::default()
    });
    let phases = [
        ("truth", Says::Truth),
        ("idle", Says::Idle),
        ("full", Says::Full),
        ("cold", Says::Cold),
        ("draining", Says::Draining),
        ("nothing", Says::Nothing),
    ];
    for (number, (label, says)) in phases.into_iter().enumerate() {
        let from = 10.0 * number as f64;
        world.stream(Stream {
            label,
            ..Stream::new("reader", 200.0, from, from + 10.0)
        });
        world.at(Duration::from_secs_f64(from), move |w| {
            for shard in 0..4 {
                w.set(&backend(shard, 0), |b| {
                    b.says = says;
                    b.slow = if says == Says::Idle { 10.0 } else { 1.0 };
                });
            }
        });
    }
    world.run(Duration::from_secs(61));
    world
}

/// A server restarts under 70% load as in [`cold_return`], but tells of it thirty seconds later,
/// when it has long been warm, and tells nothing of its new start.
pub fn late_reports(policy: Policy, pace: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        pace,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 560.0, 0.0, 50.0));
    world.at(Duration::from_secs(10), |w| {
        w.set(&backend(0, 0), |b| {
            b.cold = 100;
            b.says = Says::Idle;
        });
    });
    world.at(Duration::from_secs(40), |w| {
        w.set(&backend(0, 0), |b| b.says = Says::Cold);
    });
    world.at(Duration::from_secs(41), |w| {
        w.set(&backend(0, 0), |b| b.says = Says::Truth);
    });
    world.run(Duration::from_secs(51));
    world
}
