//! Failure detection by probing, as in SWIM.
//!
//! Scenario: hosts die, links lose packets, and the fleet grows. Each process probes one host per
//! period, whatever the size of the fleet; a full mesh of heartbeats would cost 760 times as much.
//! A host that does not answer is probed through others, so that one bad link condemns nobody, and
//! is only suspected at first, so that it can refute the suspicion.

use crate::member::Member;
use crate::member::Table;
use crate::member::Version;
use crate::packet::Sequence;
use crate::view::Health;
use crate::view::Stage;
use lentillift_core::id;
use lentillift_core::time::Time;
use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Parameters of probing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time between two probes of this process.
    pub period: Duration,
    /// Time without an answer after which others are asked to probe; hundreds of round trips in one
    /// region.
    pub timeout: Duration,
    /// Number of hosts that are asked to probe.
    pub helpers: usize,
    /// Time that a suspect has to refute the suspicion, in a fleet of one.
    pub suspicion: Duration,
    /// Additional time per doubling of the fleet, since gossip takes longer to spread.
    pub suspicion_per_doubling: Duration,
    /// One period in this many also probes a host outside the regular round, such as one of another
    /// region.
    pub remote_interval: u64,
    /// One period in this many also probes a host that has ended.
    ///
    /// Both sides of a partition consider the other dead, and nothing else would reconnect them.
    pub dead_interval: u64,
    /// Number of hosts that a starting process probes in one period.
    pub burst: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            timeout: Duration::from_millis(150),
            helpers: 3,
            suspicion: Duration::from_secs(2),
            suspicion_per_doubling: Duration::from_millis(200),
            remote_interval: 8,
            dead_interval: 4,
            burst: 16,
        }
    }
}

/// A ping that has not been answered.
#[derive(Debug)]
struct Pending {
    /// The host and its version; none for an address whose host is not known.
    target: Option<(id::Host, Version)>,
    address: SocketAddr,
    sent: Time,
    /// Whether other hosts were asked to probe the target.
    relayed: bool,
}

/// A ping on behalf of another host.
#[derive(Debug)]
struct Relay {
    origin: SocketAddr,
    sequence: Sequence,
    expires: Time,
}

/// Maximum number of pending relays; requests beyond it are dropped.
const MAX_RELAYS: usize = 1024;

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ping an address.
    Ping(SocketAddr, Sequence),
    /// Ask another host to probe a target.
    Ask {
        /// Address of the host that is asked.
        helper: SocketAddr,
        /// Number of the probe.
        sequence: Sequence,
        /// Host to be probed.
        target: id::Host,
        /// Address of that host.
        address: SocketAddr,
    },
    /// A host failed to answer.
    Judge(id::Host, Version, Health),
}

/// Meaning of a received answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Answers a probe of this process that was sent at this time.
    Own(Time),
    /// Answers a probe on behalf of another process, which should be notified.
    Relayed(SocketAddr, Sequence),
    /// No probe is waiting for this answer any more.
    Late,
}

/// Inputs of a tick.
#[derive(Debug)]
pub struct ProbeContext<'a, F> {
    /// All other hosts.
    pub table: &'a Table,
    /// Whether a host belongs to the regular round of probes: those of this process's region in the
    /// core, those of its failure domain in [`crate::swim`].
    pub is_near: F,
    /// Addresses to probe when no host is known.
    pub seeds: &'a [SocketAddr],
    /// Whether this process is starting and should learn of many hosts soon.
    pub starting: bool,
    /// Whether this process reaches anybody; if not, missing answers say nothing about other hosts.
    pub is_connected: bool,
}

/// Probes, relays and suspicions of this process.
#[derive(Debug)]
pub struct Prober {
    options: Options,
    next: Sequence,
    periods: u64,
    next_period: Time,
    /// Hosts still to be probed in this round, in random order.
    round: Vec<id::Host>,
    pending: BTreeMap<Sequence, Pending>,
    relays: BTreeMap<Sequence, Relay>,
    /// Version of each suspect, and when it is considered dead.
    suspects: BTreeMap<id::Host, (Version, Time)>,
}

impl Prober {
    /// Starts with the first probe due at `now`.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            next: 0,
            periods: 0,
            next_period: now,
            round: Vec::new(),
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Discards pending probes and suspicions, after a pause in which answers could not be
    /// received.
    pub fn reset(&mut self) {
        self.pending.clear();
        self.suspects.clear();
    }

