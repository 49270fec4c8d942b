//! Load patterns in virtual time, judged by what callers receive.
//!
//! These are the patterns of the example `patterns`, most of them shortened.

mod bench;

use bench::World;
use bench::patterns;
use bench::patterns::summary;
use lentillift_settings::policy::Policy;
use std::time::Duration;

/// Longest time to a refusal.
const REFUSAL: Duration = Duration::from_millis(5);

/// The end of any run, in seconds.
const END: f64 = 1e6;

fn off(change: fn(&mut Policy)) -> Policy {
    let mut policy = Policy::default();
    change(&mut policy);
    policy
}

/// Nothing was sent past its deadline or answered twice, and each answer holds what it counts.
fn assert_sound(world: &World) {
    assert_eq!(world.caught.sent_late, 0);
    assert_eq!(world.caught.doubled, 0);
    assert_eq!(world.caught.untrue, 0);
    assert!(
        world
            .caught
            .ended
            .iter()
            .all(|e| e.ended - e.asked <= e.allowance)
    );
}

/// Names a test for each pattern.
macro_rules! patterns {
    ($($(#[$doc:meta])* $name:ident: $pattern:ident at $pace:literal => $judge:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let world = patterns::$pattern(Policy::default(), $pace);
                assert_sound(&world);
                let judge: fn(&World) = $judge;
                judge(&world);
            }
        )+
    };
}

