//! Where published state is read.

use lentillift_core::error::Result;
use lentillift_core::id;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Meaning;
use lentillift_scatter::source::News;
use std::future::Future;
use std::time::Duration;

/// What a wait for changes brought.
#[derive(Debug)]
pub enum WatchResult {
    /// What changed, possibly nothing.
    Changes(News),
    /// The history after the revision is gone: read everything.
    Compacted,
}

/// A service that publishes items under keys, with revisions.
///
/// An answer that is still coming is waited for, however long it takes: large values over a busy link take
/// longer than a service that is well lets one wait for its first word. How long a call may take
/// altogether is up to the one who calls.
pub trait Source: 'static {
    /// Reads everything; fails if nothing comes for `silence`.
    ///
    /// # Errors
    ///
    /// When the service can't be reached, refuses, falls silent, or its answer can't be understood.
    fn read(&self, silence: Duration) -> impl Future<Output = Result<News>>;

    /// Waits up to `wait` for changes after `after`, and answers without any no sooner; fails if nothing comes for `silence` after that.
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

    /// Says what an item means.
    fn decode(&self, item: &Item) -> Meaning;
}
