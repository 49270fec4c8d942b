//! State of one backend server as seen by this host, and an estimate of its next reply time.
//!
//! A replica may be slow, paused, full or failing while its health reports are good; without this
//! module half of the requests would still go to it. The evidence is the replies themselves: their
//! time relative to others on the same route, the queue length they report, and above all how long
//! the oldest request in flight has been waiting. A paused server is detected after two typical
//! reply times, long before any timeout.
//!
//! The reasons for the constants are given at each of them.

use crate::limit;
use crate::report::Report;
use crate::server::Entry;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of one reply in a server's slowness; three replies make up most of it.
const WEIGHT: f64 = 0.3;

/// Maximum slowness that a single reply can show.
///
/// One very long reply indicates a pause, after which the server is as fast as before; it must
/// not move the requests of the next seconds to another failure domain. Three in a row do.
const MAX_SLOWNESS: f64 = 3.0;

/// Maximum slowness that a reply can show if the server was already slow just before.
///
/// A server that is ten times slower but is retried as often as one that is twice as slow costs a
/// late part every half second; with its full slowness recorded, one in two to four seconds.
const MAX_KNOWN_SLOWNESS: f64 = 12.0;

/// Age up to which an observation counts as recent: twice [`HALF_LIFE`], in which each server
/// gets several requests.
const RECENT: Duration = Duration::from_secs(3);

/// Half-life of what was observed of a server.
///
/// A server that recovered has to be tried again; a slow one costs one hedged request each time.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Time for which a reported load is valid: several request times.
const LOAD_VALID_FOR: Duration = Duration::from_millis(100);

/// Number of typical reply times after which a request in flight makes its server suspect.
const STALL_FACTOR: f64 = 2.5;

/// Back-off after a server could not be reached, doubled each time up to [`MAX_BACKOFF`].
const BACKOFF: Duration = Duration::from_millis(100);

/// Maximum back-off after a server could not be reached.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Slowness from which a server counts as slow: it takes two replies that did not wait through the
/// same pause.
const SLOW_THRESHOLD: f64 = 2.0;

/// Fraction of failures from which a server counts as failing: two in a row.
const FAILING_THRESHOLD: f64 = 0.5;

/// Number of consecutive failed or unanswered requests after which a server is backed off.
const MAX_FAILURES: u32 = 3;

/// Cost of a failed request in the choice of a replica, in typical reply times, at a failure rate
/// of 1.
const FAILURE_COST: f64 = 20.0;

/// Id of one send, unique within the process.
pub type SendId = u64;

/// Load that a backend server reports in a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

/// State of one backend server as seen by this host.
#[derive(Debug, Default)]
pub struct Replica {
    /// Sends in flight and when they were sent; the oldest first.
    pending: Vec<(SendId, Time)>,
    /// Moving average of the reply time relative to the route's typical one.
    slowness: f64,
    /// Moving average of the fraction of failed requests, from 0 to 1.
    failing: f64,
    /// When the last reply or failure came.
    observed_at: Time,
    /// Whether the last observation came from another host.
    is_from_peer: bool,
    /// When the last slow reply came.
    slow_at: Time,
    load: Option<(Load, Time)>,
    failures: u32,
    backed_off_until: Option<Time>,
    cold: limit::RecentSends,
    last_used: Time,
    /// Process start and address of the entry at whose address another server answered.
    reused_address: Option<(u64, SocketAddr)>,
}

/// What the end of a send says about the server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A complete reply.
    Replied {
        /// Reply time relative to the route's typical one.
        slowness: f64,
    },
    /// The request was rejected: the server is full.
    Rejected,
    /// The request failed, or no reply came in time.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// Another server has the address.
    Misdirected,
    /// Nothing: this host gave up on the send.
    Abandoned,
}

impl Replica {
    /// Returns the weight that the last observation still has.
    fn weight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.observed_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Records a send.
    pub fn sent(&mut self, send_id: SendId, now: Time) {
        self.pending.push((send_id, now));
        self.last_used = now;
    }

    /// Records a send while the server is cold.
    pub fn sent_cold(&mut self, now: Time) {
        self.cold.note(now);
    }

    /// Returns the number of recent sends while it was cold.
    pub fn cold_sends(&mut self, now: Time) -> usize {
        self.cold.count(now)
    }

    /// Returns when it was last sent to.
    pub fn last_used(&self) -> Time {
        self.last_used
    }

    /// Records how a send ended.
    pub fn ended(
        &mut self,
        send_id: SendId,
        now: Time,
        observation: Observation,
        load: Option<Load>,
    ) {
        let sent = self.pending.iter().find(|(pending, _)| *pending == send_id);
        let sent = sent.map_or(now, |(_, sent)| *sent);
        self.pending.retain(|(pending, _)| *pending != send_id);
        if let Some(load) = load {
            self.load = Some((load, now));
        }
        let weight = self.weight(now);
        let slowness = 1.0 + (self.slowness.max(0.1) - 1.0) * weight;
        let failing = self.failing * weight;
        let was_slow = self.slowness >= SLOW_THRESHOLD && now <= self.observed_at + RECENT;
        let max_slowness = if was_slow {
            MAX_KNOWN_SLOWNESS
        } else {
            MAX_SLOWNESS
        };
        match observation {
            Observation::Replied { slowness: sample } => {
                self.slowness = slowness;
                // Requests that waited through the same pause count as slow only once.
                if sample < MAX_SLOWNESS || sent >= self.slow_at {
                    let sample = sample.clamp(0.3, max_slowness);
                    self.slowness = slowness + WEIGHT * (sample - slowness);
                }
                if sample >= MAX_SLOWNESS {
                    self.slow_at = now;
                }
                self.failing = failing * (1.0 - WEIGHT);
                self.failures = 0;
                self.backed_off_until = None;
            }
            Observation::Rejected => {
                self.slowness = slowness;
                self.failing = failing + WEIGHT * (1.0 - failing);
            }
            Observation::Failed => {
                self.slowness = slowness;
                self.failing = failing + WEIGHT * (1.0 - failing);
                self.failures += 1;
                if self.failures >= MAX_FAILURES {
                    self.back_off(now);
                }
            }
            Observation::Unreachable | Observation::Misdirected => {
                self.failures += 1;
                self.back_off(now);
            }
            Observation::Abandoned => return,
        }
        self.observed_at = now;
        self.is_from_peer = false;
    }

