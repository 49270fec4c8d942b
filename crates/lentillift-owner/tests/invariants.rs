//! What an owner promises whatever happens.

use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_owner::core::Effect;
use lentillift_owner::core::Event;
use lentillift_owner::core::Owner;
use lentillift_owner::core::Ticket;
use lentillift_settings::config::Config;
use lentillift_settings::jsonc;
use lentillift_settings::placement::Placement;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Requests that a warm server bears at a time.
const SLOTS: usize = 3;

const CONFIG: &str = r#"{
    "revision": 1,
    "domains": ["a", "b"],
    "classes": {"name": {"rank": 0, "queue_ms": 50}, "archive": {"rank": 1, "queue_ms": 500}},
    "callers": {"x": {"weight": 1}, "y": {"weight": 3}},
    "services": {"search": {
        "kind": "search", "class": "name", "slots": 3, "connections": 25, "cold_slots": 1,
        "connect_ms": 6
    }},
    "least_allowance_ms": 1,
    "most_allowance_ms": 10000,
    "policy": {"classes": {"y": "archive"}}
}"#;

const PLACEMENT: &str = r#"{
    "revision": 1,
    "servers": {
        "b0": {"address": "127.0.0.1:1", "domain": "a", "state": "live"},
        "b1": {"address": "127.0.0.1:2", "domain": "b", "state": "live"}
    },
    "maps": []
}"#;

/// Something that happens.
#[derive(Debug, Clone)]
enum Step {
    /// A sub-request for a server, of a caller, with an allowance in milliseconds.
    Sub(usize, usize, u64, bool),
    /// The oldest sub-request but so many is cancelled.
    Cancel(usize),
    /// A request in flight ends, in one of the ways that there are, with or without a cold report.
    Done(usize, usize, bool),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// Domain `b` is taken out or put back.
    Domain(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..2, 0_usize..2, 1_u64..300, prop::bool::weighted(0.1))
            .prop_map(|(server, caller, ms, hedge)| Step::Sub(server, caller, ms, hedge)),
        1 => (0_usize..8).prop_map(Step::Cancel),
        4 => (0_usize..8, 0_usize..20, prop::bool::weighted(0.05))
            .prop_map(|(which, how, cold)| Step::Done(which, how, cold)),
        3 => (1_u64..40).prop_map(Step::Wait),
        1 => prop::bool::weighted(0.3).prop_map(Step::Domain),
    ]
}

fn view(out: bool) -> Arc<View> {
    let mut config: Config = jsonc::parse("config", CONFIG).expect("a configuration");
    if out {
        config.domains_out.insert("b".into());
    }
    let placement: Placement = jsonc::parse("service", PLACEMENT).expect("a placement");
    let values = Values {
        config: Some(Arc::new(config)),
        placements: [("search".into(), Arc::new(placement))].into(),
        ..Values::default()
    };
    Arc::new(View::new(values, vec!["h".into()]))
}

fn result(how: usize) -> sub::Result {
    match how {
        0 => sub::Result::unknown(Failure::Connection),
        1 => sub::Result::unknown(Failure::Timeout),
        2 => sub::Result::not_run(Failure::Shed),
        3 => sub::Result::not_run(Failure::SnapshotGone),
        _ => sub::Result::Hits(Vec::<Hit>::new()),
    }
}

