//! State machine of one process in the fleet: membership, the values in force, and the view to act
//! on.

use crate::anti_entropy;
use crate::anti_entropy::Divergence;
use crate::anti_entropy::VALUE_SPREAD_TIME;
use crate::freshness;
use crate::freshness::Freshness;
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
use crate::probe::Prober;
use crate::read;
use crate::read::Index;
use crate::read::Reader;
use crate::stats::FleetStats;
use crate::sync;
use crate::sync::Fetch;
use crate::value::Key;
use crate::value::Stamp;
use crate::value::Store;
use crate::view::Stage;
use crate::view::View;
use crate::view_state::ViewState;
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
    lifecycle: Option<AnyStage>,
    // INVARIANT: The record of this process in `lifecycle`.
    pub(crate) own: Member,
    pub(crate) table: Table,
    pub(crate) store: Store,
    pub(crate) freshness: Freshness,
    pub(crate) prober: Prober,
    pub(crate) queue: Queue,
    pub(crate) reader: Reader,
    pub(crate) fetch: Fetch,
    pub(crate) view_state: ViewState,
    pub(crate) stats: FleetStats,
    /// When ended hosts were last removed.
    pub(crate) last_sweep: Time,
    /// Stamps of values from peers that failed this process's checks.
    pub(crate) refused: BTreeMap<Key, Stamp>,
    value_divergence: Divergence,
    member_divergence: Divergence,
    /// When a peer last answered.
    pub(crate) last_answer: Option<Time>,
    /// Peers that were asked for their full state during the start, with the time of the request.
    pub(crate) state_requests: BTreeMap<id::Host, Time>,
    /// Peers that have sent their full state.
    pub(crate) state_received: BTreeSet<id::Host>,
}

