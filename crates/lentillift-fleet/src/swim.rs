//! Membership for a fleet without a published list of hosts.
//!
//! Hosts find each other through a few seed addresses, which may be stale or down, and from then on
//! through each other: one probe per period, as in SWIM, with updates piggybacked. A host that
//! knows of no other serves alone. The parts are shared with [`crate::core`], which adds values,
//! leases and the published list of hosts.

mod account;

use crate::drift::Drift;
use crate::gossip::Queue;
use crate::life::Any;
use crate::life::Life;
use crate::member::Member;
use crate::member::Table;
use crate::packet::Body;
use crate::packet::Digest;
use crate::packet::Packet;
use crate::packet::Update;
use crate::probe;
use crate::probe::Answer;
use crate::probe::Around;
use crate::probe::Prober;
use crate::view::Health;
use crate::view::Stage;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// How long a new process probes the seeds and many hosts at a time, so that it soon knows the
/// fleet.
const JOINING: Duration = Duration::from_secs(2);

/// Period of probes to the seeds once others are known.
///
/// Two parts of a fleet that started apart, each with its own seed, find each other only through
/// them.
const SEED_PERIOD: Duration = Duration::from_secs(10);

/// Number of hosts that new updates are pushed to at once.
const PUSHES: usize = 2;

/// Action for the caller to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Packet(SocketAddr, Packet),
    /// The record of a host changed.
    Changed(Member),
}

/// Membership state of this process.
#[derive(Debug)]
pub struct Swim<R> {
    rng: R,
    started: Time,
    seeds: Vec<SocketAddr>,
    seeds_asked: Time,
    life: Option<Any>,
    // INVARIANT: The record of this process in `life`.
    own: Member,
    table: Table,
    prober: Prober,
    queue: Queue,
    /// Region of each failure domain.
    home: BTreeMap<id::Domain, id::Region>,
    /// When a peer last answered.
    heard: Option<Time>,
    drift: Drift,
    /// Earliest time at which full state may be sent again.
    next_table: Time,
}

