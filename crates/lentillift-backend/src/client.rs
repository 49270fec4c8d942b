//! Sending requests to one backend server.

use crate::reply;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;
use ureq::http::Response;

/// Time after which a cancellation that was not taken is given up.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// Figures of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Connections that are kept open.
    pub connections: usize,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// How long an unused connection is kept.
    pub idle: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 25,
            connect_timeout: Duration::from_millis(250),
            idle: Duration::from_secs(30),
        }
    }
}

/// A client of one backend server.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    address: SocketAddr,
}

impl Client {
    /// Makes a client; nothing is sent yet.
    pub fn new(address: SocketAddr, options: &Options) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(options.connections)
            .max_idle_connections_per_host(options.connections)
            .max_idle_age(options.idle)
            .timeout_connect(Some(options.connect_timeout))
            .build();
        Self {
            agent: config.into(),
            address,
        }
    }

    /// Sends a request and waits for its result, at most for `left`.
    pub fn send(&self, ticket: u64, sub: &Sub, left: Duration) -> (sub::Result, Report) {
        let path = match sub.work {
            Work::Search { .. } => "search",
            Work::Action { .. } => "action",
        };
        let mut request = self
            .agent
            .post(format!("http://{}/v1/{path}", self.address))
            .header("content-type", "application/json")
            .header("x-request-id", ticket.to_string())
            .header("x-deadline-ms", left.as_millis().to_string());
        request = match &sub.work {
            Work::Search { snapshot, shard } => request
                .header("x-snapshot", snapshot.to_string())
                .header("x-shard", shard.to_string()),
            Work::Action { key } => request.header("idempotency-key", &**key),
        };
        let request = request.config().timeout_global(Some(left)).build();
        match request.send(&*sub.body) {
            Ok(mut response) => {
                let report = report(&response);
                (result(&mut response, &sub.work), report)
            }
            Err(error) => (failed(&error), Report::default()),
        }
    }

    /// Tells the backend server that a request's reply is of no more use.
    pub fn cancel(&self, ticket: u64) {
        let request = self
            .agent
            .delete(format!("http://{}/v1/requests/{ticket}", self.address))
            .config()
            .timeout_global(Some(CANCEL_TIMEOUT))
            .build();
        // Best effort: at worst the backend server does work that nobody uses.
        let _ = request.call();
    }
}

fn report(response: &Response<ureq::Body>) -> Report {
    let header = |name| response.headers().get(name)?.to_str().ok();
    let state = header("x-state");
    Report {
        load: header("x-load").and_then(|load| load.parse().ok()),
        draining: state == Some("draining"),
        cold: state == Some("cold"),
        incarnation: header("x-incarnation").and_then(|number| number.parse().ok()),
    }
}

fn result(response: &mut Response<ureq::Body>, work: &Work) -> sub::Result {
    match response.status().as_u16() {
        200 => {}
        410 => return sub::Result::not_run(Failure::SnapshotGone),
        503 if is_not_run(response) => return sub::Result::not_run(Failure::Shed),
        504 => return sub::Result::unknown(Failure::Timeout),
        _ => return sub::Result::unknown(Failure::Malformed),
    }
    let body = response.body_mut().with_config().limit(reply::BODY_LIMIT);
    let Ok(body) = body.read_to_vec() else {
        return sub::Result::unknown(Failure::Malformed);
    };
    match work {
        Work::Action { .. } => sub::Result::Reply(body),
        Work::Search { snapshot, shard } => match reply::hits(&body, *snapshot, *shard) {
            Ok(hits) => sub::Result::Hits(hits),
            Err(_) => sub::Result::unknown(Failure::Malformed),
        },
    }
}

/// Whether the backend server itself says that it did not run the request.
fn is_not_run(response: &Response<ureq::Body>) -> bool {
    response
        .headers()
        .get("x-outcome")
        .is_some_and(|outcome| outcome == "not-run")
}

/// What an error of the client library means.
///
/// Only an error of opening the connection proves that no byte was written.
fn failed(error: &ureq::Error) -> sub::Result {
    let outcome = match error {
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => {
            Outcome::NotRun
        }
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let failure = match error {
        ureq::Error::Timeout(ureq::Timeout::Connect) => Failure::Connection,
        ureq::Error::Timeout(_) => Failure::Timeout,
        _ => Failure::Connection,
    };
    sub::Result::Failed { failure, outcome }
}
