//! Periodic work: probes, gossip, calls to the configuration service, and the start.

use crate::core::Effect;
use crate::core::Fleet;
use crate::core::note;
use crate::lifecycle::AnyStage;
use crate::member::Member;
use crate::packet::Body;
use crate::packet::Update;
use crate::probe::Action;
use crate::probe::ProbeContext;
use crate::read::Role;
use crate::view::Health;
use crate::view::Stage;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Period at which ended hosts are removed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Number of peers whose full state a starting process waits for, if that many answer.
///
/// One peer may itself have started just now; if three all lack the newest revision, it has hardly
/// begun to spread.
const MIN_PEERS: usize = 3;

/// Number of random hosts that new updates are pushed to at once.
///
/// Updates that are forwarded to three hosts each reach 760 hosts in six steps, and miss one in
/// twenty; those receive them with probes.
const PUSH_FANOUT: usize = 3;

/// One push in this many also goes to another region.
const REMOTE_PUSH_INTERVAL: u32 = 8;

/// Time without an answer from any peer after which a process reads the service itself.
const ISOLATION_TIME: Duration = Duration::from_millis(1500);

/// Time for which a starting process waits for peers to answer its probes.
const PEER_WAIT: Duration = Duration::from_millis(1500);

/// Time for which a starting process waits for the configuration service.
const SERVICE_WAIT: Duration = Duration::from_secs(3);

/// Time after which the full state of one peer is enough for a starting process.
const MANY_PEERS_WAIT: Duration = Duration::from_secs(10);

