//! How long a question of another host was held up on its way.
//!
//! Pattern: a host asks another for a part of a search, and the question waits: for a lost packet, behind a
//! link that is full, for a processor that is busy. Meanwhile the caller has left, and the word of that
//! waits behind the question. A question says how much time is left, not how long it was under way; so
//! the host that is asked sends the search to its backend servers seconds after anybody wanted it, and
//! does so just when links and servers have least to spare.
//!
//! The clocks of two hosts have nothing in common but their pace. A question says when it was asked by its
//! host's clock; the least difference from the clock here among the latest ones belongs to one that was
//! not held up, and what another has beyond that is its delay.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a search that nobody wants any more should reach no backend server.
const ABANDONED_SEND_LIMIT: Duration = Duration::from_millis(500);

/// Delay from which a question is declined: half of that time, the rest is for a connection to open.
pub const MAX_DELAY: Duration = ABANDONED_SEND_LIMIT
    .checked_div(2)
    .expect("two is not zero");

/// Questions of one host that are remembered.
const MAX_SAMPLES: usize = 8;

/// How long they are remembered; clocks part by some milliseconds meanwhile.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);

/// Hosts beyond which those that have not asked for [`MAX_SAMPLE_AGE`] are forgotten.
const MAX_SENDERS: usize = 1024;

/// Difference between two delays that counts as none.
const OFFSET_TOLERANCE: Duration = Duration::from_millis(20);

/// Time between two questions that the same hindrance hardly delays by the same.
const INDEPENDENT_AFTER: Duration = Duration::from_secs(1);

/// When a question was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamp {
    /// Who asked.
    pub host: id::Host,
    /// Its process: each has a clock of its own.
    pub incarnation: id::Incarnation,
    /// The time by its clock.
    pub at: Time,
}

/// A question that came.
#[derive(Debug, Clone, Copy)]
struct Sample {
    received: Time,
    /// Difference between the clocks and the way, in microseconds.
    offset: i64,
}

/// Questions of one process.
#[derive(Debug, Default)]
struct Sender {
    incarnation: id::Incarnation,
    // INVARIANT: Never longer than `MAX_SAMPLES`, in the order in which they came.
    samples: VecDeque<Sample>,
}

/// What is known of the clocks of hosts that ask.
#[derive(Debug, Default)]
pub struct Delays {
    senders: HashMap<id::Host, Sender>,
}

impl Delays {
    /// Takes in a question that came at `now`; says how long it was held up, zero if that can't be told.
    pub fn note(&mut self, stamp: &Stamp, now: Time) -> Duration {
        if self.senders.len() > MAX_SENDERS {
            self.senders.retain(|_, sender| sender.is_active(now));
        }
        let sender = self.senders.entry(stamp.host.clone()).or_default();
        if sender.incarnation != stamp.incarnation {
            *sender = Sender {
                incarnation: stamp.incarnation,
                ..Sender::default()
            };
        }
        let offset = micros(now) - micros(stamp.at);
        sender.note(Sample {
            received: now,
            offset,
        })
    }
}

impl Sender {
    fn is_active(&self, now: Time) -> bool {
        let last = self.samples.back();
        last.is_some_and(|last| now.saturating_sub(last.received) < MAX_SAMPLE_AGE)
    }

    fn note(&mut self, sample: Sample) -> Duration {
        self.samples
            .retain(|other| sample.received.saturating_sub(other.received) < MAX_SAMPLE_AGE);
        if self.clock_stopped(sample) {
            self.samples.clear();
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        let offsets = self.samples.iter().map(|other| other.offset);
        let least = offsets.min().unwrap_or(sample.offset);
        Duration::from_micros(sample.offset.saturating_sub(least).unsigned_abs())
    }

    /// Whether the asker's clock stood still, as while its machine was suspended: from then on all its
    /// questions seem to be late by the same.
    fn clock_stopped(&self, sample: Sample) -> bool {
        let Some(last) = self.samples.back() else {
            return false;
        };
        let is_apart = sample.received.saturating_sub(last.received) >= INDEPENDENT_AFTER;
        let difference = Duration::from_micros(sample.offset.abs_diff(last.offset));
        is_apart && difference <= OFFSET_TOLERANCE
    }
}

fn micros(time: Time) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
