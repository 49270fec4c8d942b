//! Runs a query: dispatches its sends, waits for them, and collects their results.

use crate::branch::BranchReply;
use crate::branch::Merged;
use crate::dialect::Dialect;
use crate::dispatch;
use crate::dispatch::Completion;
use crate::dispatch::Hop;
use crate::dispatch::InFlight;
use crate::exchange::ExchangeResult;
use crate::host::Host;
use crate::host::Stage;
use crate::message::Message;
use crate::metric;
use crate::part::Content;
use crate::part::RequestResult;
use crate::part::SendResult;
use crate::pool::ConnectionId;
use crate::source::Source;
use futures_util::FutureExt;
use futures_util::StreamExt;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::SharedRecord;
use lentillift_scatter::leg::Target;
use lentillift_scatter::outcome::Next;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::query::Query;
use lentillift_scatter::replica::SendId;
use lentillift_scatter::report::Report;
use lentillift_scatter::switch::Mechanism;
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::info;

/// Limit on the notes that are logged for one request, in bytes. Checked before each note, so the
/// last one may exceed it.
const MAX_NOTES_BYTES: usize = 2000;

/// Shortest timer that is set; the runtime's timers are no finer.
const MIN_WAIT: Duration = Duration::from_micros(500);

/// A query in progress and its sends. Dropping it cancels the sends, as when the caller
/// disconnects.
pub struct Run<D, S>
where
    D: Dialect,
    S: Source,
{
    host: Rc<Host<D, S>>,
    query: Query,
    in_flight: InFlight,
    message: Rc<Message>,
    authority: Rc<str>,
    results: HashMap<SendId, SendResult>,
    /// Connections on which a backend server rejected this request.
    rejected_on: Vec<ConnectionId>,
    /// Retries and failures of this request so far, for the log.
    notes: String,
    /// Lifecycle stage of this process.
    stage: watch::Receiver<Stage>,
    /// Whether the request's result is decided, so that dropping this is not an abandonment.
    finished: bool,
}

impl<D, S> Drop for Run<D, S>
where
    D: Dialect,
    S: Source,
{
    fn drop(&mut self) {
        let now = self.host.now();
        if !self.finished {
            let after = now.saturating_sub(self.query.plan().arrived);
            self.host.metrics.count(metric::REQUESTS, "abandoned");
            info!(
                event = "abandoned",
                id = %self.message.id,
                fingerprint = %self.message.fingerprint,
                after_ms = after.as_millis() as u64,
                notes = self.notes,
                stage = ?*self.host.stage.borrow(),
                "the caller disconnected, or this process is shutting down"
            );
        }
        // The cell is borrowed only if this is dropped in the middle of a decision.
        if let Ok(mut core) = self.host.core.try_borrow_mut() {
            self.query.abandon(&mut core, now);
        }
    }
}

/// Runs `plan` until there is an answer.
///
/// Sends still in flight then finish without the caller: cancelling them would close a connection
/// each, and their servers hold a slot no longer than until the deadline that they were given.
pub async fn run<D, S>(
    host: &Rc<Host<D, S>>,
    plan: Plan,
    message: Rc<Message>,
    authority: Rc<str>,
) -> RequestResult
where
    D: Dialect,
    S: Source,
{
    let mut run = Run::start(host, plan, message, authority);
    let next = run.run_until_decided().await;
    let done = run.take_result(next);
    // Dropped, the sends of a quarantined request close their connections, which may keep servers
    // from crashing.
    if !run.in_flight.is_empty() && !run.query.is_quarantined() {
        tokio::task::spawn_local(run.drain());
    }
    done
}

