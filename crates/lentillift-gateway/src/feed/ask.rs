//! Asking an origin whether what it told is still all there is.

use crate::frame;
use crate::notice;
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

/// Questions to one origin, which end when this is dropped.
#[derive(Debug)]
pub(super) struct Inquiry {
    questions: Rc<RefCell<Polls>>,
    /// Tells that a question is due at once.
    due: watch::Sender<()>,
}

impl Inquiry {
    /// Asks the first question now, and then one in each `period`, in the body that is returned.
    pub(super) fn start(clock: Clock, origin: &id::Host, period: Duration) -> (Self, frame::Body) {
        let questions = Rc::new(RefCell::new(Polls::start(clock.now())));
        let (due, is_due) = watch::channel(());
        let asking = Asking {
            clock,
            origin: origin.clone(),
            period,
            questions: questions.clone(),
            is_due,
        };
        let body = stream::unfold(asking, |mut asking| async move {
            let bytes = asking.next().await?;
            Some((bytes, asking))
        });
        (Self { questions, due }, frame::body(body))
    }

    /// Takes in a message that was written after question `number` had arrived.
    ///
    /// # Errors
    ///
    /// When that question is not open.
    pub(super) fn hear(&self, number: PollNumber) -> Result<(), UnexpectedAnswer> {
        let heard = self.questions.borrow_mut().receive(number)?;
        if heard == Reaction::Ask {
            self.due.send_replace(());
        }
        Ok(())
    }

    /// Age of knowledge that was `told` old when the last message was written.
    pub(super) fn age(&self, now: Duration, told: Duration) -> Duration {
        self.questions.borrow().age(now, told)
    }
}

/// The side that is sent.
struct Asking {
    clock: Clock,
    origin: id::Host,
    period: Duration,
    questions: Rc<RefCell<Polls>>,
    is_due: watch::Receiver<()>,
}

impl Asking {
    /// The next question, when it is due; none once nobody waits for answers.
    async fn next(&mut self) -> Option<Bytes> {
        tokio::select! {
            due = self.is_due.changed() => due.ok()?,
            () = tokio::time::sleep(self.period) => {}
        }
        let number = self.questions.borrow_mut().send(self.clock.now());
        match frame::frame(&notice::Question { number }, &self.origin) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!(event = "news", %error, "not asked");
                None
            }
        }
    }
}