impl<R> Fleet<R>
where
    R: Rng,
{
    /// Does all that is due.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(gap) = self.freshness.tick(now) {
            // Answers arrived while the process was paused. If it considered every host dead that
            // seems not to have answered, it would take over the whole fleet's work.
            self.prober.reset();
            let detail = format!("for {} ms", gap.as_millis());
            effects.push(note("paused", &self.own.host, detail));
        }
        if self.stats(now).alone {
            self.freshness.prove(now);
        }
        if self.last_sweep + SWEEP_PERIOD <= now {
            self.last_sweep = now;
            if self.table.prune(now) {
                self.view_state.mark_hosts_changed();
            }
        }
        effects.extend(self.probe(now));
        effects.extend(self.pull(now));
        effects.extend(self.call(now));
        if self.own.stage == Stage::Starting && self.can_serve(now) {
            effects.extend(self.advance(AnyStage::serve));
        }
        if self.queue.has_unsent() {
            effects.extend(self.push());
        }
        let ready = self.is_ready(now);
        effects.push(Effect::Ready(ready));
        effects
    }

    /// Whether the load balancer may send callers here.
    fn is_ready(&self, now: Time) -> bool {
        let serving = self.own.stage == Stage::Serving;
        serving && now < self.freshness.deadline() && !self.is_out(&self.own)
    }

    fn probe(&mut self, now: Time) -> Vec<Effect> {
        let home = self.region(&self.own.domain);
        let config = self.store.values().config.as_ref();
        let is_near =
            |member: &Member| config.is_none_or(|config| config.region(&member.domain) == home);
        let context = ProbeContext {
            table: &self.table,
            is_near,
            seeds: &self.options.seeds,
            starting: self.own.stage == Stage::Starting,
            is_connected: now < self.freshness.deadline(),
        };
        let actions = self.prober.tick(now, &context, &mut self.rng);
        let effects = actions.into_iter().map(|action| self.act(now, action));
        effects.flatten().collect()
    }

    fn act(&mut self, now: Time, action: Action) -> Vec<Effect> {
        match action {
            Action::Ping(address, sequence) => {
                let packet = self.ping(address, sequence);
                vec![Effect::Packet(address, packet)]
            }
            Action::Ask {
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
            Action::Judge(host, version, health) => {
                let Some(updated) = self.table.set_health(now, &host, version, health) else {
                    return Vec::new();
                };
                self.view_state.mark_hosts_changed();
                let hosts = self.table.len();
                let incarnation = updated.incarnation;
                self.queue.push(Update::Member(updated), hosts);
                let detail = match health {
                    Health::Alive => "answers",
                    Health::Suspect => "does not answer, suspected",
                    Health::Dead => "does not answer, considered dead",
                };
                let mut effects = vec![note("host", &host, detail.to_owned())];
                if health == Health::Dead {
                    effects.push(Effect::Lost(host, incarnation));
                }
                effects
            }
        }
    }

    fn ping(&mut self, address: SocketAddr, sequence: u64) -> crate::packet::Packet {
        let target = self.table.iter().find(|m| m.address == address);
        let target = target.map(|m| m.host.clone());
        self.make_packet(Body::Ping(sequence), target.as_ref())
    }

    /// Sends updates to some random hosts at once.
    pub(crate) fn push(&mut self) -> Vec<Effect> {
        let home = self.region(&self.own.domain);
        let usable = |m: &&Member| !m.has_ended() && m.version > 0;
        let (near, far): (Vec<&Member>, Vec<&Member>) = self
            .table
            .iter()
            .filter(usable)
            .partition(|m| self.region(&m.domain) == home);
        let drawn = near.into_iter().choose_multiple(&mut self.rng, PUSH_FANOUT);
        let mut targets: Vec<SocketAddr> = drawn.into_iter().map(|m| m.address).collect();
        if self.rng.random_ratio(1, REMOTE_PUSH_INTERVAL) {
            let drawn = far.into_iter().choose(&mut self.rng);
            targets.extend(drawn.map(|m| m.address));
        }
        let effects = targets
            .into_iter()
            .map(|address| Effect::Packet(address, self.make_packet(Body::Push, None)));
        effects.collect()
    }

    /// Makes the calls to the configuration service that are due.
    pub(crate) fn call(&mut self, now: Time) -> Vec<Effect> {
        let stats = self.stats(now);
        let role = self.role(now, stats.watcher);
        let calls = self.reader.tick(now, role, stats.hosts);
        calls.into_iter().map(Effect::Call).collect()
    }

    fn role(&self, now: Time, watcher: bool) -> Role {
        let last_answer = self.last_answer.unwrap_or(self.started);
        let isolated = last_answer + ISOLATION_TIME <= now;
        match self.own.stage {
            Stage::Starting => Role::Alone,
            _ if isolated => Role::Alone,
            _ if watcher => Role::Watcher,
            _ => Role::Other,
        }
    }

    /// Whether this starting process should request a peer's full state; records that it did.
    pub(crate) fn requests_state_at_start(&mut self, now: Time, peer: &id::Host) -> bool {
        self.state_requests
            .retain(|_, requested_at| *requested_at + PEER_WAIT > now);
        let known = self.state_received.contains(peer) || self.state_requests.contains_key(peer);
        if known || self.state_received.len() >= MIN_PEERS || self.state_requests.len() >= MIN_PEERS
        {
            return false;
        }
        self.state_requests.insert(peer.clone(), now);
        true
    }

    /// Whether this starting process has all the state that it needs before it serves.
    ///
    /// The service may be down or stale, or serve old revisions to this process alone, and any one
    /// peer may be behind as well. Without asking both, a restart would bring an old revision back
    /// here.
    fn can_serve(&self, now: Time) -> bool {
        let age = now.saturating_sub(self.started);
        let read =
            self.reader.has_read_all_once() || self.reader.failures() > 1 || age >= SERVICE_WAIT;
        let complete = self.store.is_complete() && self.fetch.is_idle();
        complete && read && now < self.freshness.deadline() && self.has_peer_state(age)
    }

    fn has_peer_state(&self, age: Duration) -> bool {
        let peers = self
            .table
            .iter()
            .filter(|m| m.version > 0 && !m.has_ended());
        let peers = peers.count();
        if peers == 0 {
            // The other published hosts may all have ended, or all be starting just now.
            return age >= PEER_WAIT || self.table.is_empty();
        }
        let enough = match age >= MANY_PEERS_WAIT {
            true => 1,
            false => peers.min(MIN_PEERS),
        };
        self.state_received.len() >= enough
    }
}
