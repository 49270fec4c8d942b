//! Simulation of a fleet: fake clock, links and configuration service around the state machine of
//! each process.

#![allow(dead_code, unreachable_pub)]

use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::core::Effect;
use lentillift_fleet::core::Event;
use lentillift_fleet::core::Fleet;
use lentillift_fleet::core::Options;
use lentillift_fleet::core::TICK;
use lentillift_fleet::member::Member;
use lentillift_fleet::packet::Packet;
use lentillift_fleet::read::Call;
use lentillift_fleet::read::Index;
use lentillift_fleet::sync;
use lentillift_fleet::value::Key;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Stage;
use lentillift_fleet::view::View;
use lentillift_node::datagram;
use lentillift_node::frame;
use lentillift_node::message::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time that any message takes from one process to another.
pub const DELAY: Duration = Duration::from_micros(500);

/// Wall-clock time at the start.
const WALL: Duration = Duration::from_secs(1_700_000_000);

/// Scheduled event.
enum Scheduled {
    Tick(id::Host, id::Incarnation),
    Packet(SocketAddr, Vec<u8>),
    Message(id::Host, id::Host, sync::Message),
    Index(id::Host, id::Incarnation, Option<Index>),
    Value(id::Host, id::Incarnation, Key, Option<Vec<u8>>),
    /// A watch reached its longest wait.
    Expired(u64),
}

/// What the configuration service holds.
#[derive(Clone, Default)]
pub struct Platform {
    pub version: u64,
    pub values: BTreeMap<Key, (u64, Vec<u8>)>,
}

/// One process.
pub struct Node {
    pub fleet: Fleet<StdRng>,
    pub address: SocketAddr,
    pub incarnation: id::Incarnation,
    pub ready: bool,
    /// Notes of the process, with the time of each.
    pub notes: Vec<(Time, String)>,
    /// Events before this time are delivered at this time.
    paused: Time,
    pub packets: u64,
    pub bytes: u64,
    pub largest: usize,
    pub messages: u64,
}