impl<R> Fleet<R>
where
    R: Rng,
{
    /// Starts as `me`, whose version and incarnation must never have been used by its host.
    pub fn new(options: Options, now: Time, me: Member, rng: R) -> Self {
        let lifecycle = AnyStage::Starting(Lifecycle::start(me));
        let own = lifecycle.member().clone();
        Self {
            rng,
            started: now,
            lifecycle: Some(lifecycle),
            own,
            table: Table::default(),
            store: Store::default(),
            freshness: Freshness::new(options.freshness, now),
            prober: Prober::new(options.probe.clone(), now),
            queue: Queue::default(),
            reader: Reader::new(options.read),
            fetch: Fetch::default(),
            view_state: ViewState::default(),
            stats: FleetStats::default(),
            last_sweep: now,
            refused: BTreeMap::new(),
            value_divergence: Divergence::default(),
            member_divergence: Divergence::default(),
            last_answer: None,
            state_requests: BTreeMap::new(),
            state_received: BTreeSet::new(),
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
        self.view_state.view()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = match event {
            Event::Tick => self.tick(now),
            Event::Packet(packet) => self.handle_packet(now, packet),
            Event::Message(from, message) => self.handle_message(now, &from, message),
            Event::Index(index) => self.handle_index(now, index),
            Event::Value(key, body) => self.handle_value(now, &key, body),
            Event::Leave => self.stop_serving(AnyStage::leave),
            Event::End => self.stop_serving(AnyStage::end),
        };
        if let Some(view) = self.refresh_view(now) {
            effects.insert(0, Effect::View(view));
        }
        effects
    }

    /// Moves to a later stage in which no callers may be sent here.
    fn stop_serving(&mut self, step: fn(AnyStage) -> AnyStage) -> Vec<Effect> {
        let mut effects = self.advance(step);
        effects.push(Effect::Ready(false));
        effects
    }

    /// Moves to a later stage and announces it to some peers at once.
    pub(crate) fn advance(&mut self, step: fn(AnyStage) -> AnyStage) -> Vec<Effect> {
        let Some(lifecycle) = self.lifecycle.take().map(step) else {
            return Vec::new();
        };
        let changed = lifecycle.member().stage != self.own.stage;
        self.own = lifecycle.member().clone();
        self.lifecycle = Some(lifecycle);
        if !changed {
            return Vec::new();
        }
        self.view_state.mark_hosts_changed();
        let mut effects = vec![note(
            "stage",
            &self.own.host,
            format!("{:?}", self.own.stage).to_lowercase(),
        )];
        effects.extend(self.push());
        effects
    }

    fn handle_packet(&mut self, now: Time, packet: Packet) -> Vec<Effect> {
        let Packet {
            from,
            digest,
            body,
            updates,
        } = packet;
        let mut effects = self.merge_member(now, &from);
        if from.host == self.own.host {
            return effects;
        }
        for update in updates {
            match update {
                Update::Member(member) => effects.extend(self.merge_member(now, &member)),
                Update::Value(key, stamp) => self.want(&key, stamp, &from.host),
            }
        }
        effects.extend(self.handle_body(now, &from, body));
        effects.extend(self.compare_digests(now, &from, digest));
        effects.extend(self.pull(now));
        effects
    }

    fn handle_body(&mut self, now: Time, from: &Member, body: Body) -> Vec<Effect> {
        match body {
            Body::Ping(sequence) => {
                let packet = self.make_packet(Body::Ack(sequence), Some(&from.host));
                vec![Effect::Packet(from.address, packet)]
            }
            Body::Ack(sequence) => {
                let answer = self.prober.ack(&from.host, sequence);
                self.handle_answer(now, answer)
            }
            Body::Proof(sequence) => {
                let answer = self.prober.complete(sequence);
                self.handle_answer(now, answer)
            }
            Body::Probe {
                sequence,
                target,
                address,
            } => match self.prober.relay(now, from.address, sequence) {
                Some(own) => {
                    let packet = self.make_packet(Body::Ping(own), Some(&target));
                    vec![Effect::Packet(address, packet)]
                }
                None => Vec::new(),
            },
            Body::Push => Vec::new(),
        }
    }

    fn handle_answer(&mut self, now: Time, answer: probe::Answer) -> Vec<Effect> {
        match answer {
            probe::Answer::Own(sent) => {
                self.last_answer = Some(now);
                self.freshness.prove(sent);
                Vec::new()
            }
            probe::Answer::Relayed(origin, sequence) => {
                let packet = self.make_packet(Body::Proof(sequence), None);
                vec![Effect::Packet(origin, packet)]
            }
            probe::Answer::Late => Vec::new(),
        }
    }

    /// Builds a datagram with updates. `to` is sent any record by which it is suspect, dead or
    /// gone, so that it can refute it.
    pub(crate) fn make_packet(&mut self, body: Body, to: Option<&id::Host>) -> Packet {
        let accusation = to.and_then(|to| self.table.accusation(to));
        let updates = self.queue.take_with(accusation);
        Packet {
            from: self.own.clone(),
            digest: Digest {
                values: self.store.digest(),
                members: self.member_digest(),
            },
            body,
            updates,
        }
    }

    /// Digest of all hosts, this process included, so that two processes can compare theirs.
    fn member_digest(&self) -> u64 {
        self.table.digest() ^ self.own.digest()
    }

    /// Merges a received record of a host.
    pub(crate) fn merge_member(&mut self, now: Time, received: &Member) -> Vec<Effect> {
        if received.host == self.own.host {
            self.refute(received);
            return Vec::new();
        }
        let old = self.table.get(&received.host).cloned();
        if !self.table.merge(now, received) {
            return Vec::new();
        }
        self.view_state.mark_hosts_changed();
        // Records that a starting process receives are known to the others already.
        if self.own.stage != Stage::Starting || received.stage == Stage::Starting {
            let hosts = self.table.len();
            self.queue.push(Update::Member(received.clone()), hosts);
        }
        let mut effects = Vec::new();
        let mut same = false;
        if let Some(old) = old.filter(|old| old.incarnation > 0) {
            same = (old.stage, old.health) == (received.stage, received.health);
            let over = received.has_ended() && !old.has_ended();
            if over || old.incarnation != received.incarnation {
                effects.push(Effect::Lost(old.host, old.incarnation));
            }
        }
        if !same {
            let detail = format!("{:?}, {:?}", received.stage, received.health).to_lowercase();
            effects.push(note("host", &received.host, detail));
        }
        effects
    }

    fn refute(&mut self, received: &Member) {
        let Some(lifecycle) = &mut self.lifecycle else {
            return;
        };
        if lifecycle.refute(received) {
            self.own = lifecycle.member().clone();
            self.view_state.mark_hosts_changed();
            self.queue
                .push(Update::Member(self.own.clone()), self.table.len());
        }
    }

    /// Requests a peer's full state if the digests have differed for long, or as part of the start.
    fn compare_digests(&mut self, now: Time, from: &Member, digest: Digest) -> Vec<Effect> {
        let values = digest.values == self.store.digest();
        let members = digest.members == self.member_digest();
        let spread_time = anti_entropy::member_spread_time(self.table.len());
        let mut request = self
            .value_divergence
            .observe(now, values, VALUE_SPREAD_TIME);
        request |= self.member_divergence.observe(now, members, spread_time);
        let starting = self.own.stage == Stage::Starting;
        request |= starting && self.requests_state_at_start(now, &from.host);
        if !request {
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
