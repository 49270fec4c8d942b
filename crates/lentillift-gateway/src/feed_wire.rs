//! Wire format of the feed: freshness queries of followers and messages to them.

use crate::frame;
use crate::pack::Packed;
use bincode::Decode;
use bincode::Encode;
use lentillift_core::error::Result;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;

/// A follower's query whether its state is still complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FreshnessQuery {
    pub(crate) number: u32,
}

/// One message of an origin to a follower.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Frame {
    /// Number of the last query that had arrived when this message was written; 0 before the first.
    pub(crate) answered_query: u32,
    /// Age of the sender's state when this message was written, in milliseconds; none if it has no
    /// state.
    pub(crate) age_ms: Option<u32>,
    /// Whether the sender reaches its own origin, as far as it knows. If not, its last call to the
    /// configuration service has failed.
    pub(crate) origin_reachable: bool,
    /// Hosts through which the sender's state came, from the one that read it from the service to
    /// the sender; empty if it has no state.
    pub(crate) path: Vec<String>,
    /// Time in milliseconds since the configuration service was last unavailable, according to the
    /// host that read the sender's state; from a sender that doesn't reach its origin, since its own
    /// last call failed. None if there was no such time.
    pub(crate) outage_age_ms: Option<u32>,
    pub(crate) update: Option<Content>,
}

/// An encoded [`WireUpdate`], compressed or not; see [`Packed`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Content {
    Plain(Vec<u8>),
    Deflated(Vec<u8>),
}

impl Content {
    /// Encodes `update` for `peer`, and compresses it if `is_packed`.
    ///
    /// # Errors
    ///
    /// When it can't be encoded.
    pub(crate) fn encode(update: Update, is_packed: bool, peer: &str) -> Result<Self> {
        let encoded = frame::encode(&WireUpdate::from(update), peer)?.to_vec();
        let packed = match is_packed {
            true => Packed::pack(encoded),
            false => Packed::Plain(encoded),
        };
        Ok(packed.into())
    }

    /// Decodes an update received from `peer`.
    ///
    /// # Errors
    ///
    /// When it is malformed.
    pub(crate) fn decode(self, peer: &str) -> Result<Update> {
        let encoded = Packed::from(self).unpack(peer)?;
        let update: WireUpdate = frame::decode(&encoded, peer)?;
        Ok(update.into())
    }
}

impl From<Packed> for Content {
    fn from(packed: Packed) -> Self {
        match packed {
            Packed::Plain(bytes) => Self::Plain(bytes),
            Packed::Deflated(bytes) => Self::Deflated(bytes),
        }
    }
}

impl From<Content> for Packed {
    fn from(content: Content) -> Self {
        match content {
            Content::Plain(bytes) => Self::Plain(bytes),
            Content::Deflated(bytes) => Self::Deflated(bytes),
        }
    }
}

/// Wire form of [`Update`]: the revision and the items.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) enum WireUpdate {
    All(u64, Vec<Entry>),
    Changes(u64, Vec<Entry>),
}

/// Wire form of [`Item`]: its key, revision and value; no value if it was deleted.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Entry(String, u64, Option<Vec<u8>>);

impl From<Item> for Entry {
    fn from(item: Item) -> Self {
        Self(item.key, item.revision, item.value)
    }
}

impl From<Entry> for Item {
    fn from(entry: Entry) -> Self {
        Self {
            key: entry.0,
            revision: entry.1,
            value: entry.2,
        }
    }
}

impl From<Update> for WireUpdate {
    fn from(update: Update) -> Self {
        let entries = |items: Vec<Item>| items.into_iter().map(Entry::from).collect();
        match update {
            Update::All { revision, items } => Self::All(revision, entries(items)),
            Update::Changes { revision, items } => Self::Changes(revision, entries(items)),
        }
    }
}

impl From<WireUpdate> for Update {
    fn from(update: WireUpdate) -> Self {
        let items = |entries: Vec<Entry>| entries.into_iter().map(Item::from).collect();
        match update {
            WireUpdate::All(revision, entries) => Self::All {
                revision,
                items: items(entries),
            },
            WireUpdate::Changes(revision, entries) => Self::Changes {
                revision,
                items: items(entries),
            },
        }
    }
}
