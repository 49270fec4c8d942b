//! Front end: callers' connections and requests.

use crate::caller_connection::Connection;
use crate::caller_connection::Connections;
use crate::dialect::Dialect;
use crate::dialect::RequestInfo;
use crate::host::Host;
use crate::host::Stage;
use crate::listen::accept_with_retry;
use crate::message;
use crate::message::Message;
use crate::metric;
use crate::part::Content;
use crate::part::RequestResult;
use crate::places::Awaited;
use crate::pool::set_socket_options;
use crate::receive;
use crate::receive::receive;
use crate::request_log::RequestLog;
use crate::run;
use crate::source::Source;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use lentillift_scatter::caller;
use lentillift_scatter::config::Limits;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Target;
use lentillift_scatter::outcome::Next;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::record;
use lentillift_scatter::switch::Mechanism;
use lentillift_scatter::view::View;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::io::InspectReader;
use tracing::info;
use twox_hash::XxHash64;

/// Limits before the first configuration.
const INITIAL_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// `Retry-After` of a host without a configuration: another host has one.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` of a host without memory for a body or without a place for its caller: other hosts
/// may have some, and large bodies are sent or given up in about this time.
const CROWDED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Assumed timeout of a caller that specifies none, before its route is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a connection that is to be closed may go on sending its last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves callers until the process closes its listeners, with at most `max_connections` at a time.
///
/// Without this limit, callers' connections could take all file descriptors, and no backend server
/// or other host could be reached. A further connection takes the place of one that keeps the host
/// waiting; if there is none, it waits, and those after it wait in the listener's backlog.
pub async fn serve<D, S>(host: Rc<Host<D, S>>, listener: TcpListener, max_connections: usize)
where
    D: Dialect,
    S: Source,
{
    let mut stage = host.stage.subscribe();
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&host, &listener, &permits) => accepted,
            _ = stage.wait_for(|stage| *stage >= Stage::Closing) => return,
        };
        let Some((stream, permit)) = accepted else {
            return;
        };
        host.metrics.count(metric::CALLERS, "taken");
        let host = host.clone();
        tokio::task::spawn_local(async move {
            connection(host, stream).await;
            drop(permit);
        });
    }
}

/// Accepts a connection and waits for its permit; none once the semaphore is closed.
async fn accept<D, S>(
    host: &Host<D, S>,
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)>
where
    D: Dialect,
    S: Source,
{
    let stream = accept_with_retry(listener).await;
    let mut permit = std::pin::pin!(permits.clone().acquire_owned());
    let permit = tokio::select! {
        biased;
        permit = permit.as_mut() => permit,
        never = make_room(&host.connections), if host.is_on(Mechanism::Reclaim) => match never {},
    };
    Some((stream, permit.ok()?))
}

/// Closes a connection after another until this is dropped, since one whose request came meanwhile ends only after it.
async fn make_room(connections: &Connections) -> Infallible {
    loop {
        connections.make_room().await;
        tokio::time::sleep(CLOSE_TIMEOUT).await;
    }
}

/// Limits on callers in force.
pub(crate) fn limits<D, S>(host: &Host<D, S>) -> Limits {
    let core = host.core.borrow();
    core.view
        .as_ref()
        .map_or(INITIAL_LIMITS, |v| v.config.limits)
}

/// Serves one connection. Its errors affect only its caller.
async fn connection<D, S>(host: Rc<Host<D, S>>, stream: TcpStream)
where
    D: Dialect,
    S: Source,
{
    set_socket_options(&stream);
    let limits = limits(&host);
    let mut stage = host.stage.subscribe();
    let caller = Caller {
        connection: host.connections.add(),
        timing: Rc::default(),
    };
    let read = caller.connection.clone();
    let stream = InspectReader::new(stream, move |bytes| read.was_read(bytes));
    let served = caller.clone();
    let service = service_fn(move |request| respond(host.clone(), served.clone(), request));
    // The library has a single timeout for the wait for a request and for its head. Housekeeping closes
    // connections whose heads are late.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ending = tokio::select! {
        // An error affects only this caller.
        _ = connection.as_mut() => return,
        _ = stage.wait_for(|stage| *stage >= Stage::Closing) => Ending::Shutdown,
        () = caller.connection.close_requested() => Ending::Requested,
    };
    let awaited = caller.connection.awaited();
    if ending == Ending::Requested && awaited.is_some_and(Awaited::is_unread) {
        return;
    }
    connection.as_mut().graceful_shutdown();
    if ending == Ending::Shutdown {
        let _ = connection.await;
        return;
    }
    while timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_err() {
        // A request that came meanwhile is answered.
        if !caller.connection.has_request() {
            return;
        }
    }
}

/// Why a connection ends while it is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The process closes its connections.
    Shutdown,
    /// Its caller keeps the host waiting.
    Requested,
}

