//! Telling followers what is published.

use crate::dialect::Dialect;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::host::Stage;
use crate::metric;
use crate::notice::Frame;
use crate::notice::Question;
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

/// Tells a follower that knows everything up to `after` what changes, and answers the `questions` in the body
/// of its request.
pub fn tell<D, S>(
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
        answers: 0,
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
    questions: Option<Reader<Question>>,
    /// The last question that has arrived.
    answers: PollNumber,
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
    /// The next frame, at once, after a change, or when it is asked for; none when this process ends or the
    /// follower asks nothing any more.
    async fn next(&mut self) -> Option<Bytes> {
        if !std::mem::take(&mut self.first) {
            let silence = self.host.news.bound;
            tokio::select! {
                _ = self.changed.changed() => {}
                _ = self.stage.wait_for(|stage| *stage >= Stage::Closing) => return None,
                question = question(&mut self.questions, silence) => match question {
                    Ok(question) => self.answers = question.number,
                    Err(error) => {
                        debug!(event = "news", %error, "a follower has left");
                        return None;
                    }
                }
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
            answers: self.answers,
            age_ms: host.age().map(rounded_up),
            steady: host.steady.get(),
            way: way.hosts().iter().map(|host| host.to_string()).collect(),
            away_ms: host.away().map(rounded_up),
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

/// The next question; none ever comes where nobody can ask.
async fn question(questions: &mut Option<Reader<Question>>, silence: Duration) -> Result<Question> {
    match questions {
        Some(questions) => questions.next(silence).await,
        None => std::future::pending().await,
    }
}

/// An age in milliseconds, never less than it is.
fn rounded_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
