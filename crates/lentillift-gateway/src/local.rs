//! Executor for `hyper` that runs connection tasks on this thread.

use std::future::Future;

/// Spawns futures on the current `LocalSet`.
#[derive(Debug, Clone, Copy)]
pub struct Executor;

impl<F> hyper::rt::Executor<F> for Executor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(async move {
            future.await;
        });
    }
}
