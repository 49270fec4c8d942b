//! Membership for a fleet without a published list of hosts.
//!
//! Hosts find each other through a few seed addresses, which may be stale or down, and from then on
//! through each other: one probe per period, as in SWIM, with updates piggybacked. A host that
//! knows of no other serves alone. The parts are shared with [`crate::core`], which adds values,
//! leases and the published list of hosts.

mod full_state;

use crate::anti_entropy::Divergence;
use crate::gossip::Queue;
use crate::lifecycle::AnyStage;
use crate::lifecycle::Lifecycle;
use crate::member::Member;
use crate::member::Table;
use crate::packet::Body;
use crate::packet::Digest;
use crate::packet::Packet;
use crate::packet::Update;
use crate::probe;
use crate::probe::Answer;
use crate::probe::ProbeContext;
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
const JOIN_TIME: Duration = Duration::from_secs(2);

/// Period of probes to the seeds once others are known.
///
/// Two parts of a fleet that started apart, each with its own seed, find each other only through
/// them.
const SEED_PERIOD: Duration = Duration::from_secs(10);

/// Number of hosts that new updates are pushed to at once.
const PUSH_FANOUT: usize = 2;

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
    seeds_probed_at: Time,
    lifecycle: Option<AnyStage>,
    // INVARIANT: The record of this process in `lifecycle`.
    own: Member,
    table: Table,
    prober: Prober,
    queue: Queue,
    /// Region of each failure domain.
    regions: BTreeMap<id::Domain, id::Region>,
    /// When a peer last answered.
    last_answer: Option<Time>,
    divergence: Divergence,
    /// Earliest time at which full state may be sent again.
    next_full_state: Time,
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
        regions: BTreeMap<id::Domain, id::Region>,
        rng: R,
    ) -> Self {
        let lifecycle = AnyStage::Starting(Lifecycle::start(me));
        Self {
            rng,
            started: now,
            seeds,
            seeds_probed_at: now,
            own: lifecycle.member().clone(),
            lifecycle: Some(lifecycle),
            table: Table::default(),
            prober: Prober::new(options, now),
            queue: Queue::default(),
            regions,
            last_answer: None,
            divergence: Divergence::default(),
            next_full_state: now,
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
        self.regions.get(&member.domain) == self.regions.get(&self.own.domain)
    }

    /// Hosts that accept work and answer probes.
    pub fn serving(&self) -> impl Iterator<Item = &Member> {
        let serving = |m: &&Member| m.stage == Stage::Serving && m.health == Health::Alive;
        self.table.iter().filter(serving)
    }

    /// Accepts work from now on, and announces it.
    pub fn serve(&mut self) -> Vec<Effect> {
        self.advance(AnyStage::serve)
    }

    /// Accepts nothing new from now on, and announces it.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.advance(AnyStage::leave)
    }

    /// Ends, and announces it.
    pub fn end(&mut self) -> Vec<Effect> {
        self.advance(AnyStage::end)
    }

    fn advance(&mut self, step: fn(AnyStage) -> AnyStage) -> Vec<Effect> {
        let Some(lifecycle) = self.lifecycle.take().map(step) else {
            return Vec::new();
        };
        self.own = lifecycle.member().clone();
        self.lifecycle = Some(lifecycle);
        let update = Update::Member(self.own.clone());
        self.queue.push(update, self.table.len());
        self.push()
    }

    /// Sends updates to some hosts at once instead of with the next probe.
    fn push(&mut self) -> Vec<Effect> {
        use rand::seq::IteratorRandom;
        let usable = self.table.iter().filter(|m| !m.has_ended());
        let drawn = usable.choose_multiple(&mut self.rng, PUSH_FANOUT);
        let addresses: Vec<SocketAddr> = drawn.into_iter().map(|m| m.address).collect();
        let addresses = addresses.into_iter();
        addresses
            .map(|address| Effect::Packet(address, self.make_packet(Body::Push, None)))
            .collect()
    }

    /// Does what is due; called every [`TICK`].
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.table.prune(now);
        let joining = now < self.started + JOIN_TIME;
        let seeds_due = now >= self.seeds_probed_at + SEED_PERIOD;
        if seeds_due {
            self.seeds_probed_at = now;
        }
        let domain = &self.own.domain;
        let is_connected = self
            .last_answer
            .is_some_and(|answered_at| now < answered_at + JOIN_TIME);
        let context = ProbeContext {
            table: &self.table,
            // Seven of eight probes stay in the failure domain: traffic between failure domains is
            // expensive, and each domain's own hosts detect a dead one just as soon.
            is_near: |m: &Member| m.domain == *domain,
            seeds: &self.seeds,
            starting: joining || seeds_due,
            is_connected,
        };
        let actions = self.prober.tick(now, &context, &mut self.rng);
        let actions = actions.into_iter();
        let mut effects: Vec<Effect> = actions.flat_map(|action| self.act(now, action)).collect();
        // Updates that wait for a probe would stay in the failure domain for seconds.
        if self.queue.has_unsent() {
            effects.extend(self.push());
        }
        effects
    }

    fn act(&mut self, now: Time, action: probe::Action) -> Vec<Effect> {
        match action {
            probe::Action::Ping(address, sequence) => {
                let packet = self.make_packet(Body::Ping(sequence), None);
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
                vec![Effect::Packet(helper, self.make_packet(body, None))]
            }
            probe::Action::Judge(host, version, health) => {
                let Some(updated) = self.table.set_health(now, &host, version, health) else {
                    return Vec::new();
                };
                let hosts = self.table.len();
                self.queue.push(Update::Member(updated.clone()), hosts);
                vec![Effect::Changed(updated)]
            }
        }
    }

    /// Handles a received datagram.
    pub fn packet(&mut self, now: Time, packet: Packet) -> Vec<Effect> {
        let Packet {
            from,
            body,
            updates,
            digest,
        } = packet;
        if from.host == self.own.host {
            return Vec::new();
        }
        let unknown = self.table.get(&from.host).is_none();
        let mut effects = self.merge_member(now, &from);
        for update in updates {
            if let Update::Member(member) = update {
                effects.extend(self.merge_member(now, &member));
            }
        }
        if !unknown {
            effects.extend(self.compare_digests(now, &from, digest.members));
        }
        let address = from.address;
        match body {
            Body::Ping(sequence) => {
                let packet = self.make_packet(Body::Ack(sequence), Some(&from.host));
                effects.push(Effect::Packet(address, packet));
                if unknown {
                    effects.extend(self.full_state(address));
                }
            }
            Body::Ack(sequence) => match self.prober.ack(&from.host, sequence) {
                Answer::Own(_) => self.last_answer = Some(now),
                Answer::Relayed(origin, sequence) => {
                    let packet = self.make_packet(Body::Proof(sequence), None);
                    effects.push(Effect::Packet(origin, packet));
                }
                Answer::Late => {}
            },
            Body::Proof(sequence) => {
                if matches!(self.prober.complete(sequence), Answer::Own(_)) {
                    self.last_answer = Some(now);
                }
            }
            Body::Probe {
                sequence,
                target,
                address,
            } => {
                if let Some(own) = self.prober.relay(now, from.address, sequence) {
                    let packet = self.make_packet(Body::Ping(own), Some(&target));
                    effects.push(Effect::Packet(address, packet));
                }
            }
            Body::Push => {}
        }
        effects
    }

    fn merge_member(&mut self, now: Time, received: &Member) -> Vec<Effect> {
        if received.host == self.own.host {
            self.refute(received);
            return Vec::new();
        }
        if !self.table.merge(now, received) {
            return Vec::new();
        }
        // Records that a joining process receives are known to the others already. When all hosts
        // of a fleet start at once, each would otherwise forward the record of each other one
        // twenty times.
        let joining = now < self.started + JOIN_TIME;
        if !joining || received.has_ended() {
            let hosts = self.table.len();
            self.queue.push(Update::Member(received.clone()), hosts);
        }
        vec![Effect::Changed(received.clone())]
    }

    fn refute(&mut self, received: &Member) {
        let Some(lifecycle) = &mut self.lifecycle else {
            return;
        };
        if lifecycle.refute(received) {
            self.own = lifecycle.member().clone();
            let update = Update::Member(self.own.clone());
            self.queue.push(update, self.table.len());
        }
    }

    fn make_packet(&mut self, body: Body, to: Option<&id::Host>) -> Packet {
        let accusation = to.and_then(|to| self.table.accusation(to));
        let updates = self.queue.take_with(accusation);
        self.make_packet_with(body, updates)
    }

    fn make_packet_with(&self, body: Body, updates: Vec<Update>) -> Packet {
        Packet {
            from: self.own.clone(),
            digest: Digest {
                values: 0,
                members: self.digest(),
            },
            body,
            updates,
        }
    }
}
