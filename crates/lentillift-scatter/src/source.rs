//! Published items as they were read: keys, revisions and bytes.
//!
//! Hosts forward items to each other as they were read, so that all decode the same bytes.

use lentillift_core::id;

/// One published item, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Revision of this change.
    pub revision: id::Revision,
    /// Published bytes; none if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// An update of the published state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A snapshot of everything that is published.
    All {
        /// Revision up to which the snapshot is complete.
        revision: id::Revision,
        /// All published items.
        items: Vec<Item>,
    },
    /// The changes since the previous update.
    Changes {
        /// Revision up to which the changes are complete.
        revision: id::Revision,
        /// The changes, in order of revision.
        items: Vec<Item>,
    },
}

/// The decoded form of an item.
#[derive(Debug, Clone, PartialEq)]
pub enum Decoded {
    /// A version of the configuration.
    Config(Box<crate::config::Config>),
    /// The entry of a backend server.
    Server(crate::server::Entry),
    /// An evacuation: this failure domain is to get no work.
    Evacuation(id::Domain),
    /// The bytes could not be decoded; the text says why.
    Malformed(String),
    /// A key that this host does not use.
    Other,
}
