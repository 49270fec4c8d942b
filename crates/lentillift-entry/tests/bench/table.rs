//! The table of load patterns, each with its module on and off.

use super::World;
use super::patterns;
use lentillift_settings::policy::Policy;

/// A load pattern.
pub struct Pattern {
    pub name: &'static str,
    /// Runs it with and without its module.
    pub run: fn(f64) -> Vec<String>,
}

/// All patterns, in the order of the page that shows them.
pub const ALL: &[Pattern] = &[
    Pattern {
        name: "burst of 10x for 2 s",
        run: |pace| both(pace, patterns::burst, |p| p.queue.on = false, &["reader"]),
    },
    Pattern {
        name: "caller at 20x its share",
        run: |pace| {
            both(
                pace,
                patterns::hot_caller,
                |p| p.queue.on = false,
                &["a", "b", "c"],
            )
        },
    },
    Pattern {
        name: "the same callers without that one",
        run: |pace| {
            both(
                pace,
                patterns::without_hot_caller,
                |p| p.queue.on = false,
                &["a", "b"],
            )
        },
    },
    Pattern {
        name: "one key at 50x",
        run: |pace| {
            both(
                pace,
                patterns::hot_key,
                |p| p.coalescing.on = false,
                &["reader", "hot"],
            )
        },
    },
    Pattern {
        name: "one server 10x slow, then hung",
        run: |pace| {
            both(
                pace,
                patterns::slow_server,
                without_avoidance,
                &["well", "slow", "hung"],
            )
        },
    },
    Pattern {
        name: "1% stragglers at 10x",
        run: |pace| {
            both(
                pace,
                patterns::stragglers,
                |p| p.hedge.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "1 long job in 10, 2 slots",
        run: |pace| {
            both(
                pace,
                patterns::long_jobs,
                |p| p.queue.on = false,
                &["before", "reader", "batch"],
            )
        },
    },
    Pattern {
        name: "3x capacity for a minute",
        run: |pace| {
            let off = |p: &mut Policy| {
                p.admission.on = false;
                p.queue.on = false;
                p.retry.on = false;
            };
            both(pace, patterns::overload, off, &["name", "archive", "after"])
        },
    },
    Pattern {
        name: "cold return under load",
        run: |pace| {
            both(
                pace,
                patterns::cold_return,
                |p| p.warmup.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "reports that lie",
        run: |pace| {
            let labels = ["truth", "idle", "full", "cold", "draining", "nothing"];
            both(pace, patterns::false_reports, without_avoidance, &labels)
        },
    },
    Pattern {
        name: "reports 30 s late",
        run: |pace| {
            both(
                pace,
                patterns::late_reports,
                |p| p.warmup.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "one of three domains out and back",
        run: |pace| {
            both(
                pace,
                patterns::domain_out,
                |p| p.warmup.on = false,
                &["name", "timetable", "archive"],
            )
        },
    },
];

fn without_avoidance(policy: &mut Policy) {
    policy.choice.on = false;
    policy.hedge.on = false;
    policy.health.on = false;
    policy.warmup.on = false;
    policy.slots.on = false;
}

fn both(
    pace: f64,
    pattern: fn(Policy, f64) -> World,
    off: fn(&mut Policy),
    labels: &[&str],
) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, on) in [("on", true), ("off", false)] {
        let mut policy = Policy::default();
        if !on {
            off(&mut policy);
        }
        let world = pattern(policy, pace);
        for label in labels {
            let summary = world.caught.summary(label, 0.0, 1e6);
            lines.push(format!("{name:>3} | {label:>9} | {summary}"));
        }
        let falls: u64 = world.backends.values().map(|b| b.falls).sum();
        lines.push(format!(
            "{name:>3} | runs {} | sent late {} | falls {falls} | {:?}",
            world.caught.runs, world.caught.sent_late, world.counts
        ));
    }
    lines
}
