//! Fetching from peers what news only names: values, and all that a peer knows.
//!
//! Load pattern: a value of a megabyte changes and hundreds of processes want it at once, or a
//! process starts and wants everything. A process asks for one chunk at a time of a few values, so
//! that what a peer must send at once is bounded, and the bodies spread as a tree: whoever has a
//! value tells of it and serves it.

use crate::member::Member;
use crate::value::Key;
use crate::value::LIMIT;
use crate::value::Stamp;
use crate::value::Store;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of a value in one message.
///
/// At a gigabit it holds up the messages behind it for half a millisecond.
pub const CHUNK: usize = 64 * 1024;

/// Values that are fetched at a time.
const MOST: usize = 8;

/// Peers that are remembered as holders of a value.
const HOLDERS: usize = 4;

/// Time after which a peer that sends no chunk is given up.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What processes tell each other over their links about values and hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The receiver should tell all it knows.
    Ask,
    /// All that the sender knows.
    Told {
        /// The hosts, the sender included.
        members: Vec<Member>,
        /// The keys of the values in force, with their marks.
        stamps: Vec<(Key, Stamp)>,
    },
    /// The receiver should send a chunk of a value.
    Pull {
        /// The key.
        key: Key,
        /// The mark of the value that is wanted.
        stamp: Stamp,
        /// Where the chunk starts.
        offset: u32,
    },
    /// A chunk of a value.
    Chunk {
        /// The key.
        key: Key,
        /// The mark of the value.
        stamp: Stamp,
        /// The configuration service's version number of it.
        version: u64,
        /// Where the chunk starts.
        offset: u32,
        /// Bytes of the whole value.
        total: u32,
        /// The chunk.
        bytes: Vec<u8>,
    },
}

/// A message to a peer.
pub type Letter = (id::Host, Message);

/// A value that is wanted.
#[derive(Debug)]
struct Want {
    mark: Stamp,
    /// Peers that said they hold it; the last one is asked.
    holders: Vec<id::Host>,
    body: Vec<u8>,
    /// When the peer that was asked is given up; nobody was asked if there is none.
    deadline: Option<Time>,
}

/// A value that arrived as a whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its key.
    pub key: Key,
    /// The mark its sender gave it.
    pub mark: Stamp,
    /// The configuration service's version number of it.
    pub version: u64,
    /// The value.
    pub body: Vec<u8>,
}

/// The values that this process fetches from peers.
#[derive(Debug, Default)]
pub struct Fetch {
    wants: BTreeMap<Key, Want>,
}

impl Fetch {
    /// Whether everything that was wanted has arrived or was given up.
    pub fn is_idle(&self) -> bool {
        self.wants.is_empty()
    }

    /// Notes that `holder` holds a value that is higher than the one in force here.
    pub fn want(&mut self, key: &Key, mark: Stamp, holder: &id::Host) {
        let want = self.wants.entry(key.clone()).or_insert_with(|| Want {
            mark,
            holders: Vec::new(),
            body: Vec::new(),
            deadline: None,
        });
        if mark > want.mark {
            *want = Want {
                mark,
                holders: Vec::new(),
                body: Vec::new(),
                deadline: None,
            };
        }
        if mark == want.mark && want.holders.len() < HOLDERS && !want.holders.contains(holder) {
            // The one that is asked stays last.
            want.holders.insert(0, holder.clone());
        }
    }

    /// Drops what is no longer wanted because it, or a higher one, is in force.
    pub fn settle(&mut self, key: &str, mark: Stamp) {
        if self.wants.get(key).is_some_and(|want| want.mark <= mark) {
            self.wants.remove(key);
        }
    }

    /// Asks for what is wanted, and asks others where a peer does not send.
    pub fn tick(&mut self, now: Time) -> Vec<Letter> {
        for want in self.wants.values_mut() {
            if want.deadline.is_some_and(|deadline| deadline <= now) {
                want.holders.pop();
                want.body.clear();
                want.deadline = None;
            }
        }
        // Without a holder left, the next digest that differs starts anew.
        self.wants.retain(|_, want| !want.holders.is_empty());
        let asked = self.wants.values().filter(|want| want.deadline.is_some());
        let room = MOST.saturating_sub(asked.count());
        let idle = self.wants.iter_mut().filter(|(_, w)| w.deadline.is_none());
        let letters = idle.take(room).filter_map(|(key, want)| {
            want.deadline = Some(now + TIMEOUT);
            pull(key, want)
        });
        letters.collect()
    }

    /// Takes in a chunk; returns the value once it is whole.
    pub fn chunk(
        &mut self,
        now: Time,
        from: &id::Host,
        chunk: Message,
    ) -> (Option<Arrival>, Option<Letter>) {
        let Message::Chunk {
            key,
            stamp: mark,
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
        // The holder may have a higher one by now, which is as good from its start on.
        if offset == 0 && mark > want.mark {
            want.mark = mark;
            want.body.clear();
        }
        let expected = want.holders.last() == Some(from)
            && want.mark == mark
            && want.body.len() == offset as usize
            && total as usize <= LIMIT
            && !bytes.is_empty();
        if !expected {
            return (None, None);
        }
        want.body.extend_from_slice(&bytes);
        if want.body.len() < total as usize {
            want.deadline = Some(now + TIMEOUT);
            return (None, pull(&key, want));
        }
        let body = std::mem::take(&mut want.body);
        self.wants.remove(&key);
        let arrival = Arrival {
            key,
            mark,
            version,
            body,
        };
        (Some(arrival), None)
    }
}

fn pull(key: &Key, want: &Want) -> Option<Letter> {
    let holder = want.holders.last()?.clone();
    let message = Message::Pull {
        key: key.clone(),
        stamp: want.mark,
        offset: want.body.len() as u32,
    };
    Some((holder, message))
}

/// The chunk of the value in force that a peer asked for.
///
/// A value that replaced the one asked for is sent from its start.
pub fn serve(store: &Store, key: &Key, mark: Stamp, offset: u32) -> Option<Message> {
    let value = store.get(key)?;
    if value.mark < mark {
        return None;
    }
    let offset = if value.mark == mark { offset } else { 0 };
    let rest = value.body.get(offset as usize..)?;
    Some(Message::Chunk {
        key: key.clone(),
        stamp: value.mark,
        version: value.version,
        offset,
        total: value.body.len() as u32,
        bytes: rest[..rest.len().min(CHUNK)].to_vec(),
    })
}
