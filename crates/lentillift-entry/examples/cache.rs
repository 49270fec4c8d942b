//! Compares coalescing of identical queries in flight with and without an answer cache.
//!
//! Nine real entries serve queries whose popularity follows Zipf's law, in virtual time, over 68
//! shards of two replicas with two slots each. Snapshots change at a fixed interval. Prints a line
//! for each load, interval and mode: neither, shared (coalescing only) and kept (with the cache).

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
/// Mean service time of a sub-request; one in a hundred takes ten times as long.
const SERVICE_TIME: Duration = Duration::from_millis(2);
const ALLOWANCE: Duration = Duration::from_millis(130);
/// Number of distinct queries.
const QUERIES: usize = 100_000;
/// Size of one hit, in bytes; an answer has ten.
const HIT_BYTES: usize = 300;
const DURATION: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Neither,
    Shared,
    Kept,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
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
    offered: u64,
    refused: u64,
    partial: u64,
    cache_hits: u64,
    subs: u64,
    latencies: Vec<Duration>,
}

struct World {
    mode: Mode,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
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
    fn new(mode: Mode, skew: f64) -> Self {
        let max_bytes = if mode == Mode::Kept {
            DEFAULT_MAX_BYTES
        } else {
            0
        };
        let entries = (0..ENTRIES as u64)
            .map(|n| Entry::new(StdRng::seed_from_u64(n)).with_cache_bytes(max_bytes));
        let mut sum = 0.0;
        let weights = (1..=QUERIES).map(|rank| {
            sum += (rank as f64).powf(-skew);
            sum
        });
        let zipf = weights.collect();
        let mut world = Self {
            mode,
            now: Time::ZERO,
            events: BinaryHeap::new(),
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
        world.publish_snapshot();
        world
    }

    fn push(&mut self, after: Duration, event: SimEvent) {
        self.next += 1;
        self.events
            .push(Reverse((self.now + after, self.next, event)));
    }

    fn publish_snapshot(&mut self) {
        self.snapshot += 1;
        let view = view(self.snapshot, self.mode != Mode::Neither);
        for entry in 0..ENTRIES {
            self.handle(entry, Event::View(view.clone()));
        }
    }

    fn arrive(&mut self) {
        let total = self.zipf[QUERIES - 1];
        let at = self.rng.random_range(0.0..total);
        let query = self.zipf.partition_point(|sum| *sum < at);
        let entry = self.rng.random_range(0..ENTRIES);
        self.count.offered += 1;
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
        self.handle(entry, Event::Ask { request, ask });
    }

    fn handle(&mut self, entry: usize, event: Event) {
        for effect in self.entries[entry].handle(self.now, event) {
            match effect {
                Effect::Send { sub, .. } => {
                    self.count.subs += 1;
                    let server: usize = sub.backend.parse().expect("a number");
                    let until = self.now + sub.allowance;
                    self.servers[server].queue.push_back((entry, sub.id, until));
                    self.start_queued(server);
                }
                Effect::Cancel { id, .. } => {
                    self.cancelled.insert((entry, id));
                }
                Effect::Answer { request, answer } => {
                    let since = self.waiting.remove(&(entry, request)).expect("asked");
                    self.count.latencies.push(self.now - since);
                    self.count.cache_hits += u64::from(since == self.now);
                    self.count.partial += u64::from(!answer.coverage.is_full());
                }
                Effect::Refuse { request, .. } => {
                    self.waiting.remove(&(entry, request));
                    self.count.refused += 1;
                }
            }
        }
        if let Some(wake) = self.entries[entry].next_wake() {
            let after = wake.saturating_sub(self.now);
            self.push(after, SimEvent::Tick(entry));
        }
    }

    fn start_queued(&mut self, server: usize) {
        while self.servers[server].running < SLOTS
            && let Some((entry, id, until)) = self.servers[server].queue.pop_front()
        {
            if self.cancelled.remove(&(entry, id)) {
                continue;
            }
            if until < self.now + SERVICE_TIME {
                let result = sub::Result::not_run(Failure::Refused);
                self.handle(
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
            let run = SERVICE_TIME.mul_f64(slow as f64 * self.rng.random_range(0.5..1.5));
            self.push(run, SimEvent::Done(server, entry, id));
        }
    }

    fn done(&mut self, server: usize, entry: usize, id: id::Sub) {
        self.servers[server].running -= 1;
        self.start_queued(server);
        self.cancelled.remove(&(entry, id));
        let queued = self.servers[server].queue.len() as u32;
        let load = Load {
            queued,
            running: self.servers[server].running,
            limit: SLOTS,
            cold: false,
            wait: SERVICE_TIME * queued / SLOTS,
            run: SERVICE_TIME,
        };
        let hit = Hit {
            id: String::new(),
            score: 1.0,
            json: "x".repeat(HIT_BYTES),
        };
        // One hit per shard: the merge keeps ten of 68.
        let result = sub::Result::Hits(vec![hit]);
        let load = Some(load);
        self.handle(entry, Event::Reply { id, result, load });
    }

    fn run(&mut self, rate: f64, snapshot_interval: Duration) {
        self.push(Duration::ZERO, SimEvent::Arrive);
        self.push(snapshot_interval, SimEvent::Change);
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < DURATION
        {
            self.now = at;
            match event {
                SimEvent::Arrive => {
                    self.arrive();
                    let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
                    self.push(Duration::from_secs_f64(gap), SimEvent::Arrive);
                }
                SimEvent::Change => {
                    self.publish_snapshot();
                    self.push(snapshot_interval, SimEvent::Change);
                }
                SimEvent::Done(server, entry, id) => self.done(server, entry, id),
                SimEvent::Tick(entry) => {
                    if self.entries[entry]
                        .next_wake()
                        .is_some_and(|wake| wake <= self.now)
                    {
                        self.handle(entry, Event::Tick);
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
        let percent = |part: u64| 100.0 * part as f64 / count.offered as f64;
        format!(
            "{:8?} asked {:6} refused {:5.1}% holed {:5.2}% kept {:5.1}% subs/query {:5.1} p50 {:6.2} ms p99 {:6.2} ms",
            self.mode,
            count.offered,
            percent(count.refused),
            percent(count.partial),
            percent(count.cache_hits),
            count.subs as f64 / count.offered as f64,
            quantile(0.5),
            quantile(0.99),
        )
    }
}

fn main() {
    // The capacity is 2000 queries per second, with two replicas of two slots per shard, and less
    // with the slow sub-requests.
    for (skew, rate) in [(0.8, 60.0), (0.8, 1600.0), (1.0, 1600.0)] {
        for snapshot_interval in [2, 10] {
            println!("skew {skew}, {rate} queries/s, a new snapshot every {snapshot_interval} s");
            for mode in [Mode::Neither, Mode::Shared, Mode::Kept] {
                let mut world = World::new(mode, skew);
                world.run(rate, Duration::from_secs(snapshot_interval));
                println!("  {}", world.line());
            }
        }
    }
}
