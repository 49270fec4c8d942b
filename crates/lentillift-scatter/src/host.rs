//! Chooses among the other hosts that can be asked for the shards of their failure domain.
//!
//! When one host is frozen, partitioned or busy, every search that is sent through it is late. A
//! host that was late once is avoided for a while, and its failure domain is reached through
//! another; without this, each search would have to detect the slow host by itself.

use crate::quantile;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::rendezvous;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a late host is avoided: the duration of a typical freeze or restart.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// Reply delay that is assumed before any host has answered: two round trips within a region, and
/// as much again for a busy host.
const INITIAL_REPLY_DELAY: Duration = Duration::from_millis(8);

/// Quantile of the reply delays that counts as on time.
///
/// A search has three to seven replies from hosts, so one of them may be retried needlessly, and a
/// stopped host is detected within a few milliseconds of the usual delay.
const REPLY_DELAY_QUANTILE: f64 = 0.9;

/// One of the parts into which the shards of a search are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket {
    /// Number of the part, from 0.
    pub number: usize,
    /// Total number of parts.
    pub of: usize,
}

impl Bucket {
    /// Returns the bucket of a service, which is the same on all hosts.
    pub fn of(service: &str, of: usize) -> Self {
        let number = (rendezvous::weight("bucket", service) % of.max(1) as u64) as usize;
        Self { number, of }
    }
}

/// State of another host.
#[derive(Debug, Default)]
struct Host {
    domain: id::Domain,
    pending: u32,
    last_used: Time,
    avoid_until: Time,
}

/// The other hosts of the fleet.
#[derive(Debug)]
pub struct Hosts {
    known: BTreeMap<id::Host, Host>,
    /// Estimated delay of a reply: the round trip to a host plus its processing time.
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
    /// Replaces the set of live hosts, with their failure domains; keeps the state of known ones.
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

    /// Returns the host to ask in `domain`: the one with the fewest sends in flight, then the least
    /// recently used.
    pub fn choose(&self, domain: &str, now: Time) -> Option<id::Host> {
        let candidates = self
            .known
            .iter()
            .filter(|(_, host)| *host.domain == *domain && host.avoid_until <= now);
        let best = candidates.min_by_key(|(_, host)| (host.pending, host.last_used));
        best.map(|(name, _)| name.clone())
    }

    /// Returns the host to ask in `domain` for the shards of a bucket; none if this host, `me`,
    /// should ask for them itself.
    ///
    /// All hosts of a failure domain rank the hosts of a bucket alike, so each backend server is
    /// asked by only one of them. That needs fewer connections and reveals its pauses sooner.
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

    /// Returns when a host was last asked.
    pub fn last_used(&self, name: &str) -> Time {
        self.known
            .get(name)
            .map_or(Time::ZERO, |host| host.last_used)
    }

    /// Records a send.
    pub fn sent(&mut self, name: &str, now: Time) {
        if let Some(host) = self.known.get_mut(name) {
            host.pending += 1;
            host.last_used = now;
        }
    }

    /// Records that a send ended; a host that did not answer is avoided for a while.
    pub fn ended(&mut self, name: &str, now: Time, answered: bool) {
        if let Some(host) = self.known.get_mut(name) {
            host.pending = host.pending.saturating_sub(1);
        }
        if !answered {
            self.avoid(name, now);
        }
    }

    /// Adds a reply that came `late` after the time at which it was due to be sent.
    pub fn note_reply_delay(&mut self, late: Duration) {
        self.reply_delay = quantile::step(self.reply_delay, late, REPLY_DELAY_QUANTILE);
    }

    /// Returns the delay after which a reply that was due to be sent counts as late.
    pub fn reply_delay(&self) -> Duration {
        self.reply_delay
    }

    /// Avoids a host for a while.
    pub fn avoid(&mut self, name: &str, now: Time) {
        if let Some(host) = self.known.get_mut(name) {
            host.avoid_until = now + AVOID_FOR;
        }
    }
}
