//! The table of load patterns, each run with its mechanism on and off.

use super::World;
use super::patterns;
use lentillift_settings::policy::Policy;

/// A load pattern.
pub struct Pattern {
    pub name: &'static str,
    /// Runs the pattern with and without its mechanism, and returns the lines of its table. The
    /// argument is the factor for all times.
    pub run: fn(f64) -> Vec<String>,
}

/// All patterns, in the order in which `docs/PERFORMANCE.md` lists them.
pub const ALL: &[Pattern] = &[
    Pattern {
        name: "burst of 10x for 2 s",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::burst,
                |p| p.queue.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "caller at 20x its share",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::hot_caller,
                |p| p.queue.on = false,
                &["a", "b", "c"],
            )
        },
    },
    Pattern {
        name: "the same callers without that one",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::without_hot_caller,
                |p| p.queue.on = false,
                &["a", "b"],
            )
        },
    },
    Pattern {
        name: "one key at 50x",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::hot_key,
                |p| p.coalescing.on = false,
                &["reader", "hot"],
            )
        },
    },
    Pattern {
        name: "one server 10x slow, then hung",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::slow_server,
                without_avoidance,
                &["well", "slow", "hung"],
            )
        },
    },
    Pattern {
        name: "1% stragglers at 10x",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::stragglers,
                |p| p.hedge.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "1 long job in 10, 2 slots",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::long_jobs,
                |p| p.queue.on = false,
                &["before", "reader", "batch"],
            )
        },
    },
    Pattern {
        name: "3x capacity for a minute",
        run: |time_scale| {
            let off = |p: &mut Policy| {
                p.admission.on = false;
                p.queue.on = false;
                p.retry.on = false;
            };
            run_on_and_off(
                time_scale,
                patterns::overload,
                off,
                &["name", "archive", "after"],
            )
        },
    },
    Pattern {
        name: "cold return under load",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::cold_return,
                |p| p.warmup.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "reports that lie",
        run: |time_scale| {
            let labels = ["truth", "idle", "full", "cold", "draining", "nothing"];
            run_on_and_off(
                time_scale,
                patterns::false_reports,
                without_avoidance,
                &labels,
            )
        },
    },
    Pattern {
        name: "reports 30 s late",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::late_reports,
                |p| p.warmup.on = false,
                &["reader"],
            )
        },
    },
    Pattern {
        name: "one of three domains out and back",
        run: |time_scale| {
            run_on_and_off(
                time_scale,
                patterns::domain_out,
                |p| p.warmup.on = false,
                &["name", "timetable", "archive"],
            )
        },
    },
];

/// Turns off every mechanism that avoids slow, cold or failing servers.
fn without_avoidance(policy: &mut Policy) {
    policy.choice.on = false;
    policy.hedge.on = false;
    policy.health.on = false;
    policy.warmup.on = false;
    policy.slots.on = false;
}

/// Runs a pattern with the default policy and with the policy that `off` changes.
fn run_on_and_off(
    time_scale: f64,
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
        let world = pattern(policy, time_scale);
        for label in labels {
            let summary = world.results.summary(label, 0.0, 1e6);
            lines.push(format!("{name:>3} | {label:>9} | {summary}"));
        }
        let crashes: u64 = world.backends.values().map(|b| b.crashes).sum();
        lines.push(format!(
            "{name:>3} | runs {} | sent late {} | falls {crashes} | {:?}",
            world.results.runs, world.results.sent_late, world.counts
        ));
    }
    lines
}
