//! Properties of the policies that hold for any sequence of events.

use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub::Failure;
use lentillift_core::time::Time;
use lentillift_policy::admission;
use lentillift_policy::admission::Admission;
use lentillift_policy::hedge;
use lentillift_policy::hedge::Hedge;
use lentillift_policy::queue::Job;
use lentillift_policy::queue::Queue;
use lentillift_policy::queue::Slot;
use lentillift_policy::retry;
use lentillift_policy::retry::Retry;
use lentillift_policy::share::Shares;
use lentillift_policy::slots::Slots;
use lentillift_policy::warmup::Warmup;
use lentillift_settings::policy::Policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

/// Extra requests that a budget allows before any has been earned.
const INITIAL_BUDGET: u64 = 10;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn caller(number: u8) -> id::Caller {
    format!("c{number}").into()
}

fn job(rank: u8, number: u8, cost_ms: u64, expiry_ms: u64) -> Job {
    Job {
        rank,
        caller: caller(number),
        weight: u32::from(number) + 1,
        cost: Duration::from_millis(cost_ms),
        long: false,
        expiry: Duration::from_millis(expiry_ms),
    }
}

proptest! {
    #![proptest_config(config())]

    /// A fault makes every sub-request slow. Without a bound, hedges would double the load on
    /// servers that are slow already.
    #[test]
    fn hedges_stay_within_their_budget(slow in prop::collection::vec(any::<bool>(), 1..2000)) {
        let options = Policy::default().hedge;
        let mut hedges = Hedge::default();
        let (mut sent, mut extra) = (0, 0);
        for slow in slow {
            sent += 1;
            hedges.record_sent(&options, Duration::ZERO);
            if slow && hedges.decide(false) == hedge::Decision::Send {
                extra += 1;
            }
            prop_assert!(100 * extra <= 100 * INITIAL_BUDGET + u64::from(options.budget_percent) * sent);
        }
    }

    /// Every sub-request fails. Without a bound, retries would keep up the overload after its cause
    /// is gone.
    #[test]
    fn retries_stay_within_their_budget(refused in prop::collection::vec(any::<bool>(), 1..2000)) {
        let options = Policy::default().retry;
        let mut retries = Retry::default();
        let (mut sent, mut extra) = (0, 0);
        for refused in refused {
            sent += 1;
            retries.record_sent(&options);
            let failed = retry::Failed {
                failure: if refused { Failure::Refused } else { Failure::Connection },
                outcome: Outcome::NotRun,
                idempotent: true,
                tries: 1,
            };
            extra += u64::from(retries.decide(&options, &failed) == retry::Decision::Retry);
            prop_assert!(100 * extra <= 100 * INITIAL_BUDGET + u64::from(options.budget_percent) * sent);
        }
    }

    /// A request that is not idempotent fails and may have run. A retry could file a notice twice.
    #[test]
    fn unsafe_requests_are_never_retried(tries in 0_u32..4, on in any::<bool>()) {
        let mut options = Policy::default().retry;
        options.on = on;
        for outcome in [Outcome::Unknown, Outcome::Done] {
            let failed = retry::Failed {
                failure: Failure::Connection,
                outcome,
                idempotent: false,
                tries,
            };
            prop_assert_eq!(Retry::default().decide(&options, &failed), retry::Decision::Unsafe);
        }
    }

    /// Requests arrive, are cancelled, expire and are taken in any order. A request that the queue
    /// loses is never answered, one that it returns twice runs twice, and one that it returns after
    /// its expiry wastes a slot.
    #[test]
    fn queue_returns_each_request_once_and_in_time(
        steps in prop::collection::vec((0_u8..5, 0_u8..3, 0_u8..4, 1_u64..50), 1..300),
    ) {
        let options = Policy::default().queue;
        let mut queue = Queue::default();
        let mut waiting = BTreeMap::new();
        let mut now = Time::ZERO;
        for (number, (step, rank, caller, time)) in (0_u64..).zip(steps) {
            match step {
                0 | 1 => {
                    let expiry = now.as_millis() as u64 + time;
                    let job = job(rank, caller, time, expiry);
                    waiting.insert(number, job.clone());
                    queue.push(number, job, number);
                }
                2 => {
                    while let Some((ticket, _)) = queue.pop_expired(now) {
                        let job = waiting.remove(&ticket);
                        prop_assert!(job.is_some_and(|job| job.expiry <= now));
                    }
                    if let Some(next) = queue.pop(&options, now, Slot::Open) {
                        prop_assert_eq!(next.ticket, next.item);
                        let job = waiting.remove(&next.ticket);
                        prop_assert!(job.is_some_and(|job| job.expiry > now));
                        prop_assert!(waiting.values().all(|other| other.rank >= next.job.rank));
                    }
                }
                3 => {
                    let first = waiting.first_key_value().map(|(ticket, _)| *ticket);
                    if let Some(first) = first {
                        prop_assert_eq!(queue.remove(first), Some(first));
                        waiting.remove(&first);
                    }
                }
                _ => now += Duration::from_millis(time),
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
        prop_assert_eq!(queue.drain(), waiting.into_keys().collect::<Vec<_>>());
    }

    /// All callers of one class have requests waiting throughout. If one of them got less than its
    /// share by weight, its requests would expire in the queue.
    #[test]
    fn callers_with_waiting_requests_get_their_shares(costs in prop::collection::vec(1_u64..20, 4)) {
        let mut options = Policy::default().queue;
        options.excess_percent = 0;
        let mut queue = Queue::default();
        let mut served = BTreeMap::new();
        let mut number = 0;
        let mut push = |queue: &mut Queue<u8>, caller: u8| {
            number += 1;
            queue.push(number, job(0, caller, costs[usize::from(caller)], 1_000_000), caller);
        };
        for caller in 0..4 {
            push(&mut queue, caller);
        }
        for _ in 0..400 {
            let Some(next) = queue.pop(&options, Time::ZERO, Slot::Open) else {
                break;
            };
            *served.entry(next.item).or_insert(0_u64) += costs[usize::from(next.item)];
            push(&mut queue, next.item);
        }
        let most = *costs.iter().max().unwrap_or(&1);
        let share = |caller: u8| served.get(&caller).copied().unwrap_or(0) / (u64::from(caller) + 1);
        for (a, b) in (0..4).flat_map(|a| (0..4).map(move |b| (a, b))) {
            prop_assert!(share(a) <= share(b) + 2 * most, "{served:?} {costs:?}");
        }
    }

    /// Replies are quick or slow, the server goes cold and the published limit changes. A limit
    /// above the published one would overload the server.
    #[test]
    fn limits_stay_within_the_published_limit(
        steps in prop::collection::vec((0_u8..4, 0_u32..2000), 1..300),
    ) {
        let policy = Policy::default();
        let mut slots = Slots::new(3);
        let mut warmup = Warmup::new(&policy.warmup, 1, 3);
        let mut ceiling = 3;
        for (step, value) in steps {
            match step {
                0 => {
                    ceiling = 1 + value % 4;
                    slots.set_ceiling(ceiling);
                    warmup.set_limits(&policy.warmup, 1, ceiling);
                }
                1 => {
                    warmup.reset_to_cold(&policy.warmup);
                    prop_assert_eq!(warmup.limit(), 1);
                }
                2 => {
                    let before = warmup.limit();
                    warmup.record_success(&policy.warmup);
                    prop_assert!(warmup.limit() <= before + 1);
                }
                _ => {
                    slots.record(&policy.slots, value);
                }
            }
            prop_assert!((1..=ceiling).contains(&slots.limit()));
            prop_assert!((1..=ceiling).contains(&warmup.limit()));
        }
    }

    /// A client sends each request under a new caller name. State for every name would exhaust the
    /// memory.
    #[test]
    fn state_for_invented_callers_is_bounded(names in 5000_u32..20_000) {
        let mut shares = Shares::default();
        for name in 0..names {
            shares.record(Duration::from_micros(name.into()), &name.to_string().into(), 1, 1.0);
        }
        prop_assert!(shares.len() <= 4096);
    }

    /// The service is overloaded for a while. A rate limit that stayed in force afterwards would
    /// refuse queries without need.
    #[test]
    fn rate_limit_ends_after_an_overload(windows in 1_u64..40, rate in 1_u64..50) {
        let options = Policy::default().admission;
        let mut admission = Admission::default();
        let request = admission::Request { rank: 2, caller: caller(0), weight: 1, cost: 68 };
        let mut now = Time::ZERO;
        for _ in 0..windows * rate {
            admission.decide(&options, now, &request);
            let completion = admission::Completion { rank: 2, answered: 30, refused: true };
            admission.record_completion(&options, now, &completion);
            now += Duration::from_millis(100) / rate as u32;
        }
        for _ in 0..150 {
            now += Duration::from_millis(100);
            admission.decide(&options, now, &request);
        }
        prop_assert!(!admission.is_limited());
    }
}
