//! Simulation of real entries and owners with fake backend servers, in virtual time.
//!
//! An event queue delivers the messages of entries and owners after a fixed delay and records what
//! callers receive; it takes no decisions. All randomness comes from one fixed seed.

#![allow(dead_code, unreachable_pub)]

pub mod backend;
pub mod load;
pub mod patterns;
pub mod report;
pub mod setup;
pub mod table;

use backend::End;
use backend::FakeServer;
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
use report::Results;
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

/// One-way latency between two hosts.
const HOST_LATENCY: Duration = Duration::from_micros(300);

/// An event in the queue.
enum Event {
    Entry(usize, entry::Event),
    Owner(usize, owner::Event),
    /// A request ends at a fake backend server.
    End(id::Backend, Run, End),
    /// The next query of the stream with this index arrives.
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
    /// The next tick of each entry (true) and owner, by host.
    wakes: BTreeMap<(bool, usize), Time>,
    pub backends: BTreeMap<id::Backend, FakeServer>,
    streams: Vec<Stream>,
    values: Values,
    hosts: Vec<id::Host>,
    pub results: Results,
    pub counts: BTreeMap<&'static str, u64>,
    next_request: id::Request,
    pub time_scale: f64,
    rng: StdRng,
}

impl World {
    pub fn new(setup: &Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let hosts: Vec<id::Host> = (0..setup.hosts).map(|n| format!("h{n}").into()).collect();
        let placement = placement(setup);
        let fake = |name: &id::Backend| (name.clone(), FakeServer::new(setup));
        let backends = placement.servers.keys().map(fake).collect();
        let domain_of = |n: usize| domain(n % setup.domains);
        let entries = (0..setup.hosts).map(|n| {
            Entry::new(StdRng::seed_from_u64(rng.random()))
                .with_cache_bytes(0)
                .with_domain(domain_of(n))
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
            results: Results::default(),
            counts: BTreeMap::new(),
            next_request: 0,
            time_scale: setup.time_scale,
            rng,
        };
        world.publish(|_| {});
        world
    }

    /// Changes the configuration and delivers the new view to every process.
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
            from: stream.from.mul_f64(self.time_scale),
            until: stream.until.mul_f64(self.time_scale),
            ..stream
        };
        let index = self.streams.len();
        let from = stream.from;
        self.streams.push(stream);
        self.push(from.saturating_sub(self.now), Event::Arrive(index));
    }

    /// Schedules a fault.
    pub fn at(&mut self, time: Time, fault: impl FnOnce(&mut World) + 'static) {
        let after = time.mul_f64(self.time_scale).saturating_sub(self.now);
        self.push(after, Event::Fault(Box::new(fault)));
    }

    /// Changes how a backend server behaves.
    pub fn set(&mut self, backend: &id::Backend, change: impl FnOnce(&mut FakeServer)) {
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
        let end = end.mul_f64(self.time_scale);
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
            Event::Entry(host, event) => self.handle_entry_event(host, event),
            Event::Owner(host, event) => self.handle_owner_event(host, event),
            Event::End(backend, run, end) => self.end(&backend, run, end),
            Event::Arrive(stream) => self.arrive(stream),
            Event::Fault(fault) => fault(self),
        }
    }

    fn handle_entry_event(&mut self, host: usize, event: entry::Event) {
        let effects = self.entries[host].handle(self.now, event);
        for effect in effects {
            match effect {
                entry::Effect::Send { to, sub } => {
                    let from = self.hosts[host].clone();
                    self.send_to_owner(host, &to, owner::Event::Sub { from, sub });
                }
                entry::Effect::Cancel { to, id } => {
                    let from = self.hosts[host].clone();
                    self.send_to_owner(host, &to, owner::Event::Cancel { from, id });
                }
                entry::Effect::Answer { request, answer } => {
                    self.results.answer(self.now, request, &answer);
                }
                entry::Effect::Refuse { request, refusal } => {
                    self.results.refuse(self.now, request, &refusal);
                }
            }
        }
        self.count(host);
        self.schedule_tick(true, host, self.entries[host].next_wake());
    }

    fn handle_owner_event(&mut self, host: usize, event: owner::Event) {
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
                    self.push(self.latency(host, to_index), Event::Entry(to_index, event));
                }
                owner::Effect::Forward { .. } | owner::Effect::Note { .. } => {}
            }
        }
        self.count(host);
        self.schedule_tick(false, host, self.owners[host].next_wake());
    }

    fn count(&mut self, host: usize) {
        let mine = self.entries[host].counts().take();
        let owned = self.owners[host].counts().take();
        for (name, count) in mine.into_iter().chain(owned) {
            *self.counts.entry(name).or_default() += count;
        }
    }

    /// Schedules a tick for the time it is due; superfluous ticks are harmless.
    fn schedule_tick(&mut self, entry: bool, host: usize, wake: Option<Time>) {
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

    fn latency(&self, from: usize, to: usize) -> Duration {
        match from == to {
            true => Duration::ZERO,
            false => HOST_LATENCY,
        }
    }

    fn send_to_owner(&mut self, from: usize, to: &id::Host, event: owner::Event) {
        let to = self.index(to);
        self.push(self.latency(from, to), Event::Owner(to, event));
    }

    fn dispatch(&mut self, run: Run, sub: &sub::Sub, left: Duration) {
        self.results.dispatched(left);
        let fake = self.backends.get_mut(&sub.backend).expect("known");
        let backend = sub.backend.clone();
        match fake.start(run, sub, &mut self.rng) {
            Start::Runs(time) => self.push(time, Event::End(backend.clone(), run, End::Done)),
            Start::Hangs => {}
            Start::Crashes(lost) => {
                for run in lost {
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
        self.results.peak_same = self.results.peak_same.max(same);
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
        let ask = stream.request(SERVICE, request);
        let gap = stream.gap(&mut self.rng);
        let label = stream.label;
        let host = self.rng.random_range(0..self.hosts.len());
        self.results.sent(self.now, request, label, &ask);
        self.push(gap, Event::Arrive(index));
        self.push(
            Duration::ZERO,
            Event::Entry(host, entry::Event::Ask { request, ask }),
        );
    }
}
