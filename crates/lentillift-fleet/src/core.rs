//! State machine of one process in the fleet: membership, the values in force, and the view to act
//! on.

use crate::census::Census;
use crate::drift;
use crate::drift::Drift;
use crate::drift::VALUE_PATIENCE;
use crate::freshness;
use crate::freshness::Freshness;
use crate::gossip::Queue;
use crate::life::Any;
use crate::life::Life;
use crate::member::Member;
use crate::member::Table;
use crate::packet::Body;
use crate::packet::Digest;
use crate::packet::Packet;
use crate::packet::Update;
use crate::picture::Picture;
use crate::probe;
use crate::probe::Prober;
use crate::read;
use crate::read::Index;
use crate::read::Reader;
use crate::sync;
use crate::sync::Fetch;
use crate::value::Key;
use crate::value::Stamp;
use crate::value::Store;
use crate::view::Stage;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// Parameters of a process in the fleet.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Parameters of the freshness deadline.
    pub freshness: freshness::Options,
    /// Parameters of probing.
    pub probe: probe::Options,
    /// Parameters of reading the configuration service.
    pub read: read::Options,
    /// Wall-clock time at the epoch of the process's clock, since 1970.
    ///
    /// Only the slots for watching the service depend on it; a wrong clock costs a few more calls.
    pub wall: Duration,
    /// Node addresses of some other processes, contacted during the start and when no host is
    /// known.
    pub seeds: Vec<SocketAddr>,
}

/// Input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Time passed; due every [`TICK`].
    Tick,
    /// A datagram arrived.
    Packet(Packet),
    /// A peer sent a message over its link.
    Message(id::Host, sync::Message),
    /// The configuration service answered with its index, or the call failed.
    Index(Option<Index>),
    /// The configuration service answered with a value, or the call failed.
    Value(Key, Option<Vec<u8>>),
    /// The process accepts nothing new from now on.
    Leave,
    /// The process ends.
    End,
}

/// Action for the caller to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Act on this view from now on.
    View(Arc<View>),
    /// Send a datagram.
    Packet(SocketAddr, Packet),
    /// Send a message over the link to a peer.
    Message(id::Host, sync::Message),
    /// Close the link to a process that has ended.
    Lost(id::Host, id::Incarnation),
    /// Call the configuration service.
    Call(read::Call),
    /// Tell the load balancer whether to send callers here.
    Ready(bool),
    /// Record a change of state on the time line.
    Note {
        /// Kind of change.
        kind: &'static str,
        /// Object that changed: a host, a key or the index.
        subject: String,
        /// New state of the object, in words.
        detail: String,
        /// Key and revision, if a value was put in force.
        token: Option<String>,
        /// Peer that the value came from; none for the configuration service.
        from: Option<id::Host>,
    },
}

/// State of one process in the fleet.
#[derive(Debug)]
pub struct Fleet<R> {
    pub(crate) options: Options,
    pub(crate) rng: R,
    pub(crate) started: Time,
    life: Option<Any>,
    // INVARIANT: The record of this process in `life`.
    pub(crate) own: Member,
    pub(crate) table: Table,
    pub(crate) store: Store,
    pub(crate) freshness: Freshness,
    pub(crate) prober: Prober,
    pub(crate) queue: Queue,
    pub(crate) reader: Reader,
    pub(crate) fetch: Fetch,
    pub(crate) picture: Picture,
    pub(crate) census: Census,
    /// When ended hosts were last removed.
    pub(crate) swept: Time,
    /// Stamps of values from peers that failed this process's checks.
    pub(crate) refused: BTreeMap<Key, Stamp>,
    value_drift: Drift,
    member_drift: Drift,
    /// When a peer last answered.
    pub(crate) heard: Option<Time>,
    /// Peers that were asked for their full state during the start, with the time of the request.
    pub(crate) asked: BTreeMap<id::Host, Time>,
    /// Peers that have sent their full state.
    pub(crate) told: BTreeSet<id::Host>,
}

