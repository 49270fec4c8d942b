//! Telling followers what is published.

use crate::dialect::Dialect;
use crate::frame;
use crate::host::Host;
use crate::host::Stage;
use crate::metric;
use crate::notice::Frame;
use crate::source::Source;
use bytes::Bytes;
use futures_util::stream;
use lentillift_core::error::Result;
use lentillift_core::id;
use std::rc::Rc;
use tokio::sync::watch;
use tracing::warn;

/// Tells a follower that knows everything up to `after` what changes.
pub fn tell<D, S>(host: Rc<Host<D, S>>, after: id::Revision) -> frame::Body
where
    D: Dialect,
    S: Source,
{
    host.followers.set(host.followers.get() + 1);
    let changed = host.changed.subscribe();
    let stage = host.stage.subscribe();
    let feed = Feed {
        host,
        after,
        changed,
        stage,
        first: true,
    };
    frame::body(stream::unfold(feed, |mut feed| async move {
        let bytes = feed.next().await?;
        Some((bytes, feed))
    }))
}

/// What one follower is told; counted as a follower for as long as it lasts.
struct Feed<D, S> {
    host: Rc<Host<D, S>>,
    after: id::Revision,
    changed: watch::Receiver<u64>,
    stage: watch::Receiver<Stage>,
    first: bool,
}

impl<D, S> Drop for Feed<D, S> {
    fn drop(&mut self) {
        let followers = &self.host.followers;
        followers.set(followers.get().saturating_sub(1));
    }
}

impl<D, S> Feed<D, S>
where
    D: Dialect,
    S: Source,
{
    /// The next frame, at once, after a change, or after a while; none when this process ends.
    async fn next(&mut self) -> Option<Bytes> {
        if !std::mem::take(&mut self.first) {
            tokio::select! {
                _ = self.changed.changed() => {}
                _ = self.stage.wait_for(|stage| *stage >= Stage::Closing) => return None,
                () = tokio::time::sleep(self.host.news.heartbeat()) => {}
            }
        }
        match self.message() {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!(event = "news", %error, "not told");
                None
            }
        }
    }

    /// What there is to tell now.
    fn message(&mut self) -> Result<Bytes> {
        let host = &self.host;
        let news = host.news_after(self.after)?;
        let way = host.way.borrow();
        let message = Frame {
            age_ms: host.age().map(|age| age.as_millis() as u32),
            steady: host.steady.get(),
            way: way.hosts().iter().map(|host| host.to_string()).collect(),
            away_ms: host.away().map(|age| age.as_millis() as u32),
            news,
        };
        let bytes = frame::frame(&message, "follower")?;
        if message.news.is_some() {
            host.board.add(metric::NEWS_TOLD, bytes.len() as u64);
        }
        self.after = self.after.max(host.catalog.borrow().revision());
        Ok(bytes)
    }
}
