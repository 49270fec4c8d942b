//! Queries to an origin whether the state that it sent is still complete.

use crate::feed_wire;
use crate::frame;
use bytes::Bytes;
use futures_util::stream;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_fleet::follow::proof::PollNumber;
use lentillift_fleet::follow::proof::Polls;
use lentillift_fleet::follow::proof::Reaction;
use lentillift_fleet::follow::proof::UnexpectedAnswer;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::warn;

/// Freshness queries to one origin. They end when this is dropped.
#[derive(Debug)]
pub(super) struct FreshnessCheck {
    polls: Rc<RefCell<Polls>>,
    /// Signals that a query is due immediately.
    query_due: watch::Sender<()>,
}

impl FreshnessCheck {
    /// Starts the queries. The request itself counts as the first query; further ones follow in the
    /// returned body, at least one each `period`.
    pub(super) fn start(clock: Clock, origin: &id::Host, period: Duration) -> (Self, frame::Body) {
        let polls = Rc::new(RefCell::new(Polls::start(clock.now())));
        let (query_due, is_due) = watch::channel(());
        let stream = QueryStream {
            clock,
            origin: origin.clone(),
            period,
            polls: polls.clone(),
            is_due,
        };
        let body = stream::unfold(stream, |mut stream| async move {
            let bytes = stream.next().await?;
            Some((bytes, stream))
        });
        (Self { polls, query_due }, frame::body(body))
    }

    /// Records a message that was written after query `number` had arrived.
    ///
    /// # Errors
    ///
    /// When that query is not open.
    pub(super) fn record_answer(&self, number: PollNumber) -> Result<(), UnexpectedAnswer> {
        let reaction = self.polls.borrow_mut().receive(number)?;
        if reaction == Reaction::Ask {
            self.query_due.send_replace(());
        }
        Ok(())
    }

    /// Current age of state that had age `sent_age` when the last message was written.
    pub(super) fn age(&self, now: Duration, sent_age: Duration) -> Duration {
        self.polls.borrow().age(now, sent_age)
    }
}

/// Source of the queries that are sent in the request's body.
struct QueryStream {
    clock: Clock,
    origin: id::Host,
    period: Duration,
    polls: Rc<RefCell<Polls>>,
    is_due: watch::Receiver<()>,
}

impl QueryStream {
    /// Waits until the next query is due and encodes it; none once the [`FreshnessCheck`] is
    /// dropped.
    async fn next(&mut self) -> Option<Bytes> {
        tokio::select! {
            due = self.is_due.changed() => due.ok()?,
            () = tokio::time::sleep(self.period) => {}
        }
        let number = self.polls.borrow_mut().send(self.clock.now());
        match frame::frame(&feed_wire::FreshnessQuery { number }, &self.origin) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!(event = "news", %error, "freshness query not sent");
                None
            }
        }
    }
}
