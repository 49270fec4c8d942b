//! What hosts ask each other and answer, as it stands on the wire.

use crate::message::Message;
use crate::quarantine::wire;
use bincode::Decode;
use bincode::Encode;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::report::Report;
use std::time::Duration;

/// What a host is asked, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) struct BranchRequest {
    pub(super) id: String,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, Vec<u8>)>,
    pub(super) body: Vec<u8>,
    /// Host that the caller named, by which the route is found.
    pub(super) authority: String,
    pub(super) services: Vec<String>,
    /// Who asks.
    pub(super) sender: String,
    /// The asking process, whose clock the next field goes by.
    pub(super) incarnation: u64,
    /// Time at which it was asked, by the asking process's clock.
    pub(super) sent_us: u64,
    /// When to tell for the first time what is here.
    pub(super) first_answer_ms: u32,
    /// When to give up.
    pub(super) timeout_ms: u32,
}

/// What a host answers, as it stands on the wire; several follow each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(super) struct Answer {
    /// Places of the shards in the question whose parts are in, with their servers' signatures.
    pub(super) parts: Vec<(u16, String)>,
    /// The greatest records of these parts, greatest first.
    pub(super) records: Vec<u8>,
    /// Places of the shards for which nothing was sent.
    pub(super) declined: Vec<u16>,
    /// Places of the shards whose send brought nothing.
    pub(super) failed: Vec<u16>,
    /// Backend servers that are slow, in the first message.
    pub(super) slow: Vec<SlowBackend>,
    /// What is held of the request, if servers ended under it.
    pub(super) quarantine: Option<wire::Account>,
}

/// What a host has learnt of a slow backend server, as it stands on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) struct SlowBackend {
    pub(super) backend: String,
    /// Its reply time in hundredths of the usual one.
    pub(super) slowness_percent: u16,
    /// Percentage of its requests that failed.
    pub(super) failing_percent: u8,
    /// Time since this was learnt.
    pub(super) age_ms: u32,
}

impl From<&Report> for SlowBackend {
    fn from(report: &Report) -> Self {
        Self {
            backend: report.backend.to_string(),
            slowness_percent: (report.slowness * 100.0) as u16,
            failing_percent: (report.failing * 100.0) as u8,
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<&SlowBackend> for Report {
    fn from(slow: &SlowBackend) -> Self {
        Self {
            backend: slow.backend.as_str().into(),
            slowness: f64::from(slow.slowness_percent) / 100.0,
            failing: f64::from(slow.failing_percent) / 100.0,
            age: Duration::from_millis(slow.age_ms.into()),
        }
    }
}

impl From<&BranchRequest> for Stamp {
    fn from(question: &BranchRequest) -> Self {
        Self {
            host: question.sender.as_str().into(),
            incarnation: question.incarnation,
            at: Duration::from_micros(question.sent_us),
        }
    }
}

/// The question that a send makes of a caller's request, asked at the time of `stamp`.
pub(super) fn branch_request(
    send: &Send,
    services: Vec<String>,
    authority: &str,
    message: &Message,
    stamp: &Stamp,
) -> BranchRequest {
    let headers = message.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    BranchRequest {
        id: message.id.to_string(),
        method: message.method.to_string(),
        path: message.path.to_string(),
        headers: headers.collect(),
        body: message.body.to_vec(),
        authority: authority.to_owned(),
        services,
        sender: stamp.host.to_string(),
        incarnation: stamp.incarnation,
        sent_us: stamp.at.as_micros() as u64,
        first_answer_ms: send.first.as_millis() as u32,
        timeout_ms: send.left.as_millis() as u32,
    }
}

impl TryFrom<&BranchRequest> for Message {
    type Error = Error;

    fn try_from(question: &BranchRequest) -> Result<Self> {
        let fail = |e: &dyn std::fmt::Display| Error::new(Step::Decode, "host", e);
        let mut headers = HeaderMap::new();
        for (name, value) in &question.headers {
            let name: HeaderName = name.parse().map_err(|e| fail(&e))?;
            let value = HeaderValue::from_bytes(value).map_err(|e| fail(&e))?;
            headers.append(name, value);
        }
        let BranchRequest {
            method,
            path,
            authority,
            body,
            ..
        } = question;
        Ok(Self {
            fingerprint: Fingerprint::of(method, authority, path, body),
            method: question.method.parse().map_err(|e| fail(&e))?,
            path: question.path.parse().map_err(|e| fail(&e))?,
            headers,
            body: question.body.clone().into(),
            id: question.id.as_str().into(),
        })
    }
}
