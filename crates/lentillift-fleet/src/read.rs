//! Schedules this process's reads from the configuration service.
//!
//! Scenario: a fleet grows, starts all at once or is partitioned, in front of a service that
//! accepts 2,000 calls per second from all readers together. A few hosts of each failure domain
//! watch it in turns, and gossip spreads what they read. All other hosts poll it rarely, and less
//! often the larger the fleet, in case the watchers are served an old revision. Hosts that get
//! no answer from any peer poll it once a second.

use crate::rendezvous;
use crate::value;
use crate::value::Key;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The keys that the configuration service holds, with the version of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Index {
    /// Version of the index as a whole; it changes with every key.
    pub version: u64,
    /// Version of each key.
    pub keys: BTreeMap<Key, u64>,
}

/// Parameters of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a host watches before others take over.
    ///
    /// Long enough that a new watcher's read of all keys costs little, short enough that a watcher
    /// that is served an old revision is soon replaced.
    pub slot: Duration,
    /// Concurrent watchers per failure domain; two, because one may be isolated.
    pub watchers: usize,
    /// Longest time that one watch waits for a change.
    ///
    /// Shorter than the time after which a process that reaches nobody considers itself isolated,
    /// so that a pending watch never takes the place of a proof that is due.
    pub wait: Duration,
    /// Poll period of a host that does not watch, in a small fleet.
    pub poll_period: Duration,
    /// Poll period per host of the fleet, used if the product is longer; all hosts together make
    /// ten calls a second.
    pub poll_period_per_host: Duration,
    /// Poll period of a host that is starting or gets no answer from any peer.
    pub isolated_poll_period: Duration,
    /// Minimum time between two calls for the index.
    pub gap: Duration,
    /// Pause after a failed call, so that a failing service is not called continuously.
    pub failure_pause: Duration,
    /// Maximum number of values that are read concurrently.
    pub reads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slot: Duration::from_secs(600),
            watchers: 2,
            wait: Duration::from_secs(1),
            poll_period: Duration::from_secs(30),
            poll_period_per_host: Duration::from_millis(100),
            isolated_poll_period: Duration::from_secs(1),
            gap: Duration::from_millis(100),
            failure_pause: Duration::from_millis(500),
            reads: 4,
        }
    }
}

/// Role of this process in reading the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It is starting, or gets no answer from any peer.
    Alone,
    /// It watches the service.
    Watcher,
    /// Other hosts watch the service.
    Other,
}

/// A call to make to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Request the index as soon as it is newer than `since`, waiting for at most `wait`.
    Index {
        /// Version that is known already.
        since: u64,
        /// Longest time that the service may wait before it answers.
        wait: Duration,
    },
    /// Read the value of a key.
    Value(Key),
}

/// Number of the watch slot at a wall-clock time.
pub fn slot(options: &Options, wall: Duration) -> u64 {
    wall.as_secs() / options.slot.as_secs().max(1)
}

/// Whether `me` watches in slot `slot`, given the `hosts` of its failure domain.
pub fn is_watcher<'a, I>(options: &Options, slot: u64, me: &id::Host, hosts: I) -> bool
where
    I: IntoIterator<Item = &'a id::Host>,
{
    let key = format!("watch/{slot}");
    let mine = rendezvous::weight(&key, me);
    let higher = hosts.into_iter().filter(|host| {
        let other = rendezvous::weight(&key, host);
        *host != me && other > mine
    });
    higher.count() < options.watchers
}

/// What this process has read from the service, and its calls in flight.
#[derive(Debug)]
pub struct Reader {
    options: Options,
    role: Role,
    /// Highest version of the index that was read.
    since: u64,
    /// Version of each key when it was last read, or found to be in force already.
    seen: BTreeMap<Key, u64>,
    /// Keys still to be read, with their versions.
    wanted: BTreeMap<Key, u64>,
    reading: BTreeSet<Key>,
    /// When the call for the index was made, while it is in flight.
    index_called_at: Option<Time>,
    /// When the latest call for the index was answered or failed.
    last_index_at: Option<Time>,
    /// No calls are made before this time.
    paused_until: Time,
    /// Whether all keys that an index listed have been read.
    has_read_all: bool,
    /// Consecutive failed calls for the index.
    failures: u32,
}

