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
const MOST_SLOWNESS: f64 = 3.0;

/// Largest slowness that a reply of a server that was slow just before can show.
///
/// A server that works ten times as long and is tried again as soon as one that works twice as long
/// costs a late part every half second; held for as slow as it is, one in two to four seconds.
const MOST_KNOWN: f64 = 12.0;

/// Age up to which what was learnt counts as learnt just before: twice [`MEMORY`], in which each server
/// gets several requests.
const LATELY: Duration = Duration::from_secs(3);

/// Time after which half of what was learnt about a server is forgotten.
///
/// A server that recovered has to be tried again; a slow one costs one hedged request each time.
const MEMORY: Duration = Duration::from_millis(1500);

/// Time for which a server's account of its queue holds: several request times.
const LOAD_MEMORY: Duration = Duration::from_millis(100);

/// Ordinary reply times after which a request without a reply makes its server suspect.
const STUCK_AFTER: f64 = 2.5;

/// Pause after a server could not be reached, doubled each time up to [`MOST_BACKOFF`].
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after a server could not be reached.
const MOST_BACKOFF: Duration = Duration::from_millis(1600);

/// Slowness from which a server counts as slow: it takes two replies that did not wait through the same
/// pause.
const SLOW: f64 = 2.0;

/// Share of failures from which a server counts as failing: two in a row.
const FAILING: f64 = 0.5;

/// Unanswered or failed requests in a row after which a server is left alone for a while.
const FAILURES: u32 = 3;

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
    learnt: Time,
    /// Whether that came from another host.
    heard: bool,
    /// When the last slow reply came.
    slow_at: Time,
    load: Option<(Load, Time)>,
    failures: u32,
    down_until: Option<Time>,
    cold: limit::Recent,
    used: Time,
    /// The process and address at which another server answered.
    moved: Option<(u64, SocketAddr)>,
}

