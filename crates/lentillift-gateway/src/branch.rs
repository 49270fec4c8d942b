//! Asking another host for shards that have replicas in its failure domain.
//!
//! The host that is asked sends each shard's request once, to a replica near it, and never repeats
//! it: whether and where to ask again is decided by the host that has the caller, which alone knows
//! how often the request was sent and what the budget allows. For that it is told early: what is here
//! when most replies should be, what could not be asked at all, and the rest as it comes.

use crate::dialect::Dialect;
use crate::exchange::Ended;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::message::Message;
use crate::part::Part;
use crate::run::Run;
use crate::source::Source;
use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_scatter::config::Target;
use lentillift_scatter::leg::State;
use lentillift_scatter::outcome::Brought;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::record;
use lentillift_scatter::report::Report;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Path of these requests.
pub const PATH: &str = "/v2/branch";

/// What a host is asked, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Question {
    id: String,
    method: String,
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    /// Host that the caller named, by which the route is found.
    authority: String,
    services: Vec<String>,
    /// When to tell for the first time what is here.
    first_ms: u32,
    /// When to give up.
    left_ms: u32,
}

/// What a host answers, as it stands on the wire; several follow each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Answer {
    /// Places of the shards in the question whose parts are in, with their servers' signatures.
    parts: Vec<(u16, String)>,
    /// The greatest records of these parts, greatest first.
    records: Vec<u8>,
    /// Places of the shards for which nothing was sent.
    declined: Vec<u16>,
    /// Places of the shards whose send brought nothing.
    failed: Vec<u16>,
    /// Backend servers that are slow, in the first message.
    slow: Vec<Slow>,
}

/// What a host has learnt of a slow backend server, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Slow {
    backend: String,
    /// Its reply time in hundredths of the usual one.
    slowness: u16,
    /// Percentage of its requests that failed.
    failing: u8,
    /// Time since this was learnt.
    age_ms: u32,
}

