//! Sending requests to one backend server.

use crate::connect;
use crate::connect::Watching;
use crate::reply;
use crate::resolve::Fixed;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use ureq::Agent;
use ureq::Timeout;
use ureq::http::Response;

/// Time after which a cancellation that was not taken is given up.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time to find out whether anybody listens at an address; the result waits for it.
const LOOK_TIMEOUT: Duration = Duration::from_millis(50);

/// Bytes that a connection's buffer holds, each way.
///
/// A request has under a kilobyte and most replies a few. The library's default of 128 KB each way
/// makes 25 MB of the connections of a hundred backend servers.
const BUFFER: usize = 16 * 1024;

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
    /// Stands before each ticket.
    ///
    /// Tickets are numbers of one process. Without this the cancellation of one process's request
    /// would end another process's request with the same number, and a shard would be missing.
    sender: Arc<str>,
}

impl Client {
    /// Makes a client; nothing is sent yet. `sender` differs between all processes that may send
    /// to the same backend server, and between starts of each.
    pub fn new(address: SocketAddr, sender: &str, options: &Options) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(options.connections)
            .max_idle_connections_per_host(options.connections)
            .max_idle_age(options.idle)
            .input_buffer_size(BUFFER)
            .output_buffer_size(BUFFER)
            .timeout_connect(Some(options.connect_timeout))
            .build();
        Self {
            agent: Agent::with_parts(config, Watching::default(), Fixed(address)),
            address,
            sender: sender.chars().map(safe).collect::<String>().into(),
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
            .header("x-request-id", format!("{}-{ticket}", self.sender))
            .header("x-deadline-ms", left.as_millis().to_string());
        request = match &sub.work {
            Work::Search { snapshot, shard } => request
                .header("x-snapshot", snapshot.to_string())
                .header("x-shard", shard.to_string()),
            Work::Action { key } => request.header("idempotency-key", &**key),
        };
        let request = request.config().timeout_global(Some(left)).build();
        let (sent, written) = connect::watch(|| request.send(&*sub.body));
        let (result, report) = match sent {
            Ok(mut response) => {
                let report = report(&response);
                (result(&mut response, &sub.work, &report), report)
            }
            Err(error) => (failed(&error, written), Report::default()),
        };
        // An action is not sent again, whatever became of its server.
        let is_search = matches!(sub.work, Work::Search { .. });
        let is_lost = result == sub::Result::unknown(Failure::Connection);
        match is_search && is_lost && self.is_refused() {
            true => (sub::Result::unknown(Failure::Ended), report),
            false => (result, report),
        }
    }

    /// Whether nobody listens at the address, as after the backend server's process ended.
    fn is_refused(&self) -> bool {
        let opened = TcpStream::connect_timeout(&self.address, LOOK_TIMEOUT);
        opened.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    }

    /// Tells the backend server that a request's reply is of no more use.
    pub fn cancel(&self, ticket: u64) {
        let request = self
            .agent
            .delete(format!(
                "http://{}/v1/requests/{}-{ticket}",
                self.address, self.sender
            ))
            .config()
            .timeout_global(Some(CANCEL_TIMEOUT))
            .build();
        // Best effort: at worst the backend server does work that nobody uses.
        let _ = request.call();
    }
}

/// A character that may stand in a path and in a header.
fn safe(character: char) -> char {
    match character {
        'a'..='z' | 'A'..='Z' | '0'..='9' | '-' | '.' | '_' => character,
        _ => '_',
    }
}

fn report(response: &Response<ureq::Body>) -> Report {
    let header = |name| response.headers().get(name)?.to_str().ok();
    let state = header("x-state");
    let load = header("x-load").and_then(|load| load.parse().ok());
    Report {
        load: load.filter(|load: &f64| load.is_finite() && *load >= 0.0),
        draining: state == Some("draining"),
        cold: state == Some("cold"),
        incarnation: header("x-incarnation").and_then(|number| number.parse().ok()),
    }
}

fn result(response: &mut Response<ureq::Body>, work: &Work, report: &Report) -> sub::Result {
    match (response.status().as_u16(), work) {
        (200, _) => {}
        (410, Work::Search { .. }) => return sub::Result::not_run(Failure::SnapshotGone),
        _ if is_not_run(response) && report.cold => return sub::Result::not_run(Failure::Cold),
        _ if is_not_run(response) => return sub::Result::not_run(Failure::Shed),
        (503, _) => return sub::Result::unknown(Failure::Shed),
        (504, _) => return sub::Result::unknown(Failure::Timeout),
        _ => return sub::Result::unknown(Failure::Malformed),
    }
    let body = response.body_mut().with_config().limit(reply::BODY_LIMIT);
    let body = match body.read_to_vec() {
        Ok(body) => body,
        Err(ureq::Error::Timeout(_)) => return sub::Result::unknown(Failure::Timeout),
        Err(ureq::Error::Io(_)) => return sub::Result::unknown(Failure::Connection),
        Err(_) => return sub::Result::unknown(Failure::Malformed),
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

/// What an error of the client library means; `written` is whether any byte may have left.
fn failed(error: &ureq::Error, written: bool) -> sub::Result {
    let failure = match error {
        ureq::Error::Timeout(Timeout::Connect) => Failure::Connection,
        ureq::Error::Timeout(_) => Failure::Timeout,
        _ => Failure::Connection,
    };
    match written {
        true => sub::Result::unknown(failure),
        false => sub::Result::not_run(failure),
    }
}
