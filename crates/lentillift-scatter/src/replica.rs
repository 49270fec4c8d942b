//! What this host knows of one backend server, and how long its next reply will take.
//!
//! Pattern: of two replicas one is slow, paused, full or failing while its health reports are good.
//! Without this module half of the requests go to it. What tells is the replies themselves: how long
//! they took compared with others on the same route, what they say of the server's queue, and above
//! all how long the oldest request without a reply has been waiting: a paused server shows after two
//! ordinary reply times, long before any timeout.
//!
//! Grounds for the figures stand beside them.

use crate::limit;
use crate::report::Report;
use crate::server::Entry;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of one reply in a server's slowness; three replies make up most of it.
const WEIGHT: f64 = 0.3;

/// Largest slowness that one reply can show.
///
/// One very long reply is the mark of a pause, after which the server is as fast as before; it must
/// not send the requests of the next seconds to another failure domain. Three in a row do.
const MAX_SLOWNESS: f64 = 3.0;

/// Largest slowness that a reply of a server that was slow just before can show.
///
/// A server that works ten times as long and is tried again as soon as one that works twice as long
/// costs a late part every half second; held for as slow as it is, one in two to four seconds.
const MAX_KNOWN_SLOWNESS: f64 = 12.0;

/// Age up to which what was learnt counts as learnt just before: twice [`HALF_LIFE`], in which each server
/// gets several requests.
const RECENT: Duration = Duration::from_secs(3);

/// Time after which half of what was learnt about a server is forgotten.
///
/// A server that recovered has to be tried again; a slow one costs one hedged request each time.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Time for which a server's account of its queue holds: several request times.
const LOAD_VALID_FOR: Duration = Duration::from_millis(100);

/// Ordinary reply times after which a request without a reply makes its server suspect.
const STALL_FACTOR: f64 = 2.5;

/// Pause after a server could not be reached, doubled each time up to [`MAX_BACKOFF`].
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after a server could not be reached.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Slowness from which a server counts as slow: it takes two replies that did not wait through the same
/// pause.
const SLOW_THRESHOLD: f64 = 2.0;

/// Share of failures from which a server counts as failing: two in a row.
const FAILING_THRESHOLD: f64 = 0.5;

/// Unanswered or failed requests in a row after which a server is left alone for a while.
const MAX_FAILURES: u32 = 3;

/// What a failed request costs the choice, in ordinary reply times, at a failure rate of 1.
const FAILURE_COST: f64 = 20.0;

/// Number of one send, unique within the process.
pub type SendId = u64;

/// What a backend server says of itself in a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

/// What this host knows of one backend server.
#[derive(Debug, Default)]
pub struct Replica {
    /// Sends without a reply, and when they were sent; the oldest first.
    pending: Vec<(SendId, Time)>,
    /// Reply time compared with the route's ordinary one.
    slowness: f64,
    /// Share of failed requests lately, from 0 to 1.
    failing: f64,
    /// When the last reply or failure came.
    observed_at: Time,
    /// Whether that came from another host.
    is_from_peer: bool,
    /// When the last slow reply came.
    slow_at: Time,
    load: Option<(Load, Time)>,
    failures: u32,
    backed_off_until: Option<Time>,
    cold: limit::RecentSends,
    last_used: Time,
    /// The process and address at which another server answered.
    reused_address: Option<(u64, SocketAddr)>,
}

/// How a send ended, as far as it tells something of the server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A whole reply.
    Replied {
        /// Compared with the route's ordinary reply time.
        slowness: f64,
    },
    /// It was turned away: the server is full.
    Rejected,
    /// It failed, or no reply came in time.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// Another server has the address.
    Misdirected,
    /// Nothing is known: this host gave up on it.
    Abandoned,
}

impl Replica {
    /// Part of what was learnt that still holds.
    fn weight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.observed_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Notes a send.
    pub fn sent(&mut self, send_id: SendId, now: Time) {
        self.pending.push((send_id, now));
        self.last_used = now;
    }

