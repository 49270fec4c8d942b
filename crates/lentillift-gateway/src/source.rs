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
pub enum Watched {
    /// What changed, possibly nothing.
    Changes(News),
    /// The history after the revision is gone: read everything.
    Forgotten,
}

/// A service that publishes items under keys, with revisions.
pub trait Source: 'static {
    /// Reads everything.
    ///
    /// # Errors
    ///
    /// When the service can't be reached, refuses, or its answer can't be understood.
    fn read(&self) -> impl Future<Output = Result<News>>;

    /// Waits up to `wait` for changes after `after`.
    ///
    /// # Errors
    ///
    /// As for [`Source::read`].
    fn watch(&self, after: id::Revision, wait: Duration) -> impl Future<Output = Result<Watched>>;

    /// Says what an item means.
    fn decode(&self, item: &Item) -> Meaning;
}
