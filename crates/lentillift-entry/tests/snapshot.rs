//! Consistency of answers: hits from one snapshot only, and a coverage that matches them.
//!
//! Each published snapshot partitions the same documents in another way, as repartitioning does.
//! Sub-requests are answered in any order, late, twice, with hits, with each failure, or not at
//! all, while snapshots are published and dropped and failure domains are taken out. A caller would
//! see a violation as a duplicate hit, a hit that is missing although its shard counts as answered,
//! or hits of two snapshots.

use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use lentillift_entry::answer::Answer;
use lentillift_entry::answer::SearchRequest;
use lentillift_entry::core::Effect;
use lentillift_entry::core::Entry;
use lentillift_entry::core::Event;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_settings::jsonc;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;

const DOCUMENTS: u64 = 24;
const SNAPSHOTS: u64 = 4;
const BACKENDS: u64 = 4;

/// Number of shards of a snapshot: shards are split, merged and moved from one snapshot to the
/// next.
fn shards(snapshot: id::Snapshot) -> u64 {
    [3, 4, 2, 3][snapshot as usize % 4]
}

/// The documents of one shard: those whose number modulo the number of shards equals the shard's
/// own.
///
/// Odd snapshots number their shards in reverse.
fn documents(snapshot: id::Snapshot, shard: id::Shard) -> impl Iterator<Item = u64> {
    let count = shards(snapshot);
    let rest = match snapshot % 2 {
        0 => u64::from(shard),
        _ => count - 1 - u64::from(shard),
    };
    (0..DOCUMENTS).filter(move |document| document % count == rest)
}