impl Reader {
    /// Starts with nothing read.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            role: Role::Alone,
            since: 0,
            seen: BTreeMap::new(),
            wanted: BTreeMap::new(),
            reading: BTreeSet::new(),
            index_called_at: None,
            last_index_at: None,
            paused_until: Time::ZERO,
            has_read_all: false,
            failures: 0,
        }
    }

    /// Whether every key that the service listed has been read at least once.
    pub fn has_read_all_once(&self) -> bool {
        self.has_read_all
    }

    /// Number of consecutive failed calls for the index.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the calls to make now, in a fleet of `hosts`.
    pub fn tick(&mut self, now: Time, role: Role, hosts: usize) -> Vec<Call> {
        if role == Role::Watcher && self.role != role {
            // A new watcher does not rely on versions reported by peers: it reads every key once,
            // which also detects a service whose versions were reset.
            self.seen.clear();
            self.since = 0;
        }
        self.role = role;
        if now < self.paused_until {
            return Vec::new();
        }
        let mut calls = self.reads();
        if self.index_called_at.is_none() && self.is_due(now, hosts) {
            self.index_called_at = Some(now);
            calls.push(match role {
                Role::Watcher => Call::Index {
                    since: self.since,
                    wait: self.options.wait,
                },
                Role::Alone | Role::Other => Call::Index {
                    since: 0,
                    wait: Duration::ZERO,
                },
            });
        }
        calls
    }

    fn is_due(&self, now: Time, hosts: usize) -> bool {
        let Some(last_index_at) = self.last_index_at else {
            return true;
        };
        let poll_period = self.options.poll_period_per_host * hosts as u32;
        let gap = match self.role {
            Role::Watcher => self.options.gap,
            Role::Alone => self.options.isolated_poll_period,
            Role::Other => poll_period.max(self.options.poll_period),
        };
        last_index_at + gap <= now
    }

    fn reads(&mut self) -> Vec<Call> {
        let space = self.options.reads.saturating_sub(self.reading.len());
        let next = self
            .wanted
            .keys()
            .filter(|key| !self.reading.contains(*key));
        let next: Vec<Key> = next.take(space).cloned().collect();
        self.reading.extend(next.iter().cloned());
        next.into_iter().map(Call::Value).collect()
    }

    /// Handles the index, or the failure of the call for it. `held` returns the service's version
    /// of a key's value that is in force here, if a peer reported it.
    ///
    /// Returns when the call was made, if it was answered.
    pub fn index<F>(&mut self, now: Time, index: Option<Index>, held: F) -> Option<Time>
    where
        F: Fn(&Key) -> Option<u64>,
    {
        let index_called_at = self.index_called_at.take();
        self.last_index_at = Some(now);
        let Some(index) = index else {
            self.failures = self.failures.saturating_add(1);
            self.paused_until = now + self.options.failure_pause;
            return None;
        };
        self.failures = 0;
        self.since = self.since.max(index.version);
        self.wanted.retain(|key, _| index.keys.contains_key(key));
        let trusts_peers = self.role != Role::Watcher;
        for (key, version) in index.keys {
            let known = self.seen.get(&key).copied();
            let known = known.max(held(&key).filter(|_| trusts_peers));
            if known.is_none_or(|known| known < version) && value::is_known(&key) {
                self.wanted.insert(key, version);
            }
        }
        self.has_read_all |= self.wanted.is_empty();
        index_called_at
    }

    /// Handles the result of reading a value; returns the value's version.
    ///
    /// A key whose read fails stays wanted and does not keep others from being read.
    pub fn value(&mut self, now: Time, key: &Key, read: bool) -> u64 {
        self.reading.remove(key);
        if !read {
            self.paused_until = now + self.options.failure_pause;
            return 0;
        }
        let version = self.wanted.remove(key).unwrap_or(0);
        let seen = self.seen.entry(key.clone()).or_default();
        *seen = version.max(*seen);
        self.has_read_all |= self.wanted.is_empty();
        version
    }
}
