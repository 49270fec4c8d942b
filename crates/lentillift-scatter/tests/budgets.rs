//! Budgets of repeated sends over several hosts.

use lentillift_core::time::Time;
use lentillift_scatter::budget::Budget;
use lentillift_scatter::budget::Options;
use lentillift_scatter::budget::Purpose;
use lentillift_scatter::share::Share;
use proptest::prelude::*;
use std::time::Duration;

const OPTIONS: Options = Options {
    ratio: 0.2,
    extra: 58,
    window: Duration::from_secs(10),
};

fn share(hosts: u32, started: Time) -> Share {
    Share { hosts, started }
}

/// One thing that happens at one host.
#[derive(Debug, Clone, Copy)]
enum Step {
    Request,
    Repeats(u8),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => Just(Step::Request),
        4 => (1u8..20).prop_map(Step::Repeats),
        1 => Just(Step::Restart),
    ]
}

/// Whether some span of a window's length holds more repeated sends than allowed.
fn worst(requests: &[Time], repeats: &[Time]) -> Option<(Time, usize, f64)> {
    for end in repeats {
        let within = |times: &[Time], from: Time| {
            times
                .iter()
                .filter(|at| **at > from && **at <= *end)
                .count()
        };
        let from = end.saturating_sub(OPTIONS.window);
        let sent = within(repeats, from);
        let allowed = within(requests, from) as f64 * OPTIONS.ratio + f64::from(OPTIONS.extra);
        if sent as f64 > allowed {
            return Some((*end, sent, allowed));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Nine hosts have requests, hedge as much as they may, and some start anew with no memory at any
    /// moment, over and over. Were each to take itself for fresh, their repeated sends together would
    /// go beyond the bound, and the service would get a fifth more load just when it is slow.
    #[test]
    fn hosts_together_keep_the_bound(
        steps in prop::collection::vec((0usize..9, 0u64..120, step()), 1..600),
    ) {
        let mut now = Duration::from_secs(20);
        let mut hosts: Vec<(Budget, Share)> =
            (0..9).map(|_| (Budget::default(), share(9, Time::ZERO))).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (host, pause, step) in steps {
            now += Duration::from_millis(pause);
            let (budget, share) = &mut hosts[host];
            match step {
                Step::Request => {
                    budget.earn(&OPTIONS, now);
                    requests.push(now);
                }
                Step::Repeats(count) => {
                    for _ in 0..count {
                        if budget.spend(&OPTIONS, share, now, Purpose::Answer) {
                            repeats.push(now);
                        }
                    }
                }
                Step::Restart => {
                    *budget = Budget::default();
                    share.started = now;
                }
            }
        }
        prop_assert_eq!(worst(&requests, &repeats), None);
    }
}

/// A process starts anew in the middle of an outage. Its former self may just have spent its part of
/// the fixed number; only what its own requests earn is left to it.
#[test]
fn a_fresh_process_spends_what_it_earned() {
    let mut budget = Budget::default();
    let share = share(1, Time::ZERO);
    let now = Duration::from_secs(5);
    assert!(!budget.spend(&OPTIONS, &share, now, Purpose::Answer));
    for _ in 0..5 {
        budget.earn(&OPTIONS, now);
    }
    assert!(budget.spend(&OPTIONS, &share, now, Purpose::Answer));
    assert!(!budget.spend(&OPTIONS, &share, now, Purpose::Answer));
}

/// A burst ends and its servers are still slow. Repeats are still earned by the burst's requests for
/// one window, and no longer.
#[test]
fn what_was_earned_expires() {
    let mut budget = Budget::default();
    let share = share(1000, Time::ZERO);
    let now = Duration::from_secs(100);
    for _ in 0..10 {
        budget.earn(&OPTIONS, now);
    }
    assert!(budget.allows(
        &OPTIONS,
        &share,
        now + Duration::from_secs(8),
        Purpose::Answer
    ));
    assert!(!budget.allows(
        &OPTIONS,
        &share,
        now + Duration::from_secs(11),
        Purpose::Answer
    ));
}

/// A repeated send finds the port closed. Nothing reached the server, so it costs nothing.
#[test]
fn what_never_left_is_given_back() {
    let mut budget = Budget::default();
    let share = share(58, Time::ZERO);
    let now = Duration::from_secs(100);
    assert!(budget.spend(&OPTIONS, &share, now, Purpose::Answer));
    assert!(!budget.spend(&OPTIONS, &share, now, Purpose::Answer));
    budget.refund(&OPTIONS, now);
    assert!(budget.spend(&OPTIONS, &share, now, Purpose::Answer));
}

/// The budget runs low. What is left goes to searches that would fail without it, not to those that
/// would only be more complete.
#[test]
fn the_last_half_is_for_answers() {
    let mut budget = Budget::default();
    let share = share(1000, Time::ZERO);
    let now = Duration::from_secs(100);
    for _ in 0..50 {
        budget.earn(&OPTIONS, now);
    }
    let parts = (0..10).filter(|_| budget.spend(&OPTIONS, &share, now, Purpose::Part));
    assert_eq!(parts.count(), 5);
    let answers = (0..10).filter(|_| budget.spend(&OPTIONS, &share, now, Purpose::Answer));
    assert_eq!(answers.count(), 5);
}

/// Operators watch what is left: it shrinks with each repeat, to nothing and not below.
#[test]
fn what_is_left_shrinks_to_nothing() {
    let mut budget = Budget::default();
    let share = share(1, Time::ZERO);
    let now = Duration::from_secs(100);
    for _ in 0..10 {
        budget.earn(&OPTIONS, now);
    }
    let mut left = budget.left(&OPTIONS, &share, now);
    assert!(left >= 2.0, "{left}");
    while budget.spend(&OPTIONS, &share, now, Purpose::Answer) {
        let less = budget.left(&OPTIONS, &share, now);
        assert!((left - less - 1.0).abs() < 1e-9, "{left}, then {less}");
        left = less;
    }
    assert!((0.0..1.0).contains(&left), "{left}");
}
