//! The state that an owner keeps for one backend server.

use crate::queue::Flight;
use crate::queue::Waiting;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_core::sub::Report;
use lentillift_core::time::Time;
use lentillift_fleet::lease_manager::Transfer;
use lentillift_policy::count::Name;
use lentillift_policy::health;
use lentillift_policy::health::Health;
use lentillift_policy::latency::Latency;
use lentillift_policy::queue::Job;
use lentillift_policy::queue::Queue;
use lentillift_policy::queue::Slot;
use lentillift_policy::queue::Ticket;
use lentillift_policy::slots;
use lentillift_policy::slots::Slots;
use lentillift_policy::warmup;
use lentillift_policy::warmup::Sign;
use lentillift_policy::warmup::Warmup;
use lentillift_settings::config::Service;
use lentillift_settings::policy::Policy;
use std::fmt;
use std::time::Duration;

/// Latency of a reply that counts towards the warm-up, in percent of the baseline. A cold server
/// takes 1.6 times as long or more; two in three ordinary replies are below it even where times are
/// exponential.
const WARM_PERCENT: u32 = 150;

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct Running {
    ticket: Ticket,
    since: Time,
    heavy: bool,
}

/// A change of state worth telling an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It went cold.
    Chilled(Sign),
    /// Its warm-up is over.
    Warm,
    /// It gets nothing for a while.
    Paused,
    /// It is held to be well again.
    Well,
    /// It says that it is leaving.
    Leaving,
    /// Its slot limit fell.
    Fell,
    /// Its slot limit rose.
    Rose,
}

impl Change {
    /// The counter of such changes.
    pub fn counter(self) -> Name {
        match self {
            Self::Chilled(_) => "lentillift_backend_chilled_total",
            Self::Warm => "lentillift_backend_warm_total",
            Self::Paused => "lentillift_backend_paused_total",
            Self::Well => "lentillift_backend_well_total",
            Self::Leaving => "lentillift_backend_leaving_total",
            Self::Fell => "lentillift_backend_limit_fell_total",
            Self::Rose => "lentillift_backend_limit_rose_total",
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chilled(Sign::Connection) => "cold: connection failed",
            Self::Chilled(Sign::Incarnation) => "cold: new incarnation",
            Self::Chilled(Sign::Latency) => "cold: latency jumped",
            Self::Chilled(Sign::Report) => "cold: by its own report",
            Self::Warm => "warm",
            Self::Paused => "paused after failures",
            Self::Well => "well again",
            Self::Leaving => "leaving by its own report",
            Self::Fell => "slot limit lowered",
            Self::Rose => "slot limit raised",
        })
    }
}

/// The state that an owner keeps for one backend server.
#[derive(Debug)]
pub struct Server {
    /// Sub-requests that wait for a slot.
    pub queue: Queue<Waiting>,
    /// How far the server has warmed up.
    pub warmup: Warmup,
    /// How many requests it gets when warm.
    pub slots: Slots,
    /// What its own results say of it.
    pub health: Health,
    /// Requests that it still has from the holder before, and when the last of them is over.
    inherited: (u32, Time),
    // INVARIANT: Never made longer while it and `inherited` make up the limit in force.
    running: Vec<Running>,
    latency: Latency,
    incarnation: Option<id::Incarnation>,
    /// When its queue next wants attention, as the owner has noted it.
    pub wake: Option<Time>,
}

impl Server {
    /// Starts with a server that is held to be cold.
    pub fn new(policy: &Policy, service: &Service) -> Self {
        Self {
            queue: Queue::default(),
            warmup: Warmup::new(&policy.warmup, service.cold_slots, service.slots),
            slots: Slots::new(service.slots),
            health: Health::default(),
            inherited: (0, Time::ZERO),
            running: Vec::new(),
            latency: Latency::default(),
            incarnation: None,
            wake: None,
        }
    }

    /// Takes in newly published figures.
    pub fn configure(&mut self, policy: &Policy, service: &Service) {
        let (cold, warm) = (service.cold_slots, service.slots);
        self.warmup.set_limits(&policy.warmup, cold, warm);
        self.slots.set_ceiling(warm);
    }