impl<R> Swim<R>
where
    R: Rng,
{
    /// Starts as `me`, whose version and incarnation must never have been used by its host.
    pub fn new(
        options: probe::Options,
        now: Time,
        me: Member,
        seeds: Vec<SocketAddr>,
        home: BTreeMap<id::Domain, id::Region>,
        rng: R,
    ) -> Self {
        let life = Any::Starting(Life::start(me));
        Self {
            rng,
            started: now,
            seeds,
            seeds_asked: now,
            own: life.member().clone(),
            life: Some(life),
            table: Table::default(),
            prober: Prober::new(options, now),
            queue: Queue::default(),
            home,
            heard: None,
            drift: Drift::default(),
            next_table: now,
        }
    }

    /// The record that this process announces of itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Records of the other hosts.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Hosts that may be at work, this one included: all but those that announced their end.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let others = self.table.iter().filter(|m| m.stage != Stage::Gone);
        others.chain(std::iter::once(&self.own))
    }

    /// Hosts that answer probes and have not begun to leave.
    pub fn answering(&self) -> impl Iterator<Item = &Member> {
        let stays = |m: &&Member| matches!(m.stage, Stage::Starting | Stage::Serving);
        let alive = self.table.iter().filter(|m| m.health == Health::Alive);
        alive.filter(|m| m.version > 0).filter(stays)
    }

    /// Whether a host is in this process's region.
    pub fn is_same_region(&self, member: &Member) -> bool {
        self.home.get(&member.domain) == self.home.get(&self.own.domain)
    }

    /// Hosts that accept work and answer probes.
    pub fn serving(&self) -> impl Iterator<Item = &Member> {
        let serving = |m: &&Member| m.stage == Stage::Serving && m.health == Health::Alive;
        self.table.iter().filter(serving)
    }

    /// Accepts work from now on, and announces it.
    pub fn serve(&mut self) -> Vec<Effect> {
        self.advance(Any::serve)
    }

    /// Accepts nothing new from now on, and announces it.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.advance(Any::leave)
    }

    /// Ends, and announces it.
    pub fn end(&mut self) -> Vec<Effect> {
        self.advance(Any::end)
    }

    fn advance(&mut self, step: fn(Any) -> Any) -> Vec<Effect> {
        let Some(life) = self.life.take().map(step) else {
            return Vec::new();
        };
        self.own = life.member().clone();
        self.life = Some(life);
        let news = Update::Member(self.own.clone());
        self.queue.push(news, self.table.len());
        self.push()
    }

    /// Sends updates to some hosts at once instead of with the next probe.
    fn push(&mut self) -> Vec<Effect> {
        use rand::seq::IteratorRandom;
        let usable = self.table.iter().filter(|m| !m.is_over());
        let drawn = usable.choose_multiple(&mut self.rng, PUSHES);
        let addresses: Vec<SocketAddr> = drawn.into_iter().map(|m| m.address).collect();
        let addresses = addresses.into_iter();
        addresses
            .map(|address| Effect::Packet(address, self.make(Body::Push, None)))
            .collect()
    }

    /// Does what is due; called every [`TICK`].
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.table.forget(now);
        let joining = now < self.started + JOINING;
        let again = now >= self.seeds_asked + SEED_PERIOD;
        if again {
            self.seeds_asked = now;
        }
        let domain = &self.own.domain;
        let fresh = self.heard.is_some_and(|heard| now < heard + JOINING);
        let around = Around {
            table: &self.table,
            // Seven of eight probes stay in the failure domain: traffic between failure domains is
            // expensive, and each domain's own hosts detect a dead one just as soon.
            is_home: |m: &Member| m.domain == *domain,
            seeds: &self.seeds,
            starting: joining || again,
            fresh,
        };
        let actions = self.prober.tick(now, &around, &mut self.rng);
        let actions = actions.into_iter();
        let mut effects: Vec<Effect> = actions.flat_map(|action| self.act(now, action)).collect();
        // Updates that wait for a probe would stay in the failure domain for seconds.
        if self.queue.has_new() {
            effects.extend(self.push());
        }
        effects
    }

    fn act(&mut self, now: Time, action: probe::Action) -> Vec<Effect> {
        match action {
            probe::Action::Ping(address, sequence) => {
                let packet = self.make(Body::Ping(sequence), None);
                vec![Effect::Packet(address, packet)]
            }
            probe::Action::Ask {
                helper,
                sequence,
                target,
                address,
            } => {
                let body = Body::Probe {
                    sequence,
                    target,
                    address,
                };
                vec![Effect::Packet(helper, self.make(body, None))]
            }
            probe::Action::Judge(host, version, health) => {
                let Some(news) = self.table.judge(now, &host, version, health) else {
                    return Vec::new();
                };
                let hosts = self.table.len();
                self.queue.push(Update::Member(news.clone()), hosts);
                vec![Effect::Changed(news)]
            }
        }
    }

    /// Handles a received datagram.
    pub fn packet(&mut self, now: Time, packet: Packet) -> Vec<Effect> {
        let Packet {
            from,
            body,
            updates: news,
            digest,
        } = packet;
        if from.host == self.own.host {
            return Vec::new();
        }
        let unknown = self.table.get(&from.host).is_none();
        let mut effects = self.learn(now, &from);
        for news in news {
            if let Update::Member(member) = news {
                effects.extend(self.learn(now, &member));
            }
        }
        if !unknown {
            effects.extend(self.compare(now, &from, digest.members));
        }
        let address = from.address;
        match body {
            Body::Ping(sequence) => {
                let packet = self.make(Body::Ack(sequence), Some(&from.host));
                effects.push(Effect::Packet(address, packet));
                if unknown {
                    effects.extend(self.introduce(address));
                }
            }
            Body::Ack(sequence) => match self.prober.ack(&from.host, sequence) {
                Answer::Own(_) => self.heard = Some(now),
                Answer::Relayed(origin, sequence) => {
                    let packet = self.make(Body::Proof(sequence), None);
                    effects.push(Effect::Packet(origin, packet));
                }
                Answer::Late => {}
            },
            Body::Proof(sequence) => {
                if matches!(self.prober.settle(sequence), Answer::Own(_)) {
                    self.heard = Some(now);
                }
            }
            Body::Probe {
                sequence,
                target,
                address,
            } => {
                if let Some(own) = self.prober.relay(now, from.address, sequence) {
                    let packet = self.make(Body::Ping(own), Some(&target));
                    effects.push(Effect::Packet(address, packet));
                }
            }
            Body::Push => {}
        }
        effects
    }

    fn learn(&mut self, now: Time, news: &Member) -> Vec<Effect> {
        if news.host == self.own.host {
            self.refute(news);
            return Vec::new();
        }
        if !self.table.merge(now, news) {
            return Vec::new();
        }
        // Records that a joining process receives are known to the others already. When all hosts
        // of a fleet start at once, each would otherwise forward the record of each other one
        // twenty times.
        let joining = now < self.started + JOINING;
        if !joining || news.is_over() {
            let hosts = self.table.len();
            self.queue.push(Update::Member(news.clone()), hosts);
        }
        vec![Effect::Changed(news.clone())]
    }

    fn refute(&mut self, news: &Member) {
        let Some(life) = &mut self.life else {
            return;
        };
        if life.refute(news) {
            self.own = life.member().clone();
            let news = Update::Member(self.own.clone());
            self.queue.push(news, self.table.len());
        }
    }

    fn make(&mut self, body: Body, to: Option<&id::Host>) -> Packet {
        let against = to.and_then(|to| self.table.against(to));
        let news = self.queue.take_with(against);
        self.carry(body, news)
    }

    fn carry(&self, body: Body, news: Vec<Update>) -> Packet {
        Packet {
            from: self.own.clone(),
            digest: Digest {
                values: 0,
                members: self.digest(),
            },
            body,
            updates: news,
        }
    }
}
