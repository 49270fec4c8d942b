//! What is known of each host, and which of two accounts of a host holds.

use crate::view::Health;
use crate::view::Stage;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;
use twox_hash::XxHash64;

/// Number by which accounts of one host are told apart; only the host itself raises it.
///
/// It starts at the incarnation, which a later start exceeds.
pub type Version = u64;

/// How long a host that ended or died is remembered once it is no longer published.
///
/// Longer than any account of it may be on its way, so that a late one does not bring it back.
const MEMORY: Duration = Duration::from_secs(120);

/// Hosts that are remembered at most beside those that are published.
///
/// A faulty peer that invents hosts would otherwise fill the memory of the whole fleet.
const MOST: usize = 2048;

/// One account of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host's name.
    pub host: id::Host,
    /// Where its process listens for the others, by TCP and UDP.
    pub address: SocketAddr,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Which account this is; 0 if it is only known from the published list.
    pub version: Version,
    /// How far its process has come.
    pub stage: Stage,
    /// Whether it answers.
    pub health: Health,
}

impl Member {
    /// Whether this account holds against `other` of the same host.
    ///
    /// The host's own later word beats everything; of one version, the worst news holds until the
    /// host contradicts.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.health) > (other.version, other.health)
    }

    /// Whether its process has ended, as it said itself or as others found.
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Gone || self.health == Health::Dead
    }

    /// Contribution to a table's digest.
    ///
    /// Hosts that are over count for nothing, because tables forget them at different times.
    pub fn digest(&self) -> u64 {
        if self.version == 0 || self.is_over() {
            return 0;
        }
        let mut hasher = XxHash64::with_seed(0);
        (&*self.host, self.version, self.health, self.stage).hash(&mut hasher);
        hasher.finish()
    }
}

/// A member and when its account last changed.
#[derive(Debug, Clone)]
struct Record {
    member: Member,
    since: Time,
}

/// All hosts that this process knows of but itself.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<id::Host, Record>,
    /// Hosts that the platform's list names.
    published: BTreeSet<id::Host>,
    // INVARIANT: The hosts whose record is suspect.
    suspects: BTreeSet<id::Host>,
    // INVARIANT: Exclusive or of `Member::digest` over all records.
    digest: u64,
    // INVARIANT: Rises with every change of a record.
    changes: u64,
}

impl Table {
    /// The account of `host`.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.records.get(host).map(|record| &record.member)
    }

    /// What is held against `host`: that it does not answer, or has ended. Told of it, it can contradict.
    pub fn against(&self, host: &str) -> Option<Member> {
        let member = self.get(host)?;
        let held = member.health != Health::Alive || member.stage == Stage::Gone;
        held.then(|| member.clone())
    }

    /// All accounts, in the order of the hosts' names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Hosts that are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the platform's list names `host`.
    pub fn is_published(&self, host: &str) -> bool {
        self.published.contains(host)
    }

    /// Whether a host that is over should be asked now and then whether it is back.
    ///
    /// Hosts that the platform's list no longer names are not expected back; without a list, any
    /// that stopped answering may be on the other side of a partition.
    pub fn may_return(&self, host: &str) -> bool {
        match self.published.is_empty() {
            true => self.get(host).is_some_and(|m| m.stage != Stage::Gone),
            false => self.is_published(host),
        }
    }

    /// Equal for two tables that hold the same accounts of the hosts that are not over.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The hosts that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects.iter().filter_map(|host| self.get(host))
    }

    /// A number that rises with every change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes in an account; says whether it holds and is new.
    pub fn merge(&mut self, now: Time, news: &Member) -> bool {
        // The end of a host that was not known is remembered too: an older account that comes
        // later would bring the host to life.
        let holds = match self.get(&news.host) {
            Some(known) => news.supersedes(known),
            None => self.records.len() < self.published.len() + MOST,
        };
        if holds {
            self.put(now, news.clone());
        }
        holds
    }

    fn put(&mut self, now: Time, member: Member) {
        self.changes += 1;
        self.digest ^= member.digest();
        let host = member.host.clone();
        match member.health {
            Health::Suspect => self.suspects.insert(host.clone()),
            Health::Alive | Health::Dead => self.suspects.remove(&host),
        };
        let record = Record { member, since: now };
        if let Some(old) = self.records.insert(host, record) {
            self.digest ^= old.member.digest();
        }
    }

    /// Notes that `host` failed to answer, if `version` is still the one that is known.
    ///
    /// Returns the new account, to be told to others.
    pub fn judge(
        &mut self,
        now: Time,
        host: &str,
        version: Version,
        health: Health,
    ) -> Option<Member> {
        let member = self.get(host)?;
        if member.version != version {
            return None;
        }
        let worse = Member {
            health,
            ..member.clone()
        };
        self.merge(now, &worse).then_some(worse)
    }

    /// Takes in the published list, which lags behind what peers tell.
    ///
    /// It only makes hosts known that should be asked. What a host said of itself, and what others
    /// found out about it, stays: an old entry brings no host back that has left. A host that is
    /// over and is published with another address is a new one under an old name, to be asked there.
    pub fn publish(&mut self, now: Time, me: &str, roster: &Roster) {
        self.published = roster.hosts.keys().cloned().collect();
        for (host, entry) in roster.hosts.iter().filter(|(host, _)| &***host != me) {
            let known = self.get(host);
            let moved = known.is_some_and(|known| known.address != entry.address);
            let replace = match known {
                None => true,
                Some(known) => moved && (known.version == 0 || known.is_over()),
            };
            if replace {
                let version = known.map_or(0, |known| known.version);
                let member = Member {
                    host: host.clone(),
                    address: entry.address,
                    domain: entry.domain.clone(),
                    incarnation: 0,
                    version,
                    stage: known.map_or(Stage::Starting, |known| known.stage),
                    health: known.map_or(Health::Alive, |known| known.health),
                };
                self.put(now, member);
            }
        }
    }

    /// Forgets hosts that are over, or were never heard of, and are no longer published.
    ///
    /// Returns whether any was forgotten.
    pub fn forget(&mut self, now: Time) -> bool {
        let published = &self.published;
        let count = self.records.len();
        self.records.retain(|host, record| {
            let past = record.member.is_over() && record.since + MEMORY <= now;
            let rumour = record.member.version == 0;
            published.contains(host) || !(past || rumour)
        });
        let records = &self.records;
        self.suspects.retain(|host| records.contains_key(host));
        let forgot = self.records.len() != count;
        self.changes += u64::from(forgot);
        forgot
    }
}