/// An owner, and what was seen of it.
struct Bench {
    owner: Owner,
    now: Time,
    next: id::Sub,
    open: BTreeMap<id::Sub, Time>,
    flying: BTreeMap<Ticket, (id::Sub, id::Backend)>,
    refused: BTreeSet<id::Sub>,
    sent: BTreeSet<id::Sub>,
    out: bool,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self {
            owner: Owner::new(),
            now: Time::ZERO,
            next: 0,
            open: BTreeMap::new(),
            flying: BTreeMap::new(),
            refused: BTreeSet::new(),
            sent: BTreeSet::new(),
            out: false,
        };
        bench.handle(Event::View(view(false))).expect("no effect");
        for backend in ["b0", "b1"] {
            let backend = backend.into();
            let hold = LeaseState::Until(Time::MAX);
            let held = bench.handle(Event::Hold { backend, hold });
            held.expect("no effect");
        }
        bench
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Sub(server, caller, ms, hedge) => {
                self.next += 1;
                let allowance = Duration::from_millis(ms);
                self.open.insert(self.next, self.now + allowance);
                let sub = Sub {
                    id: self.next,
                    service: "search".into(),
                    backend: ["b0", "b1"][server].into(),
                    caller: ["x", "y"][caller].into(),
                    work: Work::Search {
                        snapshot: 1,
                        shard: 0,
                    },
                    allowance,
                    body: [].into(),
                    hedge,
                };
                let from = "e".into();
                self.handle(Event::Sub { from, sub })
            }
            Step::Cancel(which) => match self.open.keys().nth(which).copied() {
                Some(id) => {
                    if !self.sent.contains(&id) {
                        self.open.remove(&id);
                    }
                    let from = "e".into();
                    self.handle(Event::Cancel { from, id })
                }
                None => Ok(()),
            },
            Step::Done(which, how, cold) => match self.flying.keys().nth(which).copied() {
                Some(ticket) => {
                    self.flying.remove(&ticket);
                    let report = Report {
                        cold,
                        ..Report::default()
                    };
                    self.handle(Event::Done {
                        ticket,
                        result: result(how),
                        report,
                    })
                }
                None => Ok(()),
            },
            Step::Wait(ms) => {
                let end = self.now + Duration::from_millis(ms);
                while let Some(wake) = self.owner.next_wake().filter(|wake| *wake <= end) {
                    self.now = wake.max(self.now);
                    self.handle(Event::Tick)?;
                }
                self.now = end;
                Ok(())
            }
            Step::Domain(out) => {
                self.out = out;
                self.handle(Event::View(view(out)))
            }
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        for effect in self.owner.handle(self.now, event) {
            match effect {
                Effect::Dispatch { ticket, sub, left } => {
                    prop_assert!(!left.is_zero());
                    prop_assert!(self.open.get(&sub.id).is_some_and(|due| *due > self.now));
                    prop_assert!(!self.refused.contains(&sub.id));
                    prop_assert!(self.sent.insert(sub.id), "sent twice");
                    prop_assert!(!self.out || &*sub.backend != "b1");
                    self.flying.insert(ticket, (sub.id, sub.backend.clone()));
                    let of = |f: &&(id::Sub, id::Backend)| f.1 == sub.backend;
                    let in_flight = self.flying.values().filter(of).count();
                    prop_assert!(in_flight <= SLOTS);
                    let servers: BTreeMap<_, _> = self.owner.servers().collect();
                    let limit = servers[&sub.backend].warmup.limit() as usize;
                    prop_assert!(in_flight <= limit.max(1), "{in_flight} of {limit}");
                }
                Effect::Reply { id, result, .. } => {
                    prop_assert!(self.open.remove(&id).is_some(), "answered twice");
                    if result.outcome() == lentillift_core::outcome::Outcome::NotRun
                        && !self.sent.contains(&id)
                    {
                        self.refused.insert(id);
                    }
                }
                Effect::Forward { .. } => prop_assert!(false, "held here, and passed on"),
                Effect::Cancel { .. } | Effect::Note { .. } => {}
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Sub-requests come, are cancelled, time out and fail while servers chill and a domain goes
    /// and returns. One that is sent after a refusal doubles work that was said not to run; one
    /// that is sent late serves nobody; one too many tips a cold server over; one that is never
    /// answered leaves its caller waiting.
    #[test]
    fn owner_keeps_its_promises(steps in prop::collection::vec(step(), 1..250)) {
        let mut bench = Bench::new();
        for step in steps {
            bench.step(step)?;
        }
        while let Some((ticket, _)) = bench.flying.pop_first() {
            bench.handle(Event::Done { ticket, result: result(9), report: Report::default() })?;
        }
        bench.step(Step::Wait(20_000))?;
        while let Some((ticket, _)) = bench.flying.pop_first() {
            bench.handle(Event::Done { ticket, result: result(9), report: Report::default() })?;
        }
        prop_assert!(bench.open.is_empty(), "{:?}", bench.open);
    }
}
