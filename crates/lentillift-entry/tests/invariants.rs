//! Invariants of an entry under random events.

#[path = "bench/setup.rs"]
#[allow(dead_code, unreachable_pub)]
mod setup;

use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_entry::answer::SearchRequest;
use lentillift_entry::core::Effect;
use lentillift_entry::core::Entry;
use lentillift_entry::core::Event;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A random event.
#[derive(Debug, Clone)]
enum Step {
    /// A query: its body, its allowance in milliseconds and its limit of hits.
    Ask(u8, u64, usize),
    /// The caller of the waiting query at this position closes its connection.
    Gone(usize),
    /// The sub-request at this position ends with this result, with or without a reported load.
    Reply(usize, usize, bool),
    /// The link to a host ends.
    Down(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_u8..3, 10_u64..200, 0_usize..6).prop_map(|(b, ms, n)| Step::Ask(b, ms, n)),
        1 => (0_usize..8).prop_map(Step::Gone),
        8 => (0_usize..16, 0_usize..16, any::<bool>()).prop_map(|(w, h, l)| Step::Reply(w, h, l)),
        1 => (0_usize..3).prop_map(Step::Down),
        3 => (1_u64..20).prop_map(Step::Wait),
    ]
}

struct Harness {
    entry: Entry<StdRng>,
    now: Time,
    next: id::Request,
    /// Queries without an answer yet, with their deadlines and limits.
    waiting: BTreeMap<id::Request, (Time, usize)>,
    in_flight: BTreeMap<id::Sub, (id::Host, Sub)>,
    answered: BTreeSet<id::Request>,
}

impl Harness {
    fn new() -> Self {
        let setup = setup::Setup::default();
        let values = Values {
            config: Some(Arc::new(setup::config(&setup))),
            placements: [(setup::SERVICE.into(), Arc::new(setup::placement(&setup)))].into(),
            ..Values::default()
        };
        let hosts = (0..3).map(|n| format!("h{n}").into()).collect();
        let mut entry = Entry::new(StdRng::seed_from_u64(4)).with_cache_bytes(0);
        entry.handle(Time::ZERO, Event::View(Arc::new(View::new(values, hosts))));
        Self {
            entry,
            now: Time::ZERO,
            next: 0,
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            answered: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask(body, ms, limit) => {
                self.next += 1;
                let allowance = Duration::from_millis(ms);
                self.waiting
                    .insert(self.next, (self.now + allowance, limit));
                let ask = SearchRequest {
                    service: setup::SERVICE.into(),
                    caller: "reader".into(),
                    allowance,
                    limit,
                    least_coverage: 0.0,
                    body: [body].into(),
                };
                let request = self.next;
                self.handle(Event::Ask { request, ask })
            }
            Step::Gone(which) => {
                let Some(request) = self.waiting.keys().nth(which).copied() else {
                    return Ok(());
                };
                self.waiting.remove(&request);
                self.handle(Event::Gone { request })
            }
            Step::Reply(which, kind, load) => {
                let Some((id, sub)) = self
                    .in_flight
                    .iter()
                    .nth(which)
                    .map(|(id, (_, sub))| (*id, sub.clone()))
                else {
                    return Ok(());
                };
                self.in_flight.remove(&id);
                let load = load.then(Load::default);
                let result = result(kind, &sub);
                self.handle(Event::Reply { id, result, load })
            }
            Step::Down(which) => {
                let host: id::Host = format!("h{which}").into();
                self.in_flight.retain(|_, (owner, _)| *owner != host);
                self.handle(Event::Down { host })
            }
            Step::Wait(ms) => {
                let end = self.now + Duration::from_millis(ms);
                while let Some(wake) = self.entry.next_wake().filter(|wake| *wake <= end) {
                    self.now = wake.max(self.now);
                    self.handle(Event::Tick)?;
                }
                self.now = end;
                Ok(())
            }
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        for effect in self.entry.handle(self.now, event) {
            match effect {
                Effect::Send { to, sub } => {
                    prop_assert!(!sub.allowance.is_zero());
                    prop_assert!(self.in_flight.insert(sub.id, (to, sub)).is_none());
                }
                Effect::Cancel { id, .. } => {
                    prop_assert!(
                        self.in_flight.remove(&id).is_some(),
                        "cancelled a sub-request that had ended"
                    );
                }
                Effect::Answer { request, answer } => {
                    let found = self.waiting.remove(&request);
                    let Some((deadline, limit)) = found else {
                        return Err(TestCaseError::fail("answered twice, or an unknown request"));
                    };
                    prop_assert!(self.now <= deadline);
                    let answered = answer.coverage.answered as usize;
                    prop_assert_eq!(answer.hits.len(), answered.min(limit));
                    self.answered.insert(request);
                }
                Effect::Refuse { request, .. } => {
                    prop_assert!(self.waiting.remove(&request).is_some(), "refused twice");
                }
            }
        }
        Ok(())
    }
}

fn result(kind: usize, sub: &Sub) -> sub::Result {
    match kind {
        0 => sub::Result::unknown(Failure::Connection),
        1 => sub::Result::unknown(Failure::Timeout),
        2 => sub::Result::not_run(Failure::Refused),
        3 => sub::Result::not_run(Failure::Cold),
        4 => sub::Result::not_run(Failure::NotOwner),
        _ => sub::Result::Hits(vec![Hit {
            id: sub.id.to_string(),
            score: 1.0,
            json: "{}".to_owned(),
        }]),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Callers send equal and different queries and disconnect; owners reply, refuse, fail and
    /// vanish. Each caller must get exactly one answer, in time and within its own limit, and no
    /// sub-request may stay in flight once nobody waits for it.
    #[test]
    fn each_caller_gets_one_answer_in_time_within_its_limit(steps in prop::collection::vec(step(), 1..200)) {
        let mut harness = Harness::new();
        for step in &steps {
            harness.step(step)?;
        }
        harness.step(&Step::Wait(1000))?;
        prop_assert!(harness.waiting.is_empty(), "{:?}", harness.waiting);
        prop_assert!(harness.in_flight.is_empty(), "{:?}", harness.in_flight);
    }
}
