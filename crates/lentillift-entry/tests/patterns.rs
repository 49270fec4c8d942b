//! Bounds on what callers receive under the load patterns, in virtual time.
//!
//! The patterns are those of the example `patterns`, most of them shortened.

mod bench;

use bench::World;
use bench::patterns;
use bench::patterns::summary;
use lentillift_settings::policy::Policy;
use std::time::Duration;

/// Maximum latency of a refusal.
const MAX_REFUSAL_LATENCY: Duration = Duration::from_millis(5);

/// A time after the end of every run, in seconds.
const END: f64 = 1e6;

/// The default policy with a change that turns a mechanism off.
fn off(change: fn(&mut Policy)) -> Policy {
    let mut policy = Policy::default();
    change(&mut policy);
    policy
}

/// Checks that nothing was sent past its deadline or answered twice or late, and that the hits of
/// each answer match its coverage.
fn assert_no_violation(world: &World) {
    assert_eq!(world.results.sent_late, 0);
    assert_eq!(world.results.duplicates, 0);
    assert_eq!(world.results.inconsistent, 0);
    assert!(
        world
            .results
            .ended
            .iter()
            .all(|e| e.ended - e.sent_at <= e.allowance)
    );
}

/// Defines a test for each pattern at a factor for all times, with its checks.
macro_rules! patterns {
    ($($(#[$doc:meta])* $name:ident: $pattern:ident at $time_scale:literal => $check:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let world = patterns::$pattern(Policy::default(), $time_scale);
                assert_no_violation(&world);
                let check: fn(&World) = $check;
                check(&world);
            }
        )+
    };
}

