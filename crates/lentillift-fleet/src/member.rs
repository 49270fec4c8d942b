//! Membership table: the records of all other hosts, and the rules that decide which of two records
//! of one host replaces the other.

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

/// Version of a host's record. Only the host itself raises it.
///
/// It starts at the incarnation, which is higher at each later start.
pub type Version = u64;

/// How long a host that has ended or died is remembered once it is no longer published.
///
/// Longer than any record of it can be in flight, so that a late record does not bring it back.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);

/// Maximum number of hosts remembered besides the published ones.
///
/// Without a limit, a faulty peer that invents hosts would fill the memory of the whole fleet.
const MAX_UNPUBLISHED: usize = 2048;

/// Record of a host, as exchanged between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Address at which its process listens for other processes, by TCP and UDP.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Incarnation of the process on this host.
    pub incarnation: id::Incarnation,
    /// Version of this record; 0 for a host known only from the published list.
    pub version: Version,
    /// Lifecycle stage that the process has announced.
    pub stage: Stage,
    /// Result of probing the host.
    pub health: Health,
}

impl Member {
    /// Whether this record replaces `other`, a record of the same host.
    ///
    /// A higher version, which only the host itself issues, wins over everything else. Within one
    /// version the worse health wins until the host refutes it with a higher version.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.health) > (other.version, other.health)
    }

    /// Whether the process has ended, by its own announcement or because probes failed.
    pub fn has_ended(&self) -> bool {
        self.stage == Stage::Gone || self.health == Health::Dead
    }

    /// Contribution of this record to a table's digest.
    ///
    /// Hosts that have ended contribute 0, because tables forget them at different times.
    pub fn digest(&self) -> u64 {
        if self.version == 0 || self.has_ended() {
            return 0;
        }
        let mut hasher = XxHash64::with_seed(0);
        (&*self.host, self.version, self.health, self.stage).hash(&mut hasher);
        hasher.finish()
    }
}

/// A record and the time of its last change.
#[derive(Debug, Clone)]
struct Record {
    member: Member,
    since: Time,
}

/// Records of all known hosts except this one.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<id::Host, Record>,
    /// Hosts on the platform's published list.
    published: BTreeSet<id::Host>,
    // INVARIANT: The hosts whose record says that they are suspect.
    suspects: BTreeSet<id::Host>,
    // INVARIANT: XOR of `Member::digest` over all records.
    digest: u64,
    // INVARIANT: Increases with every change of a record.
    changes: u64,
}

impl Table {
    /// The record of `host`, if it is known.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.records.get(host).map(|record| &record.member)
    }

    /// The record of `host` if it says that the host is suspect, dead or gone.
    ///
    /// It is sent to that host, which can then refute it.
    pub fn accusation(&self, host: &str) -> Option<Member> {
        let member = self.get(host)?;
        let held = member.health != Health::Alive || member.stage == Stage::Gone;
        held.then(|| member.clone())
    }

    /// All records, in order of host name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Number of known hosts, this one excluded.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the platform's list contains `host`.
    pub fn is_published(&self, host: &str) -> bool {
        self.published.contains(host)
    }

    /// Whether a host that has ended should still be probed occasionally.
    ///
    /// Hosts that are no longer on the platform's list are not expected back. Without a list, any
    /// host that stopped answering may be on the other side of a partition.
    pub fn may_return(&self, host: &str) -> bool {
        match self.published.is_empty() {
            true => self.get(host).is_some_and(|m| m.stage != Stage::Gone),
            false => self.is_published(host),
        }
    }

    /// Order-independent hash of the records of hosts that have not ended; equal for tables with
    /// the same ones.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records of the suspected hosts.
    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects.iter().filter_map(|host| self.get(host))
    }

    /// Counter that increases with every change of a record.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Merges a received record; returns whether it was new or replaced the known one.
    pub fn merge(&mut self, now: Time, received: &Member) -> bool {
        // The end of an unknown host is recorded too: an older record that arrives later would
        // otherwise bring the host back to life.
        let is_newer = match self.get(&received.host) {
            Some(known) => received.supersedes(known),
            None => self.records.len() < self.published.len() + MAX_UNPUBLISHED,
        };
        if is_newer {
            self.put(now, received.clone());
        }
        is_newer
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

    /// Records that `host` failed to answer, if `version` is still the known one.
    ///
    /// Returns the new record, which is to be sent to other hosts.
    pub fn set_health(
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
        let updated = Member {
            health,
            ..member.clone()
        };
        self.merge(now, &updated).then_some(updated)
    }

    /// Applies the published list, which lags behind what peers report.
    ///
    /// It only adds hosts that should be probed. What a host announced about itself, and what
    /// others found by probing it, is kept: an old entry does not bring back a host that has left.
    /// A host that has ended and is published with another address is a new host under an old name,
    /// and is probed at the new address.
    pub fn apply_roster(&mut self, now: Time, me: &str, roster: &Roster) {
        self.published = roster.hosts.keys().cloned().collect();
        for (host, entry) in roster.hosts.iter().filter(|(host, _)| &***host != me) {
            let known = self.get(host);
            let moved = known.is_some_and(|known| known.address != entry.address);
            let replace = match known {
                None => true,
                Some(known) => moved && (known.version == 0 || known.has_ended()),
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

    /// Removes hosts that are no longer published and have either ended or never been heard from.
    ///
    /// Returns whether any was removed.
    pub fn prune(&mut self, now: Time) -> bool {
        let published = &self.published;
        let count = self.records.len();
        self.records.retain(|host, record| {
            let expired = record.member.has_ended() && record.since + TOMBSTONE_TTL <= now;
            let never_heard = record.member.version == 0;
            published.contains(host) || !(expired || never_heard)
        });
        let records = &self.records;
        self.suspects.retain(|host| records.contains_key(host));
        let removed = self.records.len() != count;
        self.changes += u64::from(removed);
        removed
    }
}
