//! Serves branch requests: another host's request for shards that have replicas in this failure
//! domain.

use super::Format;
use super::wire::Answer;
use super::wire::BranchRequest;
use super::wire::RoutedRequest;
use super::wire::SlowBackend;
use crate::body_memory::Reservation;
use crate::dialect::Dialect;
use crate::frame;
use crate::host::Host;
use crate::message::Message;
use crate::metric;
use crate::part::SendResult;
use crate::quarantine::wire;
use crate::run::Run;
use crate::source::Source;
use bytes::Bytes;
use futures_util::stream;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Target;
use lentillift_scatter::config::Version;
use lentillift_scatter::delay;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::leg::State;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::record;
use lentillift_scatter::switch::Mechanism;
use lentillift_scatter::view::View;
use std::cmp::Ordering;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;

/// Starts a branch request, whose body holds `memory`, and returns the stream of answers.
///
/// # Errors
///
/// When the request is malformed or can't be served here; in that case nothing was sent.
pub fn answer<D, S>(
    host: &Rc<Host<D, S>>,
    format: Format,
    body: &[u8],
    mut memory: Reservation,
) -> Result<frame::Body>
where
    D: Dialect,
    S: Source,
{
    let view = host.core.borrow().view.clone();
    let view = view.ok_or_else(|| Error::new(Step::Check, "host", "no configuration yet"))?;
    let (request, instructions) = read_request(host, &view, format, body)?;
    let delay = check_delay(host, &request)?;
    // What remains is the caller's body.
    memory.shrink_to(request.body.len());
    let message = Message::try_from((&request, memory))?;
    let branch = Branch::start(host, view, request, message, instructions, delay)?;
    Ok(frame::body(stream::unfold(
        branch,
        |mut branch| async move {
            let bytes = branch.next().await?;
            Some((bytes, branch))
        },
    )))
}

/// Decodes a branch request, and determines how to serve it.
fn read_request<D, S>(
    host: &Host<D, S>,
    view: &View,
    format: Format,
    body: &[u8],
) -> Result<(BranchRequest, Instructions)> {
    match format {
        Format::Routed => {
            let routed: RoutedRequest = frame::decode(body, "host")?;
            count_configuration(host, routed.route.config, view);
            let instructions = Instructions::from(&routed);
            Ok((routed.request, instructions))
        }
        Format::Previous => {
            let request: BranchRequest = frame::decode(body, "host")?;
            let instructions = Instructions::of_previous(&request, view)?;
            Ok((request, instructions))
        }
    }
}

/// How to serve a branch request.
struct Instructions {
    route: Arc<Route>,
    /// Services to ask, one for each shard.
    services: Vec<id::Service>,
    /// Maximum number of records in each answer.
    max_records: usize,
    /// Version of the configuration that the route is from.
    config: Version,
}

impl From<&RoutedRequest> for Instructions {
    fn from(routed: &RoutedRequest) -> Self {
        let services = routed.request.services();
        let route = routed.route.for_branch(&routed.request, &services);
        Self {
            route: Arc::new(route),
            services,
            max_records: routed.route.max_records(),
            config: routed.route.config,
        }
    }
}

impl Instructions {
    /// Uses this host's route, since a request in the previous format states none. It may not be the
    /// route of the requesting host, so every record is returned: that host merges the answers once
    /// more, with the number that its caller wants.
    fn of_previous(request: &BranchRequest, view: &View) -> Result<Self> {
        let fail = |cause: &str| Error::new(Step::Check, &request.sender, cause);
        let path = request.path.split('?').next().unwrap_or_default();
        let route = view.config.route(&request.authority, path);
        let route = route.ok_or_else(|| fail("unknown route"))?;
        if matches!(route.target, Target::Split(_)) {
            return Err(fail("route has no shards"));
        }
        Ok(Self {
            route: route.clone(),
            services: request.services(),
            max_records: usize::MAX,
            config: view.config.version,
        })
    }
}

/// Counts a branch request by whether the requesting host has the configuration of this one.
fn count_configuration<D, S>(host: &Host<D, S>, requesting: Version, view: &View) {
    let kind = match requesting.cmp(&view.config.version) {
        Ordering::Less => "older",
        Ordering::Equal => "same",
        Ordering::Greater => "newer",
    };
    host.metrics.count(metric::BRANCH_REQUESTS, kind);
}

/// Estimates how long a request was delayed in transit, and declines one that was delayed so long
/// that its caller may have left. Its cancellation would be delayed as well, and backend servers
/// would do work that nobody uses.
fn check_delay<D, S>(host: &Host<D, S>, request: &BranchRequest) -> Result<Duration>
where
    D: Dialect,
    S: Source,
{
    let delay = host
        .delays
        .borrow_mut()
        .note(&Stamp::from(request), host.now());
    if delay < delay::MAX_DELAY || !host.is_on(Mechanism::LateQuestions) {
        return Ok(delay);
    }
    let cause = format!("request {} was delayed for {delay:?}", request.id);
    Err(Error::new(Step::Check, &request.sender, cause))
}