patterns! {
    /// Ten times the usual load for two seconds, such as after a death in the news. Excess queries
    /// must be refused at once with a time to retry, and latency must be normal again after a
    /// second.
    latency_recovers_within_a_second_after_a_burst: burst at 1.0 => |world| {
        let during = summary(world, "reader", 3.0, 5.0);
        assert!(during.slowest_refusal <= MAX_REFUSAL_LATENCY, "{during}");
        assert_eq!(during.without_retry_after, 0);
        let after = summary(world, "reader", 6.0, 8.0);
        assert_eq!(after.complete, after.offered, "{after}");
        let before = summary(world, "reader", 1.0, 3.0);
        assert!(after.p99 < before.p99 * 2, "{before} {after}");
    };

    /// One caller sends twenty times its share. Without fair queueing the queries of others would
    /// wait behind its queries until their deadlines.
    caller_over_its_share_does_not_slow_others: hot_caller at 0.25 => |world| {
        let alone = patterns::without_hot_caller(Policy::default(), 0.25);
        for caller in ["a", "b"] {
            let beside = summary(world, caller, 0.0, END);
            let alone = summary(&alone, caller, 0.0, END);
            assert!(beside.success() >= 0.99, "{beside}");
            assert!(beside.p99 <= alone.p99 * 2, "{alone} {beside}");
        }
        assert_eq!(summary(world, "c", 0.0, END).without_retry_after, 0);
    };

    /// One name is in the news. Without coalescing, the same search fills all slots.
    identical_queries_share_one_run: hot_key at 0.2 => |world| {
        for label in ["reader", "hot"] {
            let result = summary(world, label, 0.0, END);
            assert_eq!(result.complete, result.offered, "{result}");
        }
        let shards = 4 * world.results.ended.len() as u64;
        assert!(world.results.runs < shards / 2, "{}", world.results.runs);
        // At most one concurrent run of a shard for each of the three entries.
        assert!(world.results.peak_same <= 3, "{}", world.results.peak_same);
    };

    /// A server with a failing disk takes ten times as long, then hangs. Every query needs its
    /// shard, so that every query would be as slow if the server were not avoided.
    slow_then_hung_server_is_avoided: slow_server at 0.3 => |world| {
        let well = summary(world, "well", 0.0, END);
        for label in ["slow", "hung"] {
            let result = summary(world, label, 0.0, END);
            assert!(result.success() >= 0.99, "{label} {result}");
            assert!(2 * result.p99 <= 3 * well.p99, "{label} {well} {result}");
        }
    };

    /// Long requests take twenty times as long as a search by name, on the same two slots. Two of
    /// them at once would delay all others by a tenth of a second.
    long_requests_leave_a_slot_to_short_ones: long_jobs at 2.0 => |world| {
        let before = summary(world, "before", 0.0, END);
        let beside = summary(world, "reader", 0.0, END);
        assert!(beside.p99 <= before.p99 * 2, "{before} {beside}");
        let long = summary(world, "batch", 0.0, END);
        assert_eq!(long.complete, long.offered, "{long}");
    };

    /// Three times the capacity is offered, most of it by the archive, the lowest class. Without
    /// admission control nearly every answer would be partial; with it name search is not affected.
    overload_sheds_the_lowest_class: overload at 0.1 => |world| {
        let name = summary(world, "name", 0.0, END);
        let archive = summary(world, "archive", 0.0, END);
        assert!(name.success() >= 0.99, "{name}");
        assert!(archive.slowest_refusal <= MAX_REFUSAL_LATENCY, "{archive}");
        assert_eq!(archive.without_retry_after, 0);
        let capacity = 800.0 * 6.0;
        let complete = (name.complete + archive.complete) as f64;
        assert!(complete >= 0.9 * capacity, "{complete} of {capacity}");
        let after = summary(world, "after", 0.0, END);
        assert!(after.success() >= 0.99, "{after}");
    };

    /// Two servers restart without notice, one of them twice. Requests in flight before the restart
    /// is detected may be lost; more than the cold limit afterwards would crash the servers
    /// repeatedly.
    cold_server_is_not_sent_more_than_its_cold_limit: cold_return at 0.4 => |world| {
        let crashes: u64 = world.backends.values().map(|b| b.crashes).sum();
        assert!(crashes <= 3, "{crashes}");
        // With two servers cold, 500 of 560 queries per second can be served, for about two of the
        // twelve seconds.
        let result = summary(world, "reader", 0.0, END);
        assert!(result.success() >= 0.97, "{result}");
    };

    /// Servers falsely report that they are idle, full, cold or draining, or report nothing.
    /// Trusting the reports would cost callers latency or coverage.
    false_reports_cost_no_answer: false_reports at 0.2 => |world| {
        for label in ["truth", "idle", "full", "cold", "draining", "nothing"] {
            let result = summary(world, label, 0.0, END);
            assert!(result.success() >= 0.98, "{label} {result}");
        }
    };

    /// A server's reports lag by half a minute: after a restart it reports that it is idle, and
    /// once warm that it is cold. Only its lost connections, which cost a few requests, reveal the
    /// cold start; without them it would crash until its caches are warm.
    late_report_of_a_cold_start_costs_a_few_requests: late_reports at 0.4 => |world| {
        let crashes: u64 = world.backends.values().map(|b| b.crashes).sum();
        assert!(crashes <= 3, "{crashes}");
        let result = summary(world, "reader", 0.0, END);
        assert!(result.success() >= 0.98, "{result}");
    };

    /// A failure domain is taken out of service at 70% load and returns cold. The rest has too
    /// little capacity: the archive, the lowest class, is shed, and the returning servers are not
    /// overloaded.
    domain_out_sheds_the_lowest_class: domain_out at 0.25 => |world| {
        for caller in ["name", "timetable"] {
            let result = summary(world, caller, 0.0, END);
            assert!(result.success() >= 0.99, "{caller} {result}");
        }
        let crashes: u64 = world.backends.values().map(|b| b.crashes).sum();
        assert_eq!(crashes, 0);
    };
}

/// One reply in a hundred takes ten times as long, and thus about half of the queries over 68
/// shards. A hedge to a second replica must cut the tail at little extra load.
#[test]
fn hedging_halves_the_tail_at_five_percent_more_load() {
    let with = patterns::stragglers(Policy::default(), 0.4);
    let without = patterns::stragglers(off(|p| p.hedge.on = false), 0.4);
    assert_no_violation(&with);
    let (on, off) = (
        summary(&with, "reader", 0.0, END),
        summary(&without, "reader", 0.0, END),
    );
    assert!(on.p99 * 2 <= off.p99, "{off} {on}");
    let needed = 68 * with.results.ended.len() as u64;
    let extra = with.results.runs - needed;
    assert!(extra * 100 <= needed * 5, "{extra} of {needed}");
}

/// Counter-check of the cold start: without warm-up a restarted server gets its full share at once
/// and crashes repeatedly.
#[test]
fn without_warm_up_a_cold_server_crashes() {
    let world = patterns::cold_return(off(|p| p.warmup.on = false), 0.4);
    let crashes: u64 = world.backends.values().map(|b| b.crashes).sum();
    assert!(crashes > 3, "{crashes}");
}