/// What is known of a caller on its connection.
#[derive(Debug, Clone)]
struct Caller {
    connection: Rc<Connection>,
    timing: Rc<Cell<caller::Caller>>,
}

async fn respond<D, S>(
    host: Rc<Host<D, S>>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    D: Dialect,
    S: Source,
{
    caller.connection.head_came();
    let mut response = answer(&host, &caller, request).await;
    caller.connection.answered();
    if *host.stage.borrow() >= Stage::Leaving || caller.connection.is_closing() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(Full::new))
}

/// A caller's request, read completely, with its route.
struct ParsedRequest {
    message: Message,
    route: Arc<Route>,
    view: Arc<View>,
    authority: Rc<str>,
    timeout: Duration,
}

async fn answer<D, S>(
    host: &Rc<Host<D, S>>,
    caller: &Caller,
    request: Request<Incoming>,
) -> Response<Bytes>
where
    D: Dialect,
    S: Source,
{
    let arrived = host.now();
    let read = match read_request(host, &caller.connection, request).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    let ParsedRequest {
        message,
        route,
        view,
        authority,
        timeout,
    } = read;
    let services = match &route.target {
        Target::Scatter(scatter) => scatter.shards.to_vec(),
        split => split.service(&message.id).cloned().into_iter().collect(),
    };
    let plan = {
        let mut core = host.core.borrow_mut();
        let mut known = caller.timing.get();
        let plan = Plan::new(
            &mut core, &mut known, &route, &view, services, arrived, timeout,
        );
        caller.timing.set(known);
        plan.with_fingerprint(message.fingerprint)
    };
    let id = message.id.clone();
    let fingerprint = message.fingerprint;
    let done = run::run(host, plan, Rc::new(message), authority).await;
    let took = host.now().saturating_sub(arrived);
    let (outcome, response) = build_response(host, &route, &done);
    host.metrics.count(metric::REQUESTS, outcome);
    let labels = [("route", &*route.name), ("kind", outcome)];
    host.metrics.observe(metric::REQUEST_SECONDS, &labels, took);
    if done.repeats_denied > 0 {
        host.metrics
            .add(metric::REPEATS_REFUSED, done.repeats_denied.into());
    }
    let late = took > route.objective;
    if late || outcome != "whole" || done.repeats > 0 || is_sampled(&id) {
        let ending = is_ending(host, &route);
        let request_log = RequestLog {
            id,
            fingerprint,
            route,
            outcome,
            status: response.status(),
            late,
            took,
            timeout,
            config: view.config.version,
            age: host.age().unwrap_or_default(),
            ending,
            done,
        };
        // Logged in a task of its own, so that the response is sent first.
        tokio::task::spawn_local(async move { request_log.log() });
    }
    response
}

/// Whether this process ends before a typical reply to a request of `route` could come.
fn is_ending<D, S>(host: &Host<D, S>, route: &Route) -> bool {
    let Some(due) = host.answers_due.get() else {
        return false;
    };
    let typical = host.core.borrow_mut().reply_times(route).typical;
    host.clock.now() + typical >= due
}

/// Sampling interval of ordinary requests in the log. Sampling is by request id, so that all hosts
/// that took part in a request log it.
const SAMPLE_INTERVAL: u64 = 64;

fn is_sampled(id: &str) -> bool {
    XxHash64::oneshot(0, id.as_bytes()).is_multiple_of(SAMPLE_INTERVAL)
}

/// Reads a request completely and finds its route. An error is the response to send instead.
async fn read_request<D, S>(
    host: &Rc<Host<D, S>>,
    connection: &Connection,
    request: Request<Incoming>,
) -> Result<ParsedRequest, Response<Bytes>>
where
    D: Dialect,
    S: Source,
{
    let (mut head, body) = request.into_parts();
    let info = host.dialect.parse_request(&head);
    let limit = info.timeout.unwrap_or(DEFAULT_TIMEOUT) / 2;
    let due = host.answers_due.get().unwrap_or(Time::MAX);
    host.catch_up(limit.min(due.saturating_sub(host.now())))
        .await;
    let view = host.core.borrow().view.clone();
    let Some(view) = view else {
        log_turned_away(host, &info, "no configuration yet");
        return Err(unavailable(UNREADY_RETRY_AFTER));
    };
    let named = head.headers.get(header::HOST);
    let authority = named
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let authority: Rc<str> = authority.into();
    let Some(found) = find_route(view, &authority, head.uri.path()) else {
        log_turned_away(host, &info, "no such route");
        return Err(status(StatusCode::NOT_FOUND));
    };
    let limits = found.view.config.limits;
    let timeout = info.timeout.unwrap_or(found.route.timeout);
    // A request that is complete only after its route's timeout can't be served, whatever its caller states.
    let body_timeout = timeout.min(found.route.timeout);
    let received = tokio::select! {
        biased;
        received = receive(&host.uploads, body, limits.body_bytes, body_timeout) => received,
        () = connection.close_requested() => Err(receive::Failure::NoPlace),
    };
    let (body, memory) = match received {
        Ok(received) => received,
        Err(failure) => {
            log_turned_away(host, &info, failure.reason());
            return Err(body_failure_response(failure));
        }
    };
    connection.request_came();
    // The configuration may have changed while the body arrived. A route that is gone by now
    // existed when the request came, and is still used.
    let view = host.core.borrow().view.clone();
    let latest = view.and_then(|view| find_route(view, &authority, head.uri.path()));
    let RouteMatch { view, route } = latest.unwrap_or(found);
    message::strip_hop_by_hop(&mut head.headers);
    let path = match head.uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    };
    let fingerprint = Fingerprint::of(head.method.as_str(), &authority, &path.to_string(), &body);
    let message = Message {
        method: head.method,
        path,
        headers: head.headers,
        body,
        id: info.id.unwrap_or_default(),
        fingerprint,
        memory,
    };
    Ok(ParsedRequest {
        message,
        route,
        view,
        authority,
        timeout,
    })
}

