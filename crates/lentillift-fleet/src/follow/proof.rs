//! How old knowledge is that came over a way which may be late.
//!
//! Pattern: a queue builds up on the way from an origin, and its messages come later and later, one as long
//! after the other as ever. Each tells the age that the origin's knowledge had when it was written. A
//! follower that went by that alone would hold outdated knowledge for fresh, and so would all that follow it.
//!
//! An answer was written after its question was asked. So a follower asks, and counts the age of what it
//! is told from the time of the question by its own clock. No clocks of two hosts are compared, and whatever
//! a message waits for, at either end or on its way, makes knowledge older and never fresher.

use lentillift_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of a question to an origin. The request to be told what is published is the first, 0.
pub type PollNumber = u32;

/// A question without an answer.
#[derive(Debug, Clone, Copy)]
struct Question {
    number: PollNumber,
    asked: Time,
}

/// What to do after a message of an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Nothing: it answers a question, or another question is under way.
    Answer,
    /// It came by itself. Asked now, the origin proves that what it tells is fresh.
    Ask,
}

/// A message answers a question that was never asked, or one before those that are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnexpectedAnswer(pub PollNumber);

impl std::fmt::Display for UnexpectedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "question {} is not open", self.0)
    }
}

/// The questions of a follower to its origin.
#[derive(Debug)]
pub struct Polls {
    /// The last one that was answered, or the first before there is an answer.
    last: Question,
    /// Those after it.
    // INVARIANT: Neither numbers nor times fall.
    open: VecDeque<Question>,
    next: PollNumber,
}

impl Polls {
    /// The first question is asked now.
    pub fn start(now: Time) -> Self {
        Self {
            last: Question {
                number: 0,
                asked: now,
            },
            open: VecDeque::new(),
            next: 1,
        }
    }

    /// Asks another question now.
    pub fn send(&mut self, now: Time) -> PollNumber {
        let number = self.next;
        self.next += 1;
        let asked = now;
        self.open.push_back(Question { number, asked });
        number
    }

    /// Takes in a message that was written after question `number` had arrived.
    ///
    /// # Errors
    ///
    /// When that question is not open.
    pub fn receive(&mut self, number: PollNumber) -> Result<Reaction, UnexpectedAnswer> {
        let is_answer = number != self.last.number;
        while self.last.number != number {
            self.last = self.open.pop_front().ok_or(UnexpectedAnswer(number))?;
        }
        match is_answer || !self.open.is_empty() {
            true => Ok(Reaction::Answer),
            false => Ok(Reaction::Ask),
        }
    }

    /// Age of knowledge that was `told` old when the last message was written.
    pub fn age(&self, now: Time, told: Duration) -> Duration {
        now.saturating_sub(self.last.asked) + told
    }
}

/// Age of knowledge after a watch that was held for `wait` told of no change, `passed` after it was asked for.
///
/// The service answers no sooner than it has held it for that long, so the answer left at most the rest ago. One
/// that came too soon proves no more than any answer does.
pub fn age_after_watch(passed: Duration, wait: Duration) -> Duration {
    passed.checked_sub(wait).unwrap_or(passed)
}
