//! Other hosts that can be asked for the shards of their failure domain.
//!
//! Pattern: one host is frozen, cut off or busy, and every search that is sent through it is late.
//! A host that was late once is left alone for a while, and its failure domain is asked through
//! another; without this module each search would have to find out by itself.

use crate::quantile;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::rendezvous;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a host that was late is left alone: as long as a freeze or a restart lasts.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// Time that the way to another host and back takes, with its work, before any has answered: two round
/// trips within a region, and as much again for a host that is busy.
const INITIAL_REPLY_DELAY: Duration = Duration::from_millis(8);

/// Part of the answers that come within the time that is allowed for the way.
///
/// A search has three to seven answers, so one of them may be asked for again in vain, and a
/// host that stands still is noticed within a few milliseconds of the usual time.
const REPLY_DELAY_QUANTILE: f64 = 0.9;

/// One of the parts into which the shards of a search are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket {
    /// Its number, from 0.
    pub number: usize,
    /// How many there are.
    pub of: usize,
}

impl Bucket {
    /// The bucket of a service, the same on all hosts.
    pub fn of(service: &str, of: usize) -> Self {
        let number = (rendezvous::weight("bucket", service) % of.max(1) as u64) as usize;
        Self { number, of }
    }
}

/// Another host.
#[derive(Debug, Default)]
struct Host {
    domain: id::Domain,
    pending: u32,
    last_used: Time,
    avoid_until: Time,
}

/// The other hosts.
#[derive(Debug)]
pub struct Hosts {
    known: BTreeMap<id::Host, Host>,
    /// Time that the way to a host and back takes, with its work.
    reply_delay: Duration,
}

impl Default for Hosts {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            reply_delay: INITIAL_REPLY_DELAY,
        }
    }
}

impl Hosts {
    /// Takes in which hosts are alive, and their failure domains.
    pub fn update<I>(&mut self, alive: I)
    where
        I: IntoIterator<Item = (id::Host, id::Domain)>,
    {
        let mut old = std::mem::take(&mut self.known);
        for (name, domain) in alive {
            let host = old.remove(&name).unwrap_or_default();
            self.known.insert(name, Host { domain, ..host });
        }
    }

    /// The host to ask in `domain`: the least busy one, and of these the one used least recently.
    pub fn choose(&self, domain: &str, now: Time) -> Option<id::Host> {
        let candidates = self
            .known
            .iter()
            .filter(|(_, host)| *host.domain == *domain && host.avoid_until <= now);
        let best = candidates.min_by_key(|(_, host)| (host.pending, host.last_used));
        best.map(|(name, _)| name.clone())
    }

    /// The host to ask in `domain` for the shards of one of `buckets` parts; none if `me` should do
    /// it itself.
    ///
    /// All hosts of a failure domain rank the hosts of a bucket alike, so each backend server is asked
    /// by one of them: that needs fewer connections, and shows its pauses sooner.
    pub fn owner(&self, domain: &str, me: &str, bucket: Bucket, now: Time) -> Option<id::Host> {
        let key = format!("{}/{}", bucket.number, bucket.of);
        let candidates = self
            .known
            .iter()
            .filter(|(_, host)| *host.domain == *domain);
        let candidates = candidates.filter(|(_, host)| host.avoid_until <= now);
        let hosts = candidates
            .map(|(name, _)| &**name)
            .chain(std::iter::once(me));
        let owner = hosts.max_by_key(|name| rendezvous::weight(&key, name))?;
        (owner != me).then(|| owner.into())
    }

    /// When a host was last asked.
    pub fn last_used(&self, name: &str) -> Time {
        self.known
            .get(name)
            .map_or(Time::ZERO, |host| host.last_used)
    }

    /// Notes a send.
    pub fn sent(&mut self, name: &str, now: Time) {
        if let Some(host) = self.known.get_mut(name) {
            host.pending += 1;
            host.last_used = now;
        }
    }

    /// Notes that a send ended, with an answer or without.
    pub fn ended(&mut self, name: &str, now: Time, answered: bool) {
        if let Some(host) = self.known.get_mut(name) {
            host.pending = host.pending.saturating_sub(1);
        }
        if !answered {
            self.avoid(name, now);
        }
    }

    /// Notes an answer that came `late` after the moment at which it was due to be sent.
    pub fn note_reply_delay(&mut self, late: Duration) {
        self.reply_delay = quantile::step(self.reply_delay, late, REPLY_DELAY_QUANTILE);
    }

    /// Time after which an answer that was due to be sent is missed.
    pub fn reply_delay(&self) -> Duration {
        self.reply_delay
    }

    /// Leaves a host alone for a while.
    pub fn avoid(&mut self, name: &str, now: Time) {
        if let Some(host) = self.known.get_mut(name) {
            host.avoid_until = now + AVOID_FOR;
        }
    }
}
