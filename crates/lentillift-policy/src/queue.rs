//! Which sub-request a backend server gets next.
//!
//! Patterns: a burst, a hot caller, long requests among short ones. Without this module requests
//! go in the order of their arrival: a burst is served late in full, since each waits behind those
//! whose callers have given up; one caller's flood delays all others; long requests take all slots
//! and short ones wait for seconds.
//!
//! - The class with the lowest rank goes first.
//! - Within a class, callers share by weight. Start-time fair queueing gives the bounds of deficit
//!   round robin, and finds the next caller in logarithmic time also when one request costs a
//!   thousand quanta.
//! - A request leaves when it expires, whether or not a slot is free; what can't be served before
//!   its expiry is not taken in at all ([`Queue::ahead`]).
//! - Long requests, and those of a caller that has had far more than its share lately, leave one
//!   slot to the others ([`Slot::Reserved`]), who would else wait for their end.
//!
//! Figures: with 2 slots the reserved one is half of the capacity, which only those lose who take
//! more than the others; a caller is far over its share from one and a half times it, which two callers with the
//! same weight reach when one has three quarters.
//!
//! The length is bounded by time: whoever arrives is told at once if its turn would come too late.

use crate::share::Shares;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::policy::Queue as Options;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Callers that are looked at for the reserved slot; with more of them none is far over its share.
const LANES: usize = 8;

/// Number of a request; later ones have higher numbers.
pub type Ticket = u64;

/// The free slot that a request is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// One that anything may have.
    Open,
    /// The last one that is left to short requests of callers within their shares.
    Reserved,
}

/// A request whose turn it is.
#[derive(Debug)]
pub struct Turn<T> {
    /// Its number.
    pub ticket: Ticket,
    /// What the queue was told of it.
    pub job: Job,
    /// The request.
    pub item: T,
    /// Whether it is long, or its caller far over its share.
    pub heavy: bool,
}

/// What the queue needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Rank of its class; 0 goes first.
    pub rank: u8,
    /// Its caller.
    pub caller: id::Caller,
    /// The caller's weight; 0 counts as 1.
    pub weight: u32,
    /// Time that it is expected to take.
    pub cost: Duration,
    /// Whether it is long beside the others.
    pub long: bool,
    /// When it is of no more use to start it.
    pub expiry: Time,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting<T> {
    job: Job,
    item: T,
}

/// Requests of one caller.
#[derive(Debug)]
struct Lane<T> {
    waiting: BTreeMap<Ticket, Waiting<T>>,
    weight: u32,
    /// Virtual time at which its first request starts.
    start: u64,
    /// Cost of all its requests.
    work: Duration,
}

/// Requests of one class.
#[derive(Debug)]
struct Band<T> {
    lanes: HashMap<id::Caller, Lane<T>>,
    /// Lanes by virtual start, those with a short request first in line apart from the others.
    short: BTreeSet<(u64, id::Caller)>,
    long: BTreeSet<(u64, id::Caller)>,
    /// Lanes without a request whose start lies ahead of `clock`.
    ///
    /// Were they forgotten, a caller that sends its next request as soon as the last one was taken
    /// would start at the clock again and again, and all others would wait for ever.
    idle: BTreeSet<(u64, id::Caller)>,
    /// Virtual time: the start of the request that was taken last.
    clock: u64,
    work: Duration,
    /// Weight of all lanes with a request.
    weight: u64,
    shares: Shares,
}

/// Requests that wait for a slot of one backend server.
#[derive(Debug)]
pub struct Queue<T> {
    bands: BTreeMap<u8, Band<T>>,
    places: HashMap<Ticket, (u8, id::Caller)>,
    expiries: BTreeSet<(Time, Ticket)>,
}

impl<T> Default for Band<T> {
    fn default() -> Self {
        Self {
            lanes: HashMap::new(),
            short: BTreeSet::new(),
            long: BTreeSet::new(),
            idle: BTreeSet::new(),
            clock: 0,
            work: Duration::ZERO,
            weight: 0,
            shares: Shares::default(),
        }
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            bands: BTreeMap::new(),
            places: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }
}

impl<T> Lane<T> {
    fn first_is_long(&self) -> bool {
        self.waiting.values().next().is_some_and(|w| w.job.long)
    }
}

impl<T> Band<T> {
    /// Takes a lane out of the order; to be called before its start or first request changes.
    fn unlink(&mut self, caller: &id::Caller) {
        if let Some(lane) = self.lanes.get(caller) {
            let key = (lane.start, caller.clone());
            self.short.remove(&key);
            self.long.remove(&key);
            self.idle.remove(&key);
        }
    }

    /// Puts a lane into the order again.
    fn link(&mut self, caller: &id::Caller) {
        let Some(lane) = self.lanes.get(caller) else {
            return;
        };
        let key = (lane.start, caller.clone());
        let order = match (lane.waiting.is_empty(), lane.first_is_long()) {
            (true, _) => &mut self.idle,
            (false, true) => &mut self.long,
            (false, false) => &mut self.short,
        };
        order.insert(key);
    }

    /// Forgets lanes without a request that have no debt left.
    fn forget(&mut self) {
        if self.weight == 0 {
            *self = Self {
                shares: std::mem::take(&mut self.shares),
                ..Self::default()
            };
        }
        while let Some((start, _)) = self.idle.first()
            && *start <= self.clock
            && let Some((_, caller)) = self.idle.pop_first()
        {
            self.lanes.remove(&caller);
        }
    }

