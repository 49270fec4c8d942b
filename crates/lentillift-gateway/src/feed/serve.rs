//! Telling followers what is published.

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
use lentillift_fleet::follow::proof::Number;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::debug;
use tracing::warn;

/// Tells a follower that knows everything up to `after` what changes, and answers the `questions` in the body
/// of its request.
pub fn body<D, S>(
    host: Rc<Host<D, S>>,
    after: id::Revision,
    questions: Option<Incoming>,
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
        questions: questions.map(|body| Reader::new("follower", body)),
        last_query: 0,
        is_first: true,
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
    questions: Option<Reader<FreshnessQuery>>,
    /// The last question that has arrived.
    last_query: Number,
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
    /// The next frame, at once, after a change, or when it is asked for; none when this process ends or the
    /// follower asks nothing any more.
    async fn next(&mut self) -> Option<Bytes> {
        if !std::mem::take(&mut self.is_first) {
            let silence = self.host.freshness.bound;
            tokio::select! {
                _ = self.changed.changed() => {}
                _ = self.stage.wait_for(|stage| *stage >= Stage::Closing) => return None,
                question = next_query(&mut self.questions, silence) => match question {
                    Ok(question) => self.last_query = question.number,
                    Err(error) => {
                        debug!(event = "news", %error, "a follower has left");
                        return None;
                    }
                }
            }
        }
        match self.encode_frame() {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!(event = "news", %error, "not told");
                None
            }
        }
    }

    /// What there is to tell now.
    fn encode_frame(&mut self) -> Result<Bytes> {
        let host = &self.host;
        let news = host.update_after(self.after)?;
        let way = host.path.borrow();
        let message = Frame {
            answered_query: self.last_query,
            age_ms: host.age().map(millis_rounded_up),
            origin_reachable: host.origin_reachable.get(),
            path: way.hosts().iter().map(|host| host.to_string()).collect(),
            outage_age_ms: host.time_since_outage().map(millis_rounded_up),
            update: news,
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

/// The next question; none ever comes where nobody can ask.
async fn next_query(
    questions: &mut Option<Reader<FreshnessQuery>>,
    silence: Duration,
) -> Result<FreshnessQuery> {
    match questions {
        Some(questions) => questions.next(silence).await,
        None => std::future::pending().await,
    }
}

/// An age in milliseconds, never less than it is.
fn millis_rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
