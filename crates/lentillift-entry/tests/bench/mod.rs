//! Real entries and owners, wired by an event queue in virtual time to fake backend servers.
//!
//! Nothing here decides anything: it delivers what entries and owners say, at a fixed delay, and
//! notes what callers receive. All randomness comes from one fixed seed.

#![allow(dead_code, unreachable_pub)]

pub mod backend;
pub mod load;
pub mod patterns;
pub mod report;
pub mod setup;
pub mod table;

use backend::End;
use backend::Fake;
use backend::Run;
use backend::Start;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::time::Time;
use lentillift_entry::core as entry;
use lentillift_entry::core::Entry;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_owner::core as owner;
use lentillift_owner::core::Owner;
use lentillift_settings::config::Config;
use load::Stream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use report::Caught;
use setup::SERVICE;
use setup::Setup;
use setup::config;
use setup::domain;
use setup::placement;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// One way between two hosts.
const HOP: Duration = Duration::from_micros(300);

/// What happens at a point in time.
enum Event {
    Entry(usize, entry::Event),
    Owner(usize, owner::Event),
    /// A request at a fake backend server ends.
    End(id::Backend, Run, End),
    /// The next query of a stream.
    Arrive(usize),
    Fault(Box<dyn FnOnce(&mut World)>),
}

struct Timed {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Entries, owners, fake backend servers and callers.
pub struct World {
    pub now: Time,
    queue: BinaryHeap<Reverse<Timed>>,
    number: u64,
    entries: Vec<Entry<StdRng>>,
    owners: Vec<Owner>,
    /// When each entry and owner last asked to be woken.
    wakes: BTreeMap<(bool, usize), Time>,
    pub backends: BTreeMap<id::Backend, Fake>,
    streams: Vec<Stream>,
    values: Values,
    hosts: Vec<id::Host>,
    pub caught: Caught,
    pub counts: BTreeMap<&'static str, u64>,
    next_request: id::Request,
    pub pace: f64,
    rng: StdRng,
}

impl World {
    pub fn new(setup: &Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let hosts: Vec<id::Host> = (0..setup.hosts).map(|n| format!("h{n}").into()).collect();
        let placement = placement(setup);
        let fake = |name: &id::Backend| (name.clone(), Fake::new(setup));
        let backends = placement.servers.keys().map(fake).collect();
        let near = |n: usize| domain(n % setup.domains);
        let entries = (0..setup.hosts).map(|n| {
            Entry::new(StdRng::seed_from_u64(rng.random()))
                .keeping(0)
                .near(near(n))
        });
        let entries = entries.collect();
        let values = Values {
            config: Some(Arc::new(config(setup))),
            placements: [(SERVICE.into(), Arc::new(placement))].into(),
            ..Values::default()
        };
        let mut world = Self {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            number: 0,
            entries,
            owners: hosts.iter().map(|_| Owner::new()).collect(),
            wakes: BTreeMap::new(),
            backends,
            streams: Vec::new(),
            values,
            hosts,
            caught: Caught::default(),
            counts: BTreeMap::new(),
            next_request: 0,
            pace: setup.pace,
            rng,
        };
        world.publish(|_| {});
        world
    }

    /// Changes the configuration and gives every process the new view.
    pub fn publish(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = (**self.values.config.as_ref().expect("a configuration")).clone();
        change(&mut config);
        self.values.config = Some(Arc::new(config));
        let view = Arc::new(View::new(self.values.clone(), self.hosts.clone()));
        for host in 0..self.hosts.len() {
            self.push(
                Duration::ZERO,
                Event::Owner(host, owner::Event::View(view.clone())),
            );
            self.push(
                Duration::ZERO,
                Event::Entry(host, entry::Event::View(view.clone())),
            );
            for (name, backend) in view.backends.iter() {
                let hold = match backend.owner.as_ref() == Some(&self.hosts[host]) {
                    true => LeaseState::Until(Duration::MAX),
                    false => LeaseState::No(None),
                };
                let backend = name.clone();
                let event = owner::Event::Hold { backend, hold };
                self.push(Duration::ZERO, Event::Owner(host, event));
            }
        }
    }

    /// Adds a stream of queries.
    pub fn stream(&mut self, stream: Stream) {
        let stream = Stream {
            from: stream.from.mul_f64(self.pace),
            until: stream.until.mul_f64(self.pace),
            ..stream
        };
        let index = self.streams.len();
        let from = stream.from;
        self.streams.push(stream);
        self.push(from.saturating_sub(self.now), Event::Arrive(index));
    }

    /// Makes something happen at a time.
    pub fn at(&mut self, time: Time, fault: impl FnOnce(&mut World) + 'static) {
        let after = time.mul_f64(self.pace).saturating_sub(self.now);
        self.push(after, Event::Fault(Box::new(fault)));
    }

    /// Changes how a backend server behaves.
    pub fn set(&mut self, backend: &id::Backend, change: impl FnOnce(&mut Fake)) {
        change(self.backends.get_mut(backend).expect("a backend server"));
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.number += 1;
        let at = self.now + after;
        let number = self.number;
        self.queue.push(Reverse(Timed { at, number, event }));
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Time) {
        let end = end.mul_f64(self.pace);
        while let Some(Reverse(next)) = self.queue.peek()
            && next.at <= end
            && let Some(Reverse(next)) = self.queue.pop()
        {
            self.now = next.at;
            self.step(next.event);
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Entry(host, event) => self.enter(host, event),
            Event::Owner(host, event) => self.own(host, event),
            Event::End(backend, run, end) => self.end(&backend, run, end),
            Event::Arrive(stream) => self.arrive(stream),
            Event::Fault(fault) => fault(self),
        }
    }

