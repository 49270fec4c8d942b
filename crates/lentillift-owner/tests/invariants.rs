//! Properties of an owner that hold for any sequence of events.

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

/// Concurrency limit of a warm server.
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

/// A step of a random scenario.
#[derive(Debug, Clone)]
enum Step {
    /// A sub-request: its server, caller, allowance in milliseconds, and whether it is a hedge.
    Sub(usize, usize, u64, bool),
    /// An open sub-request is cancelled, given by its position from the oldest.
    Cancel(usize),
    /// A request in flight ends: its position from the oldest, the kind of its result (see
    /// [`result`]), and whether the server reports that it is cold.
    Done(usize, usize, bool),
    /// Time passes; in milliseconds.
    Wait(u64),
    /// Domain `b` is taken out of service (true) or put back.
    Domain(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..2, 0_usize..2, 1_u64..300, prop::bool::weighted(0.1))
            .prop_map(|(server, caller, ms, hedge)| Step::Sub(server, caller, ms, hedge)),
        1 => (0_usize..8).prop_map(Step::Cancel),
        4 => (0_usize..8, 0_usize..20, prop::bool::weighted(0.05))
            .prop_map(|(position, kind, cold)| Step::Done(position, kind, cold)),
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

fn result(kind: usize) -> sub::Result {
    match kind {
        0 => sub::Result::unknown(Failure::Connection),
        1 => sub::Result::unknown(Failure::Timeout),
        2 => sub::Result::not_run(Failure::Shed),
        3 => sub::Result::not_run(Failure::SnapshotGone),
        _ => sub::Result::Hits(Vec::<Hit>::new()),
    }
}

/// An owner, and what its effects so far have shown.
struct Harness {
    owner: Owner,
    now: Time,
    /// Number of the newest sub-request.
    last_id: id::Sub,
    /// Sub-requests that wait for a reply, with their deadlines.
    open: BTreeMap<id::Sub, Time>,
    /// Requests in flight to backend servers.
    in_flight: BTreeMap<Ticket, (id::Sub, id::Backend)>,
    /// Sub-requests that were refused without being sent.
    refused: BTreeSet<id::Sub>,
    /// Sub-requests that were sent to a backend server.
    sent: BTreeSet<id::Sub>,
    /// Whether domain `b` is out of service.
    domain_out: bool,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            owner: Owner::new(),
            now: Time::ZERO,
            last_id: 0,
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            refused: BTreeSet::new(),
            sent: BTreeSet::new(),
            domain_out: false,
        };
        harness.handle(Event::View(view(false))).expect("no effect");
        for backend in ["b0", "b1"] {
            let backend = backend.into();
            let hold = LeaseState::Until(Time::MAX);
            let held = harness.handle(Event::Hold { backend, hold });
            held.expect("no effect");
        }
        harness
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Sub(server, caller, ms, hedge) => {
                self.last_id += 1;
                let allowance = Duration::from_millis(ms);
                self.open.insert(self.last_id, self.now + allowance);
                let sub = Sub {
                    id: self.last_id,
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
            Step::Cancel(position) => match self.open.keys().nth(position).copied() {
                Some(id) => {
                    if !self.sent.contains(&id) {
                        self.open.remove(&id);
                    }
                    let from = "e".into();
                    self.handle(Event::Cancel { from, id })
                }
                None => Ok(()),
            },
            Step::Done(position, kind, cold) => {
                match self.in_flight.keys().nth(position).copied() {
                    Some(ticket) => {
                        self.in_flight.remove(&ticket);
                        let report = Report {
                            cold,
                            ..Report::default()
                        };
                        self.handle(Event::Done {
                            ticket,
                            result: result(kind),
                            report,
                        })
                    }
                    None => Ok(()),
                }
            }
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
                self.domain_out = out;
                self.handle(Event::View(view(out)))
            }
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        for effect in self.owner.handle(self.now, event) {
            match effect {
                Effect::Dispatch { ticket, sub, left } => {
                    prop_assert!(!left.is_zero());
                    prop_assert!(
                        self.open
                            .get(&sub.id)
                            .is_some_and(|deadline| *deadline > self.now)
                    );
                    prop_assert!(!self.refused.contains(&sub.id));
                    prop_assert!(self.sent.insert(sub.id), "sent twice");
                    prop_assert!(!self.domain_out || &*sub.backend != "b1");
                    self.in_flight.insert(ticket, (sub.id, sub.backend.clone()));
                    let same_backend = |request: &&(id::Sub, id::Backend)| request.1 == sub.backend;
                    let in_flight = self.in_flight.values().filter(same_backend).count();
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
                Effect::Forward { .. } => prop_assert!(false, "forwarded although held here"),
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

    /// Sub-requests arrive, are cancelled, time out and fail while servers go cold and a domain is
    /// taken out and put back. One that is sent after its refusal doubles work that was reported
    /// as not run, one that is sent after its deadline is wasted work, one beyond the limit
    /// overloads a cold server, and one that is never answered leaves its caller waiting.
    #[test]
    fn sub_requests_are_sent_within_limits_and_answered_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut harness = Harness::new();
        for step in steps {
            harness.step(step)?;
        }
        while let Some((ticket, _)) = harness.in_flight.pop_first() {
            harness.handle(Event::Done { ticket, result: result(9), report: Report::default() })?;
        }
        harness.step(Step::Wait(20_000))?;
        while let Some((ticket, _)) = harness.in_flight.pop_first() {
            harness.handle(Event::Done { ticket, result: result(9), report: Report::default() })?;
        }
        prop_assert!(harness.open.is_empty(), "{:?}", harness.open);
    }
}