/// How a send ended, as far as it tells something of the server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sign {
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
    fn memory(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.learnt).as_secs_f64();
        0.5_f64.powf(age / MEMORY.as_secs_f64())
    }

    /// Notes a send.
    pub fn sent(&mut self, number: SendId, now: Time) {
        self.pending.push((number, now));
        self.used = now;
    }

    /// Notes a send to a cold server.
    pub fn sent_cold(&mut self, now: Time) {
        self.cold.note(now);
    }

    /// Requests sent to it lately while it was cold.
    pub fn sent_while_cold(&mut self, now: Time) -> usize {
        self.cold.count(now)
    }

    /// When it was last sent to.
    pub fn used(&self) -> Time {
        self.used
    }

    /// Notes how a send ended.
    pub fn ended(&mut self, number: SendId, now: Time, sign: Sign, load: Option<Load>) {
        let sent = self.pending.iter().find(|(pending, _)| *pending == number);
        let sent = sent.map_or(now, |(_, sent)| *sent);
        self.pending.retain(|(pending, _)| *pending != number);
        if let Some(load) = load {
            self.load = Some((load, now));
        }
        let memory = self.memory(now);
        let slowness = 1.0 + (self.slowness.max(0.1) - 1.0) * memory;
        let failing = self.failing * memory;
        let known = self.slowness >= SLOW && now <= self.learnt + LATELY;
        let most = if known { MOST_KNOWN } else { MOST_SLOWNESS };
        match sign {
            Sign::Replied { slowness: sample } => {
                self.slowness = slowness;
                // Requests that waited through the same pause tell of it once.
                if sample < MOST_SLOWNESS || sent >= self.slow_at {
                    let sample = sample.clamp(0.3, most);
                    self.slowness = slowness + WEIGHT * (sample - slowness);
                }
                if sample >= MOST_SLOWNESS {
                    self.slow_at = now;
                }
                self.failing = failing * (1.0 - WEIGHT);
                self.failures = 0;
                self.down_until = None;
            }
            Sign::Rejected => {
                self.slowness = slowness;
                self.failing = failing + WEIGHT * (1.0 - failing);
            }
            Sign::Failed => {
                self.slowness = slowness;
                self.failing = failing + WEIGHT * (1.0 - failing);
                self.failures += 1;
                if self.failures >= FAILURES {
                    self.pause(now);
                }
            }
            Sign::Unreachable | Sign::Misdirected => {
                self.failures += 1;
                self.pause(now);
            }
            Sign::Abandoned => return,
        }
        self.learnt = now;
        self.heard = false;
    }

    fn pause(&mut self, now: Time) {
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause = (BACKOFF * 2_u32.pow(doublings)).min(MOST_BACKOFF);
        self.down_until = Some(now + pause);
    }

    /// Notes that another server answered at the address that `entry` tells.
    ///
    /// What goes wrong without it: a server is gone, another one has its address, and the service that
    /// publishes is away, so that the entry stays. Tried again after each pause, it would be the other
    /// server that gets these requests, beyond what its own service may get.
    pub fn moved(&mut self, entry: &Entry) {
        self.moved = Some((entry.process_start_ms, entry.address));
    }

    /// Whether another server has the address that `entry` tells; until it is published anew, that stays so.
    pub fn has_moved(&self, entry: &Entry) -> bool {
        self.moved == Some((entry.process_start_ms, entry.address))
    }

    /// Whether the server is left alone for now.
    pub fn is_down(&self, now: Time) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Whether replies have shown lately that the server is slow or fails, beyond a pause or a queue.
    pub fn is_slow(&self, now: Time) -> bool {
        // Asked for every server with every answer to another host, and most never were slow.
        if self.slowness < SLOW && self.failing < FAILING {
            return false;
        }
        let memory = self.memory(now);
        let excess = (self.slowness - 1.0) * memory;
        excess >= SLOW - 1.0 || self.failing * memory >= FAILING
    }

    /// Whether this host has itself learnt anything of it lately.
    pub(crate) fn is_seen(&self, now: Time) -> bool {
        !self.heard && self.learnt > Time::ZERO && now <= self.learnt + LATELY
    }

    /// Whether what is known of it came from another host.
    pub(crate) fn is_heard(&self) -> bool {
        self.heard
    }

    /// Whether it failed several times in a row and is left alone for that.
    fn is_lost(&self, now: Time) -> bool {
        self.failures >= FAILURES && self.is_down(now)
    }

    /// Whether other hosts should know of it.
    pub(crate) fn is_told(&self, now: Time) -> bool {
        self.is_slow(now) || self.is_lost(now)
    }

    /// What other hosts should know of it.
    pub(crate) fn report(&self, backend: &id::Backend, now: Time) -> Report {
        Report {
            backend: backend.clone(),
            slowness: self.slowness,
            failing: if self.is_lost(now) { 1.0 } else { self.failing },
            age: now.saturating_sub(self.learnt),
        }
    }

    /// Takes in what another host has learnt, unless this host's knowledge is as new but for `same`; says
    /// whether it did.
    pub(crate) fn hear(&mut self, report: &Report, now: Time, same: Duration) -> bool {
        let learnt = now.saturating_sub(report.age);
        let newer = learnt > self.learnt + same;
        if newer {
            self.slowness = report.slowness.clamp(0.0, MOST_KNOWN);
            self.failing = report.failing.clamp(0.0, 1.0);
            self.learnt = learnt;
            self.heard = true;
        }
        newer
    }

    /// Sends without a reply.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Time until a reply, if the route's ordinary one takes `typical`.
    pub fn expected(&self, now: Time, typical: Duration, slots: u32) -> Duration {
        let memory = self.memory(now);
        let typical = typical.as_secs_f64();
        let slowness = 1.0 + (self.slowness.max(0.1) - 1.0) * memory;
        let slots = f64::from(slots.max(1));
        let told = self.load.filter(|(_, at)| *at + LOAD_MEMORY > now);
        let told = told.map_or(0, |(load, _)| load.running + load.waiting);
        let ahead = (self.pending.len() as f64).max(f64::from(told));
        let own = typical * slowness;
        let queue = own * (ahead + 1.0 - slots).max(0.0) / slots;
        let failing = self.failing * memory * typical * FAILURE_COST;
        Duration::from_secs_f64(own + queue + failing + self.stuck(now, own))
    }

    /// How much longer a server that has stopped answering is likely to stay silent.
    ///
    /// A pause of unknown length has lasted half its time on average when it is noticed, so it is
    /// held to go on for as long as it has lasted.
    fn stuck(&self, now: Time, own: f64) -> f64 {
        let oldest = self.pending.first().map_or(now, |(_, sent)| *sent);
        let age = now.saturating_sub(oldest).as_secs_f64();
        let queue = (self.pending.len() as f64).max(1.0);
        match age > own * STUCK_AFTER + own * (queue - 1.0) / 2.0 {
            true => age,
            false => 0.0,
        }
    }
}
