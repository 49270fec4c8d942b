//! Fetches from peers what gossip only announces: the bodies of values, and full state.
//!
//! Scenario: a value of a megabyte changes and hundreds of processes want it at once, or a process
//! starts and wants everything. A process requests a few values at a time, each chunk by chunk, so
//! that the amount that a peer must send at once is bounded. The bodies spread as a tree: each
//! process that has a value announces and serves it.

use crate::member::Member;
use crate::value::Key;
use crate::value::MAX_VALUE_BYTES;
use crate::value::Stamp;
use crate::value::Store;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum bytes of a value in one message.
///
/// At a gigabit per second a chunk delays the messages behind it by half a millisecond.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of values that are fetched concurrently.
const MAX_FETCHES: usize = 8;

/// Maximum number of peers remembered as holders of a value.
const MAX_HOLDERS: usize = 4;

/// Time after which a peer that sends no chunk is given up.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Messages between processes, over their links, about values and hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The receiver should send its full state.
    Ask,
    /// Full state of the sender.
    Told {
        /// Records of the hosts, the sender included.
        members: Vec<Member>,
        /// Keys and stamps of the values in force.
        stamps: Vec<(Key, Stamp)>,
    },
    /// The receiver should send a chunk of a value.
    Pull {
        /// Key of the value.
        key: Key,
        /// Stamp of the value that is wanted.
        stamp: Stamp,
        /// Offset of the chunk, in bytes.
        offset: u32,
    },
    /// A chunk of a value.
    Chunk {
        /// Key of the value.
        key: Key,
        /// Stamp of the value.
        stamp: Stamp,
        /// The configuration service's version number of the value.
        version: u64,
        /// Offset of the chunk, in bytes.
        offset: u32,
        /// Length of the whole value, in bytes.
        total: u32,
        /// Bytes of the chunk.
        bytes: Vec<u8>,
    },
}

/// A message and the peer that it is sent to.
pub type Envelope = (id::Host, Message);

/// State of fetching one value.
#[derive(Debug)]
struct PendingValue {
    stamp: Stamp,
    /// Peers that announced the value; the last one is asked.
    holders: Vec<id::Host>,
    body: Vec<u8>,
    /// When the peer that was asked is given up; none while nobody is asked.
    deadline: Option<Time>,
}

/// A value that was fetched completely.
#[derive(Debug, PartialEq, Eq)]
pub struct FetchedValue {
    /// Key of the value.
    pub key: Key,
    /// Stamp that the sender gave for the value.
    pub stamp: Stamp,
    /// The configuration service's version number of the value.
    pub version: u64,
    /// Bytes of the value.
    pub body: Vec<u8>,
}

/// Values that this process fetches from peers.
#[derive(Debug, Default)]
pub struct Fetch {
    wants: BTreeMap<Key, PendingValue>,
}

impl Fetch {
    /// Whether every wanted value has arrived or was given up.
    pub fn is_idle(&self) -> bool {
        self.wants.is_empty()
    }

    /// Records that `holder` has a value with a higher stamp than the one in force here.
    pub fn want(&mut self, key: &Key, stamp: Stamp, holder: &id::Host) {
        let want = self
            .wants
            .entry(key.clone())
            .or_insert_with(|| PendingValue {
                stamp,
                holders: Vec::new(),
                body: Vec::new(),
                deadline: None,
            });
        if stamp > want.stamp {
            *want = PendingValue {
                stamp,
                holders: Vec::new(),
                body: Vec::new(),
                deadline: None,
            };
        }
        if stamp == want.stamp && want.holders.len() < MAX_HOLDERS && !want.holders.contains(holder)
        {
            // The peer that is asked stays last.
            want.holders.insert(0, holder.clone());
        }
    }

    /// Stops fetching a value if it, or one with a higher stamp, is in force.
    pub fn cancel_up_to(&mut self, key: &str, stamp: Stamp) {
        if self.wants.get(key).is_some_and(|want| want.stamp <= stamp) {
            self.wants.remove(key);
        }
    }

    /// Requests wanted values, and moves on to another peer where one does not send.
    pub fn tick(&mut self, now: Time) -> Vec<Envelope> {
        for want in self.wants.values_mut() {
            if want.deadline.is_some_and(|deadline| deadline <= now) {
                want.holders.pop();
                want.body.clear();
                want.deadline = None;
            }
        }
        // Without any holder left, the next differing digest starts the fetch again.
        self.wants.retain(|_, want| !want.holders.is_empty());
        let asked = self.wants.values().filter(|want| want.deadline.is_some());
        let space = MAX_FETCHES.saturating_sub(asked.count());
        let idle = self.wants.iter_mut().filter(|(_, w)| w.deadline.is_none());
        let envelopes = idle.take(space).filter_map(|(key, want)| {
            want.deadline = Some(now + TIMEOUT);
            pull_message(key, want)
        });
        envelopes.collect()
    }

    /// Handles a chunk; returns the value once it is complete, or the request for the next chunk.
    pub fn chunk(
        &mut self,
        now: Time,
        from: &id::Host,
        chunk: Message,
    ) -> (Option<FetchedValue>, Option<Envelope>) {
        let Message::Chunk {
            key,
            stamp,
            version,
            offset,
            total,
            bytes,
        } = chunk
        else {
            return (None, None);
        };
        let Some(want) = self.wants.get_mut(&key) else {
            return (None, None);
        };
        // The holder may have a value with a higher stamp by now, which is as good if it is sent
        // from its start.
        if offset == 0 && stamp > want.stamp {
            want.stamp = stamp;
            want.body.clear();
        }
        let expected = want.holders.last() == Some(from)
            && want.stamp == stamp
            && want.body.len() == offset as usize
            && total as usize <= MAX_VALUE_BYTES
            && !bytes.is_empty();
        if !expected {
            return (None, None);
        }
        want.body.extend_from_slice(&bytes);
        if want.body.len() < total as usize {
            want.deadline = Some(now + TIMEOUT);
            return (None, pull_message(&key, want));
        }
        let body = std::mem::take(&mut want.body);
        self.wants.remove(&key);
        let fetched = FetchedValue {
            key,
            stamp,
            version,
            body,
        };
        (Some(fetched), None)
    }
}

fn pull_message(key: &Key, want: &PendingValue) -> Option<Envelope> {
    let holder = want.holders.last()?.clone();
    let message = Message::Pull {
        key: key.clone(),
        stamp: want.stamp,
        offset: want.body.len() as u32,
    };
    Some((holder, message))
}

/// The chunk that a peer requested, of the value in force.
///
/// A value that has replaced the requested one is sent from its start.
pub fn serve(store: &Store, key: &Key, stamp: Stamp, offset: u32) -> Option<Message> {
    let value = store.get(key)?;
    if value.stamp < stamp {
        return None;
    }
    let offset = if value.stamp == stamp { offset } else { 0 };
    let rest = value.body.get(offset as usize..)?;
    Some(Message::Chunk {
        key: key.clone(),
        stamp: value.stamp,
        version: value.version,
        offset,
        total: value.body.len() as u32,
        bytes: rest[..rest.len().min(CHUNK_BYTES)].to_vec(),
    })
}
