//! Finding out which hosts answer, in the manner of SWIM.
//!
//! Load pattern: hosts die, links lose packets, and the fleet grows. Each process asks one host per
//! period, whatever the size of the fleet; a full mesh of heartbeats would cost 760 times as much. A
//! host that does not answer is asked through others, so that one bad link condemns nobody, and is
//! only suspected at first, so that it can contradict.

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

/// Figures of probing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time between two probes of this process.
    pub period: Duration,
    /// Time after which others are asked to probe; hundreds of round trips in one region.
    pub timeout: Duration,
    /// Others that are asked to probe.
    pub helpers: usize,
    /// Time that a suspect has to contradict, in a fleet of one.
    pub suspicion: Duration,
    /// What each doubling of the fleet adds to it, since news takes longer to come round.
    pub suspicion_per_doubling: Duration,
    /// One period in how many also probes a host of another region.
    pub abroad: u64,
    /// One period in how many also probes a host that is held to be over.
    ///
    /// Both sides of a partition hold the other for dead, and nobody else would bring them together.
    pub lost: u64,
    /// Hosts that a starting process probes in one period.
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
            abroad: 8,
            lost: 4,
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
    /// Whether others were asked to probe.
    asked: bool,
}

/// A ping on behalf of another host.
#[derive(Debug)]
struct Relay {
    origin: SocketAddr,
    sequence: Sequence,
    expires: Time,
}

/// Relays that are remembered at most; what comes beyond is not relayed.
const MOST_RELAYS: usize = 1024;

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ping an address.
    Ping(SocketAddr, Sequence),
    /// Ask for a probe.
    Ask {
        /// Whom to ask.
        helper: SocketAddr,
        /// The number of the probe.
        sequence: Sequence,
        /// The host to be probed.
        target: id::Host,
        /// Where it is.
        address: SocketAddr,
    },
    /// A host failed to answer.
    Judge(id::Host, Version, Health),
}

/// What an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// A question of this process's own, sent at this time, is answered.
    Own(Time),
    /// A question on behalf of another process is answered; it should be told.
    Relayed(SocketAddr, Sequence),
    /// Nobody waits for it any more.
    Late,
}

/// The surroundings of a tick.
#[derive(Debug)]
pub struct Around<'a, F> {
    /// All other hosts.
    pub table: &'a Table,
    /// Whether a host is in this process's region.
    pub is_home: F,
    /// Addresses to ask when no host is known.
    pub seeds: &'a [SocketAddr],
    /// Whether this process is starting and wants to hear of many hosts soon.
    pub starting: bool,
    /// Whether this process reaches anybody; if not, its silence tells nothing of others.
    pub fresh: bool,
}

/// The probes of this process.
#[derive(Debug)]
pub struct Prober {
    options: Options,
    next: Sequence,
    periods: u64,
    due: Time,
    /// Hosts still to be probed in this round, in random order.
    round: Vec<id::Host>,
    pending: BTreeMap<Sequence, Pending>,
    relays: BTreeMap<Sequence, Relay>,
    /// When each suspect is held for dead.
    suspects: BTreeMap<id::Host, (Version, Time)>,
}

impl Prober {
    /// Starts with the first probe due at `now`.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            next: 0,
            periods: 0,
            due: now,
            round: Vec::new(),
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Forgets what it waits for, after a pause in which answers could not be heard.
    pub fn forget(&mut self) {
        self.pending.clear();
        self.suspects.clear();
    }

