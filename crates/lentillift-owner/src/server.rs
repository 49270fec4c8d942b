//! The state that an owner keeps for one backend server.

use crate::queue::InFlight;
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
use lentillift_policy::warmup::ColdSignal;
use lentillift_policy::warmup::Warmup;
use lentillift_settings::config::Service;
use lentillift_settings::policy::Policy;
use std::fmt;
use std::time::Duration;

/// Maximum latency of a reply that counts towards the warm-up, in percent of the baseline. A cold
/// server takes 1.6 times the baseline or longer; with exponential service times, two in three
/// ordinary replies are below this.
const MAX_WARM_PERCENT: u32 = 150;

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct Running {
    ticket: Ticket,
    sent_at: Time,
    heavy: bool,
}

/// A change of a backend server's state that is reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It went cold.
    Chilled(ColdSignal),
    /// Its warm-up is complete.
    Warm,
    /// It gets nothing for a while, after consecutive failures.
    Paused,
    /// It has recovered from a pause.
    Well,
    /// It reports that it is leaving.
    Leaving,
    /// Its slot limit fell.
    Fell,
    /// Its slot limit rose.
    Rose,
}

impl Change {
    /// Name of the metric that counts such changes.
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
            Self::Chilled(ColdSignal::Connection) => "cold: connection failed",
            Self::Chilled(ColdSignal::Incarnation) => "cold: new incarnation",
            Self::Chilled(ColdSignal::Latency) => "cold: latency jumped",
            Self::Chilled(ColdSignal::Report) => "cold: by its own report",
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
    /// Concurrency limit during the warm-up.
    pub warmup: Warmup,
    /// Adaptive concurrency limit of the warm server.
    pub slots: Slots,
    /// Circuit breaker, driven by the results of the server's requests.
    pub health: Health,
    /// Requests in flight from the previous holder, and when the last of them ends.
    inherited: (u32, Time),
    // INVARIANT: Does not grow while it and `inherited` together reach the limit in force.
    running: Vec<Running>,
    latency: Latency,
    incarnation: Option<id::Incarnation>,
    /// The owner's pending wake-up for this server's queue.
    pub wake: Option<Time>,
}

impl Server {
    /// Starts cold.
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

    /// Applies the limits of a newly published configuration.
    pub fn configure(&mut self, policy: &Policy, service: &Service) {
        let (cold, warm) = (service.cold_slots, service.slots);
        self.warmup.set_limits(&policy.warmup, cold, warm);
        self.slots.set_ceiling(warm);
    }

    /// How many requests may be in flight now: the minimum of all limits.
    pub fn limit(&self, policy: &Policy, now: Time) -> u32 {
        let limit = self.warmup.limit().min(self.slots.limit());
        match self.health.state(&policy.health, now) {
            health::State::Serve => limit,
            health::State::Probe => limit.min(1),
            health::State::Stop => 0,
        }
    }

    /// Number of requests in flight from this process.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether no request waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Whether one more request may be sent now.
    pub fn has_free_slot(&self, policy: &Policy, now: Time) -> bool {
        self.occupied(now) < self.limit(policy, now)
    }

    /// Number of requests in flight, those of the previous holder included.
    pub fn occupied(&self, now: Time) -> u32 {
        let (count, end) = self.inherited;
        self.in_flight() + if now < end { count } else { 0 }
    }

    /// When the last request of the previous holder ends.
    pub fn inherited_until(&self) -> Time {
        self.inherited.1
    }