    /// How many requests may be in flight now: the least of all limits.
    pub fn limit(&self, policy: &Policy, now: Time) -> u32 {
        let limit = self.warmup.limit().min(self.slots.limit());
        match self.health.next(&policy.health, now) {
            health::Next::Serve => limit,
            health::Next::Probe => limit.min(1),
            health::Next::Stop => 0,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Whether one more request may be sent now.
    pub fn has_room(&self, policy: &Policy, now: Time) -> bool {
        self.occupied(now) < self.limit(policy, now)
    }

    /// Requests in flight, those of the holder before included.
    pub fn occupied(&self, now: Time) -> u32 {
        let (count, over) = self.inherited;
        self.in_flight() + if now < over { count } else { 0 }
    }

    /// When the last request of the holder before is over.
    pub fn inherited_until(&self) -> Time {
        self.inherited.1
    }

    /// Starts anew with a lease: cold, or as the holder before has left it.
    pub fn adopt(
        &mut self,
        policy: &Policy,
        now: Time,
        service: &Service,
        transfer: Option<&Transfer>,
    ) {
        self.warmup = Warmup::new(&policy.warmup, service.cold_slots, service.slots);
        if let Some(transfer) = transfer {
            self.warmup.resume(transfer.limit);
            self.inherited = (transfer.in_flight, now + transfer.left);
        }
    }

    /// The slot that the next request would get.
    pub fn slot(&self, policy: &Policy, now: Time) -> Slot {
        let heavy = self.running.iter().filter(|running| running.heavy).count() as u32;
        match heavy < self.limit(policy, now).saturating_sub(1).max(1) {
            true => Slot::Open,
            false => Slot::Reserved,
        }
    }

    /// Time that a request of a caller whose requests usually cost `cost` will take.
    pub fn expected(&self, cost: Duration) -> Duration {
        let baseline = self.latency.baseline();
        if baseline.is_zero() {
            return cost;
        }
        // A server that is slow now is as slow for all callers.
        cost.mul_f64(self.latency.recent().as_secs_f64() / baseline.as_secs_f64())
    }

    /// Time until `job` would be sent.
    pub fn wait(&self, policy: &Policy, now: Time, job: &Job) -> Duration {
        if self.queue.is_empty() && self.has_room(policy, now) {
            return Duration::ZERO;
        }
        let limit = self.limit(policy, now).max(1);
        let left = self.running.iter().map(|running| self.left(now, running));
        let first = left.min().unwrap_or_default();
        // The queue's work is in baseline time; a server that is slow now takes longer for it.
        first + self.expected(self.queue.ahead(job)) / limit
    }

    /// Time that a request in flight will still take.
    fn left(&self, now: Time, running: &Running) -> Duration {
        let age = now.saturating_sub(running.since);
        match self.latency.recent().checked_sub(age) {
            Some(left) => left,
            // The longer it has taken, the longer it may still take.
            None => age,
        }
    }

    /// Why new work is turned away whatever the queue holds, if it is.
    pub fn objection(&self, policy: &Policy, now: Time) -> Option<Failure> {
        match self.health.next(&policy.health, now) {
            health::Next::Serve => None,
            // A second request would wait behind one that may hang.
            health::Next::Probe if self.running.is_empty() => None,
            _ if self.health.is_leaving() => Some(Failure::Out),
            _ => Some(Failure::Connection),
        }
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, ticket: Ticket, now: Time, heavy: bool) {
        self.running.push(Running {
            ticket,
            since: now,
            heavy,
        });
    }

    /// Takes in what came of a request, and says what that changed.
    pub fn done(
        &mut self,
        policy: &Policy,
        now: Time,
        ticket: Ticket,
        flight: &Flight,
        result: &sub::Result,
        report: &Report,
    ) -> Vec<Change> {
        self.running.retain(|running| running.ticket != ticket);
        let mut changes = Vec::new();
        let latency = now.saturating_sub(flight.since);
        match result {
            sub::Result::Hits(_) | sub::Result::Reply(_) => {
                if self.health.success() == health::Change::Well {
                    changes.push(Change::Well);
                }
                let cold = self.reported(policy, now, report, &mut changes);
                self.replied(policy, latency, flight, !cold, &mut changes);
            }
            sub::Result::Failed { failure, .. } => match failure {
                Failure::Connection | Failure::Ended => {
                    self.chill(policy, Sign::Connection, &mut changes);
                    self.failed(policy, now, &mut changes);
                }
                Failure::Timeout if flight.long => {}
                Failure::Timeout => self.timed_out(policy, now, latency, &mut changes),
                Failure::Malformed => self.failed(policy, now, &mut changes),
                Failure::Shed => {
                    let slow = policy.slots.slow_percent + 1;
                    self.slots_noted(policy, slow, &mut changes);
                    self.reported(policy, now, report, &mut changes);
                }
                _ => {}
            },
        }
        changes
    }

    /// Takes in a reply's latency.
    fn replied(
        &mut self,
        policy: &Policy,
        latency: Duration,
        flight: &Flight,
        counts: bool,
        changes: &mut Vec<Change>,
    ) {
        // A long request says nothing of the server, nor does one that it was told to give up.
        let slow = self.is_slow(policy, latency);
        if flight.long || (flight.cancelled && !slow) {
            return;
        }
        let percent = self.latency.note(latency);
        self.slots_noted(policy, percent, changes);
        if let Some(sign) = self.warmup.note_latency(&policy.warmup, percent) {
            self.chill(policy, sign, changes);
        } else if counts
            && percent <= WARM_PERCENT
            && self.warmup.success(&policy.warmup) == warmup::Step::Rose
            && self.warmup.is_warm()
        {
            changes.push(Change::Warm);
        }
    }

    /// Takes in what the server says of itself; says whether it is believed to be cold.
    fn reported(
        &mut self,
        policy: &Policy,
        now: Time,
        report: &Report,
        changes: &mut Vec<Change>,
    ) -> bool {
        let cold = self.warmup.note_report(&policy.warmup, now, report.cold);
        if let Some(sign) = cold {
            self.chill(policy, sign, changes);
        }
        if let Some(new) = report.incarnation
            && self.incarnation.replace(new).is_some_and(|old| old != new)
        {
            self.chill(policy, Sign::Incarnation, changes);
        }
        if self.health.note_leaving(now, report.draining) {
            changes.push(Change::Leaving);
        }
        cold.is_some()
    }

    /// Takes in a reply that did not come in time.
    ///
    /// A request that was sent just before its deadline says nothing of the server.
    fn timed_out(
        &mut self,
        policy: &Policy,
        now: Time,
        latency: Duration,
        changes: &mut Vec<Change>,
    ) {
        if !self.is_slow(policy, latency) {
            return;
        }
        let percent = self.latency.note(latency);
        self.slots_noted(policy, percent, changes);
        self.failed(policy, now, changes);
    }

    fn is_slow(&self, policy: &Policy, latency: Duration) -> bool {
        latency * 100 > self.latency.baseline() * policy.slots.slow_percent
    }

    fn slots_noted(&mut self, policy: &Policy, percent: u32, changes: &mut Vec<Change>) {
        match self.slots.note(&policy.slots, percent) {
            slots::Change::Same => {}
            slots::Change::Fell => changes.push(Change::Fell),
            slots::Change::Rose => changes.push(Change::Rose),
        }
    }

    fn failed(&mut self, policy: &Policy, now: Time, changes: &mut Vec<Change>) {
        if self.health.failure(&policy.health, now) == health::Change::Paused {
            changes.push(Change::Paused);
            self.chill(policy, Sign::Connection, changes);
        }
    }

    fn chill(&mut self, policy: &Policy, sign: Sign, changes: &mut Vec<Change>) {
        if self.warmup.chill(&policy.warmup) {
            changes.push(Change::Chilled(sign));
        }
    }

    /// Its load, for entries.
    pub fn load(&self, policy: &Policy, now: Time, job: &Job) -> Load {
        Load {
            queued: self.queue.len() as u32,
            running: self.in_flight(),
            limit: self.limit(policy, now),
            cold: !self.warmup.is_warm(),
            wait: self.wait(policy, now, job),
            run: self.latency.recent(),
        }
    }
}
