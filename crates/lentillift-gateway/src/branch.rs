//! Asking another host for shards that have replicas in its failure domain.

use crate::dialect::Dialect;
use crate::exchange::Ended;
use crate::exchange::Reply;
use crate::host::Host;
use crate::message::Message;
use crate::run;
use crate::source::Source;
use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_scatter::config::Target;
use lentillift_scatter::query::Next;
use lentillift_scatter::query::Outcome;
use lentillift_scatter::query::Plan;
use lentillift_scatter::query::Send;
use lentillift_scatter::record;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Path of these requests.
pub const PATH: &str = "/v1/branch";

/// Largest message between hosts, in bytes; a search of 1,000 shards stays far below.
const MOST_BYTES: usize = 4 * 1024 * 1024;

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
    soft_ms: u32,
    left_ms: u32,
}

/// What a host answers, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Answer {
    /// Places of the shards in the question whose parts are in, with their servers' signatures.
    parts: Vec<(u16, String)>,
    /// The greatest records of these parts, greatest first.
    records: Vec<u8>,
}

fn encode<T>(value: &T, peer: &str) -> Result<Bytes>
where
    T: Encode,
{
    let bytes = bincode::encode_to_vec(value, bincode::config::standard());
    bytes
        .map(Bytes::from)
        .map_err(|e| Error::new(Step::Write, peer, e))
}

fn decode<T>(bytes: &[u8], peer: &str) -> Result<T>
where
    T: Decode<()>,
{
    let config = bincode::config::standard().with_limit::<MOST_BYTES>();
    let decoded = bincode::decode_from_slice(bytes, config);
    let (value, _) = decoded.map_err(|e| Error::new(Step::Decode, peer, e))?;
    Ok(value)
}

/// Parts that another host brought.
#[derive(Debug)]
pub struct Brought {
    /// Their servers' signatures.
    pub signatures: Vec<Box<str>>,
    /// Their records, merged.
    pub records: Bytes,
}

/// Asks `to` for the legs of `send`.
pub async fn ask<D, S>(
    host: &Host<D, S>,
    to: &id::Host,
    send: &Send,
    services: Vec<String>,
    authority: &str,
    message: &Message,
) -> (Ended, Option<Brought>)
where
    D: Dialect,
    S: Source,
{
    let unsent = |why| {
        let ended = Ended {
            outcome: Outcome::Unreachable,
            reply: None,
            why,
        };
        (ended, None)
    };
    let address = host.swim.borrow().table().get(to).map(|m| m.address);
    let Some(address) = address else {
        return unsent("host is not known");
    };
    let headers = message.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    let question = Question {
        id: message.id.to_string(),
        method: message.method.to_string(),
        path: message.path.clone(),
        headers: headers.collect(),
        body: message.body.to_vec(),
        authority: authority.to_owned(),
        services,
        soft_ms: send.soft.as_millis() as u32,
        left_ms: send.left.as_millis() as u32,
    };
    let Ok(body) = encode(&question, to) else {
        return unsent("question can't be encoded");
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://host/v1/branch");
    let exchange = async {
        let response = host.peers.send(address, request).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::new(Step::Read, to, status));
        }
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| Error::new(Step::Read, to, e))?;
        decode::<Answer>(&body.to_bytes(), to)
    };
    let failed = |outcome, why| {
        let ended = Ended {
            outcome,
            reply: None,
            why,
        };
        (ended, None)
    };
    match tokio::time::timeout(send.left, exchange).await {
        Ok(Ok(answer)) => accept(send, answer),
        Ok(Err(e)) if e.step == Step::Connect => unsent("host can't be reached"),
        Ok(Err(_)) => failed(Outcome::Broken, "host failed"),
        Err(_) => {
            host.peers.drop_connection(address);
            failed(Outcome::Broken, "host did not answer in time")
        }
    }
}

fn accept(send: &Send, answer: Answer) -> (Ended, Option<Brought>) {
    let mut legs = Vec::new();
    let mut signatures = Vec::new();
    for (place, signature) in answer.parts {
        let Some(leg) = send.legs.get(usize::from(place)) else {
            continue;
        };
        legs.push(*leg);
        signatures.push(signature.into());
    }
    let ended = Ended {
        outcome: Outcome::Branch(legs),
        reply: None,
        why: "answered",
    };
    let brought = Brought {
        signatures,
        records: answer.records.into(),
    };
    (ended, Some(brought))
}

/// Answers another host's question.
pub async fn answer<D, S>(host: Rc<Host<D, S>>, body: Bytes) -> Response<Full<Bytes>>
where
    D: Dialect,
    S: Source,
{
    let answered = match decode::<Question>(&body, "host") {
        Ok(question) => serve(host, question).await,
        Err(e) => Err(e),
    };
    match answered {
        Ok(body) => Response::new(Full::new(body)),
        Err(error) => {
            tracing::warn!(event = "branch", %error, "not served");
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}

async fn serve<D, S>(host: Rc<Host<D, S>>, question: Question) -> Result<Bytes>
where
    D: Dialect,
    S: Source,
{
    let view = host.core.borrow().view.clone();
    let view = view.ok_or_else(|| Error::new(Step::Check, "host", "no configuration yet"))?;
    let path = question.path.split('?').next().unwrap_or_default();
    let route = view.config.route(&question.authority, path).cloned();
    let route = route.ok_or_else(|| Error::new(Step::Check, "host", "route is not known"))?;
    let limit = match &route.target {
        Target::Scatter(scatter) => scatter.records,
        Target::Split(_) => return Err(Error::new(Step::Check, "host", "route has no shards")),
    };
    let message = message(&question)?;
    let now = host.now();
    let soft = now + Duration::from_millis(question.soft_ms.into());
    let deadline = now + Duration::from_millis(question.left_ms.into());
    let services: Vec<id::Service> = question.services.iter().map(|s| s.as_str().into()).collect();
    let places: BTreeMap<id::Service, u16> = (0..).zip(&services).map(|(i, s)| (s.clone(), i)).collect();
    let plan = Plan {
        route,
        view,
        services,
        arrived: now,
        soft: soft.min(deadline),
        deadline,
        coverage: None,
        branches: false,
    };
    let done = run::run(&host, plan, Rc::new(message), question.authority.into()).await;
    let mut answer = Answer {
        parts: Vec::new(),
        records: Vec::new(),
    };
    if let Next::Answer { .. } = done.next {
        let parts = done.parts.iter().filter_map(|part| {
            let place = places.get(part.service.as_ref()?)?;
            Some((*place, part.signature()?.to_string()))
        });
        answer.parts = parts.collect();
        let records = done.parts.iter().map(|part| part.records());
        answer.records = record::merge(records, limit).to_vec();
    }
    encode(&answer, "host")
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
        path: question.path.clone(),
        headers,
        body: question.body.clone().into(),
        id: question.id.as_str().into(),
    })
}

/// The records of a backend server's reply.
pub fn records(reply: &Reply) -> &[u8] {
    reply.response.body()
}