/// A view with `count` published snapshots from `first` on; `out` takes domain `a` out of service.
fn view(first: u64, count: u64, out: bool) -> Arc<View> {
    let servers = (0..BACKENDS).map(|backend| {
        let domain = ["a", "b"][backend as usize % 2];
        format!(r#""b{backend}":{{"address":"127.0.0.1:1","domain":"{domain}","state":"live"}}"#)
    });
    let part = |snapshot, shard| {
        let weight = documents(snapshot, shard as u32).count();
        let one = (snapshot + shard) % BACKENDS;
        let other = (one + 1 + shard % 2) % BACKENDS;
        format!(r#"{{"shard":{shard},"weight":{weight},"replicas":["b{one}","b{other}"]}}"#)
    };
    let maps = (first..first + count).map(|snapshot| {
        let parts = (0..shards(snapshot)).map(|shard| part(snapshot, shard));
        let parts = parts.collect::<Vec<_>>().join(",");
        format!(r#"{{"snapshot":{snapshot},"parts":[{parts}]}}"#)
    });
    let servers = servers.collect::<Vec<_>>().join(",");
    let maps = maps.collect::<Vec<_>>().join(",");
    let placement = format!(r#"{{"revision":1,"servers":{{{servers}}},"maps":[{maps}]}}"#);
    let out = if out { r#""a""# } else { "" };
    let config = format!(
        r#"{{"revision":1,"domains":["a","b"],"domains_out":[{out}],
        "classes":{{"c":{{"rank":0,"queue_ms":9}}}},
        "callers":{{"x":{{"weight":1}}}},"least_allowance_ms":1,"most_allowance_ms":1000,
        "services":{{"s":{{"kind":"search","class":"c","slots":2,"connections":2,"cold_slots":1,"connect_ms":1}}}}}}"#
    );
    let values = Values {
        config: Some(Arc::new(jsonc::parse("config", &config).expect("config"))),
        roster: None,
        placements: [(
            "s".into(),
            Arc::new(jsonc::parse("s", &placement).expect("placement")),
        )]
        .into(),
    };
    Arc::new(View::new(values, vec!["host-0".into(), "host-1".into()]))
}

static VIEWS: LazyLock<Vec<Arc<View>>> = LazyLock::new(|| {
    let all = (0..SNAPSHOTS).flat_map(|first| [(first, 1), (first, 2), (first, SNAPSHOTS - first)]);
    all.flat_map(|(first, count)| [view(first, count, false), view(first, count, true)])
        .collect()
});

#[derive(Debug, Clone)]
enum Step {
    Ask {
        least: u8,
        body: u8,
    },
    Gone(usize),
    /// Any sub-request that was sent gets a reply, for the first time or again; 0 is the latest.
    Hits(usize),
    Fail(usize, Failure, bool),
    Down(usize),
    View(usize),
    Wait(u64),
}

struct World {
    now: Time,
    entry: Entry<StdRng>,
    /// All sub-requests that were sent, including cancelled ones.
    sent: Vec<Sub>,
    /// Requests without an answer yet, with the minimum coverage of each, in percent.
    waiting: Vec<(id::Request, u8)>,
    /// Numbers of the sub-requests that hits were delivered for.
    replied: HashSet<id::Sub>,
    next: id::Request,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Time::ZERO,
            entry: Entry::new(StdRng::seed_from_u64(1)),
            sent: Vec::new(),
            waiting: Vec::new(),
            replied: HashSet::new(),
            next: 0,
        };
        world.handle(Event::View(VIEWS[0].clone()));
        world
    }

    fn handle(&mut self, event: Event) {
        for effect in self.entry.handle(self.now, event) {
            match effect {
                Effect::Send { sub, .. } => self.sent.push(sub),
                Effect::Cancel { .. } => {}
                Effect::Answer { request, answer } => {
                    let least = self.answered(request);
                    check(&answer, least, &self.replied, &self.sent);
                }
                Effect::Refuse { request, .. } => {
                    self.answered(request);
                }
            }
        }
    }

    /// Removes a request that got its answer, and returns its minimum coverage. Fails on a second
    /// answer.
    fn answered(&mut self, request: id::Request) -> u8 {
        let at = self
            .waiting
            .iter()
            .position(|(waiting, _)| *waiting == request);
        self.waiting
            .remove(at.expect("one answer for each request"))
            .1
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { least, body } => {
                self.next += 1;
                self.waiting.push((self.next, least));
                let ask = SearchRequest {
                    service: "s".into(),
                    caller: "x".into(),
                    allowance: Duration::from_millis(100),
                    limit: 1000,
                    least_coverage: f64::from(least) / 100.0,
                    body: [body].into(),
                };
                let request = self.next;
                self.handle(Event::Ask { request, ask });
            }
            Step::Gone(at) if !self.waiting.is_empty() => {
                let at = at % self.waiting.len();
                let (request, _) = self.waiting.remove(at);
                self.handle(Event::Gone { request });
            }
            Step::Hits(at) if !self.sent.is_empty() => {
                let at = self.sent.len() - 1 - at % self.sent.len();
                let sub = &self.sent[at];
                let id = sub.id;
                let result = sub::Result::Hits(hits(sub));
                self.replied.insert(id);
                self.handle(Event::Reply {
                    id,
                    result,
                    load: None,
                });
            }
            Step::Fail(at, failure, ran) if !self.sent.is_empty() => {
                let at = self.sent.len() - 1 - at % self.sent.len();
                let id = self.sent[at].id;
                let result = match ran {
                    true => sub::Result::unknown(failure),
                    false => sub::Result::not_run(failure),
                };
                self.handle(Event::Reply {
                    id,
                    result,
                    load: None,
                });
            }
            Step::Down(host) => {
                let host = format!("host-{host}").into();
                self.handle(Event::Down { host });
            }
            Step::View(which) => self.handle(Event::View(VIEWS[which % VIEWS.len()].clone())),
            Step::Wait(ms) => {
                self.now += Duration::from_millis(ms);
                self.handle(Event::Tick);
            }
            _ => {}
        }
    }
}

/// The correct hits for a sub-request.
fn hits(sub: &Sub) -> Vec<Hit> {
    let Work::Search { snapshot, shard } = sub.work else {
        panic!("a query sends searches only");
    };
    let hit = |document| Hit {
        id: format!("{snapshot}:{document:02}"),
        score: 1.0,
        json: String::new(),
    };
    documents(snapshot, shard).map(hit).collect()
}

