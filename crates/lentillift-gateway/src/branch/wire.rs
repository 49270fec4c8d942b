//! Wire format of branch requests and their answers.

use crate::body_memory::Reservation;
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
use lentillift_core::id;
use lentillift_scatter::config;
use lentillift_scatter::config::Version;
use lentillift_scatter::delay::Stamp;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::report::Report;
use std::time::Duration;

/// Request to a host for shards near it: the caller's request and which services to send it to.
///
/// The previous format of a branch request has nothing else.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) struct BranchRequest {
    pub(super) id: String,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, Vec<u8>)>,
    pub(super) body: Vec<u8>,
    /// Authority that the caller named, by which the route is found.
    pub(super) authority: String,
    pub(super) services: Vec<String>,
    /// Name of the requesting host.
    pub(super) sender: String,
    /// Incarnation of the requesting process, whose clock `sent_us` refers to.
    pub(super) incarnation: u64,
    /// Time of the request by the requesting process's clock, in microseconds.
    pub(super) sent_us: u64,
    /// Time until the first answer is due, in milliseconds.
    pub(super) first_answer_ms: u32,
    /// Time until the deadline of the whole request, in milliseconds.
    pub(super) timeout_ms: u32,
}

/// What the requesting host's route determines about a branch request.
///
/// The host that is asked may have another configuration, in which the path leads to another route
/// or to none, so it takes nothing from a route of its own.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) struct Route {
    /// Version of the requesting host's configuration.
    pub(super) config: u64,
    /// Name of the route, by which reply times are kept.
    pub(super) name: String,
    /// Number of records in the caller's answer.
    pub(super) max_records: u64,
    /// Time within which the caller wants the answer, in microseconds.
    pub(super) objective_us: u64,
}

/// Branch request with the route of the requesting host.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) struct RoutedRequest {
    pub(super) request: BranchRequest,
    pub(super) route: Route,
}

/// One answer to a branch request; several may follow each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub(super) struct Answer {
    /// Indices into the request's services of shards whose parts are complete, with their servers'
    /// signatures.
    pub(super) parts: Vec<(u16, String)>,
    /// The greatest records of these parts, in descending order.
    pub(super) records: Vec<u8>,
    /// Indices of the shards for which nothing was sent.
    pub(super) declined: Vec<u16>,
    /// Indices of the shards whose send failed.
    pub(super) failed: Vec<u16>,
    /// Reports on slow backend servers; only in the first answer.
    pub(super) slow: Vec<SlowBackend>,
    /// Quarantine record of the request, if servers ended while they ran it.
    pub(super) quarantine: Option<wire::SharedRecord>,
}

/// Report on a slow backend server.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(super) struct SlowBackend {
    pub(super) backend: String,
    /// Its latency in percent of the usual one.
    pub(super) slowness_percent: u16,
    /// Percentage of its requests that failed.
    pub(super) failing_percent: u8,
    /// Time since the observation, in milliseconds.
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
    fn from(request: &BranchRequest) -> Self {
        Self {
            host: request.sender.as_str().into(),
            incarnation: request.incarnation,
            at: Duration::from_micros(request.sent_us),
        }
    }
}

impl BranchRequest {
    /// The services, one for each shard.
    pub(super) fn services(&self) -> Vec<id::Service> {
        self.services
            .iter()
            .map(|name| name.as_str().into())
            .collect()
    }
}

impl Route {
    /// Describes `route` of the configuration `version`; none if it has no shards.
    pub(super) fn of(route: &config::Route, version: Version) -> Option<Self> {
        let config::Target::Scatter(scatter) = &route.target else {
            return None;
        };
        Some(Self {
            config: version,
            name: route.name.to_string(),
            max_records: scatter.records as u64,
            objective_us: u64::try_from(route.objective.as_micros()).unwrap_or(u64::MAX),
        })
    }

    /// The route as the host that is asked uses it: these shards, each sent once.
    pub(super) fn for_branch(
        &self,
        request: &BranchRequest,
        shards: &[id::Service],
    ) -> config::Route {
        config::Route {
            name: self.name.as_str().into(),
            host: request.authority.clone(),
            prefix: "/".to_owned(),
            target: config::Target::Scatter(config::Scatter {
                shards: shards.into(),
                records: self.max_records(),
                coverage: 0.0,
            }),
            kind: config::Kind::Idempotent,
            attempts: 1,
            timeout: Duration::from_millis(request.timeout_ms.into()),
            objective: Duration::from_micros(self.objective_us),
        }
    }

    /// Number of records to return.
    pub(super) fn max_records(&self) -> usize {
        usize::try_from(self.max_records).unwrap_or(usize::MAX)
    }
}

/// Builds the branch request for a send of a caller's request, at the time of `stamp`.
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
        first_answer_ms: send.first_update_after.as_millis() as u32,
        timeout_ms: send.timeout.as_millis() as u32,
    }
}

/// The caller's request, whose body holds the reserved memory.
impl TryFrom<(&BranchRequest, Reservation)> for Message {
    type Error = Error;

    fn try_from((request, memory): (&BranchRequest, Reservation)) -> Result<Self> {
        let fail = |e: &dyn std::fmt::Display| Error::new(Step::Decode, "host", e);
        let mut headers = HeaderMap::new();
        for (name, value) in &request.headers {
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
        } = request;
        Ok(Self {
            fingerprint: Fingerprint::of(method, authority, path, body),
            method: request.method.parse().map_err(|e| fail(&e))?,
            path: request.path.parse().map_err(|e| fail(&e))?,
            headers,
            body: request.body.clone().into(),
            id: request.id.as_str().into(),
            memory,
        })
    }
}
