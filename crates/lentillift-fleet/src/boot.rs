//! Periodic work: probes, gossip, calls to the configuration service, and the start.

use crate::core::Effect;
use crate::core::Fleet;
use crate::core::note;
use crate::life::Any;
use crate::member::Member;
use crate::packet::Body;
use crate::packet::Update;
use crate::probe::Action;
use crate::probe::Around;
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
const SWEEP: Duration = Duration::from_secs(1);

/// Number of peers whose full state a starting process waits for, if that many answer.
///
/// One peer may itself have started just now; if three all lack the newest revision, it has hardly
/// begun to spread.
const PEERS: usize = 3;

/// Number of random hosts that new updates are pushed to at once.
///
/// Updates that are forwarded to three hosts each reach 760 hosts in six steps, and miss one in
/// twenty; those receive them with probes.
const FANOUT: usize = 3;

/// One push in this many also goes to another region.
const ABROAD: u32 = 8;

/// Time without an answer from any peer after which a process reads the service itself.
const LONELY: Duration = Duration::from_millis(1500);

/// Time for which a starting process waits for peers to answer its probes.
const PEER_TIME: Duration = Duration::from_millis(1500);

/// Time for which a starting process waits for the configuration service.
const SERVICE_TIME: Duration = Duration::from_secs(3);

/// Time after which the full state of one peer is enough for a starting process.
const PATIENCE: Duration = Duration::from_secs(10);

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
            self.prober.forget();
            let detail = format!("for {} ms", gap.as_millis());
            effects.push(note("paused", &self.own.host, detail));
        }
        if self.census(now).alone {
            self.freshness.prove(now);
        }
        if self.swept + SWEEP <= now {
            self.swept = now;
            if self.table.forget(now) {
                self.picture.touch_hosts();
            }
        }
        effects.extend(self.probe(now));
        effects.extend(self.pull(now));
        effects.extend(self.call(now));
        if self.own.stage == Stage::Starting && self.is_prepared(now) {
            effects.extend(self.advance(Any::serve));
        }
        if self.queue.has_new() {
            effects.extend(self.push());
        }
        let ready = self.is_ready(now);
        effects.push(Effect::Ready(ready));
        effects
    }

    /// Whether the load balancer may send callers here.
    fn is_ready(&self, now: Time) -> bool {
        let serving = self.own.stage == Stage::Serving;
        serving && now < self.freshness.until() && !self.is_out(&self.own)
    }

    fn probe(&mut self, now: Time) -> Vec<Effect> {
        let home = self.region(&self.own.domain);
        let config = self.store.values().config.as_ref();
        let is_home =
            |member: &Member| config.is_none_or(|config| config.region(&member.domain) == home);
        let around = Around {
            table: &self.table,
            is_home,
            seeds: &self.options.seeds,
            starting: self.own.stage == Stage::Starting,
            fresh: now < self.freshness.until(),
        };
        let actions = self.prober.tick(now, &around, &mut self.rng);
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
                vec![Effect::Packet(helper, self.make(body, None))]
            }
            Action::Judge(host, version, health) => {
                let Some(worse) = self.table.judge(now, &host, version, health) else {
                    return Vec::new();
                };
                self.picture.touch_hosts();
                let hosts = self.table.len();
                let incarnation = worse.incarnation;
                self.queue.push(Update::Member(worse), hosts);
                let detail = match health {
                    Health::Alive => "answers",
                    Health::Suspect => "does not answer, suspected",
                    Health::Dead => "does not answer, held for dead",
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
        self.make(Body::Ping(sequence), target.as_ref())
    }

    /// Sends updates to some random hosts at once.
    pub(crate) fn push(&mut self) -> Vec<Effect> {
        let home = self.region(&self.own.domain);
        let usable = |m: &&Member| !m.is_over() && m.version > 0;
        let (near, far): (Vec<&Member>, Vec<&Member>) = self
            .table
            .iter()
            .filter(usable)
            .partition(|m| self.region(&m.domain) == home);
        let drawn = near.into_iter().choose_multiple(&mut self.rng, FANOUT);
        let mut targets: Vec<SocketAddr> = drawn.into_iter().map(|m| m.address).collect();
        if self.rng.random_ratio(1, ABROAD) {
            let drawn = far.into_iter().choose(&mut self.rng);
            targets.extend(drawn.map(|m| m.address));
        }
        let effects = targets
            .into_iter()
            .map(|address| Effect::Packet(address, self.make(Body::Push, None)));
        effects.collect()
    }

    /// Makes the calls to the configuration service that are due.
    pub(crate) fn call(&mut self, now: Time) -> Vec<Effect> {
        let census = self.census(now);
        let role = self.role(now, census.watcher);
        let calls = self.reader.tick(now, role, census.hosts);
        calls.into_iter().map(Effect::Call).collect()
    }

    fn role(&self, now: Time, watcher: bool) -> Role {
        let heard = self.heard.unwrap_or(self.started);
        let lonely = heard + LONELY <= now;
        match self.own.stage {
            Stage::Starting => Role::Alone,
            _ if lonely => Role::Alone,
            _ if watcher => Role::Watcher,
            _ => Role::Other,
        }
    }

    /// Whether this starting process should request a peer's full state; records that it did.
    pub(crate) fn asks_at_start(&mut self, now: Time, peer: &id::Host) -> bool {
        self.asked.retain(|_, asked| *asked + PEER_TIME > now);
        let known = self.told.contains(peer) || self.asked.contains_key(peer);
        if known || self.told.len() >= PEERS || self.asked.len() >= PEERS {
            return false;
        }
        self.asked.insert(peer.clone(), now);
        true
    }

    /// Whether this starting process has all the state that it needs before it serves.
    ///
    /// The service may be down or stale, or serve old revisions to this process alone, and any one
    /// peer may be behind as well. Without asking both, a restart would bring an old revision back
    /// here.
    fn is_prepared(&self, now: Time) -> bool {
        let age = now.saturating_sub(self.started);
        let read = self.reader.is_done() || self.reader.failures() > 1 || age >= SERVICE_TIME;
        let complete = self.store.is_complete() && self.fetch.is_idle();
        complete && read && now < self.freshness.until() && self.has_heard_peers(age)
    }

    fn has_heard_peers(&self, age: Duration) -> bool {
        let peers = self.table.iter().filter(|m| m.version > 0 && !m.is_over());
        let peers = peers.count();
        if peers == 0 {
            // The other published hosts may all have ended, or all be starting just now.
            return age >= PEER_TIME || self.table.is_empty();
        }
        let enough = match age >= PATIENCE {
            true => 1,
            false => peers.min(PEERS),
        };
        self.told.len() >= enough
    }
}
