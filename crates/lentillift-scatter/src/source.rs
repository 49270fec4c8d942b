//! What is published, as it was read: keys, revisions and bytes.
//!
//! Hosts pass items on to each other as they were read, so that all decode the same bytes.

use lentillift_core::id;

/// One published item, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// The revision of this change.
    pub revision: id::Revision,
    /// Its bytes; none once it was removed.
    pub value: Option<Vec<u8>>,
}

/// What a reader learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// Everything that is published.
    All {
        /// The revision before which nothing is missing.
        revision: id::Revision,
        /// The items.
        items: Vec<Item>,
    },
    /// What changed after the last news.
    Changes {
        /// The revision up to which these are all changes.
        revision: id::Revision,
        /// The changes, in order.
        items: Vec<Item>,
    },
}

/// What an item says, once it is decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Decoded {
    /// A version of the configuration.
    Config(Box<crate::config::Config>),
    /// An account of a backend server.
    Server(crate::server::Entry),
    /// A failure domain is to get no work.
    Evacuation(id::Domain),
    /// The bytes can't be understood.
    Malformed(String),
    /// The key concerns nobody here.
    Other,
}