    /// Says what to do now.
    pub fn tick<F, R>(&mut self, now: Time, around: &Around<'_, F>, rng: &mut R) -> Vec<Action>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        self.relays.retain(|_, relay| relay.expires > now);
        let mut actions = self.expire(now, around, rng);
        actions.extend(self.condemn(now, around));
        if self.due <= now {
            self.due = now + self.options.period;
            self.periods += 1;
            for (target, address) in self.targets(around, rng) {
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
            asked: false,
        };
        self.pending.insert(self.next, pending);
        self.next
    }

    /// Asks others about hosts that did not answer at once, and suspects those that did not at all.
    fn expire<F, R>(&mut self, now: Time, around: &Around<'_, F>, rng: &mut R) -> Vec<Action>
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
            if age >= options.timeout && !pending.asked {
                pending.asked = true;
                for helper in helpers(host, options.helpers, around, rng) {
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

    /// Holds suspects for dead that had time enough to contradict.
    fn condemn<F>(&mut self, now: Time, around: &Around<'_, F>) -> Vec<Action> {
        if !around.fresh {
            self.suspects.clear();
            return Vec::new();
        }
        let doublings = (around.table.len() + 1).ilog2();
        let patience = self.options.suspicion + self.options.suspicion_per_doubling * doublings;
        let old = std::mem::take(&mut self.suspects);
        let mut actions = Vec::new();
        for member in around.table.suspects() {
            let known = old.get(&member.host);
            let known = known.filter(|(version, _)| *version == member.version);
            let (_, deadline) = known.copied().unwrap_or((0, now + patience));
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

    /// Whom to probe in this period.
    fn targets<F, R>(
        &mut self,
        around: &Around<'_, F>,
        rng: &mut R,
    ) -> Vec<(Option<(id::Host, Version)>, SocketAddr)>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        let mut targets: Vec<&Member> = Vec::new();
        targets.extend(self.next_in_round(around, rng));
        if self.periods.is_multiple_of(self.options.abroad) {
            let abroad = around.table.iter();
            let abroad = abroad.filter(|m| !m.is_over() && !(around.is_home)(m));
            targets.extend(abroad.choose(rng));
        }
        if self.periods.is_multiple_of(self.options.lost) || targets.is_empty() {
            let lost = around.table.iter();
            let lost = lost.filter(|m| m.is_over() && around.table.may_return(&m.host));
            targets.extend(lost.choose(rng));
        }
        if around.starting {
            let unheard = around.table.iter().filter(|m| m.version == 0);
            targets.extend(unheard.choose_multiple(rng, self.options.burst));
        }
        targets.sort_by(|a, b| a.host.cmp(&b.host));
        targets.dedup_by(|a, b| a.host == b.host);
        let targets = targets.into_iter();
        let mut targets: Vec<_> = targets
            .map(|m| (Some((m.host.clone(), m.version)), m.address))
            .collect();
        if targets.is_empty() || around.starting {
            targets.extend(around.seeds.iter().map(|seed| (None, *seed)));
        }
        targets
    }

    /// The next host of the own region in a random order that is drawn anew for each round.
    ///
    /// With a draw for each period alone, a host would now and then go unasked for many periods.
    fn next_in_round<'a, F, R>(&mut self, around: &Around<'a, F>, rng: &mut R) -> Option<&'a Member>
    where
        F: Fn(&Member) -> bool,
        R: Rng,
    {
        let usable = |m: &&Member| !m.is_over() && (around.is_home)(m);
        let mut drawn = false;
        loop {
            while let Some(host) = self.round.pop() {
                if let Some(member) = around.table.get(&host).filter(usable) {
                    return Some(member);
                }
            }
            if std::mem::replace(&mut drawn, true) {
                return None;
            }
            let home = around.table.iter().filter(usable);
            self.round = home.map(|m| m.host.clone()).collect();
            self.round.shuffle(rng);
        }
    }

    /// Pings a host on behalf of another; returns the number of the ping.
    pub fn relay(&mut self, now: Time, origin: SocketAddr, sequence: Sequence) -> Option<Sequence> {
        if self.relays.len() >= MOST_RELAYS {
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

    /// Takes in the answer of `from` to a ping.
    pub fn ack(&mut self, from: &id::Host, sequence: Sequence) -> Answer {
        if let Some(relay) = self.relays.remove(&sequence) {
            return Answer::Relayed(relay.origin, relay.sequence);
        }
        let Some(pending) = self.pending.get(&sequence) else {
            return Answer::Late;
        };
        // Another process may answer under the address of one that was replaced.
        if pending
            .target
            .as_ref()
            .is_some_and(|(host, _)| host != from)
        {
            return Answer::Late;
        }
        self.settle(sequence)
    }

    /// Takes in that a helper had an answer to a ping.
    pub fn settle(&mut self, sequence: Sequence) -> Answer {
        let pending = self.pending.remove(&sequence);
        pending.map_or(Answer::Late, |pending| Answer::Own(pending.sent))
    }
}

/// Draws hosts that may be asked to probe `target`, from this process's region.
fn helpers<F, R>(
    target: &id::Host,
    count: usize,
    around: &Around<'_, F>,
    rng: &mut R,
) -> Vec<SocketAddr>
where
    F: Fn(&Member) -> bool,
    R: Rng,
{
    let usable = around.table.iter().filter(|m| {
        let fit = m.health == Health::Alive && m.stage != Stage::Gone && m.version > 0;
        fit && m.host != *target && (around.is_home)(m)
    });
    let drawn = usable.choose_multiple(rng, count);
    drawn.into_iter().map(|m| m.address).collect()
}