impl<R> Fleet<R>
where
    R: Rng,
{
    /// Starts as `me`, whose version and incarnation must never have been used by its host.
    pub fn new(options: Options, now: Time, me: Member, rng: R) -> Self {
        let life = Any::Starting(Life::start(me));
        let own = life.member().clone();
        Self {
            rng,
            started: now,
            life: Some(life),
            own,
            table: Table::default(),
            store: Store::default(),
            freshness: Freshness::new(options.freshness, now),
            prober: Prober::new(options.probe.clone(), now),
            queue: Queue::default(),
            reader: Reader::new(options.read),
            fetch: Fetch::default(),
            picture: Picture::default(),
            census: Census::default(),
            swept: now,
            refused: BTreeMap::new(),
            value_drift: Drift::default(),
            member_drift: Drift::default(),
            heard: None,
            asked: BTreeMap::new(),
            told: BTreeSet::new(),
            options,
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

    /// The values in force.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The latest view.
    pub fn view(&self) -> &Arc<View> {
        self.picture.view()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = match event {
            Event::Tick => self.tick(now),
            Event::Packet(packet) => self.packet(now, packet),
            Event::Message(from, message) => self.message(now, &from, message),
            Event::Index(index) => self.index(now, index),
            Event::Value(key, body) => self.value(now, &key, body),
            Event::Leave => self.retire(Any::leave),
            Event::End => self.retire(Any::end),
        };
        if let Some(view) = self.draw(now) {
            effects.insert(0, Effect::View(view));
        }
        effects
    }

    /// Moves to a later stage in which no callers may be sent here.
    fn retire(&mut self, step: fn(Any) -> Any) -> Vec<Effect> {
        let mut effects = self.advance(step);
        effects.push(Effect::Ready(false));
        effects
    }

    /// Moves to a later stage and announces it to some peers at once.
    pub(crate) fn advance(&mut self, step: fn(Any) -> Any) -> Vec<Effect> {
        let Some(life) = self.life.take().map(step) else {
            return Vec::new();
        };
        let changed = life.member().stage != self.own.stage;
        self.own = life.member().clone();
        self.life = Some(life);
        if !changed {
            return Vec::new();
        }
        self.picture.touch_hosts();
        let mut effects = vec![note(
            "stage",
            &self.own.host,
            format!("{:?}", self.own.stage).to_lowercase(),
        )];
        effects.extend(self.push());
        effects
    }

    fn packet(&mut self, now: Time, packet: Packet) -> Vec<Effect> {
        let Packet {
            from,
            digest,
            body,
            updates: news,
        } = packet;
        let mut effects = self.learn(now, &from);
        if from.host == self.own.host {
            return effects;
        }
        for news in news {
            match news {
                Update::Member(member) => effects.extend(self.learn(now, &member)),
                Update::Value(key, mark) => self.want(&key, mark, &from.host),
            }
        }
        effects.extend(self.answer(now, &from, body));
        effects.extend(self.compare(now, &from, digest));
        effects.extend(self.pull(now));
        effects
    }

    fn answer(&mut self, now: Time, from: &Member, body: Body) -> Vec<Effect> {
        match body {
            Body::Ping(sequence) => {
                let packet = self.make(Body::Ack(sequence), Some(&from.host));
                vec![Effect::Packet(from.address, packet)]
            }
            Body::Ack(sequence) => {
                let answer = self.prober.ack(&from.host, sequence);
                self.settle(now, answer)
            }
            Body::Proof(sequence) => {
                let answer = self.prober.settle(sequence);
                self.settle(now, answer)
            }
            Body::Probe {
                sequence,
                target,
                address,
            } => match self.prober.relay(now, from.address, sequence) {
                Some(own) => {
                    let packet = self.make(Body::Ping(own), Some(&target));
                    vec![Effect::Packet(address, packet)]
                }
                None => Vec::new(),
            },
            Body::Push => Vec::new(),
        }
    }

    fn settle(&mut self, now: Time, answer: probe::Answer) -> Vec<Effect> {
        match answer {
            probe::Answer::Own(sent) => {
                self.heard = Some(now);
                self.freshness.prove(sent);
                Vec::new()
            }
            probe::Answer::Relayed(origin, sequence) => {
                let packet = self.make(Body::Proof(sequence), None);
                vec![Effect::Packet(origin, packet)]
            }
            probe::Answer::Late => Vec::new(),
        }
    }

    /// Builds a datagram with updates. `to` is sent any record by which it is suspect, dead or
    /// gone, so that it can refute it.
    pub(crate) fn make(&mut self, body: Body, to: Option<&id::Host>) -> Packet {
        let against = to.and_then(|to| self.table.against(to));
        let news = self.queue.take_with(against);
        Packet {
            from: self.own.clone(),
            digest: Digest {
                values: self.store.digest(),
                members: self.member_digest(),
            },
            body,
            updates: news,
        }
    }

    /// Digest of all hosts, this process included, so that two processes can compare theirs.
    fn member_digest(&self) -> u64 {
        self.table.digest() ^ self.own.digest()
    }

    /// Merges a received record of a host.
    pub(crate) fn learn(&mut self, now: Time, news: &Member) -> Vec<Effect> {
        if news.host == self.own.host {
            self.refute(news);
            return Vec::new();
        }
        let old = self.table.get(&news.host).cloned();
        if !self.table.merge(now, news) {
            return Vec::new();
        }
        self.picture.touch_hosts();
        // Records that a starting process receives are known to the others already.
        if self.own.stage != Stage::Starting || news.stage == Stage::Starting {
            let hosts = self.table.len();
            self.queue.push(Update::Member(news.clone()), hosts);
        }
        let mut effects = Vec::new();
        let mut same = false;
        if let Some(old) = old.filter(|old| old.incarnation > 0) {
            same = (old.stage, old.health) == (news.stage, news.health);
            let over = news.is_over() && !old.is_over();
            if over || old.incarnation != news.incarnation {
                effects.push(Effect::Lost(old.host, old.incarnation));
            }
        }
        if !same {
            let detail = format!("{:?}, {:?}", news.stage, news.health).to_lowercase();
            effects.push(note("host", &news.host, detail));
        }
        effects
    }

    fn refute(&mut self, news: &Member) {
        let Some(life) = &mut self.life else {
            return;
        };
        if life.refute(news) {
            self.own = life.member().clone();
            self.picture.touch_hosts();
            self.queue
                .push(Update::Member(self.own.clone()), self.table.len());
        }
    }

    /// Requests a peer's full state if the digests have differed for long, or as part of the start.
    fn compare(&mut self, now: Time, from: &Member, digest: Digest) -> Vec<Effect> {
        let values = digest.values == self.store.digest();
        let members = digest.members == self.member_digest();
        let patience = drift::member_patience(self.table.len());
        let mut asks = self.value_drift.observe(now, values, VALUE_PATIENCE);
        asks |= self.member_drift.observe(now, members, patience);
        let starting = self.own.stage == Stage::Starting;
        asks |= starting && self.asks_at_start(now, &from.host);
        if !asks {
            return Vec::new();
        }
        vec![Effect::Message(from.host.clone(), sync::Message::Ask)]
    }
}

pub(crate) fn note(kind: &'static str, subject: &str, detail: String) -> Effect {
    Effect::Note {
        kind,
        subject: subject.to_owned(),
        detail,
        token: None,
        from: None,
    }
}
