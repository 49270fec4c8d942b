//! Interface to the service that publishes configuration.

use lentillift_core::error::Result;
use lentillift_core::id;
use lentillift_scatter::source::Decoded;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use std::future::Future;
use std::time::Duration;

/// Result of [`Source::watch`].
#[derive(Debug)]
pub enum WatchResult {
    /// The changes; empty if there were none.
    Changes(Update),
    /// The history after the revision was compacted, so everything has to be read.
    Compacted,
}

/// A service that publishes items under keys, with revisions.
///
/// Calls have no total timeout of their own: a response that is still arriving is read to its
/// end, since large values over a busy link take longer than a healthy service takes to its first
/// byte. The caller of a method bounds its total time.
pub trait Source: 'static {
    /// Reads all items; fails if no data arrives for `silence`.
    ///
    /// # Errors
    ///
    /// When the service can't be reached, refuses, stops sending, or its response is malformed.
    fn read(&self, silence: Duration) -> impl Future<Output = Result<Update>>;

    /// Waits up to `wait` for changes after revision `after`. A response without changes comes no
    /// sooner than `wait`. Fails if no data arrives for `silence` after that.
    ///
    /// # Errors
    ///
    /// As for [`Source::read`].
    fn watch(
        &self,
        after: id::Revision,
        wait: Duration,
        silence: Duration,
    ) -> impl Future<Output = Result<WatchResult>>;

    /// Decodes the value of an item.
    fn decode(&self, item: &Item) -> Decoded;
}
