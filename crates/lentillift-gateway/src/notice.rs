//! What a follower is told, as it stands on the wire.

use bincode::Decode;
use bincode::Encode;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::News;

/// One message to a follower, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Frame {
    /// Age of the sender's knowledge; none if it has none.
    pub(crate) age_ms: Option<u32>,
    /// Whether the sender reaches its origin, as far as it knows.
    pub(crate) steady: bool,
    /// Hosts over which the sender's knowledge came, the one that read the service first and the sender
    /// last; empty if it has none.
    pub(crate) way: Vec<String>,
    /// Time since the service was last known to be away; none if it never was.
    pub(crate) away_ms: Option<u32>,
    pub(crate) news: Option<Notice>,
}

/// See [`News`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Notice {
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

impl From<News> for Notice {
    fn from(news: News) -> Self {
        let entries = |items: Vec<Item>| items.into_iter().map(Entry::from).collect();
        match news {
            News::All { revision, items } => Self::All(revision, entries(items)),
            News::Changes { revision, items } => Self::Changes(revision, entries(items)),
        }
    }
}

impl From<Notice> for News {
    fn from(notice: Notice) -> Self {
        let items = |entries: Vec<Entry>| entries.into_iter().map(Item::from).collect();
        match notice {
            Notice::All(revision, entries) => Self::All {
                revision,
                items: items(entries),
            },
            Notice::Changes(revision, entries) => Self::Changes {
                revision,
                items: items(entries),
            },
        }
    }
}
