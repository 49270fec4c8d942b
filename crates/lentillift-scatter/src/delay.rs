//! Estimates how long a request from another host was delayed on its way.
//!
//! A host asks another for a part of a search, and the request waits: for a lost packet, behind a
//! saturated link, or for a busy processor. Meanwhile the caller has left, and the cancellation
//! waits behind the request. The request says how much time is left, not how long it was in
//! transit. So the receiving host sends the search to its backend servers seconds after anybody
//! wanted it, and does so just when links and servers have the least spare capacity.
//!
//! The clocks of two hosts share only their rate. A request carries its send time by the sender's
//! clock; the least difference from the local clock among recent requests belongs to one that was
//! not delayed, and what another has on top of that is its delay.

use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which an abandoned search should reach no more backend servers.
const ABANDONED_SEND_LIMIT: Duration = Duration::from_millis(500);

/// Delay from which a request is declined: half of that time; the rest is for opening a connection.
pub const MAX_DELAY: Duration = ABANDONED_SEND_LIMIT
    .checked_div(2)
    .expect("two is not zero");

/// Number of recent requests kept for each host.
const MAX_SAMPLES: usize = 8;

/// How long they are kept; clocks drift apart by some milliseconds in that time.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);

/// Number of hosts above which those without a request in the last [`MAX_SAMPLE_AGE`] are dropped.
const MAX_SENDERS: usize = 1024;

/// Difference between two offsets that counts as equal.
const OFFSET_TOLERANCE: Duration = Duration::from_millis(20);

/// Time between two requests that one cause is unlikely to delay by the same amount.
const INDEPENDENT_AFTER: Duration = Duration::from_secs(1);

/// When a request was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamp {
    /// The host that sent it.
    pub host: id::Host,
    /// The sending process; each has a clock of its own.
    pub incarnation: id::Incarnation,
    /// Send time by the sender's clock.
    pub at: Time,
}

/// A received request.
#[derive(Debug, Clone, Copy)]
struct Sample {
    received: Time,
    /// Difference between the clocks plus the time in transit, in microseconds.
    offset: i64,
}

/// Recent requests of one process.
#[derive(Debug, Default)]
struct Sender {
    incarnation: id::Incarnation,
    // INVARIANT: At most `MAX_SAMPLES` long, in order of arrival.
    samples: VecDeque<Sample>,
}

/// Clock offsets of the hosts that send requests.
#[derive(Debug, Default)]
pub struct Delays {
    senders: HashMap<id::Host, Sender>,
}

impl Delays {
    /// Adds a request received at `now`; returns its delay, zero if it can't be determined.
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
    /// Whether a request has come within the last [`MAX_SAMPLE_AGE`].
    fn is_active(&self, now: Time) -> bool {
        let last = self.samples.back();
        last.is_some_and(|last| now.saturating_sub(last.received) < MAX_SAMPLE_AGE)
    }

    /// Adds a sample; returns the delay of its request.
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

    /// Whether the sender's clock stopped for a while, as when its machine is suspended: from then
    /// on all its requests appear late by the same amount.
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
