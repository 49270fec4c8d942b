//! What an entry promises its callers whatever happens.

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

/// Something that happens.
#[derive(Debug, Clone)]
enum Step {
    /// A query with one of some bodies, an allowance in milliseconds and a limit.
    Ask(u8, u64, usize),
    /// A caller goes away.
    Gone(usize),
    /// A sub-request is answered, well or not, with or without a load.
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

struct Bench {
    entry: Entry<StdRng>,
    now: Time,
    next: id::Request,
    /// Queries that wait, with their deadlines and limits.
    open: BTreeMap<id::Request, (Time, usize)>,
    flying: BTreeMap<id::Sub, (id::Host, Sub)>,
    answered: BTreeSet<id::Request>,
}

impl Bench {
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
            open: BTreeMap::new(),
            flying: BTreeMap::new(),
            answered: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask(body, ms, limit) => {
                self.next += 1;
                let allowance = Duration::from_millis(ms);
                self.open.insert(self.next, (self.now + allowance, limit));
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
                let Some(request) = self.open.keys().nth(which).copied() else {
                    return Ok(());
                };
                self.open.remove(&request);
                self.handle(Event::Gone { request })
            }
            Step::Reply(which, how, load) => {
                let Some((id, sub)) = self
                    .flying
                    .iter()
                    .nth(which)
                    .map(|(id, (_, sub))| (*id, sub.clone()))
                else {
                    return Ok(());
                };
                self.flying.remove(&id);
                let load = load.then(Load::default);
                let result = result(how, &sub);
                self.handle(Event::Reply { id, result, load })
            }
            Step::Down(which) => {
                let host: id::Host = format!("h{which}").into();
                self.flying.retain(|_, (owner, _)| *owner != host);
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
                    prop_assert!(self.flying.insert(sub.id, (to, sub)).is_none());
                }
                Effect::Cancel { id, .. } => {
                    prop_assert!(
                        self.flying.remove(&id).is_some(),
                        "cancelled what had ended"
                    );
                }
                Effect::Answer { request, answer } => {
                    let open = self.open.remove(&request);
                    let Some((deadline, limit)) = open else {
                        return Err(TestCaseError::fail("answered twice, or a stranger"));
                    };
                    prop_assert!(self.now <= deadline);
                    let answered = answer.coverage.answered as usize;
                    prop_assert_eq!(answer.hits.len(), answered.min(limit));
                    self.answered.insert(request);
                }
                Effect::Refuse { request, .. } => {
                    prop_assert!(self.open.remove(&request).is_some(), "refused twice");
                }
            }
        }
        Ok(())
    }
}

fn result(how: usize, sub: &Sub) -> sub::Result {
    match how {
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

    /// Callers ask the same and different things, go away and wait; owners answer, refuse, fail and
    /// vanish. A caller that gets no answer, two, a late one or somebody else's limit notices; what
    /// goes on for nobody takes slots from those who wait.
    #[test]
    fn each_caller_gets_one_answer_of_its_own(steps in prop::collection::vec(step(), 1..200)) {
        let mut bench = Bench::new();
        for step in &steps {
            bench.step(step)?;
        }
        bench.step(&Step::Wait(1000))?;
        prop_assert!(bench.open.is_empty(), "{:?}", bench.open);
        prop_assert!(bench.flying.is_empty(), "{:?}", bench.flying);
    }
}