    /// Notes a send to a cold server.
    pub fn sent_cold(&mut self, now: Time) {
        self.cold.note(now);
    }

    /// Requests sent to it lately while it was cold.
    pub fn cold_sends(&mut self, now: Time) -> usize {
        self.cold.count(now)
    }

    /// When it was last sent to.
    pub fn last_used(&self) -> Time {
        self.last_used
    }

    /// Notes how a send ended.
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
                // Requests that waited through the same pause tell of it once.
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

    fn back_off(&mut self, now: Time) {
        let doublings = self.failures.saturating_sub(1).min(4);
        let back_off = (BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.backed_off_until = Some(now + back_off);
    }

    /// Notes that another server answered at the address that `entry` tells.
    ///
    /// What goes wrong without it: a server is gone, another one has its address, and the service that
    /// publishes is away, so that the entry stays. Tried again after each pause, it would be the other
    /// server that gets these requests, beyond what its own service may get.
    pub fn note_reused_address(&mut self, entry: &Entry) {
        self.reused_address = Some((entry.process_start_ms, entry.address));
    }

    /// Whether another server has the address that `entry` tells; until it is published anew, that stays so.
    pub fn has_reused_address(&self, entry: &Entry) -> bool {
        self.reused_address == Some((entry.process_start_ms, entry.address))
    }

    /// Whether the server is left alone for now.
    pub fn is_backed_off(&self, now: Time) -> bool {
        self.backed_off_until.is_some_and(|until| now < until)
    }

    /// Whether replies have shown lately that the server is slow or fails, beyond a pause or a queue.
    pub fn is_slow(&self, now: Time) -> bool {
        // Asked for every server with every answer to another host, and most never were slow.
        if self.slowness < SLOW_THRESHOLD && self.failing < FAILING_THRESHOLD {
            return false;
        }
        let weight = self.weight(now);
        let excess = (self.slowness - 1.0) * weight;
        excess >= SLOW_THRESHOLD - 1.0 || self.failing * weight >= FAILING_THRESHOLD
    }

    /// Whether this host has itself learnt anything of it lately.
    pub(crate) fn is_observed(&self, now: Time) -> bool {
        !self.is_from_peer && self.observed_at > Time::ZERO && now <= self.observed_at + RECENT
    }

    /// Whether what is known of it came from another host.
    pub(crate) fn is_from_peer(&self) -> bool {
        self.is_from_peer
    }

    /// Whether it failed several times in a row and is left alone for that.
    fn failed_repeatedly(&self, now: Time) -> bool {
        self.failures >= MAX_FAILURES && self.is_backed_off(now)
    }

    /// Whether other hosts should know of it.
    pub(crate) fn is_reportable(&self, now: Time) -> bool {
        self.is_slow(now) || self.failed_repeatedly(now)
    }

    /// What other hosts should know of it.
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

    /// Takes in what another host has learnt, unless this host's knowledge is as new but for `same`; says
    /// whether it did.
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

    /// Sends without a reply.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Time until a reply, if the route's ordinary one takes `typical`.
    pub fn expected(&self, now: Time, typical: Duration, slots: u32) -> Duration {
        let weight = self.weight(now);
        let typical = typical.as_secs_f64();
        let slowness = 1.0 + (self.slowness.max(0.1) - 1.0) * weight;
        let slots = f64::from(slots.max(1));
        let reported = self.load.filter(|(_, at)| *at + LOAD_VALID_FOR > now);
        let reported = reported.map_or(0, |(load, _)| load.running + load.waiting);
        let ahead = (self.pending.len() as f64).max(f64::from(reported));
        let own = typical * slowness;
        let queue = own * (ahead + 1.0 - slots).max(0.0) / slots;
        let failing = self.failing * weight * typical * FAILURE_COST;
        Duration::from_secs_f64(own + queue + failing + self.expected_stall(now, own))
    }

    /// How much longer a server that has stopped answering is likely to stay silent.
    ///
    /// A pause of unknown length has lasted half its time on average when it is noticed, so it is
    /// held to go on for as long as it has lasted.
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
