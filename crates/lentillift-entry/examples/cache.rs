//! Whether keeping answers pays, beside sharing the run of identical queries under way.
//!
//! Nine entries with the real decisions serve queries whose popularity follows Zipf's law, under
//! virtual time, over 68 shards of two replicas with two slots each. Snapshots change at a steady
//! pace. Prints a line for each load, pace and way.

use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_core::time::Time;
use lentillift_entry::answer::SearchRequest;
use lentillift_entry::cache::DEFAULT_MAX_BYTES;
use lentillift_entry::core::Effect;
use lentillift_entry::core::Entry;
use lentillift_entry::core::Event;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_settings::jsonc;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const ENTRIES: usize = 9;
const SHARDS: usize = 68;
const SLOTS: u32 = 2;
/// Mean time of a sub-request; one in a hundred takes ten times as long.
const RUN: Duration = Duration::from_millis(2);
const ALLOWANCE: Duration = Duration::from_millis(130);
/// Different queries that are asked.
const QUERIES: usize = 100_000;
/// Bytes of one hit, ten of which are in an answer.
const HIT: usize = 300;
const SPAN: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Neither,
    Shared,
    Kept,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive,
    Change,
    Done(usize, usize, id::Sub),
    Tick(usize),
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    queue: VecDeque<(usize, id::Sub, Time)>,
}

#[derive(Debug, Default)]
struct Count {
    asked: u64,
    refused: u64,
    holed: u64,
    kept: u64,
    subs: u64,
    latencies: Vec<Duration>,
}

struct World {
    way: Way,
    now: Time,
    due: BinaryHeap<Reverse<(Time, u64, Due)>>,
    next: u64,
    entries: Vec<Entry<StdRng>>,
    servers: Vec<Server>,
    cancelled: HashSet<(usize, id::Sub)>,
    waiting: HashMap<(usize, id::Request), Time>,
    snapshot: id::Snapshot,
    zipf: Vec<f64>,
    rng: StdRng,
    count: Count,
}

fn view(snapshot: id::Snapshot, shared: bool) -> Arc<View> {
    let server = |n| format!(r#""{n}":{{"address":"127.0.0.1:1","domain":"a","state":"live"}}"#);
    let servers: Vec<String> = (0..2 * SHARDS).map(server).collect();
    let part = |n| {
        format!(
            r#"{{"shard":{n},"weight":9,"replicas":["{}","{}"]}}"#,
            2 * n,
            2 * n + 1
        )
    };
    let parts: Vec<String> = (0..SHARDS).map(part).collect();
    let placement = format!(
        r#"{{"revision":{snapshot},"servers":{{{}}},"maps":[{{"snapshot":{snapshot},"parts":[{}]}}]}}"#,
        servers.join(","),
        parts.join(",")
    );
    let config = format!(
        r#"{{"revision":1,"domains":["a"],"classes":{{"c":{{"rank":0,"queue_ms":100}}}},
        "callers":{{"x":{{"weight":1}}}},"least_allowance_ms":1,"most_allowance_ms":1000,
        "policy":{{"coalescing":{{"on":{shared}}}}},
        "services":{{"s":{{"kind":"search","class":"c","slots":2,"connections":25,"cold_slots":1,"connect_ms":6}}}}}}"#
    );
    let values = Values {
        config: Some(Arc::new(jsonc::parse("config", &config).expect("config"))),
        placements: [(
            "s".into(),
            Arc::new(jsonc::parse("s", &placement).expect("s")),
        )]
        .into(),
        ..Values::default()
    };
    Arc::new(View::new(values, vec!["host-0".into()]))
}

impl World {
    fn new(way: Way, skew: f64) -> Self {
        let most = if way == Way::Kept {
            DEFAULT_MAX_BYTES
        } else {
            0
        };
        let entries = (0..ENTRIES as u64)
            .map(|n| Entry::new(StdRng::seed_from_u64(n)).with_cache_bytes(most));
        let mut sum = 0.0;
        let weights = (1..=QUERIES).map(|rank| {
            sum += (rank as f64).powf(-skew);
            sum
        });
        let zipf = weights.collect();
        let mut world = Self {
            way,
            now: Time::ZERO,
            due: BinaryHeap::new(),
            next: 0,
            entries: entries.collect(),
            servers: (0..2 * SHARDS).map(|_| Server::default()).collect(),
            cancelled: HashSet::new(),
            waiting: HashMap::new(),
            snapshot: 0,
            zipf,
            rng: StdRng::seed_from_u64(6),
            count: Count::default(),
        };
        world.change();
        world
    }

    fn push(&mut self, after: Duration, due: Due) {
        self.next += 1;
        self.due.push(Reverse((self.now + after, self.next, due)));
    }

    fn change(&mut self) {
        self.snapshot += 1;
        let view = view(self.snapshot, self.way != Way::Neither);
        for entry in 0..ENTRIES {
            self.tell(entry, Event::View(view.clone()));
        }
    }

