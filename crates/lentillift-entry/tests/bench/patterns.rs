//! The load patterns.

use super::World;
use super::backend::ReportMode;
use super::load::Body;
use super::load::Stream;
use super::report::Summary;
use super::setup::Setup;
use super::setup::backend;
use super::setup::domain;
use lentillift_settings::policy::Policy;
use std::time::Duration;

/// Results of the queries of `label` that were sent from `from` to `until`, in unscaled seconds.
pub fn summary(world: &World, label: &str, from: f64, until: f64) -> Summary {
    let time_scale = world.time_scale;
    world
        .results
        .summary(label, from * time_scale, until * time_scale)
}

/// The capacity is 800 queries per second: four shards with two replicas of two slots. The load is
/// one fifth of that, and ten times as much for two seconds.
pub fn burst(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        time_scale,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 160.0, 0.0, 8.0));
    world.stream(Stream::new("reader", 1440.0, 3.0, 5.0));
    world.run(Duration::from_secs(9));
    world
}

/// Three callers with the same weight; the third sends twenty times as many queries as each of the
/// others.
pub fn hot_caller(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("a", "name", 1), ("b", "name", 1), ("c", "name", 1)],
        policy,
        time_scale,
        ..Setup::default()
    });
    two_callers(&mut world);
    world.stream(Stream::new("c", 1000.0, 5.0, 40.0));
    world.run(Duration::from_secs(41));
    world
}

/// Callers `a` and `b` at a constant load; label `before` marks their first five seconds.
fn two_callers(world: &mut World) {
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

/// The first two callers of [`hot_caller`] without the third.
pub fn without_hot_caller(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("a", "name", 1), ("b", "name", 1), ("c", "name", 1)],
        policy,
        time_scale,
        ..Setup::default()
    });
    two_callers(&mut world);
    world.run(Duration::from_secs(41));
    world
}

/// One body is sent fifty times as often as all others together.
pub fn hot_key(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        time_scale,
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

/// 68 shards on six hosts.
fn wide(policy: Policy, time_scale: f64) -> World {
    World::new(&Setup {
        shards: 68,
        hosts: 6,
        policy,
        time_scale,
        ..Setup::default()
    })
}

/// 68 shards at a quarter of their capacity. After ten seconds one server takes ten times as long,
/// after twenty seconds it hangs.
pub fn slow_server(policy: Policy, time_scale: f64) -> World {
    let mut world = wide(policy, time_scale);
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
pub fn stragglers(policy: Policy, time_scale: f64) -> World {
    let mut world = wide(policy, time_scale);
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

/// Requests of one caller take twenty times as long as those of the other, which sends ten times as
/// many. At first the other one is alone.
pub fn long_jobs(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("reader", "name", 1), ("batch", "name", 1)],
        shards: 1,
        replicas: 2,
        queue_ms: 2000,
        policy,
        time_scale,
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

/// Capacity: 800 queries per second; one replica of each of four shards runs 1,600 sub-requests per
/// second. Name search sends half of the capacity, the archive two and a half times the capacity.
pub fn overload(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![("name", "name", 1), ("archive", "archive", 1)],
        policy,
        time_scale,
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

/// Servers of two shards restart unannounced under 70% load, one again during its ramp-up. A server
/// needs a hundred requests to warm up; until then it crashes if it has more than one at a time.
pub fn cold_return(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        time_scale,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 560.0, 0.0, 30.0));
    let restart = |at: f64, shard: u32| (Duration::from_secs_f64(at), shard);
    for (at, shard) in [restart(10.0, 0), restart(10.0, 1), restart(10.3, 0)] {
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

/// Three replicas of each shard in three domains at 70% of the capacity. One domain is taken out of
/// service and returns cold.
pub fn domain_out(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        callers: vec![
            ("name", "name", 1),
            ("timetable", "timetable", 1),
            ("archive", "archive", 1),
        ],
        replicas: 3,
        policy,
        time_scale,
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

/// After ten seconds of true reports, one replica of each shard reports another false state every
/// ten seconds, the first of them "idle" while it is slow. The load is a quarter of the capacity.
pub fn false_reports(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        time_scale,
        ..Setup::default()
    });
    let phases = [
        ("truth", ReportMode::Truth),
        ("idle", ReportMode::Idle),
        ("full", ReportMode::Full),
        ("cold", ReportMode::Cold),
        ("draining", ReportMode::Draining),
        ("nothing", ReportMode::Nothing),
    ];
    for (number, (label, mode)) in phases.into_iter().enumerate() {
        let from = 10.0 * number as f64;
        world.stream(Stream {
            label,
            ..Stream::new("reader", 200.0, from, from + 10.0)
        });
        world.at(Duration::from_secs_f64(from), move |w| {
            for shard in 0..4 {
                w.set(&backend(shard, 0), |b| {
                    b.reports = mode;
                    b.slow = if mode == ReportMode::Idle { 10.0 } else { 1.0 };
                });
            }
        });
    }
    world.run(Duration::from_secs(61));
    world
}

/// A server restarts under 70% load as in [`cold_return`], but reports its cold state thirty
/// seconds later, when it has long been warm, and does not report a new incarnation.
pub fn late_reports(policy: Policy, time_scale: f64) -> World {
    let mut world = World::new(&Setup {
        policy,
        time_scale,
        ..Setup::default()
    });
    world.stream(Stream::new("reader", 560.0, 0.0, 50.0));
    world.at(Duration::from_secs(10), |w| {
        w.set(&backend(0, 0), |b| {
            b.cold = 100;
            b.reports = ReportMode::Idle;
        });
    });
    world.at(Duration::from_secs(40), |w| {
        w.set(&backend(0, 0), |b| b.reports = ReportMode::Cold);
    });
    world.at(Duration::from_secs(41), |w| {
        w.set(&backend(0, 0), |b| b.reports = ReportMode::Truth);
    });
    world.run(Duration::from_secs(51));
    world
}
