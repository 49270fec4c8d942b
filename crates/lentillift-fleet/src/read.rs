//! When this process reads the configuration service, and what.
//!
//! Load pattern: a fleet that grows, starts at once, or is cut into pieces, before a service that
//! bears 2,000 calls a second from all readers together. A few hosts of each failure domain watch it
//! in turns, and peers carry on what they read. Everybody else asks it seldom, and less often the
//! larger the fleet, against watchers that are served an old revision; and those that hear no peer
//! ask once a second.

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
    /// Version of the whole; it changes with every key.
    pub version: u64,
    /// Version of each key.
    pub keys: BTreeMap<Key, u64>,
}

/// Figures of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a host watches before others take turns.
    ///
    /// Long enough that a new watcher's reading of all keys costs little, short enough that one
    /// that is served an old revision does not stay for long.
    pub slot: Duration,
    /// Hosts of one failure domain that watch at a time; two, since one may be cut off.
    pub watchers: usize,
    /// How long one watch waits for a change.
    ///
    /// Short of the time after which a process that reaches nobody holds itself for cut off, so that
    /// a watch under way never stands in for a proof that is due.
    pub wait: Duration,
    /// Time between two calls of a host that does not watch, in a small fleet.
    pub slow: Duration,
    /// The same for each host of the fleet, if that is more; ten calls a second from all together.
    pub slow_per_host: Duration,
    /// Time between two calls of a host that is starting or hears no peer.
    pub alone: Duration,
    /// Least time between two calls for the index.
    pub gap: Duration,
    /// Pause after a failed call, so that a service in trouble is not called without end.
    pub pause: Duration,
    /// Values that are read at a time.
    pub reads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slot: Duration::from_secs(600),
            watchers: 2,
            wait: Duration::from_secs(1),
            slow: Duration::from_secs(30),
            slow_per_host: Duration::from_millis(100),
            alone: Duration::from_secs(1),
            gap: Duration::from_millis(100),
            pause: Duration::from_millis(500),
            reads: 4,
        }
    }
}

/// The part this process takes in reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It is starting, or hears no peer.
    Alone,
    /// It is its turn to watch.
    Watcher,
    /// Others watch.
    Other,
}

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Ask for the index once it is newer than `since`, at most for `wait`.
    Index {
        /// The version that is known.
        since: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// Read the value of a key.
    Value(Key),
}

/// Number of the turn of watching at a wall-clock time.
pub fn slot(options: &Options, wall: Duration) -> u64 {
    wall.as_secs() / options.slot.as_secs().max(1)
}

/// Whether it is the turn of `me` to watch, in turn `slot`, among the `hosts` of its failure domain.
pub fn is_watcher<'a, I>(options: &Options, slot: u64, me: &id::Host, hosts: I) -> bool
where
    I: IntoIterator<Item = &'a id::Host>,
{
    let key = format!("watch/{slot}");
    let mine = rendezvous::weight(&key, me);
    let before = hosts.into_iter().filter(|host| {
        let other = rendezvous::weight(&key, host);
        *host != me && other > mine
    });
    before.count() < options.watchers
}

/// What this process has read from the service, and what is under way.
#[derive(Debug)]
pub struct Reader {
    options: Options,
    role: Role,
    /// Highest version of the index that was read.
    since: u64,
    /// Version of each key when it was last read, or found to be held already.
    seen: BTreeMap<Key, u64>,
    /// Keys still to be read, with their versions.
    wanted: BTreeMap<Key, u64>,
    reading: BTreeSet<Key>,
    /// When the call for the index was made, while it is under way.
    asked: Option<Time>,
    /// When the latest call for the index was answered or failed.
    last: Option<Time>,
    /// Nothing is called before this time.
    paused: Time,
    /// Whether all that an index named has been read.
    done: bool,
    /// Calls for the index that failed in a row.
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
            asked: None,
            last: None,
            paused: Time::ZERO,
            done: false,
            failures: 0,
        }
    }

    /// Whether everything the service named was read at least once.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Calls that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Says which calls to make now, in a fleet of `hosts`.
    pub fn tick(&mut self, now: Time, role: Role, hosts: usize) -> Vec<Call> {
        if role == Role::Watcher && self.role != role {
            // What peers say of versions is not taken for granted by a watcher: it reads everything
            // once, which also finds a service whose versions were set back.
            self.seen.clear();
            self.since = 0;
        }
        self.role = role;
        if now < self.paused {
            return Vec::new();
        }
        let mut calls = self.reads();
        if self.asked.is_none() && self.is_due(now, hosts) {
            self.asked = Some(now);
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
        let Some(last) = self.last else {
            return true;
        };
        let slow = self.options.slow_per_host * hosts as u32;
        let gap = match self.role {
            Role::Watcher => self.options.gap,
            Role::Alone => self.options.alone,
            Role::Other => slow.max(self.options.slow),
        };
        last + gap <= now
    }

    fn reads(&mut self) -> Vec<Call> {
        let room = self.options.reads.saturating_sub(self.reading.len());
        let next = self
            .wanted
            .keys()
            .filter(|key| !self.reading.contains(*key));
        let next: Vec<Key> = next.take(room).cloned().collect();
        self.reading.extend(next.iter().cloned());
        next.into_iter().map(Call::Value).collect()
    }

    /// Takes in the index, or that the call for it failed; `held` gives the service's version of a
    /// key's value that is in force here, if a peer told it.
    ///
    /// Returns when the call was made, if it was answered.
    pub fn index<F>(&mut self, now: Time, index: Option<Index>, held: F) -> Option<Time>
    where
        F: Fn(&Key) -> Option<u64>,
    {
        let asked = self.asked.take();
        self.last = Some(now);
        let Some(index) = index else {
            self.failures = self.failures.saturating_add(1);
            self.paused = now + self.options.pause;
            return None;
        };
        self.failures = 0;
        self.since = self.since.max(index.version);
        self.wanted.retain(|key, _| index.keys.contains_key(key));
        let trust = self.role != Role::Watcher;
        for (key, version) in index.keys {
            let known = self.seen.get(&key).copied();
            let known = known.max(held(&key).filter(|_| trust));
            if known.is_none_or(|known| known < version) && value::is_known(&key) {
                self.wanted.insert(key, version);
            }
        }
        self.done |= self.wanted.is_empty();
        asked
    }

    /// Takes in that a value was read, or that the call for it failed; returns its version.
    ///
    /// A key that fails stays wanted and keeps no other from being read.
    pub fn value(&mut self, now: Time, key: &Key, read: bool) -> u64 {
        self.reading.remove(key);
        if !read {
            self.paused = now + self.options.pause;
            return 0;
        }
        let version = self.wanted.remove(key).unwrap_or(0);
        let seen = self.seen.entry(key.clone()).or_default();
        *seen = version.max(*seen);
        self.done |= self.wanted.is_empty();
        version
    }
}