    fn arrive(&mut self) {
        let total = self.zipf[QUERIES - 1];
        let at = self.rng.random_range(0.0..total);
        let query = self.zipf.partition_point(|sum| *sum < at);
        let entry = self.rng.random_range(0..ENTRIES);
        self.count.asked += 1;
        self.next += 1;
        let request = self.next;
        self.waiting.insert((entry, request), self.now);
        let ask = SearchRequest {
            service: "s".into(),
            caller: "x".into(),
            allowance: ALLOWANCE,
            limit: 10,
            least_coverage: 0.0,
            body: query.to_string().into_bytes().into(),
        };
        self.tell(entry, Event::Ask { request, ask });
    }

    fn tell(&mut self, entry: usize, event: Event) {
        for effect in self.entries[entry].handle(self.now, event) {
            match effect {
                Effect::Send { sub, .. } => {
                    self.count.subs += 1;
                    let server: usize = sub.backend.parse().expect("a number");
                    let until = self.now + sub.allowance;
                    self.servers[server].queue.push_back((entry, sub.id, until));
                    self.pump(server);
                }
                Effect::Cancel { id, .. } => {
                    self.cancelled.insert((entry, id));
                }
                Effect::Answer { request, answer } => {
                    let since = self.waiting.remove(&(entry, request)).expect("asked");
                    self.count.latencies.push(self.now - since);
                    self.count.kept += u64::from(since == self.now);
                    self.count.holed += u64::from(!answer.coverage.is_full());
                }
                Effect::Refuse { request, .. } => {
                    self.waiting.remove(&(entry, request));
                    self.count.refused += 1;
                }
            }
        }
        if let Some(wake) = self.entries[entry].next_wake() {
            let after = wake.saturating_sub(self.now);
            self.push(after, Due::Tick(entry));
        }
    }

    fn pump(&mut self, server: usize) {
        while self.servers[server].running < SLOTS
            && let Some((entry, id, until)) = self.servers[server].queue.pop_front()
        {
            if self.cancelled.remove(&(entry, id)) {
                continue;
            }
            if until < self.now + RUN {
                let result = sub::Result::not_run(Failure::Refused);
                self.tell(
                    entry,
                    Event::Reply {
                        id,
                        result,
                        load: None,
                    },
                );
                continue;
            }
            self.servers[server].running += 1;
            let slow = if self.rng.random_bool(0.01) { 10 } else { 1 };
            let run = RUN.mul_f64(slow as f64 * self.rng.random_range(0.5..1.5));
            self.push(run, Due::Done(server, entry, id));
        }
    }

    fn done(&mut self, server: usize, entry: usize, id: id::Sub) {
        self.servers[server].running -= 1;
        self.pump(server);
        self.cancelled.remove(&(entry, id));
        let queued = self.servers[server].queue.len() as u32;
        let load = Load {
            queued,
            running: self.servers[server].running,
            limit: SLOTS,
            cold: false,
            wait: RUN * queued / SLOTS,
            run: RUN,
        };
        let hit = Hit {
            id: String::new(),
            score: 1.0,
            json: "x".repeat(HIT),
        };
        // The merge keeps ten of 68 lists of one.
        let result = sub::Result::Hits(vec![hit]);
        let load = Some(load);
        self.tell(entry, Event::Reply { id, result, load });
    }

    fn run(&mut self, rate: f64, pace: Duration) {
        self.push(Duration::ZERO, Due::Arrive);
        self.push(pace, Due::Change);
        while let Some(Reverse((at, _, due))) = self.due.pop()
            && at < SPAN
        {
            self.now = at;
            match due {
                Due::Arrive => {
                    self.arrive();
                    let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
                    self.push(Duration::from_secs_f64(gap), Due::Arrive);
                }
                Due::Change => {
                    self.change();
                    self.push(pace, Due::Change);
                }
                Due::Done(server, entry, id) => self.done(server, entry, id),
                Due::Tick(entry) => {
                    if self.entries[entry]
                        .next_wake()
                        .is_some_and(|wake| wake <= self.now)
                    {
                        self.tell(entry, Event::Tick);
                    }
                }
            }
        }
    }

    fn line(&mut self) -> String {
        let count = &mut self.count;
        count.latencies.sort_unstable();
        let quantile = |q: f64| {
            let at = (count.latencies.len() as f64 * q) as usize;
            count.latencies[at.min(count.latencies.len() - 1)].as_secs_f64() * 1e3
        };
        let share = |part: u64| 100.0 * part as f64 / count.asked as f64;
        format!(
            "{:8?} asked {:6} refused {:5.1}% holed {:5.2}% kept {:5.1}% subs/query {:5.1} p50 {:6.2} ms p99 {:6.2} ms",
            self.way,
            count.asked,
            share(count.refused),
            share(count.holed),
            share(count.kept),
            count.subs as f64 / count.asked as f64,
            quantile(0.5),
            quantile(0.99),
        )
    }
}

fn main() {
    // Two replicas of two slots bear 2000 queries a second, less for the slow ones.
    for (skew, rate) in [(0.8, 60.0), (0.8, 1600.0), (1.0, 1600.0)] {
        for pace in [2, 10] {
            println!("skew {skew}, {rate} queries/s, a new snapshot every {pace} s");
            for way in [Way::Neither, Way::Shared, Way::Kept] {
                let mut world = World::new(way, skew);
                world.run(rate, Duration::from_secs(pace));
                println!("  {}", world.line());
            }
        }
    }
}