impl From<&Report> for Slow {
    fn from(report: &Report) -> Self {
        Self {
            backend: report.backend.to_string(),
            slowness: (report.slowness * 100.0) as u16,
            failing: (report.failing * 100.0) as u8,
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&Slow> for Report {
    fn from(slow: &Slow) -> Self {
        Self {
            backend: slow.backend.as_str().into(),
            slowness: f64::from(slow.slowness) / 100.0,
            failing: f64::from(slow.failing) / 100.0,
            age: Duration::from_millis(slow.age_ms.into()),
        }
    }
}

/// Parts that another host merged.
#[derive(Debug, Default)]
pub struct Merged {
    /// Their servers' signatures.
    pub signatures: Vec<Box<str>>,
    /// Their records.
    pub records: Vec<u8>,
}

/// Answers of a host that has not told everything yet.
#[derive(Debug)]
pub struct Rest {
    reader: Reader<Answer>,
    send: Send,
    until: Time,
    /// Legs of which nothing was heard.
    open: usize,
}

/// What one message of a host means.
#[derive(Debug)]
pub struct Told {
    /// For the decisions.
    pub ended: Ended,
    /// Parts that it brought.
    pub merged: Option<Merged>,
    /// Whatever is still to come.
    pub rest: Option<Rest>,
}

impl Told {
    fn without(outcome: Outcome, why: &'static str) -> Self {
        Self {
            ended: Ended {
                outcome,
                reply: None,
                why,
            },
            merged: None,
            rest: None,
        }
    }
}

/// Asks `to` for the legs of `send`; returns with its first message.
pub async fn ask<D, S>(
    host: &Host<D, S>,
    to: &id::Host,
    send: Send,
    services: Vec<String>,
    authority: &str,
    message: &Message,
) -> Told
where
    D: Dialect,
    S: Source,
{
    let address = host.swim.borrow().table().get(to).map(|m| m.address);
    let Some(address) = address else {
        return Told::without(Outcome::Unreachable, "host is not known");
    };
    let until = host.now() + send.left;
    let Ok(body) = frame::encode(&question(&send, services, authority, message), to) else {
        return Told::without(Outcome::Unreachable, "question can't be encoded");
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://host/v2/branch");
    let sent = tokio::time::timeout(send.left, host.peers.send(address, request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.step == Step::Connect => {
            return Told::without(Outcome::Unreachable, "host can't be reached");
        }
        Ok(Err(_)) => return Told::without(Outcome::Broken, "host failed"),
        Err(_) => {
            host.peers.drop_connection(address);
            return Told::without(Outcome::Broken, "host did not answer in time");
        }
    };
    if response.status() != StatusCode::OK {
        return Told::without(Outcome::Unreachable, "host declined");
    }
    let rest = Rest {
        reader: Reader::new(to, response.into_body()),
        open: send.legs.len(),
        send,
        until,
    };
    let told = rest.next(host).await;
    if told.ended.outcome == Outcome::Broken {
        host.peers.drop_connection(address);
    }
    told
}

impl Rest {
    /// Waits for the next message.
    pub async fn next<D, S>(mut self, host: &Host<D, S>) -> Told
    where
        D: Dialect,
        S: Source,
    {
        let left = self.until.saturating_sub(host.now());
        let answer = match self.reader.next(left).await {
            Ok(answer) => answer,
            Err(_) => return Told::without(Outcome::Broken, "host did not tell everything"),
        };
        if !answer.slow.is_empty() {
            hear(host, &self.reader, &answer.slow);
        }
        let legs = |places: &[u16]| -> Vec<usize> {
            let legs = places
                .iter()
                .filter_map(|p| self.send.legs.get(usize::from(*p)));
            legs.copied().collect()
        };
        let places: Vec<u16> = answer.parts.iter().map(|(place, _)| *place).collect();
        let mut brought = Brought {
            done: legs(&places),
            declined: legs(&answer.declined),
            failed: legs(&answer.failed),
            last: false,
        };
        let heard = brought.done.len() + brought.declined.len() + brought.failed.len();
        self.open = self.open.saturating_sub(heard);
        brought.last = self.open == 0;
        let signatures = answer.parts.into_iter().map(|(_, text)| text.into());
        let merged = Merged {
            signatures: signatures.collect(),
            records: answer.records,
        };
        Told {
            merged: Some(merged),
            rest: (!brought.last).then_some(self),
            ended: Ended {
                outcome: Outcome::Branch(brought),
                reply: None,
                why: "told",
            },
        }
    }
}

/// Takes in what another host says of slow backend servers.
fn hear<D, S>(host: &Host<D, S>, from: &Reader<Answer>, slow: &[Slow])
where
    D: Dialect,
    S: Source,
{
    let reports: Vec<Report> = slow.iter().map(Report::from).collect();
    let now = host.now();
    let newer = host.core.borrow_mut().book.hear(&reports, now);
    if newer > 0 {
        info!(
            event = "slow",
            from = from.peer(),
            told = reports.len(),
            newer,
            "another host knows of slow backend servers"
        );
    }
}

fn question(send: &Send, services: Vec<String>, authority: &str, message: &Message) -> Question {
    let headers = message.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    Question {
        id: message.id.to_string(),
        method: message.method.to_string(),
        path: message.path.to_string(),
        headers: headers.collect(),
        body: message.body.to_vec(),
        authority: authority.to_owned(),
        services,
        first_ms: send.first.as_millis() as u32,
        left_ms: send.left.as_millis() as u32,
    }
}

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
    let question: Question = frame::decode(body, "host")?;
    let branch = Branch::start(host, question)?;
    Ok(frame::body(stream::unfold(
        branch,
        |mut branch| async move {
            let bytes = branch.next().await?;
            Some((bytes, branch))
        },
    )))
}

/// Another host's question that is being answered.
struct Branch<D, S>
where
    D: Dialect,
    S: Source,
{
    run: Run<D, S>,
    /// When to tell for the first time what is here.
    first: Time,
    /// Records that the caller wants.
    limit: usize,
    /// Shards that were told of.
    told: Vec<bool>,
}

impl<D, S> Branch<D, S>
where
    D: Dialect,
    S: Source,
{
    fn start(host: &Rc<Host<D, S>>, question: Question) -> Result<Self> {
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
        let message = message(&question)?;
        let now = host.now();
        let services: Vec<id::Service> = question
            .services
            .iter()
            .map(|s| s.as_str().into())
            .collect();
        let deadline = now + Duration::from_millis(question.left_ms.into());
        let told = vec![false; services.len()];
        let plan = Plan::branch(&route, &view, services, now, deadline);
        Ok(Self {
            run: Run::start(host, plan, Rc::new(message), question.authority.into()),
            first: now + Duration::from_millis(question.first_ms.into()),
            limit,
            told,
        })
    }

    /// The next message; none once every shard was told of.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let open = self.told.iter().filter(|told| !**told).count();
            if open == 0 {
                self.run.settle();
                return None;
            }
            let news = self.news();
            let ready = news.iter().flatten().count();
            let declined = news.contains(&Some(State::Declined));
            let now = self.run.now();
            let deadline = self.run.query().plan().deadline;
            let early = now >= self.first || declined;
            if ready == open || now >= deadline || (early && ready > 0) {
                return self.tell(&news, now >= deadline);
            }
            let until = if now < self.first {
                self.first
            } else {
                deadline
            };
            self.run.step(until).await;
        }
    }

    /// How far each shard has come that was not told of and is not open.
    fn news(&self) -> Vec<Option<State>> {
        let states = self.run.query().states().zip(&self.told);
        states
            .map(|(state, told)| (!told && state != State::Open).then_some(state))
            .collect()
    }

    /// What to tell of slow backend servers; nothing after the first message.
    fn slow(&self) -> Vec<Slow> {
        if self.told.contains(&true) {
            return Vec::new();
        }
        let reports = self.run.reports();
        reports.iter().map(Slow::from).collect()
    }

    /// Tells what is new; once the time is `over`, what is open has failed.
    fn tell(&mut self, news: &[Option<State>], over: bool) -> Option<Bytes> {
        let mut answer = Answer {
            slow: self.slow(),
            ..Answer::default()
        };
        let mut parts: Vec<Part> = Vec::new();
        for (shard, state) in news.iter().enumerate() {
            let place = shard as u16;
            if self.told[shard] || (state.is_none() && !over) {
                continue;
            }
            self.told[shard] = true;
            match state {
                Some(State::Done(number)) => {
                    let part = self.run.take(*number);
                    match part.as_ref().and_then(Part::signature) {
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
                id = %self.run.id(),
                parts = answer.parts.len(),
                declined = answer.declined.len(),
                failed = answer.failed.len(),
                over,
                notes = self.run.notes(),
                "told another host"
            );
        }
        let records = parts.iter().map(Part::records);
        answer.records = record::merge(records, self.limit).to_vec();
        frame::frame(&answer, "host").ok()
    }
}

fn message(question: &Question) -> Result<Message> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Decode, "host", e);
    let mut headers = HeaderMap::new();
    for (name, value) in &question.headers {
        let name: HeaderName = name.parse().map_err(|e| fail(&e))?;
        let value = HeaderValue::from_bytes(value).map_err(|e| fail(&e))?;
        headers.append(name, value);
    }
    Ok(Message {
        method: question.method.parse().map_err(|e| fail(&e))?,
        path: question.path.parse().map_err(|e| fail(&e))?,
        headers,
        body: question.body.clone().into(),
        id: question.id.as_str().into(),
    })
}
