//! Client that sends sub-requests to one backend server.

use crate::connect;
use crate::connect::Discards;
use crate::connect::WriteTrackingConnector;
use crate::reply;
use crate::resolve::FixedResolver;
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

/// Timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of the check whether a process listens at an address. It delays the result of a request.
const LISTEN_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Size of a connection's input buffer, and of its output buffer.
///
/// A request has less than a kilobyte and most replies have a few. With the library's default of
/// 128 KB for each buffer, the connections to a hundred backend servers take 25 MB.
const BUFFER_BYTES: usize = 16 * 1024;

/// Limits and timeouts of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of idle connections that are kept open.
    pub connections: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
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
    /// Prefix of each request id.
    ///
    /// Tickets are unique only within a process. Without the prefix, a cancellation by one process
    /// would end the request of another process with the same ticket, whose answer would then miss
    /// a shard.
    sender: Arc<str>,
    discards: Discards,
}

impl Client {
    /// Creates a client without opening a connection. `sender` must differ between all processes
    /// that may send to the same backend server, and between restarts of each.
    pub fn new(address: SocketAddr, sender: &str, options: &Options) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(options.connections)
            .max_idle_connections_per_host(options.connections)
            .max_idle_age(options.idle)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .timeout_connect(Some(options.connect_timeout))
            .build();
        let discards = Discards::default();
        let connector = WriteTrackingConnector::new(discards.clone());
        Self {
            agent: Agent::with_parts(config, connector, FixedResolver(address)),
            discards,
            address,
            sender: sender.chars().map(sanitize).collect::<String>().into(),
        }
    }

    /// Sends a sub-request and waits for its result, for at most `remaining`.
    ///
    /// `ticket` identifies the request in [`Client::cancel`]. The report is what the backend server
    /// stated about its own state in the headers of the reply.
    pub fn send(&self, ticket: u64, sub: &Sub, remaining: Duration) -> (sub::Result, Report) {
        let path = match sub.work {
            Work::Search { .. } => "search",
            Work::Action { .. } => "action",
        };
        let id = format!("{}-{ticket}", self.sender);
        let mut request = self
            .agent
            .post(format!("http://{}/v1/{path}", self.address))
            .header("content-type", "application/json")
            .header("x-request-id", &id)
            .header("x-deadline-ms", remaining.as_millis().to_string());
        request = match &sub.work {
            Work::Search { snapshot, shard } => request
                .header("x-snapshot", snapshot.to_string())
                .header("x-shard", shard.to_string()),
            Work::Action { key } => request.header("idempotency-key", &**key),
        };
        let request = request.config().timeout_global(Some(remaining)).build();
        let (sent, written) = connect::track_writes(|| request.send(&*sub.body));
        let (result, report) = match sent {
            Ok(response) if names_another(&response, &id) => {
                // The report is ignored too: a late one no longer describes the server.
                self.discards.discard();
                (sub::Result::unknown(Failure::Malformed), Report::default())
            }
            Ok(mut response) => {
                let report = report(&response);
                (result(&mut response, &sub.work, &report), report)
            }
            Err(error) => (failed_result(&error, written), Report::default()),
        };
        // The check is limited to searches: an action is not sent again, even if its server ended.
        let is_search = matches!(sub.work, Work::Search { .. });
        let is_connection_lost = result == sub::Result::unknown(Failure::Connection);
        match is_search && is_connection_lost && self.refuses_connections() {
            true => (sub::Result::unknown(Failure::Ended), report),
            false => (result, report),
        }
    }

    /// Whether the address refuses connections, as it does after the backend server's process
    /// ended.
    fn refuses_connections(&self) -> bool {
        let opened = TcpStream::connect_timeout(&self.address, LISTEN_CHECK_TIMEOUT);
        opened.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    }

    /// Asks the backend server to stop a request whose reply is no longer needed.
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
        // Best effort: if it fails, the backend server finishes work whose result is not used.
        let _ = request.call();
    }
}

/// Replaces a character that is not safe in both a URL path and a header by `_`.
fn sanitize(character: char) -> char {
    match character {
        'a'..='z' | 'A'..='Z' | '0'..='9' | '-' | '.' | '_' => character,
        _ => '_',
    }
}

/// Reads the backend server's report on its own state from the headers of a reply.
///
/// A load that is negative or not finite is ignored.
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

/// Converts a reply into the result of a sub-request.
fn result(response: &mut Response<ureq::Body>, work: &Work, report: &Report) -> sub::Result {
    match (response.status().as_u16(), work) {
        (200, _) => {}
        // HTTP knows no such status, so nothing in the reply counts.
        (600.., _) => return sub::Result::unknown(Failure::Malformed),
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

/// Whether a reply belongs to another request than `id`, such as a late second copy of an earlier
/// reply on the connection. A reply without an id counts as the request's own.
fn names_another(response: &Response<ureq::Body>, id: &str) -> bool {
    let named = response.headers().get("x-request-id");
    named.is_some_and(|named| named != id)
}

/// Whether the backend server states that it did not run the request.
fn is_not_run(response: &Response<ureq::Body>) -> bool {
    response
        .headers()
        .get("x-outcome")
        .is_some_and(|outcome| outcome == "not-run")
}

/// Converts an error of the client library; `written` is whether any byte may have been sent.
fn failed_result(error: &ureq::Error, written: bool) -> sub::Result {
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