/// Processes, links between them, and a configuration service, in virtual time.
pub struct Net {
    pub now: Time,
    queue: BTreeMap<(Time, u64), Scheduled>,
    next: u64,
    pub nodes: BTreeMap<id::Host, Node>,
    pub hosts_by_address: BTreeMap<SocketAddr, id::Host>,
    pub platform: Platform,
    /// Old copies that the service returns to some hosts.
    pub stale: BTreeMap<id::Host, Platform>,
    /// Hosts that the service does not answer.
    pub unserved: BTreeSet<id::Host>,
    pending_watches: BTreeMap<u64, (id::Host, id::Incarnation, u64)>,
    /// Directed pairs of hosts between which no message passes.
    pub cut: BTreeSet<(id::Host, id::Host)>,
    /// Time that a message over a link takes.
    pub link_delay: Duration,
    /// Share of datagrams that get lost.
    pub loss: f64,
    pub calls: u64,
    pub rng: StdRng,
    starts: u64,
    regions: usize,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::from_secs(1),
            queue: BTreeMap::new(),
            next: 0,
            nodes: BTreeMap::new(),
            hosts_by_address: BTreeMap::new(),
            platform: Platform::default(),
            stale: BTreeMap::new(),
            unserved: BTreeSet::new(),
            pending_watches: BTreeMap::new(),
            cut: BTreeSet::new(),
            link_delay: DELAY,
            loss: 0.0,
            calls: 0,
            rng: StdRng::seed_from_u64(seed),
            starts: 0,
            regions: 1,
        }
    }

    /// A fleet of `count` hosts in 4 failure domains, published and served by the service.
    pub fn fleet(seed: u64, count: usize) -> Self {
        Self::regions(seed, count, 1)
    }

    /// The same with 4 failure domains in each of `regions`.
    pub fn regions(seed: u64, count: usize, regions: usize) -> Self {
        let mut net = Self::new(seed);
        net.regions = regions;
        for number in 0..count {
            net.start(number, number as u16);
        }
        net.publish_hosts(1);
        net.publish_config(1, &[], &[]);
        net
    }

    /// Starts the process of host `number` at an address of its own.
    pub fn start(&mut self, number: usize, port: u16) {
        self.starts += 1;
        let host = host(number);
        let address = address(port);
        // Like the wall-clock time in nanoseconds, from which a real process takes it.
        let incarnation = WALL.as_nanos() as u64 + 1000 * self.starts;
        let me = Member {
            host: host.clone(),
            address,
            domain: self.domain(number),
            incarnation,
            version: incarnation,
            stage: Stage::Starting,
            health: Health::Alive,
        };
        let options = Options {
            wall: WALL,
            seeds: vec![self::address(0), self::address(1)],
            ..Options::default()
        };
        let rng = StdRng::seed_from_u64(self.rng.random());
        let old = self.nodes.get(&host);
        let node = Node {
            fleet: Fleet::new(options, self.now, me, rng),
            address,
            incarnation,
            ready: false,
            notes: Vec::new(),
            paused: Time::ZERO,
            packets: old.map_or(0, |old| old.packets),
            bytes: old.map_or(0, |old| old.bytes),
            largest: 0,
            messages: 0,
        };
        self.hosts_by_address.retain(|_, home| *home != host);
        self.hosts_by_address.insert(address, host.clone());
        self.nodes.insert(host.clone(), node);
        let offset = self.rng.random_range(Duration::ZERO..TICK);
        self.push(self.now + offset, Scheduled::Tick(host, incarnation));
    }

    /// Ends a process at once, without any announcement.
    pub fn kill(&mut self, number: usize) {
        let host = host(number);
        self.nodes.remove(&host);
        self.hosts_by_address.retain(|_, home| *home != host);
    }

    /// Stops a process for some time, as SIGSTOP or a starved host would.
    pub fn pause(&mut self, number: usize, time: Duration) {
        let until = self.now + time;
        if let Some(node) = self.nodes.get_mut(&host(number)) {
            node.paused = until;
        }
    }

    /// Drops all messages from the hosts of one group to those of another.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for from in from {
            for to in to {
                self.cut.insert((host(*from), host(*to)));
            }
        }
    }

    pub fn domain(&self, number: usize) -> id::Domain {
        format!("d{}", number % (4 * self.regions)).into()
    }

    pub fn publish(&mut self, key: &str, body: Vec<u8>) {
        self.platform.version += 1;
        let version = self.platform.version;
        self.platform.values.insert(key.into(), (version, body));
        let pending_watches = std::mem::take(&mut self.pending_watches);
        for (_, (host, incarnation, _)) in pending_watches {
            self.answer(host, incarnation);
        }
    }

    /// Publishes the hosts that run at present.
    pub fn publish_hosts(&mut self, revision: u64) {
        let hosts = self.nodes.iter().map(|(host, node)| {
            let domain = node.fleet.own().domain.clone();
            let entry = json!({"address": node.address, "domain": domain, "state": "live"});
            (host.to_string(), entry)
        });
        let hosts: serde_json::Map<_, _> = hosts.collect();
        let body = json!({"revision": revision, "hosts": hosts});
        self.publish("hosts", body.to_string().into_bytes());
    }

    pub fn publish_config(&mut self, revision: u64, domains_out: &[&str], hosts_out: &[&str]) {
        let body = self.config(revision, domains_out, hosts_out);
        self.publish("config", body);
    }

    pub fn config(&self, revision: u64, domains_out: &[&str], hosts_out: &[&str]) -> Vec<u8> {
        let domains: Vec<String> = (0..4 * self.regions).map(|d| format!("d{d}")).collect();
        let regions = domains.iter().enumerate();
        let regions = regions.map(|(d, name)| (name.clone(), json!(format!("r{}", d / 4))));
        let regions: serde_json::Map<_, _> = regions.collect();
        let body = json!({
            "revision": revision, "domains": domains, "regions": regions,
            "domains_out": domains_out, "hosts_out": hosts_out,
            "classes": {}, "callers": {}, "services": {},
            "least_allowance_ms": 10, "most_allowance_ms": 1000,
        });
        body.to_string().into_bytes()
    }

    fn push(&mut self, at: Time, due: Scheduled) {
        self.next += 1;
        self.queue.insert((at, self.next), due);
    }

    /// Advances time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        self.run_until(until, |_| false);
        self.now = until;
    }

    /// Advances time until `done`; returns how long that took, if it happened within `time`.
    pub fn wait<F>(&mut self, time: Duration, done: F) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        let since = self.now;
        let happened = self.run_until(since + time, done);
        happened.then(|| self.now - since)
    }

    fn run_until<F>(&mut self, until: Time, done: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let mut next_check = self.now;
        while let Some(((at, _), _)) = self.queue.first_key_value()
            && *at <= until
        {
            let Some(((at, _), due)) = self.queue.pop_first() else {
                return false;
            };
            self.now = at;
            self.deliver(due);
            // The condition is checked every 10 ms.
            if at >= next_check {
                next_check = at + Duration::from_millis(10);
                if done(self) {
                    return true;
                }
            }
        }
        done(self)
    }

    fn deliver(&mut self, due: Scheduled) {
        let (host, incarnation) = match &due {
            Scheduled::Tick(host, incarnation) => (host.clone(), Some(*incarnation)),
            Scheduled::Packet(address, _) => match self.hosts_by_address.get(address) {
                Some(host) => (host.clone(), None),
                None => return,
            },
            Scheduled::Message(_, to, _) => (to.clone(), None),
            Scheduled::Index(host, incarnation, _) | Scheduled::Value(host, incarnation, ..) => {
                (host.clone(), Some(*incarnation))
            }
            Scheduled::Expired(number) => {
                if let Some((host, incarnation, _)) = self.pending_watches.remove(number) {
                    self.answer(host, incarnation);
                }
                return;
            }
        };
        let Some(node) = self.nodes.get_mut(&host) else {
            return;
        };
        if incarnation.is_some_and(|incarnation| incarnation != node.incarnation) {
            return;
        }
        if node.paused > self.now {
            let until = node.paused;
            self.push(until, due);
            return;
        }
        let event = match due {
            Scheduled::Tick(..) => {
                let due = Scheduled::Tick(host.clone(), node.incarnation);
                self.push(self.now + TICK, due);
                Event::Tick
            }
            Scheduled::Packet(_, bytes) => match datagram::decode(&bytes) {
                Ok(packet) => Event::Packet(packet),
                Err(error) => panic!("malformed datagram: {error}"),
            },
            Scheduled::Message(from, _, message) => Event::Message(from, message),
            Scheduled::Index(_, _, index) => Event::Index(index),
            Scheduled::Value(_, _, key, body) => Event::Value(key, body),
            Scheduled::Expired(_) => return,
        };
        self.handle(&host, event);
    }

    /// Passes an event to a process and carries out its actions.
    pub fn handle(&mut self, host: &id::Host, event: Event) {
        let Some(node) = self.nodes.get_mut(host) else {
            return;
        };
        let effects = node.fleet.handle(self.now, event);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    fn carry_out(&mut self, host: &id::Host, effect: Effect) {
        match effect {
            Effect::View(_) | Effect::Lost(..) => {}
            Effect::Packet(to, packet) => self.send(host, to, packet),
            Effect::Message(to, message) => {
                let size = frame::encode(vec![Message::Sync(message.clone())]);
                self.count(host, size.map(|bytes| bytes.len()).unwrap_or(0));
                if let Some(node) = self.nodes.get_mut(host) {
                    node.messages += 1;
                }
                if !self.cut.contains(&(host.clone(), to.clone()))
                    && !self.cut.contains(&(to.clone(), host.clone()))
                {
                    let at = self.now + self.link_delay;
                    self.push(at, Scheduled::Message(host.clone(), to, message));
                }
            }
            Effect::Call(call) => self.call(host, call),
            Effect::Ready(ready) => self.set_ready(host, ready),
            Effect::Note {
                kind,
                subject,
                detail,
                ..
            } => {
                let now = self.now;
                if let Some(node) = self.nodes.get_mut(host) {
                    node.notes
                        .push((now, format!("{kind} {subject}: {detail}")));
                }
            }
        }
    }

    fn set_ready(&mut self, host: &id::Host, ready: bool) {
        if let Some(node) = self.nodes.get_mut(host) {
            node.ready = ready;
        }
    }

    fn count(&mut self, host: &id::Host, bytes: usize) {
        if let Some(node) = self.nodes.get_mut(host) {
            node.packets += 1;
            node.bytes += bytes as u64;
            node.largest = node.largest.max(bytes);
        }
    }

    fn send(&mut self, from: &id::Host, to: SocketAddr, packet: Packet) {
        let bytes = match datagram::encode(packet) {
            Ok(bytes) => bytes,
            Err(error) => panic!("{error}"),
        };
        self.count(from, bytes.len());
        let cut = self
            .hosts_by_address
            .get(&to)
            .is_some_and(|to| self.cut.contains(&(from.clone(), to.clone())));
        if !cut && !self.rng.random_bool(self.loss) {
            let delay = DELAY + self.rng.random_range(Duration::ZERO..DELAY);
            self.push(self.now + delay, Scheduled::Packet(to, bytes));
        }
    }

    fn call(&mut self, host: &id::Host, call: Call) {
        self.calls += 1;
        let Some(node) = self.nodes.get(host) else {
            return;
        };
        let incarnation = node.incarnation;
        let unserved = self.unserved.contains(host);
        match call {
            Call::Index { since, wait } if !unserved => {
                let platform = self.stale.get(host).unwrap_or(&self.platform);
                if platform.version > since || wait.is_zero() {
                    self.answer(host.clone(), incarnation);
                    return;
                }
                self.next += 1;
                let number = self.next;
                self.pending_watches
                    .insert(number, (host.clone(), incarnation, since));
                self.push(self.now + wait, Scheduled::Expired(number));
            }
            Call::Index { .. } => {
                let at = self.now + DELAY;
                self.push(at, Scheduled::Index(host.clone(), incarnation, None));
            }
            Call::Value(key) => {
                let platform = self.stale.get(host).unwrap_or(&self.platform);
                let body = platform.values.get(&key).map(|(_, body)| body.clone());
                let body = body.filter(|_| !unserved);
                let at = self.now + DELAY;
                self.push(at, Scheduled::Value(host.clone(), incarnation, key, body));
            }
        }
    }

    fn answer(&mut self, host: id::Host, incarnation: id::Incarnation) {
        let platform = self.stale.get(&host).unwrap_or(&self.platform);
        let keys = platform.values.iter();
        let index = Index {
            version: platform.version,
            keys: keys.map(|(key, (v, _))| (key.clone(), *v)).collect(),
        };
        let index = Some(index).filter(|_| !self.unserved.contains(&host));
        let at = self.now + DELAY;
        self.push(at, Scheduled::Index(host, incarnation, index));
    }

    pub fn view(&self, number: usize) -> Arc<View> {
        self.nodes[&host(number)].fleet.view().clone()
    }

    /// Whether a process would act on its view now.
    pub fn fresh(&self, number: usize) -> bool {
        self.view(number).is_fresh(self.now)
    }

    /// Revision of the configuration in force at a process.
    pub fn revision(&self, number: usize) -> u64 {
        let config = &self.view(number).values.config;
        config.as_ref().map_or(0, |config| config.revision)
    }

    /// Whether a revision of the configuration is in force everywhere.
    pub fn in_force(&self, revision: u64) -> bool {
        self.nodes.values().all(|node| {
            let config = &node.fleet.view().values.config;
            config.as_ref().is_some_and(|c| c.revision == revision)
        })
    }

    /// Whether every process is ready and considers exactly the running ones alive.
    pub fn settled(&self) -> bool {
        let names: Vec<&id::Host> = self.nodes.keys().collect();
        self.nodes.values().all(|node| {
            let alive = &node.fleet.view().alive;
            node.ready && alive.iter().eq(names.iter().copied())
        })
    }
}

pub fn host(number: usize) -> id::Host {
    format!("host-{number:03}").into()
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + port))
}