patterns! {
    /// A newspaper names a death and everybody searches at once, ten times as many as usual for two
    /// seconds. Some are refused, at once and with a time to come back; a second after the end
    /// nobody notices anything any more.
    burst_is_over_a_second_after_its_end: burst at 1.0 => |world| {
        let during = summary(world, "reader", 3.0, 5.0);
        assert!(during.slowest_refusal <= REFUSAL, "{during}");
        assert_eq!(during.silent, 0);
        let after = summary(world, "reader", 6.0, 8.0);
        assert_eq!(after.whole, after.offered, "{after}");
        let before = summary(world, "reader", 1.0, 3.0);
        assert!(after.p99 < before.p99 * 2, "{before} {after}");
    };

    /// One caller's script runs wild. The others would wait behind it until their deadlines.
    caller_over_its_share_leaves_others_their_answers: hot_caller at 0.25 => |world| {
        let alone = patterns::without_hot_caller(Policy::default(), 0.25);
        for caller in ["a", "b"] {
            let beside = summary(world, caller, 0.0, END);
            let alone = summary(&alone, caller, 0.0, END);
            assert!(beside.success() >= 0.99, "{beside}");
            assert!(beside.p99 <= alone.p99 * 2, "{alone} {beside}");
        }
        assert_eq!(summary(world, "c", 0.0, END).silent, 0);
    };

    /// One name is in the news. Without sharing, the same search fills all slots.
    key_in_demand_is_run_once_for_all: hot_key at 0.2 => |world| {
        for label in ["reader", "hot"] {
            let got = summary(world, label, 0.0, END);
            assert_eq!(got.whole, got.offered, "{got}");
        }
        let shards = 4 * world.caught.ended.len() as u64;
        assert!(world.caught.runs < shards / 2, "{}", world.caught.runs);
        // One run of a shard at a time for each of the three entries.
        assert!(world.caught.most_same <= 3, "{}", world.caught.most_same);
    };

    /// A server's disk fails: it takes ten times as long, then answers no more. Every query needs
    /// its shard, so that without a way around it every query would be as late.
    slow_then_hung_server_is_avoided: slow_server at 0.3 => |world| {
        let well = summary(world, "well", 0.0, END);
        for label in ["slow", "hung"] {
            let got = summary(world, label, 0.0, END);
            assert!(got.success() >= 0.99, "{label} {got}");
            assert!(2 * got.p99 <= 3 * well.p99, "{label} {well} {got}");
        }
    };

    /// A genealogist's requests take twenty times as long as a search by name, on the same two
    /// slots. Two of them at once would hold everybody else up for a tenth of a second.
    long_requests_leave_a_slot_to_short_ones: long_jobs at 2.0 => |world| {
        let before = summary(world, "before", 0.0, END);
        let beside = summary(world, "reader", 0.0, END);
        assert!(beside.p99 <= before.p99 * 2, "{before} {beside}");
        let long = summary(world, "batch", 0.0, END);
        assert_eq!(long.whole, long.offered, "{long}");
    };

    /// Three times as much is asked as the servers can do, most of it from the archive. Without
    /// a choice nearly every answer would have holes; with it callers notice nothing.
    overload_is_borne_by_the_archive: overload at 0.1 => |world| {
        let name = summary(world, "name", 0.0, END);
        let archive = summary(world, "archive", 0.0, END);
        assert!(name.success() >= 0.99, "{name}");
        assert!(archive.slowest_refusal <= REFUSAL, "{archive}");
        assert_eq!(archive.silent, 0);
        let capacity = 800.0 * 6.0;
        let whole = (name.whole + archive.whole) as f64;
        assert!(whole >= 0.9 * capacity, "{whole} of {capacity}");
        let after = summary(world, "after", 0.0, END);
        assert!(after.success() >= 0.99, "{after}");
    };

    /// Two servers restart without notice, one of them twice. What they had in flight before the
    /// first sign may be lost; work beyond the cold limit after it would make them fall over again
    /// and again.
    cold_server_gets_what_it_can_bear: cold_return at 0.4 => |world| {
        let falls: u64 = world.backends.values().map(|b| b.falls).sum();
        assert!(falls <= 3, "{falls}");
        // With two servers cold 500 of 560 queries a second can be served, for some two of the
        // twelve seconds.
        let got = summary(world, "reader", 0.0, END);
        assert!(got.success() >= 0.97, "{got}");
    };

    /// Servers say that they are idle, full, cold or leaving although they are not, or say nothing.
    /// A caller would see the slow ones' time, or answers with holes.
    false_reports_cost_no_answer: false_reports at 0.2 => |world| {
        for label in ["truth", "idle", "full", "cold", "draining", "nothing"] {
            let got = summary(world, label, 0.0, END);
            assert!(got.success() >= 0.98, "{label} {got}");
        }
    };

    /// A server's reports lag by half a minute: it restarts and says that it is well, and when it is
    /// warm it says that it is cold. It shows by its lost connections, which cost a few requests;
    /// without that sign it would fall over until its caches are warm.
    late_report_of_a_cold_start_costs_a_few_requests: late_reports at 0.4 => |world| {
        let falls: u64 = world.backends.values().map(|b| b.falls).sum();
        assert!(falls <= 3, "{falls}");
        let got = summary(world, "reader", 0.0, END);
        assert!(got.success() >= 0.98, "{got}");
    };

    /// Operators take a failure domain out at 70% load and bring it back cold. There is not enough
    /// left for all; the archive goes without, and the returning servers are not swamped.
    domain_out_is_borne_by_the_archive: domain_out at 0.25 => |world| {
        for caller in ["name", "timetable"] {
            let got = summary(world, caller, 0.0, END);
            assert!(got.success() >= 0.99, "{caller} {got}");
        }
        let falls: u64 = world.backends.values().map(|b| b.falls).sum();
        assert_eq!(falls, 0);
    };
}

/// One reply in a hundred takes ten times as long, so that every other query of 68 shards does. A
/// second replica is asked in time, and hardly more is run for it.
#[test]
fn hedging_halves_the_tail_at_five_percent_more_load() {
    let with = patterns::stragglers(Policy::default(), 0.4);
    let without = patterns::stragglers(off(|p| p.hedge.on = false), 0.4);
    assert_sound(&with);
    let (on, off) = (
        summary(&with, "reader", 0.0, END),
        summary(&without, "reader", 0.0, END),
    );
    assert!(on.p99 * 2 <= off.p99, "{off} {on}");
    let asked = 68 * with.caught.ended.len() as u64;
    let extra = with.caught.runs - asked;
    assert!(extra * 100 <= asked * 5, "{extra} of {asked}");
}

/// A server that restarted is sent its full share at once and falls over, again and again.
#[test]
fn without_warm_up_a_cold_server_falls_over() {
    let world = patterns::cold_return(off(|p| p.warmup.on = false), 0.4);
    let falls: u64 = world.backends.values().map(|b| b.falls).sum();
    assert!(falls > 3, "{falls}");
}
