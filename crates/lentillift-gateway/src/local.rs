//! Running connection tasks on this thread.

use std::future::Future;

/// Spawns on the current thread's set of tasks.
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