    /// Returns the actions that are due.
    pub fn tick<F, R>(
        &mut self,
        now: Time,
        context: &ProbeContext<'_, F>,
        rng: &mut R,
    ) -> Vec<Action>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        self.relays.retain(|_, relay| relay.expires > now);
        let mut actions = self.expire(now, context, rng);
        actions.extend(self.expire_suspects(now, context));
        if self.next_period <= now {
            self.next_period = now + self.options.period;
            self.periods += 1;
            for (target, address) in self.targets(context, rng) {
                let sequence = self.ping(now, target, address);
                actions.push(Action::Ping(address, sequence));
            }
        }
        actions
    }

    fn ping(
        &mut self,
        now: Time,
        target: Option<(id::Host, Version)>,
        address: SocketAddr,
    ) -> Sequence {
        self.next += 1;
        let pending = Pending {
            target,
            address,
            sent: now,
            relayed: false,
        };
        self.pending.insert(self.next, pending);
        self.next
    }

    /// Asks others to probe hosts that missed the timeout, and suspects those that did not answer
    /// within the period.
    fn expire<F, R>(&mut self, now: Time, context: &ProbeContext<'_, F>, rng: &mut R) -> Vec<Action>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        let mut actions = Vec::new();
        let options = &self.options;
        self.pending.retain(|sequence, pending| {
            let age = now.saturating_sub(pending.sent);
            let Some((host, version)) = &pending.target else {
                return age < options.period;
            };
            if age >= options.period {
                actions.push(Action::Judge(host.clone(), *version, Health::Suspect));
                return false;
            }
            if age >= options.timeout && !pending.relayed {
                pending.relayed = true;
                for helper in helpers(host, options.helpers, context, rng) {
                    actions.push(Action::Ask {
                        helper,
                        sequence: *sequence,
                        target: host.clone(),
                        address: pending.address,
                    });
                }
            }
            true
        });
        actions
    }

    /// Reports suspects as dead that did not refute the suspicion in time.
    fn expire_suspects<F>(&mut self, now: Time, context: &ProbeContext<'_, F>) -> Vec<Action> {
        if !context.is_connected {
            self.suspects.clear();
            return Vec::new();
        }
        let doublings = (context.table.len() + 1).ilog2();
        let grace = self.options.suspicion + self.options.suspicion_per_doubling * doublings;
        let old = std::mem::take(&mut self.suspects);
        let mut actions = Vec::new();
        for member in context.table.suspects() {
            let known = old.get(&member.host);
            let known = known.filter(|(version, _)| *version == member.version);
            let (_, deadline) = known.copied().unwrap_or((0, now + grace));
            if deadline <= now {
                let host = member.host.clone();
                actions.push(Action::Judge(host, member.version, Health::Dead));
            } else {
                let until = (member.version, deadline);
                self.suspects.insert(member.host.clone(), until);
            }
        }
        actions
    }

    /// Hosts and addresses to probe in this period; the host is none for a seed.
    fn targets<F, R>(
        &mut self,
        context: &ProbeContext<'_, F>,
        rng: &mut R,
    ) -> Vec<(Option<(id::Host, Version)>, SocketAddr)>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        let mut targets: Vec<&Member> = Vec::new();
        targets.extend(self.next_in_round(context, rng));
        if self.periods.is_multiple_of(self.options.remote_interval) {
            let remote = context.table.iter();
            let remote = remote.filter(|m| !m.has_ended() && !(context.is_near)(m));
            targets.extend(remote.choose(rng));
        }
        if self.periods.is_multiple_of(self.options.dead_interval) || targets.is_empty() {
            let ended = context.table.iter();
            let ended = ended.filter(|m| m.has_ended() && context.table.may_return(&m.host));
            targets.extend(ended.choose(rng));
        }
        if context.starting {
            let unheard = context.table.iter().filter(|m| m.version == 0);
            targets.extend(unheard.choose_multiple(rng, self.options.burst));
        }
        targets.sort_by(|a, b| a.host.cmp(&b.host));
        targets.dedup_by(|a, b| a.host == b.host);
        let targets = targets.into_iter();
        let mut targets: Vec<_> = targets
            .map(|m| (Some((m.host.clone(), m.version)), m.address))
            .collect();
        if targets.is_empty() || context.starting {
            targets.extend(context.seeds.iter().map(|seed| (None, *seed)));
        }
        targets
    }

    /// The next host of the regular round, in a random order that is drawn again for each round.
    ///
    /// With an independent draw for each period, a host would now and then stay unprobed for many
    /// periods.
    fn next_in_round<'a, F, R>(
        &mut self,
        context: &ProbeContext<'a, F>,
        rng: &mut R,
    ) -> Option<&'a Member>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        let usable = |m: &&Member| !m.has_ended() && (context.is_near)(m);
        let mut drawn = false;
        loop {
            while let Some(host) = self.round.pop() {
                if let Some(member) = context.table.get(&host).filter(usable) {
                    return Some(member);
                }
            }
            if std::mem::replace(&mut drawn, true) {
                return None;
            }
            let near = context.table.iter().filter(usable);
            self.round = near.map(|m| m.host.clone()).collect();
            self.round.shuffle(rng);
        }
    }

    /// Registers a ping on behalf of another host; returns the number of the ping.
    pub fn relay(&mut self, now: Time, origin: SocketAddr, sequence: Sequence) -> Option<Sequence> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        self.next += 1;
        let relay = Relay {
            origin,
            sequence,
            expires: now + self.options.period,
        };
        self.relays.insert(self.next, relay);
        Some(self.next)
    }

    /// Handles the answer of `from` to a ping.
    pub fn ack(&mut self, from: &id::Host, sequence: Sequence) -> Answer {
        if let Some(relay) = self.relays.remove(&sequence) {
            return Answer::Relayed(relay.origin, relay.sequence);
        }
        let Some(pending) = self.pending.get(&sequence) else {
            return Answer::Late;
        };
        // Another process may answer at the address of one that was replaced.
        if pending
            .target
            .as_ref()
            .is_some_and(|(host, _)| host != from)
        {
            return Answer::Late;
        }
        self.complete(sequence)
    }

    /// Handles a helper's report that a ping was answered.
    pub fn complete(&mut self, sequence: Sequence) -> Answer {
        let pending = self.pending.remove(&sequence);
        pending.map_or(Answer::Late, |pending| Answer::Own(pending.sent))
    }
}

/// Draws hosts to ask for a probe of `target`, among those of the regular round.
fn helpers<F, R>(
    target: &id::Host,
    count: usize,
    context: &ProbeContext<'_, F>,
    rng: &mut R,
) -> Vec<SocketAddr>
where
    F: Fn(&Member) -> bool,
    R: Rng,
{
    let usable = context.table.iter().filter(|m| {
        let fit = m.health == Health::Alive && m.stage != Stage::Gone && m.version > 0;
        fit && m.host != *target && (context.is_near)(m)
    });
    let drawn = usable.choose_multiple(rng, count);
    drawn.into_iter().map(|m| m.address).collect()
}