/// A branch request in progress.
struct Branch<D, S>
where
    D: Dialect,
    S: Source,
{
    run: Run<D, S>,
    /// Time at which the first answer is due.
    first_answer_at: Time,
    /// Maximum number of records in each answer.
    max_records: usize,
    /// Whether each shard's result was reported, by its index in the request.
    reported: Vec<bool>,
    /// Version of the configuration that the route is from.
    requested_config: Version,
    /// Version of this host's configuration.
    config: Version,
    /// Age of this host's published state when the request came.
    age: Duration,
}

impl<D, S> Branch<D, S>
where
    D: Dialect,
    S: Source,
{
    fn start(
        host: &Rc<Host<D, S>>,
        view: Arc<View>,
        request: BranchRequest,
        message: Message,
        instructions: Instructions,
        delay: Duration,
    ) -> Result<Self> {
        let now = host.now();
        let Instructions {
            route,
            services,
            max_records,
            config: requested_config,
        } = instructions;
        let timeout = Duration::from_millis(request.timeout_ms.into());
        let deadline = now + timeout.saturating_sub(delay);
        let reported = vec![false; services.len()];
        let plan = Plan::branch(&route, &view, services, now, deadline);
        let plan = plan.with_fingerprint(message.fingerprint);
        Ok(Self {
            run: Run::start(host, plan, Rc::new(message), request.authority.into()),
            first_answer_at: now + Duration::from_millis(request.first_answer_ms.into()),
            max_records,
            reported,
            requested_config,
            config: view.config.version,
            age: host.age().unwrap_or_default(),
        })
    }

    /// Returns the next answer; none once every shard was reported.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let open = self.reported.iter().filter(|reported| !**reported).count();
            if open == 0 {
                self.run.mark_finished();
                return None;
            }
            let unreported = self.unreported();
            let ready = unreported.iter().flatten().count();
            let declined = unreported.contains(&Some(State::Declined));
            let now = self.run.now();
            let deadline = self.run.query().plan().deadline;
            let is_due = now >= self.first_answer_at || declined;
            if ready == open || now >= deadline || (is_due && ready > 0) {
                return self.encode_answer(&unreported, now >= deadline);
            }
            let until = if now < self.first_answer_at {
                self.first_answer_at
            } else {
                deadline
            };
            self.run.step(until).await;
        }
    }

    /// State of each shard that is decided but not reported yet; none for the others.
    fn unreported(&self) -> Vec<Option<State>> {
        let states = self.run.query().states().zip(&self.reported);
        states
            .map(|(state, reported)| (!reported && state != State::Open).then_some(state))
            .collect()
    }

    /// Reports on slow backend servers for the first answer; none for later ones.
    fn slow_reports(&self) -> Vec<SlowBackend> {
        if self.reported.contains(&true) {
            return Vec::new();
        }
        let reports = self.run.reports();
        reports.iter().map(SlowBackend::from).collect()
    }

    /// Encodes an answer with the shards that are newly decided; once the time is `over`, open
    /// shards are reported as failed.
    fn encode_answer(&mut self, unreported: &[Option<State>], over: bool) -> Option<Bytes> {
        let mut answer = Answer {
            slow: self.slow_reports(),
            quarantine: self
                .run
                .quarantine_record()
                .as_ref()
                .map(wire::SharedRecord::from),
            ..Answer::default()
        };
        let mut parts: Vec<SendResult> = Vec::new();
        for (shard, state) in unreported.iter().enumerate() {
            let index = shard as u16;
            if self.reported[shard] || (state.is_none() && !over) {
                continue;
            }
            self.reported[shard] = true;
            match state {
                Some(State::Done(number)) => {
                    let part = self.run.take_send_result(*number);
                    match part.as_ref().and_then(SendResult::signature) {
                        Some(signature) => answer.parts.push((index, signature.to_owned())),
                        None => answer.failed.push(index),
                    }
                    parts.extend(part);
                }
                Some(State::Declined) => answer.declined.push(index),
                Some(State::Failed | State::Open) | None => answer.failed.push(index),
            }
        }
        if !answer.declined.is_empty() || !answer.failed.is_empty() {
            info!(
                event = "branch",
                id = %self.run.message().id,
                fingerprint = %self.run.message().fingerprint,
                parts = answer.parts.len(),
                declined = answer.declined.len(),
                failed = answer.failed.len(),
                over,
                config = self.config,
                requested_config = self.requested_config,
                age_ms = self.age.as_millis() as u64,
                notes = self.run.notes(),
                "branch request answered incompletely"
            );
        }
        let records = parts.iter().map(SendResult::records);
        answer.records = record::merge(records, self.max_records).to_vec();
        frame::frame(&answer, "host").ok()
    }
}