    fn push(&mut self, ticket: Ticket, job: Job, item: T) {
        let caller = job.caller.clone();
        self.unlink(&caller);
        self.work += job.cost;
        let lane = self.lanes.entry(caller.clone()).or_insert_with(|| Lane {
            waiting: BTreeMap::new(),
            weight: 0,
            // A caller that was away has no claim to the time it did not use.
            start: self.clock,
            work: Duration::ZERO,
        });
        if lane.waiting.is_empty() {
            lane.weight = job.weight.max(1);
            self.weight += u64::from(lane.weight);
        }
        lane.work += job.cost;
        lane.waiting.insert(ticket, Waiting { job, item });
        self.link(&caller);
    }

    fn remove(&mut self, caller: &id::Caller, ticket: Ticket) -> Option<Waiting<T>> {
        self.unlink(caller);
        let lane = self.lanes.get_mut(caller)?;
        let waiting = lane.waiting.remove(&ticket);
        if let Some(waiting) = &waiting {
            lane.work = lane.work.saturating_sub(waiting.job.cost);
            self.work = self.work.saturating_sub(waiting.job.cost);
            if lane.waiting.is_empty() {
                self.weight -= u64::from(lane.weight);
            }
        }
        self.link(caller);
        waiting
    }

    /// The caller whose turn it is.
    fn turn(&self, now: Time, slot: Slot, excess: f64) -> Option<id::Caller> {
        let short = self.short.first();
        let next = match slot {
            Slot::Open => short.into_iter().chain(self.long.first()).min(),
            Slot::Reserved => {
                let within = |(_, caller): &&(u64, id::Caller)| {
                    excess <= 0.0 || self.shares.excess(now, caller) < excess
                };
                self.short.iter().take(LANES).find(within)
            }
        };
        next.map(|(_, caller)| caller.clone())
    }

    fn pop(&mut self, now: Time, slot: Slot, excess: f64) -> Option<Turn<T>> {
        let caller = self.turn(now, slot, excess)?;
        let over = excess > 0.0 && self.shares.excess(now, &caller) >= excess;
        let lane = self.lanes.get(&caller)?;
        let ticket = *lane.waiting.first_key_value()?.0;
        self.clock = lane.start;
        let waiting = self.remove(&caller, ticket)?;
        self.unlink(&caller);
        if let Some(lane) = self.lanes.get_mut(&caller) {
            let cost = waiting.job.cost.as_micros().max(1) as u64;
            lane.start += (cost / u64::from(lane.weight)).max(1);
            self.shares.note(now, &caller, lane.weight, cost as f64);
        }
        self.link(&caller);
        self.forget();
        Some(Turn {
            ticket,
            heavy: waiting.job.long || over,
            job: waiting.job,
            item: waiting.item,
        })
    }
}

impl<T> Queue<T> {
    /// Appends a request.
    pub fn push(&mut self, ticket: Ticket, job: Job, item: T) {
        self.places.insert(ticket, (job.rank, job.caller.clone()));
        self.expiries.insert((job.expiry, ticket));
        let band = self.bands.entry(job.rank).or_default();
        band.push(ticket, job, item);
    }

    /// Takes the next request to send.
    pub fn pop(&mut self, options: &Options, now: Time, slot: Slot) -> Option<Turn<T>> {
        let excess = f64::from(options.excess_percent) / 100.0;
        let mut bands = self.bands.values_mut();
        let turn = bands.find_map(|band| band.pop(now, slot, excess))?;
        self.places.remove(&turn.ticket);
        self.expiries.remove(&(turn.job.expiry, turn.ticket));
        Some(turn)
    }

    /// Takes out all requests.
    pub fn drain(&mut self) -> Vec<T> {
        let queue = std::mem::take(self);
        let lanes = queue
            .bands
            .into_values()
            .flat_map(|band| band.lanes.into_values());
        let waiting = lanes.flat_map(|lane| lane.waiting);
        let waiting: BTreeMap<Ticket, Waiting<T>> = waiting.collect();
        waiting.into_values().map(|waiting| waiting.item).collect()
    }

    /// Takes out a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let (rank, caller) = self.places.remove(&ticket)?;
        let band = self.bands.get_mut(&rank)?;
        let waiting = band.remove(&caller, ticket)?;
        band.forget();
        self.expiries.remove(&(waiting.job.expiry, ticket));
        Some(waiting.item)
    }

    /// Takes out a request whose expiry has come.
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

    /// Work that goes before a request which is not in the queue yet.
    ///
    /// That is all of better classes, and of its own class what the shares allow: at most as much
    /// as waits, and at most its own lane's work times the reciprocal of its share.
    pub fn work_ahead(&self, job: &Job) -> Duration {
        let better = self.bands.range(..job.rank);
        let better: Duration = better.map(|(_, band)| band.work).sum();
        let Some(band) = self.bands.get(&job.rank) else {
            return better;
        };
        let lane = band.lanes.get(&job.caller);
        let lane = lane.filter(|lane| !lane.waiting.is_empty());
        let own = lane.map_or(Duration::ZERO, |lane| lane.work);
        let mine = f64::from(lane.map_or(job.weight.max(1), |lane| lane.weight));
        let all = band.weight as f64 + if lane.is_none() { mine } else { 0.0 };
        let fair = own.mul_f64(all / mine) + job.cost.mul_f64(all / mine - 1.0);
        better + band.work.min(fair)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