    fn enter(&mut self, host: usize, event: entry::Event) {
        let effects = self.entries[host].handle(self.now, event);
        for effect in effects {
            match effect {
                entry::Effect::Send { to, sub } => {
                    let from = self.hosts[host].clone();
                    self.tell(host, &to, owner::Event::Sub { from, sub });
                }
                entry::Effect::Cancel { to, id } => {
                    let from = self.hosts[host].clone();
                    self.tell(host, &to, owner::Event::Cancel { from, id });
                }
                entry::Effect::Answer { request, answer } => {
                    self.caught.answer(self.now, request, &answer);
                }
                entry::Effect::Refuse { request, refusal } => {
                    self.caught.refuse(self.now, request, &refusal);
                }
            }
        }
        self.count(host);
        self.wake(true, host, self.entries[host].next_wake());
    }

    fn own(&mut self, host: usize, event: owner::Event) {
        let effects = self.owners[host].handle(self.now, event);
        for effect in effects {
            match effect {
                owner::Effect::Dispatch { ticket, sub, left } => {
                    let run = Run {
                        owner: host,
                        ticket,
                    };
                    self.dispatch(run, &sub, left);
                }
                owner::Effect::Cancel { ticket, backend } => {
                    let run = Run {
                        owner: host,
                        ticket,
                    };
                    self.end(&backend, run, End::Cancelled);
                }
                owner::Effect::Reply {
                    to,
                    id,
                    result,
                    load,
                    ..
                } => {
                    let to_index = self.index(&to);
                    let event = entry::Event::Reply { id, result, load };
                    self.push(self.hop(host, to_index), Event::Entry(to_index, event));
                }
                owner::Effect::Forward { .. } | owner::Effect::Note { .. } => {}
            }
        }
        self.count(host);
        self.wake(false, host, self.owners[host].next_wake());
    }

    fn count(&mut self, host: usize) {
        let mine = self.entries[host].counts().take();
        let owned = self.owners[host].counts().take();
        for (name, count) in mine.into_iter().chain(owned) {
            *self.counts.entry(name).or_default() += count;
        }
    }

    /// Delivers a tick when it is due; one that comes too often does no harm.
    fn wake(&mut self, entry: bool, host: usize, wake: Option<Time>) {
        let Some(wake) = wake else {
            return;
        };
        let known = self.wakes.get(&(entry, host)).copied();
        if known.is_some_and(|known| known > self.now && known <= wake) {
            return;
        }
        self.wakes.insert((entry, host), wake);
        let event = match entry {
            true => Event::Entry(host, entry::Event::Tick),
            false => Event::Owner(host, owner::Event::Tick),
        };
        self.push(wake.saturating_sub(self.now), event);
    }

    fn index(&self, host: &id::Host) -> usize {
        let at = self.hosts.iter().position(|h| h == host);
        at.expect("a host of the fleet")
    }

    fn hop(&self, from: usize, to: usize) -> Duration {
        match from == to {
            true => Duration::ZERO,
            false => HOP,
        }
    }

    fn tell(&mut self, from: usize, to: &id::Host, event: owner::Event) {
        let to = self.index(to);
        self.push(self.hop(from, to), Event::Owner(to, event));
    }

    fn dispatch(&mut self, run: Run, sub: &sub::Sub, left: Duration) {
        self.caught.dispatched(left);
        let fake = self.backends.get_mut(&sub.backend).expect("known");
        let backend = sub.backend.clone();
        match fake.start(run, sub, &mut self.rng) {
            Start::Runs(time) => self.push(time, Event::End(backend.clone(), run, End::Done)),
            Start::Hangs => {}
            Start::Falls(all) => {
                for run in all {
                    let event = Event::End(backend.clone(), run, End::Broken);
                    self.push(Duration::ZERO, event);
                }
            }
        }
        self.push(left, Event::End(backend, run, End::Late));
        let shard = sub.backend.split('-').next().unwrap_or_default();
        let replicas = self.backends.iter();
        let replicas = replicas.filter(|(name, _)| name.split('-').next() == Some(shard));
        let same = replicas.map(|(_, fake)| fake.same()).sum();
        self.caught.most_same = self.caught.most_same.max(same);
    }

    fn end(&mut self, backend: &id::Backend, run: Run, end: End) {
        let fake = self.backends.get_mut(backend).expect("known");
        let Some((result, report)) = fake.end(run, end) else {
            return;
        };
        let event = owner::Event::Done {
            ticket: run.ticket,
            result,
            report,
        };
        self.push(Duration::ZERO, Event::Owner(run.owner, event));
    }

    fn arrive(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        if self.now >= stream.until {
            return;
        }
        self.next_request += 1;
        let request = self.next_request;
        let ask = stream.ask(SERVICE, request);
        let gap = stream.gap(&mut self.rng);
        let label = stream.label;
        let host = self.rng.random_range(0..self.hosts.len());
        self.caught.ask(self.now, request, label, &ask);
        self.push(gap, Event::Arrive(index));
        self.push(
            Duration::ZERO,
            Event::Entry(host, entry::Event::Ask { request, ask }),
        );
    }
}