/// The answer to a request whose body was not received, so that it did not run.
fn body_failure_response(failure: receive::Failure) -> Response<Bytes> {
    match failure {
        receive::Failure::TooLarge => status(StatusCode::PAYLOAD_TOO_LARGE),
        receive::Failure::CutOff => status(StatusCode::BAD_REQUEST),
        receive::Failure::Late => status(StatusCode::REQUEST_TIMEOUT),
        receive::Failure::NoMemory | receive::Failure::NoPlace => unavailable(CROWDED_RETRY_AFTER),
    }
}

/// A route, and the view that contains it.
struct RouteMatch {
    view: Arc<View>,
    route: Arc<Route>,
}

/// Finds the route for `path` at the caller's `authority`.
fn find_route(view: Arc<View>, authority: &str, path: &str) -> Option<RouteMatch> {
    let route = view.config.route(authority, path)?.clone();
    Some(RouteMatch { view, route })
}

/// Logs and counts a request that was answered without being sent anywhere.
fn log_turned_away<D, S>(host: &Host<D, S>, info: &RequestInfo, why: &'static str)
where
    D: Dialect,
    S: Source,
{
    host.metrics.count(metric::REQUESTS, "turned away");
    info!(
        event = "request",
        id = info.id.as_deref().unwrap_or_default(),
        outcome = "turned away",
        why,
        age_ms = host.age().map_or(0, |age| age.as_millis() as u64),
        "answered"
    );
}

/// Builds the response, and its outcome label for logs and metrics.
fn build_response<D, S>(
    host: &Host<D, S>,
    route: &Route,
    done: &RequestResult,
) -> (&'static str, Response<Bytes>)
where
    D: Dialect,
{
    match (&done.next, &route.target) {
        (Next::Answer { missing, .. }, Target::Scatter(scatter)) => {
            let outcome = if *missing == 0 { "whole" } else { "partial" };
            (outcome, merge(host, scatter.records, done, *missing))
        }
        (Next::Answer { .. }, Target::Split(_)) => ("whole", pass_through(done)),
        (Next::Pass(_), _) => ("failure", pass_through(done)),
        (Next::Refuse(after), _) => ("refused", unavailable(*after)),
        (Next::Quarantine(after), _) => ("quarantined", unavailable(*after)),
        (Next::Timeout, _) => ("timeout", status(StatusCode::GATEWAY_TIMEOUT)),
        (Next::Fail | Next::Wait(_), _) => ("failed", status(StatusCode::BAD_GATEWAY)),
    }
}

/// Merges the records of the parts into one response.
fn merge<D, S>(
    host: &Host<D, S>,
    limit: usize,
    done: &RequestResult,
    missing: usize,
) -> Response<Bytes>
where
    D: Dialect,
{
    let records = done.parts.iter().map(|part| part.records());
    let mut response = Response::new(record::merge(records, limit));
    let signatures = done.parts.iter().flat_map(|part| part.signatures());
    let signatures: Vec<Box<str>> = signatures.collect();
    host.dialect
        .set_merged_headers(response.headers_mut(), &signatures, missing);
    response
}

/// Forwards a backend server's reply without its hop-by-hop headers.
fn pass_through(done: &RequestResult) -> Response<Bytes> {
    let Some(Content::Reply(reply)) = done.parts.first().map(|part| &part.content) else {
        return status(StatusCode::BAD_GATEWAY);
    };
    let mut response = Response::new(reply.response.body().clone());
    *response.status_mut() = reply.response.status();
    *response.headers_mut() = reply.response.headers().clone();
    message::strip_hop_by_hop(response.headers_mut());
    response
}

fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// 503 with `Retry-After`: the request was not executed.
fn unavailable(after: Duration) -> Response<Bytes> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
