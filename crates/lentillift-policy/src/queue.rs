//! Scheduling: which sub-request a backend server gets next.
//!
//! Patterns: a burst, a hot caller, long requests among short ones. Without this module requests
//! are sent in order of arrival: a burst is served late as a whole, because each request waits
//! behind others whose callers have given up; one caller's flood delays all others; long requests
//! occupy all slots, and short ones wait for seconds.
//!
//! - The class with the lowest rank goes first.
//! - Within a class, callers share by weight. Start-time fair queueing gives the bounds of deficit
//!   round robin, and finds the next caller in logarithmic time even when one request costs a
//!   thousand quanta.
//! - A request leaves the queue when it expires, whether or not a slot is free; one that cannot be
//!   served before its expiry is not queued at all ([`Queue::work_ahead`]).
//! - One slot is kept free of long requests and of callers that recently had far more than their
//!   share ([`Slot::Reserved`]); other requests would have to wait for these to finish.
//!
//! Defaults: with 2 slots the reserved one is half of the capacity, which only callers that take
//! more than the others lose. A caller is far over its share from one and a half times it; of two
//! callers with equal weights, one with three quarters of the usage reaches that.
//!
//! The length is bounded by time: a request that would be served too late is refused on arrival.

use crate::share::Shares;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::policy::Queue as Options;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Callers that are examined for the reserved slot; with more of them none is far over its share.
const RESERVED_SLOT_CALLERS: usize = 8;

/// Number of a request, in order of arrival.
pub type Ticket = u64;

/// Kind of the free slot that a request is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// A slot that any request may have.
    Open,
    /// The last slot, kept for short requests of callers within their shares.
    Reserved,
}

/// A request taken from the queue.
#[derive(Debug)]
pub struct Dequeued<T> {
    /// Its number.
    pub ticket: Ticket,
    /// The scheduling parameters it was queued with.
    pub job: Job,
    /// The request.
    pub item: T,
    /// Whether it is long, or its caller is far over its share.
    pub heavy: bool,
}

/// Scheduling parameters of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Rank of its class; 0 goes first.
    pub rank: u8,
    /// The caller whose share it counts towards.
    pub caller: id::Caller,
    /// The caller's weight; 0 counts as 1.
    pub weight: u32,
    /// Expected time that it occupies a slot, on a server at its baseline.
    pub cost: Duration,
    /// Whether it takes far longer than the service's median.
    pub long: bool,
    /// Latest time at which it is useful to start it.
    pub expiry: Time,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting<T> {
    job: Job,
    item: T,
}

/// Requests of one caller in one class.
#[derive(Debug)]
struct CallerQueue<T> {
    waiting: BTreeMap<Ticket, Waiting<T>>,
    weight: u32,
    /// Virtual start time of its first request, in microseconds of cost per unit of weight.
    start: u64,
    /// Cost of all its requests.
    work: Duration,
}

/// Requests of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    callers: HashMap<id::Caller, CallerQueue<T>>,
    /// Callers by virtual start time, in two sets by whether their first request is long.
    short: BTreeSet<(u64, id::Caller)>,
    long: BTreeSet<(u64, id::Caller)>,
    /// Callers without a request whose virtual start time is after `virtual_time`.
    ///
    /// If they were removed at once, a caller that sends its next request as soon as its last one
    /// is taken would start at the current virtual time each time, and starve all others.
    idle: BTreeSet<(u64, id::Caller)>,
    /// Virtual start time of the request that was taken last.
    virtual_time: u64,
    /// Cost of all requests.
    work: Duration,
    /// Weight of all callers with a request.
    weight: u64,
    shares: Shares,
}

