//! Age of data that was received over a path which may delay messages.
//!
//! Scenario: a queue builds up on the path from an origin, and its messages arrive later and later,
//! at the same intervals as ever. Each states the age that the origin's data had when it was
//! written. A follower that relied on that alone would treat outdated data as fresh, and so would
//! all that follow it.
//!
//! An answer is written after its poll was sent. So a follower sends numbered polls, and counts the
//! age of the data from the time of the poll by its own clock. No clocks of two hosts are compared,
//! and whatever delays a message, at either end or in transit, makes the data older and never
//! fresher.

use lentillift_core::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of a poll to an origin. The request that opens the stream is the first, 0.
pub type PollNumber = u32;

/// A poll and when it was sent.
#[derive(Debug, Clone, Copy)]
struct Poll {
    number: PollNumber,
    sent: Time,
}

/// What to do after a message of an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Nothing: the message answers a poll, or another poll is in flight.
    Answer,
    /// Send a poll: the message was sent unprompted. The answer proves that the origin's data is
    /// fresh.
    Ask,
}

/// A message answers a poll that was never sent, or one before the last that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnexpectedAnswer(pub PollNumber);

impl std::fmt::Display for UnexpectedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "poll {} is not outstanding", self.0)
    }
}

/// Polls of a follower to its origin.
#[derive(Debug)]
pub struct Polls {
    /// The last poll that was answered, or the first before there is an answer.
    last_answered: Poll,
    /// Unanswered polls sent after it.
    // INVARIANT: Neither numbers nor times decrease.
    outstanding: VecDeque<Poll>,
    next: PollNumber,
}

impl Polls {
    /// Starts with the first poll, which is sent now.
    pub fn start(now: Time) -> Self {
        Self {
            last_answered: Poll {
                number: 0,
                sent: now,
            },
            outstanding: VecDeque::new(),
            next: 1,
        }
    }

    /// Numbers another poll, which is sent now.
    pub fn send(&mut self, now: Time) -> PollNumber {
        let number = self.next;
        self.next += 1;
        let sent = now;
        self.outstanding.push_back(Poll { number, sent });
        number
    }

    /// Handles a message that was written after poll `number` had arrived at the origin.
    ///
    /// # Errors
    ///
    /// When that poll is not outstanding.
    pub fn receive(&mut self, number: PollNumber) -> Result<Reaction, UnexpectedAnswer> {
        let is_answer = number != self.last_answered.number;
        while self.last_answered.number != number {
            self.last_answered = self
                .outstanding
                .pop_front()
                .ok_or(UnexpectedAnswer(number))?;
        }
        match is_answer || !self.outstanding.is_empty() {
            true => Ok(Reaction::Answer),
            false => Ok(Reaction::Ask),
        }
    }

    /// Age of data that was `age_when_sent` old when the last message was written.
    pub fn age(&self, now: Time, age_when_sent: Duration) -> Duration {
        now.saturating_sub(self.last_answered.sent) + age_when_sent
    }
}

/// Age of the data after a watch that stayed open for `wait` and returned no change, `passed` after
/// it was requested.
///
/// The service answers only after the watch has been open for that long, so the answer was sent at
/// most the remaining time ago. An answer that came earlier proves no more than any other answer.
pub fn age_after_watch(passed: Duration, wait: Duration) -> Duration {
    passed.checked_sub(wait).unwrap_or(passed)
}