/// Checks that the hits of an answer are exactly those of the shards that it counts as answered.
fn check(answer: &Answer, least: u8, replied: &HashSet<id::Sub>, sent: &[Sub]) {
    let coverage = &answer.coverage;
    let snapshot = answer.snapshot;
    let missing: BTreeSet<id::Shard> = coverage.missing.iter().map(|m| m.shard).collect();
    assert_eq!(u64::from(coverage.shards), shards(snapshot));
    assert_eq!(
        coverage.answered as usize + missing.len(),
        coverage.shards as usize
    );
    let answered: Vec<id::Shard> = (0..coverage.shards)
        .filter(|s| !missing.contains(s))
        .collect();
    let expected = answered
        .iter()
        .flat_map(|shard| documents(snapshot, *shard));
    let mut expected: Vec<String> = expected.map(|d| format!("{snapshot}:{d:02}")).collect();
    expected.sort();
    let hits: Vec<String> = answer.hits.iter().map(|hit| hit.id.clone()).collect();
    assert_eq!(
        hits, expected,
        "hits that are duplicated, missing or of another snapshot"
    );
    assert_eq!(coverage.weight, DOCUMENTS);
    assert_eq!(coverage.covered, expected.len() as u64);
    assert!(coverage.share() * 100.0 >= f64::from(least) - 1e-9);
    for shard in answered {
        let work = Work::Search { snapshot, shard };
        let came = |sub: &&Sub| sub.work == work && replied.contains(&sub.id);
        assert!(
            sent.iter().any(|sub| came(&sub)),
            "shard {shard} never replied"
        );
    }
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        6 => Just(Failure::SnapshotGone),
        1 => Just(Failure::Refused),
        1 => Just(Failure::Cold),
        1 => Just(Failure::NotOwner),
        1 => Just(Failure::Out),
        1 => Just(Failure::Connection),
        1 => Just(Failure::Timeout),
        1 => Just(Failure::Malformed),
        1 => Just(Failure::Ended),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0u8..=100, 0u8..2).prop_map(|(least, body)| Step::Ask { least, body }),
        1 => (0usize..4).prop_map(Step::Gone),
        16 => (0usize..12).prop_map(Step::Hits),
        5 => (0usize..8, failure(), any::<bool>()).prop_map(|(at, f, ran)| Step::Fail(at, f, ran)),
        1 => (0usize..2).prop_map(Step::Down),
        3 => (0usize..24).prop_map(Step::View),
        2 => (1u64..60).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 10..150)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn answer_has_one_snapshot_and_correct_coverage(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.step(Step::Wait(1000));
        prop_assert!(world.waiting.is_empty(), "without an answer: {:?}", world.waiting);
    }
}

/// All replicas of a shard have dropped the snapshot of a running query, and a newer one is
/// published. The answer would miss that shard, so the whole query must restart at the newer
/// snapshot, once.
#[test]
fn dropped_snapshot_restarts_the_query_once() {
    let mut world = World::new();
    world.step(Step::Ask {
        least: 100,
        body: 0,
    });
    let first = world.sent.len();
    assert_eq!(first as u64, shards(0));
    world.handle(Event::View(view(0, 2, false)));
    world.now += Duration::from_millis(10);
    let gone = || sub::Result::not_run(Failure::SnapshotGone);
    // Both replicas of the first shard: the second gets its sub-request after the first one failed.
    for at in [0, first] {
        let id = world.sent[at].id;
        world.handle(Event::Reply {
            id,
            result: gone(),
            load: None,
        });
    }
    let restarted: Vec<Sub> = world.sent.drain(..).skip(first + 1).collect();
    assert_eq!(restarted.len() as u64, shards(1));
    for sub in &restarted {
        assert!(matches!(sub.work, Work::Search { snapshot: 1, .. }));
    }
    world.sent = restarted;
    for _ in 0..shards(1) {
        let at = world
            .sent
            .iter()
            .rev()
            .position(|sub| !world.replied.contains(&sub.id));
        world.step(Step::Hits(at.expect("one without a reply")));
    }
    assert!(world.waiting.is_empty());
}