/// Requests that wait for a slot of one backend server.
#[derive(Debug)]
pub struct Queue<T> {
    /// Requests by rank.
    classes: BTreeMap<u8, ClassQueue<T>>,
    /// Rank and caller of each request.
    locations: HashMap<Ticket, (u8, id::Caller)>,
    expiries: BTreeSet<(Time, Ticket)>,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            callers: HashMap::new(),
            short: BTreeSet::new(),
            long: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_time: 0,
            work: Duration::ZERO,
            weight: 0,
            shares: Shares::default(),
        }
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            locations: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }
}

impl<T> CallerQueue<T> {
    fn first_is_long(&self) -> bool {
        self.waiting.values().next().is_some_and(|w| w.job.long)
    }
}

impl<T> ClassQueue<T> {
    /// Removes a caller from the ordered sets; required before its start or first request changes.
    fn unlink(&mut self, caller: &id::Caller) {
        if let Some(queue) = self.callers.get(caller) {
            let key = (queue.start, caller.clone());
            self.short.remove(&key);
            self.long.remove(&key);
            self.idle.remove(&key);
        }
    }

    /// Inserts a caller into the ordered set it belongs to.
    fn link(&mut self, caller: &id::Caller) {
        let Some(queue) = self.callers.get(caller) else {
            return;
        };
        let key = (queue.start, caller.clone());
        let order = match (queue.waiting.is_empty(), queue.first_is_long()) {
            (true, _) => &mut self.idle,
            (false, true) => &mut self.long,
            (false, false) => &mut self.short,
        };
        order.insert(key);
    }

    /// Removes callers without a request once the virtual time has reached their start.
    fn remove_idle(&mut self) {
        if self.weight == 0 {
            *self = Self {
                shares: std::mem::take(&mut self.shares),
                ..Self::default()
            };
        }
        while let Some((start, _)) = self.idle.first()
            && *start <= self.virtual_time
            && let Some((_, caller)) = self.idle.pop_first()
        {
            self.callers.remove(&caller);
        }
    }

    fn push(&mut self, ticket: Ticket, job: Job, item: T) {
        let caller = job.caller.clone();
        self.unlink(&caller);
        self.work += job.cost;
        let queue = self
            .callers
            .entry(caller.clone())
            .or_insert_with(|| CallerQueue {
                waiting: BTreeMap::new(),
                weight: 0,
                // A caller gets no credit for time in which it had no requests.
                start: self.virtual_time,
                work: Duration::ZERO,
            });
        if queue.waiting.is_empty() {
            queue.weight = job.weight.max(1);
            self.weight += u64::from(queue.weight);
        }
        queue.work += job.cost;
        queue.waiting.insert(ticket, Waiting { job, item });
        self.link(&caller);
    }

    fn remove(&mut self, caller: &id::Caller, ticket: Ticket) -> Option<Waiting<T>> {
        self.unlink(caller);
        let queue = self.callers.get_mut(caller)?;
        let waiting = queue.waiting.remove(&ticket);
        if let Some(waiting) = &waiting {
            queue.work = queue.work.saturating_sub(waiting.job.cost);
            self.work = self.work.saturating_sub(waiting.job.cost);
            if queue.waiting.is_empty() {
                self.weight -= u64::from(queue.weight);
            }
        }
        self.link(caller);
        waiting
    }

    /// The caller with the earliest virtual start time that may have `slot`.
    fn next_caller(&self, now: Time, slot: Slot, max_excess: f64) -> Option<id::Caller> {
        let short = self.short.first();
        let next = match slot {
            Slot::Open => short.into_iter().chain(self.long.first()).min(),
            Slot::Reserved => {
                let within_share = |(_, caller): &&(u64, id::Caller)| {
                    max_excess <= 0.0 || self.shares.excess(now, caller) < max_excess
                };
                self.short
                    .iter()
                    .take(RESERVED_SLOT_CALLERS)
                    .find(within_share)
            }
        };
        next.map(|(_, caller)| caller.clone())
    }