    /// Backs off for a time that doubles with each consecutive failure.
    fn back_off(&mut self, now: Time) {
        let doublings = self.failures.saturating_sub(1).min(4);
        let back_off = (BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.backed_off_until = Some(now + back_off);
    }

    /// Records that another server answered at the address in `entry`.
    ///
    /// This happens when a server is gone, another one has its address, and the publishing service
    /// is unavailable, so that the entry stays. If it were retried after each back-off, the other
    /// server would get these requests on top of what its own service may get.
    pub fn note_reused_address(&mut self, entry: &Entry) {
        self.reused_address = Some((entry.process_start_ms, entry.address));
    }

    /// Whether another server has the address in `entry`; remains so until an entry with another
    /// process start or address is published.
    pub fn has_reused_address(&self, entry: &Entry) -> bool {
        self.reused_address == Some((entry.process_start_ms, entry.address))
    }

    /// Whether the server is backed off.
    pub fn is_backed_off(&self, now: Time) -> bool {
        self.backed_off_until.is_some_and(|until| now < until)
    }

    /// Whether recent replies show that the server is slow or failing, beyond a pause or a queue.
    pub fn is_slow(&self, now: Time) -> bool {
        // Called for every server with every reply to another host; most servers never were slow, so
        // this skips the computation for them.
        if self.slowness < SLOW_THRESHOLD && self.failing < FAILING_THRESHOLD {
            return false;
        }
        let weight = self.weight(now);
        let excess = (self.slowness - 1.0) * weight;
        excess >= SLOW_THRESHOLD - 1.0 || self.failing * weight >= FAILING_THRESHOLD
    }

    /// Whether this host itself has observed it recently.
    pub(crate) fn is_observed(&self, now: Time) -> bool {
        !self.is_from_peer && self.observed_at > Time::ZERO && now <= self.observed_at + RECENT
    }

    /// Whether the last observation came from another host.
    pub(crate) fn is_from_peer(&self) -> bool {
        self.is_from_peer
    }

    /// Whether it is backed off for several consecutive failures.
    fn failed_repeatedly(&self, now: Time) -> bool {
        self.failures >= MAX_FAILURES && self.is_backed_off(now)
    }

    /// Whether it should be reported to other hosts.
    pub(crate) fn is_reportable(&self, now: Time) -> bool {
        self.is_slow(now) || self.failed_repeatedly(now)
    }

    /// Returns what to report to other hosts.
    pub(crate) fn report(&self, backend: &id::Backend, now: Time) -> Report {
        Report {
            backend: backend.clone(),
            slowness: self.slowness,
            failing: if self.failed_repeatedly(now) {
                1.0
            } else {
                self.failing
            },
            age: now.saturating_sub(self.observed_at),
        }
    }

    /// Takes over another host's observation unless this host's own is as new, allowing for a
    /// difference of `tolerance`; returns whether it did.
    pub(crate) fn merge(&mut self, report: &Report, now: Time, tolerance: Duration) -> bool {
        let observed_at = now.saturating_sub(report.age);
        let newer = observed_at > self.observed_at + tolerance;
        if newer {
            self.slowness = report.slowness.clamp(0.0, MAX_KNOWN_SLOWNESS);
            self.failing = report.failing.clamp(0.0, 1.0);
            self.observed_at = observed_at;
            self.is_from_peer = true;
        }
        newer
    }

    /// Returns the number of sends in flight.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the expected time until a reply, where `typical` is the typical reply time of the
    /// route.
    pub fn expected(&self, now: Time, typical: Duration, slots: u32) -> Duration {
        let weight = self.weight(now);
        let typical = typical.as_secs_f64();
        let slowness = 1.0 + (self.slowness.max(0.1) - 1.0) * weight;
        let slots = f64::from(slots.max(1));
        let reported = self.load.filter(|(_, at)| *at + LOAD_VALID_FOR > now);
        let reported = reported.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        let ahead = (self.pending.len() as f64).max(f64::from(reported));
        let own = typical * slowness;
        let queue = own * (ahead + 1.0 - slots).max(0.0) / slots;
        let failing = self.failing * weight * typical * FAILURE_COST;
        Duration::from_secs_f64(own + queue + failing + self.expected_stall(now, own))
    }

    /// Returns how many more seconds a server that has stopped answering is likely to stay silent.
    ///
    /// A pause of unknown length has on average lasted half its time when it is detected, so it is
    /// assumed to continue for as long as it has lasted.
    fn expected_stall(&self, now: Time, own: f64) -> f64 {
        let oldest = self.pending.first().map_or(now, |(_, sent)| *sent);
        let age = now.saturating_sub(oldest).as_secs_f64();
        let queue = (self.pending.len() as f64).max(1.0);
        match age > own * STALL_FACTOR + own * (queue - 1.0) / 2.0 {
            true => age,
            false => 0.0,
        }
    }
}
