//! Serves published state to followers.

use crate::dialect::Dialect;
use crate::feed_wire::Frame;
use crate::feed_wire::FreshnessQuery;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::host::Stage;
use crate::metric;
use crate::source::Source;
use bytes::Bytes;
use futures_util::stream;
use hyper::body::Incoming;
use lentillift_core::error::Result;
use lentillift_core::id;
use lentillift_fleet::follow::proof::PollNumber;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::debug;
use tracing::warn;

/// Returns a response body that streams to a follower with revision `after` each change of the
/// published state, and answers its freshness `queries` from the body of its request.
pub fn body<D, S>(
    host: Rc<Host<D, S>>,
    after: id::Revision,
    queries: Option<Incoming>,
) -> frame::Body
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
        queries: queries.map(|body| Reader::new("follower", body)),
        last_query: 0,
        is_first: true,
    };
    frame::body(stream::unfold(feed, |mut feed| async move {
        let bytes = feed.next().await?;
        Some((bytes, feed))
    }))
}

/// Feed of one follower, which counts as a follower until this is dropped.
struct Feed<D, S> {
    host: Rc<Host<D, S>>,
    after: id::Revision,
    changed: watch::Receiver<u64>,
    stage: watch::Receiver<Stage>,
    queries: Option<Reader<FreshnessQuery>>,
    /// Number of the last query that has arrived.
    last_query: PollNumber,
    is_first: bool,
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
    /// Returns the next frame: the first at once, later ones after a change or a query; none when
    /// this process shuts down or the follower stops sending queries.
    async fn next(&mut self) -> Option<Bytes> {
        if !std::mem::take(&mut self.is_first) {
            let silence = self.host.freshness.bound;
            tokio::select! {
                _ = self.changed.changed() => {}
                _ = self.stage.wait_for(|stage| *stage >= Stage::Closing) => return None,
                query = next_query(&mut self.queries, silence) => match query {
                    Ok(query) => self.last_query = query.number,
                    Err(error) => {
                        debug!(event = "news", %error, "follower has disconnected");
                        return None;
                    }
                }
            }
        }
        match self.encode_frame() {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!(event = "news", %error, "update not sent to a follower");
                None
            }
        }
    }

    /// Encodes a frame with the current state and the items that the follower lacks.
    fn encode_frame(&mut self) -> Result<Bytes> {
        let host = &self.host;
        let update = host.update_after(self.after)?;
        let path = host.path.borrow();
        let origin_reachable = host.origin_reachable.get();
        let outage_age = match origin_reachable {
            true => host.time_since_reported_outage(),
            false => host.time_since_own_failure(),
        };
        let message = Frame {
            answered_query: self.last_query,
            age_ms: host.age().map(millis_rounded_up),
            origin_reachable,
            path: path.hosts().iter().map(|host| host.to_string()).collect(),
            outage_age_ms: outage_age.map(millis_rounded_up),
            update,
        };
        let bytes = frame::frame(&message, "follower")?;
        if message.update.is_some() {
            host.metrics
                .add(metric::UPDATE_BYTES_SENT, bytes.len() as u64);
        }
        self.after = self.after.max(host.catalog.borrow().revision());
        Ok(bytes)
    }
}

/// Reads the next query; waits forever if the request has no body.
async fn next_query(
    queries: &mut Option<Reader<FreshnessQuery>>,
    silence: Duration,
) -> Result<FreshnessQuery> {
    match queries {
        Some(queries) => queries.next(silence).await,
        None => std::future::pending().await,
    }
}

/// An age in milliseconds, rounded up so that state never appears fresher than it is.
fn millis_rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
