//! What a follower asks and is told, as it stands on the wire.

use crate::frame;
use crate::pack::Packed;
use bincode::Decode;
use bincode::Encode;
use lentillift_core::error::Result;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::News;

/// A question of a follower whether it knows all that its origin does, as it stands on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FreshnessQuery {
    pub(crate) number: u32,
}

/// One message to a follower, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Frame {
    /// The last question that had arrived when this was written; 0 before the first.
    pub(crate) answered_query: u32,
    /// Age of the sender's knowledge when this was written; none if it has none.
    pub(crate) age_ms: Option<u32>,
    /// Whether the sender reaches its origin, as far as it knows.
    pub(crate) origin_reachable: bool,
    /// Hosts over which the sender's knowledge came, the one that read the service first and the sender
    /// last; empty if it has none.
    pub(crate) path: Vec<String>,
    /// Time since the service was last known to be away; none if it never was.
    pub(crate) outage_age_ms: Option<u32>,
    pub(crate) update: Option<Content>,
}

/// A [`Notice`], encoded; see [`Packed`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Content {
    Plain(Vec<u8>),
    Deflated(Vec<u8>),
}

impl Content {
    /// `news` on its way to `peer`, packed or as it is.
    ///
    /// # Errors
    ///
    /// When it can't be encoded.
    pub(crate) fn encode(news: News, is_packed: bool, peer: &str) -> Result<Self> {
        let encoded = frame::encode(&Update::from(news), peer)?.to_vec();
        let packed = match is_packed {
            true => Packed::pack(encoded),
            false => Packed::Plain(encoded),
        };
        Ok(packed.into())
    }

    /// What `peer` told.
    ///
    /// # Errors
    ///
    /// When it is malformed.
    pub(crate) fn decode(self, peer: &str) -> Result<News> {
        let encoded = Packed::from(self).unpack(peer)?;
        let notice: Update = frame::decode(&encoded, peer)?;
        Ok(notice.into())
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

/// See [`News`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Update {
    All(u64, Vec<Entry>),
    Changes(u64, Vec<Entry>),
}

/// See [`Item`].
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

impl From<News> for Update {
    fn from(news: News) -> Self {
        let entries = |items: Vec<Item>| items.into_iter().map(Entry::from).collect();
        match news {
            News::All { revision, items } => Self::All(revision, entries(items)),
            News::Changes { revision, items } => Self::Changes(revision, entries(items)),
        }
    }
}

impl From<Update> for News {
    fn from(notice: Update) -> Self {
        let items = |entries: Vec<Entry>| entries.into_iter().map(Item::from).collect();
        match notice {
            Update::All(revision, entries) => Self::All {
                revision,
                items: items(entries),
            },
            Update::Changes(revision, entries) => Self::Changes {
                revision,
                items: items(entries),
            },
        }
    }
}