impl<D, S> Run<D, S>
where
    D: Dialect,
    S: Source,
{
    /// Starts `plan` and dispatches its first sends.
    pub fn start(
        host: &Rc<Host<D, S>>,
        plan: Plan,
        message: Rc<Message>,
        authority: Rc<str>,
    ) -> Self {
        let mut plan = plan;
        if let Some(due) = host.answers_due.get() {
            plan.end_by(due);
        }
        let (query, sends) = {
            let mut core = host.core.borrow_mut();
            let now = host.now();
            Query::start(&mut core, plan, now)
        };
        let mut run = Self {
            host: host.clone(),
            query,
            in_flight: InFlight::new(),
            message,
            authority,
            results: HashMap::new(),
            rejected_on: Vec::new(),
            notes: String::new(),
            stage: host.stage.subscribe(),
            finished: false,
        };
        run.launch(sends);
        run.announce_quarantine();
        run
    }

    /// The state of the query's decisions.
    pub fn query(&self) -> &Query {
        &self.query
    }

    /// The request as it is forwarded to servers and hosts.
    pub fn message(&self) -> &Message {
        &self.message
    }

    /// Retries and failures so far, for the log.
    pub fn notes(&self) -> &str {
        &self.notes
    }

    /// Reports on slow backend servers that this host has; none while reports are switched off.
    pub fn reports(&self) -> Vec<Report> {
        let core = self.host.core.borrow();
        match core.options.switches.is_on(Mechanism::Reports) {
            true => core.replicas.reports(self.host.now()),
            false => Vec::new(),
        }
    }

    /// Time by the host's clock.
    pub fn now(&self) -> Time {
        self.host.now()
    }

    /// Removes and returns the result of the send `number`.
    pub fn take_send_result(&mut self, number: SendId) -> Option<SendResult> {
        self.results.remove(&number)
    }

    fn launch(&mut self, sends: Vec<Send>) {
        for send in sends {
            let hop = Hop::of(&send.target, &self.host.domain);
            let label = match hop {
                Hop::Far if send.repeat => "far repeat",
                hop => hop.name(),
            };
            self.host.metrics.count(metric::SENDS, label);
            if send.repeat {
                self.note_repeat(&send);
            }
            let completion = dispatch::send_once(
                self.host.clone(),
                self.leg_services(&send),
                send,
                self.context(),
            );
            self.in_flight.push(completion.boxed_local());
        }
    }

    /// What a send made now has in common with the others of this request.
    fn context(&self) -> dispatch::Context {
        let plan = self.query.plan();
        dispatch::Context {
            route: plan.route.clone(),
            config: plan.view.config.version,
            message: self.message.clone(),
            authority: self.authority.clone(),
            rejected_on: self.rejected_on.clone(),
        }
    }

    /// Adds a repeated send to the notes: its target, and the latency from which a reply counts as
    /// late at that time.
    fn note_repeat(&mut self, send: &Send) {
        let leg = send.legs.first().copied().unwrap_or_default();
        let backend = match &send.target {
            Target::Server(server) => &*server.entry.id,
            Target::Host { host, .. } => host,
        };
        let late = self.late_after().as_millis();
        let what = format_args!("sent again to {backend}, late after {late} ms");
        self.note(leg, &what);
    }

    /// Appends to the notes of this request: `+41ms s3: sent again to b7, late after 28 ms`.
    fn note(&mut self, leg: usize, what: &dyn std::fmt::Display) {
        let after = self.now().saturating_sub(self.query.plan().arrived);
        let after = after.as_millis();
        let service = self.query.service(leg).map_or("", |service| &**service);
        if self.notes.len() < MAX_NOTES_BYTES {
            // Writing to a string does not fail.
            let _ = write!(self.notes, "+{after}ms {service}: {what}; ");
        }
    }

    /// Latency beyond which a reply counts as late, from this host's measurements of the route.
    fn late_after(&self) -> Duration {
        let mut core = self.host.core.borrow_mut();
        core.reply_times(&self.query.plan().route).hedge_delay
    }

    /// The services that a send to another host covers; empty for a send to a backend server.
    fn leg_services(&self, send: &Send) -> Vec<String> {
        if matches!(send.target, Target::Server(_)) {
            return Vec::new();
        }
        let legs = send.legs.iter();
        legs.filter_map(|leg| self.query.service(*leg))
            .map(|service| service.to_string())
            .collect()
    }

    async fn run_until_decided(&mut self) -> Next {
        loop {
            let now = self.host.now();
            let until = match self.query.next(now) {
                Next::Wait(until) => until,
                next => return next,
            };
            self.step(until).await;
        }
    }

    /// Marks the query as finished, so that dropping it is not logged as abandoned.
    pub fn mark_finished(&mut self) {
        self.finished = true;
    }

    /// Waits until a send completes, a timer of the query expires, the time reaches `until`, or the
    /// stage of this process changes.
    pub async fn step(&mut self, until: Time) {
        let now = self.host.now();
        let until = until.min(self.query.next_wakeup(now));
        let wait = until.saturating_sub(now).max(MIN_WAIT);
        tokio::select! {
            biased;
            completion = self.in_flight.next(), if !self.in_flight.is_empty() => {
                if let Some(completion) = completion {
                    self.complete(completion);
                }
            }
            () = tokio::time::sleep(wait) => self.tick(now + wait),
            Ok(()) = self.stage.changed() => self.hasten(),
        }
    }

    /// Limits the request's time if this process is about to end.
    fn hasten(&mut self) {
        if let Some(due) = self.host.answers_due.get() {
            self.query.end_by(due);
        }
    }

    fn tick(&mut self, due: Time) {
        let sends = {
            let mut core = self.host.core.borrow_mut();
            let now = self.host.now();
            core.lag.note(now.saturating_sub(due));
            self.query.tick(&mut core, now)
        };
        self.launch(sends);
    }

    /// Records the completion of a send and dispatches the sends that follow from it.
    fn complete(&mut self, completion: Completion) {
        let Completion {
            number,
            leg,
            hop,
            took,
            reply,
        } = completion;
        let BranchReply {
            result,
            merged,
            pending,
        } = reply;
        self.record_completion(&result, leg, hop, took);
        self.rejected_on.extend(result.rejected_on);
        if let Some(pending) = pending {
            self.in_flight
                .push(dispatch::next_answer(self.host.clone(), number, leg, pending).boxed_local());
        }
        if let Some(reply) = result.reply {
            let content = Content::Reply(reply);
            self.results.insert(number, SendResult { content });
        }
        if let Some(merged) = merged {
            self.append_merged(number, merged);
        }
        let sends = {
            let mut core = self.host.core.borrow_mut();
            let now = self.host.now();
            self.query.ended(&mut core, now, number, result.outcome)
        };
        self.launch(sends);
        self.announce_quarantine();
    }

    /// Wakes the quarantine gossip if the request changed a record.
    fn announce_quarantine(&self) {
        if self.host.core.borrow().quarantine.has_updates() {
            self.host.quarantine_changed.notify_one();
        }
    }

    /// The quarantine record of this request, if backend servers ended while they ran it.
    pub fn quarantine_record(&self) -> Option<SharedRecord> {
        let core = self.host.core.borrow();
        core.quarantine
            .shared_record(self.message.fingerprint, self.host.now())
    }

    /// Appends the records of a host's message to those of its earlier messages.
    fn append_merged(&mut self, number: SendId, merged: Merged) {
        let empty = || SendResult {
            content: Content::Merged(Merged::default()),
        };
        let part = self.results.entry(number).or_insert_with(empty);
        if let Content::Merged(known) = &mut part.content {
            known.signatures.extend(merged.signatures);
            known.records.extend(merged.records);
        }
    }

    fn record_completion(&mut self, result: &ExchangeResult, leg: usize, hop: Hop, took: Duration) {
        let label = match result.outcome {
            Outcome::Part { .. } => "part",
            Outcome::Branch(_) => "branch",
            Outcome::Failure { .. } => "failure",
            Outcome::Rejected { .. } => "rejected",
            Outcome::Misdirected => "misdirected",
            Outcome::Unreachable => "unreachable",
            Outcome::Broken => "broken",
            Outcome::Withheld => "withheld",
            Outcome::ServerEnded => "server ended",
        };
        let route = &*self.query.plan().route.name;
        let labels = [("route", route), ("hop", hop.name()), ("kind", label)];
        self.host
            .metrics
            .observe(metric::SEND_SECONDS, &labels, took);
        if matches!(result.outcome, Outcome::Part { .. } | Outcome::Branch(_)) {
            return;
        }
        self.note(leg, &result.reason);
    }

    fn take_result(&mut self, next: Next) -> RequestResult {
        self.finished = true;
        let selected: Vec<SendId> = match &next {
            Next::Answer { sends, .. } => sends.clone(),
            Next::Pass(number) => vec![*number],
            _ => Vec::new(),
        };
        let parts = selected
            .iter()
            .filter_map(|number| self.results.remove(number));
        let parts = parts.collect();
        let missing = self
            .query
            .missing()
            .map(|leg| leg.service.clone())
            .collect();
        RequestResult {
            next,
            parts,
            repeats: self.query.repeats(),
            repeats_denied: self.query.repeats_denied(),
            missing,
            notes: std::mem::take(&mut self.notes),
        }
    }

    /// Waits for the sends that are still in flight.
    async fn drain(mut self) {
        while let Some(completion) = self.in_flight.next().await {
            let Completion {
                number, leg, reply, ..
            } = completion;
            let now = self.host.now();
            let outcome = reply.result.outcome;
            // Follow-up sends are discarded: the caller already has its answer.
            self.query
                .ended_after_answer(&mut self.host.core.borrow_mut(), now, number, outcome);
            if let Some(pending) = reply.pending {
                let host = self.host.clone();
                self.in_flight
                    .push(dispatch::next_answer(host, number, leg, pending).boxed_local());
            }
            self.announce_quarantine();
        }
    }
}