    fn pop(&mut self, now: Time, slot: Slot, max_excess: f64) -> Option<Dequeued<T>> {
        let caller = self.next_caller(now, slot, max_excess)?;
        let over_share = max_excess > 0.0 && self.shares.excess(now, &caller) >= max_excess;
        let queue = self.callers.get(&caller)?;
        let ticket = *queue.waiting.first_key_value()?.0;
        self.virtual_time = queue.start;
        let waiting = self.remove(&caller, ticket)?;
        self.unlink(&caller);
        if let Some(queue) = self.callers.get_mut(&caller) {
            let cost = waiting.job.cost.as_micros().max(1) as u64;
            queue.start += (cost / u64::from(queue.weight)).max(1);
            self.shares.record(now, &caller, queue.weight, cost as f64);
        }
        self.link(&caller);
        self.remove_idle();
        Some(Dequeued {
            ticket,
            heavy: waiting.job.long || over_share,
            job: waiting.job,
            item: waiting.item,
        })
    }
}

impl<T> Queue<T> {
    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, job: Job, item: T) {
        self.locations
            .insert(ticket, (job.rank, job.caller.clone()));
        self.expiries.insert((job.expiry, ticket));
        let class = self.classes.entry(job.rank).or_default();
        class.push(ticket, job, item);
    }

    /// Takes the next request to send to `slot`.
    pub fn pop(&mut self, options: &Options, now: Time, slot: Slot) -> Option<Dequeued<T>> {
        let max_excess = f64::from(options.excess_percent) / 100.0;
        let mut classes = self.classes.values_mut();
        let next = classes.find_map(|class| class.pop(now, slot, max_excess))?;
        self.locations.remove(&next.ticket);
        self.expiries.remove(&(next.job.expiry, next.ticket));
        Some(next)
    }

    /// Removes all requests and returns them in order of arrival.
    pub fn drain(&mut self) -> Vec<T> {
        let queue = std::mem::take(self);
        let callers = queue
            .classes
            .into_values()
            .flat_map(|class| class.callers.into_values());
        let waiting = callers.flat_map(|caller| caller.waiting);
        let waiting: BTreeMap<Ticket, Waiting<T>> = waiting.collect();
        waiting.into_values().map(|waiting| waiting.item).collect()
    }

    /// Removes a request; `None` if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let (rank, caller) = self.locations.remove(&ticket)?;
        let class = self.classes.get_mut(&rank)?;
        let waiting = class.remove(&caller, ticket)?;
        class.remove_idle();
        self.expiries.remove(&(waiting.job.expiry, ticket));
        Some(waiting.item)
    }

    /// Removes the request that expired first, if any has.
    pub fn pop_expired(&mut self, now: Time) -> Option<(Ticket, T)> {
        let (expiry, ticket) = *self.expiries.first()?;
        if expiry > now {
            return None;
        }
        Some((ticket, self.remove(ticket)?))
    }

    /// When the next request expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Work that is served before a request that is not in the queue yet, in slot time.
    ///
    /// That is all work of better classes, and of the request's own class as much as fair queueing
    /// allows: at most the work that waits there, and at most the work of the caller's own queue
    /// divided by its share.
    pub fn work_ahead(&self, job: &Job) -> Duration {
        let better = self.classes.range(..job.rank);
        let better: Duration = better.map(|(_, class)| class.work).sum();
        let Some(class) = self.classes.get(&job.rank) else {
            return better;
        };
        let queue = class.callers.get(&job.caller);
        let queue = queue.filter(|queue| !queue.waiting.is_empty());
        let own_work = queue.map_or(Duration::ZERO, |queue| queue.work);
        let own_weight = f64::from(queue.map_or(job.weight.max(1), |queue| queue.weight));
        let all_weights = class.weight as f64 + if queue.is_none() { own_weight } else { 0.0 };
        let fair = own_work.mul_f64(all_weights / own_weight)
            + job.cost.mul_f64(all_weights / own_weight - 1.0);
        better + class.work.min(fair)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }
}