    /// Resets the warm-up at the start of a lease: to cold, or to the state that the previous
    /// holder handed over.
    pub fn start_lease(
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

    /// Kind of the slot that the next request would get.
    pub fn next_slot(&self, policy: &Policy, now: Time) -> Slot {
        let heavy = self.running.iter().filter(|running| running.heavy).count() as u32;
        match heavy < self.limit(policy, now).saturating_sub(1).max(1) {
            true => Slot::Open,
            false => Slot::Reserved,
        }
    }

    /// Expected run time here of a request whose usual cost is `cost`.
    pub fn expected_run_time(&self, cost: Duration) -> Duration {
        let baseline = self.latency.baseline();
        if baseline.is_zero() {
            return cost;
        }
        // A slowdown of the server is assumed to affect all callers alike.
        cost.mul_f64(self.latency.recent().as_secs_f64() / baseline.as_secs_f64())
    }

    /// Expected time until `job` would be sent.
    pub fn expected_wait(&self, policy: &Policy, now: Time, job: &Job) -> Duration {
        if self.queue.is_empty() && self.has_free_slot(policy, now) {
            return Duration::ZERO;
        }
        let limit = self.limit(policy, now).max(1);
        let remaining = self
            .running
            .iter()
            .map(|running| self.remaining(now, running));
        let first = remaining.min().unwrap_or_default();
        // The queue's work is in baseline time; a server that is slow now takes longer for it.
        first + self.expected_run_time(self.queue.work_ahead(job)) / limit
    }

    /// Expected remaining time of a request in flight.
    fn remaining(&self, now: Time, running: &Running) -> Duration {
        let age = now.saturating_sub(running.sent_at);
        match self.latency.recent().checked_sub(age) {
            Some(remaining) => remaining,
            // It is overdue: the longer it has taken, the longer it may still take.
            None => age,
        }
    }

    /// Reason to refuse new work whatever the queue holds; `None` if there is none.
    pub fn rejection(&self, policy: &Policy, now: Time) -> Option<Failure> {
        match self.health.state(&policy.health, now) {
            health::State::Serve => None,
            // A second request would wait behind a probe that may hang.
            health::State::Probe if self.running.is_empty() => None,
            _ if self.health.is_leaving() => Some(Failure::Out),
            _ => Some(Failure::Connection),
        }
    }

    /// Records that a request was sent; `heavy` is [`Dequeued::heavy`].
    ///
    /// [`Dequeued::heavy`]: lentillift_policy::queue::Dequeued::heavy
    pub fn record_sent(&mut self, ticket: Ticket, now: Time, heavy: bool) {
        self.running.push(Running {
            ticket,
            sent_at: now,
            heavy,
        });
    }

    /// Records the result of a request; returns the changes of state that it caused.
    pub fn record_result(
        &mut self,
        policy: &Policy,
        now: Time,
        ticket: Ticket,
        request: &InFlight,
        result: &sub::Result,
        report: &Report,
    ) -> Vec<Change> {
        self.running.retain(|running| running.ticket != ticket);
        let mut changes = Vec::new();
        let latency = now.saturating_sub(request.sent_at);
        match result {
            sub::Result::Hits(_) | sub::Result::Reply(_) => {
                if self.health.record_success() == health::Change::Well {
                    changes.push(Change::Well);
                }
                let cold = self.record_report(policy, now, report, &mut changes);
                self.record_reply(policy, latency, request, !cold, &mut changes);
            }
            sub::Result::Failed { failure, .. } => match failure {
                Failure::Connection | Failure::Ended => {
                    self.reset_to_cold(policy, ColdSignal::Connection, &mut changes);
                    self.record_failure(policy, now, &mut changes);
                }
                Failure::Timeout if request.long => {}
                Failure::Timeout => self.record_timeout(policy, now, latency, &mut changes),
                Failure::Malformed => self.record_failure(policy, now, &mut changes),
                Failure::Shed => {
                    let slow = policy.slots.slow_percent + 1;
                    self.adjust_slots(policy, slow, &mut changes);
                    self.record_report(policy, now, report, &mut changes);
                }
                _ => {}
            },
        }
        changes
    }

    /// Records the latency of a reply; `may_warm` is whether it may count towards the warm-up.
    fn record_reply(
        &mut self,
        policy: &Policy,
        latency: Duration,
        request: &InFlight,
        may_warm: bool,
        changes: &mut Vec<Change>,
    ) {
        // The latency of a long request says nothing about the server, nor does a quick reply to a
        // cancelled one, which the server may have cut short.
        let slow = self.is_slow(policy, latency);
        if request.long || (request.cancelled && !slow) {
            return;
        }
        let percent = self.latency.record(latency);
        self.adjust_slots(policy, percent, changes);
        if let Some(signal) = self.warmup.record_latency(&policy.warmup, percent) {
            self.reset_to_cold(policy, signal, changes);
        } else if may_warm
            && percent <= MAX_WARM_PERCENT
            && self.warmup.record_success(&policy.warmup) == warmup::Change::Rose
            && self.warmup.is_warm()
        {
            changes.push(Change::Warm);
        }
    }

    /// Records the server's own report; returns whether the server counts as cold by it.
    fn record_report(
        &mut self,
        policy: &Policy,
        now: Time,
        report: &Report,
        changes: &mut Vec<Change>,
    ) -> bool {
        let cold = self.warmup.record_report(&policy.warmup, now, report.cold);
        if let Some(signal) = cold {
            self.reset_to_cold(policy, signal, changes);
        }
        if let Some(new) = report.incarnation
            && self.incarnation.replace(new).is_some_and(|old| old != new)
        {
            self.reset_to_cold(policy, ColdSignal::Incarnation, changes);
        }
        if self.health.record_leaving(now, report.draining) {
            changes.push(Change::Leaving);
        }
        cold.is_some()
    }

    /// Records a request that timed out.
    ///
    /// It counts only if the server had it for long enough: a request that was sent just before its
    /// deadline says nothing about the server.
    fn record_timeout(
        &mut self,
        policy: &Policy,
        now: Time,
        latency: Duration,
        changes: &mut Vec<Change>,
    ) {
        if !self.is_slow(policy, latency) {
            return;
        }
        let percent = self.latency.record(latency);
        self.adjust_slots(policy, percent, changes);
        self.record_failure(policy, now, changes);
    }

    fn is_slow(&self, policy: &Policy, latency: Duration) -> bool {
        latency * 100 > self.latency.baseline() * policy.slots.slow_percent
    }

    fn adjust_slots(&mut self, policy: &Policy, percent: u32, changes: &mut Vec<Change>) {
        match self.slots.record(&policy.slots, percent) {
            slots::Change::Same => {}
            slots::Change::Fell => changes.push(Change::Fell),
            slots::Change::Rose => changes.push(Change::Rose),
        }
    }

    fn record_failure(&mut self, policy: &Policy, now: Time, changes: &mut Vec<Change>) {
        if self.health.record_failure(&policy.health, now) == health::Change::Paused {
            changes.push(Change::Paused);
            self.reset_to_cold(policy, ColdSignal::Connection, changes);
        }
    }

    fn reset_to_cold(&mut self, policy: &Policy, signal: ColdSignal, changes: &mut Vec<Change>) {
        if self.warmup.reset_to_cold(&policy.warmup) {
            changes.push(Change::Chilled(signal));
        }
    }

    /// The server's load as sent to entries, with the wait that `job` would have.
    pub fn load(&self, policy: &Policy, now: Time, job: &Job) -> Load {
        Load {
            queued: self.queue.len() as u32,
            running: self.in_flight(),
            limit: self.limit(policy, now),
            cold: !self.warmup.is_warm(),
            wait: self.expected_wait(policy, now, job),
            run: self.latency.recent(),
        }
    }
}
