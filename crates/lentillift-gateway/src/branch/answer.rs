//! Answering another host that asks for shards with replicas in this failure domain.

use super::wire::Answer;
use super::wire::BranchRequest;
use super::wire::SlowBackend;
use crate::dialect::Dialect;
use crate::frame;
use crate::host::Host;
use crate::message::Message;
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
use lentillift_scatter::config::Target;
use lentillift_scatter::config::Version;
use lentillift_scatter::delay;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::leg::State;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::record;
use lentillift_scatter::switch::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Answers another host's question, message by message.
///
/// # Errors
///
/// When the question is malformed or can't be answered here; nothing was sent then.
pub fn answer<D, S>(host: &Rc<Host<D, S>>, body: &[u8]) -> Result<frame::Body>
where
    D: Dialect,
    S: Source,
{
    let question: BranchRequest = frame::decode(body, "host")?;
    let delay = check_delay(host, &question)?;
    let branch = Branch::start(host, question, delay)?;
    Ok(frame::body(stream::unfold(
        branch,
        |mut branch| async move {
            let bytes = branch.next().await?;
            Some((bytes, branch))
        },
    )))
}

/// How long a question was held up; declines one that was for so long that its caller may have left. The
/// word of that would be held up as well, and backend servers would be at work for nobody.
fn check_delay<D, S>(host: &Host<D, S>, question: &BranchRequest) -> Result<Duration>
where
    D: Dialect,
    S: Source,
{
    let delay = host
        .delays
        .borrow_mut()
        .note(&Stamp::from(question), host.now());
    if delay < delay::MOST || !host.is_on(Mechanism::LateQuestions) {
        return Ok(delay);
    }
    let cause = format!("question {} was held up for {delay:?}", question.id);
    Err(Error::new(Step::Check, &question.sender, cause))
}

/// Another host's question that is being answered.
struct Branch<D, S>
where
    D: Dialect,
    S: Source,
{
    run: Run<D, S>,
    /// When to tell for the first time what is here.
    first_answer_at: Time,
    /// Records that the caller wants.
    max_records: usize,
    /// Shards that were told of.
    reported: Vec<bool>,
    /// Version of the configuration that this host goes by.
    config: Version,
    /// Age of what this host believed when it was asked.
    age: Duration,
}

impl<D, S> Branch<D, S>
where
    D: Dialect,
    S: Source,
{
    fn start(host: &Rc<Host<D, S>>, question: BranchRequest, delay: Duration) -> Result<Self> {
        let fail = |cause: &str| Error::new(Step::Check, "host", cause);
        let view = host.core.borrow().view.clone();
        let view = view.ok_or_else(|| fail("no configuration yet"))?;
        let path = question.path.split('?').next().unwrap_or_default();
        let route = view.config.route(&question.authority, path).cloned();
        let route = route.ok_or_else(|| fail("route is not known"))?;
        let limit = match &route.target {
            Target::Scatter(scatter) => scatter.records,
            Target::Split(_) => return Err(fail("route has no shards")),
        };
        let message = Message::try_from(&question)?;
        let now = host.now();
        let services: Vec<id::Service> = question
            .services
            .iter()
            .map(|s| s.as_str().into())
            .collect();
        let left = Duration::from_millis(question.timeout_ms.into());
        let deadline = now + left.saturating_sub(delay);
        let told = vec![false; services.len()];
        let plan = Plan::branch(&route, &view, services, now, deadline);
        let plan = plan.with(message.fingerprint);
        Ok(Self {
            run: Run::start(host, plan, Rc::new(message), question.authority.into()),
            first_answer_at: now + Duration::from_millis(question.first_answer_ms.into()),
            max_records: limit,
            reported: told,
            config: view.config.version,
            age: host.age().unwrap_or_default(),
        })
    }

    /// The next message; none once every shard was told of.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let open = self.reported.iter().filter(|told| !**told).count();
            if open == 0 {
                self.run.mark_finished();
                return None;
            }
            let news = self.unreported();
            let ready = news.iter().flatten().count();
            let declined = news.contains(&Some(State::Declined));
            let now = self.run.now();
            let deadline = self.run.query().plan().deadline;
            let early = now >= self.first_answer_at || declined;
            if ready == open || now >= deadline || (early && ready > 0) {
                return self.encode_answer(&news, now >= deadline);
            }
            let until = if now < self.first_answer_at {
                self.first_answer_at
            } else {
                deadline
            };
            self.run.step(until).await;
        }
    }

    /// How far each shard has come that was not told of and is not open.
    fn unreported(&self) -> Vec<Option<State>> {
        let states = self.run.query().states().zip(&self.reported);
        states
            .map(|(state, told)| (!told && state != State::Open).then_some(state))
            .collect()
    }

    /// What to tell of slow backend servers; nothing after the first message.
    fn slow_reports(&self) -> Vec<SlowBackend> {
        if self.reported.contains(&true) {
            return Vec::new();
        }
        let reports = self.run.reports();
        reports.iter().map(SlowBackend::from).collect()
    }

    /// Tells what is new; once the time is `over`, what is open has failed.
    fn encode_answer(&mut self, news: &[Option<State>], over: bool) -> Option<Bytes> {
        let mut answer = Answer {
            slow: self.slow_reports(),
            quarantine: self.run.account().as_ref().map(wire::Account::from),
            ..Answer::default()
        };
        let mut parts: Vec<SendResult> = Vec::new();
        for (shard, state) in news.iter().enumerate() {
            let place = shard as u16;
            if self.reported[shard] || (state.is_none() && !over) {
                continue;
            }
            self.reported[shard] = true;
            match state {
                Some(State::Done(number)) => {
                    let part = self.run.take_part(*number);
                    match part.as_ref().and_then(SendResult::signature) {
                        Some(signature) => answer.parts.push((place, signature.to_owned())),
                        None => answer.failed.push(place),
                    }
                    parts.extend(part);
                }
                Some(State::Declined) => answer.declined.push(place),
                Some(State::Failed | State::Open) | None => answer.failed.push(place),
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
                age_ms = self.age.as_millis() as u64,
                notes = self.run.notes(),
                "told another host"
            );
        }
        let records = parts.iter().map(SendResult::records);
        answer.records = record::merge(records, self.max_records).to_vec();
        frame::frame(&answer, "host").ok()
    }
}
