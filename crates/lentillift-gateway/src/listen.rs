//! Listeners for the balancer, operators and other hosts.

use crate::branch;
use crate::dialect::Dialect;
use crate::feed;
use crate::frame;
use crate::host::Host;
use crate::local::Executor;
use crate::log;
use crate::memory;
use crate::metric;
use crate::pool::set_socket_options;
use crate::quarantine;
use crate::receive;
use crate::receive::receive;
use crate::source::Source;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use lentillift_core::error::Error;
use lentillift_core::error::Step;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tracing::warn;

/// Pause after a failed `accept`, which fails for example when the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Timeout for reading the head of a request of the balancer or an operator.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for reading the body of another host's request, which would hold its memory if the host's
/// connection went silent.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest request body of another host, in bytes.
const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;

/// Accepts the next connection; retries after a pause if `accept` fails.
pub(crate) async fn accept_with_retry(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(event = "accept", %error, "failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The clients that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// The balancer, which polls whether callers should be sent here.
    Balancer,
    /// Operators, who may also read metrics, and list and lift quarantines.
    Operators,
}

/// Serves readiness to the balancer, or metrics and quarantines to operators.
pub async fn serve_operations<D, S>(host: Rc<Host<D, S>>, listener: TcpListener, audience: Audience)
where
    D: Dialect,
    S: Source,
{
    loop {
        let stream = accept_with_retry(&listener).await;
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = match audience {
                    Audience::Balancer => readiness(&host),
                    Audience::Operators => handle_operator_request(&host, &request),
                };
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // An error affects only this client.
            let _ = connection.await;
        });
    }
}

/// Renders all metrics, after updating the gauges that are computed on demand.
fn metrics<D, S>(host: &Host<D, S>) -> String
where
    D: Dialect,
    S: Source,
{
    let now = host.now();
    let registry = &host.metrics;
    if let Some(bytes) = memory::resident_bytes() {
        registry.gauge(metric::MEMORY, bytes as f64);
    }
    registry.gauge(metric::FOLLOWERS, host.followers.get() as f64);
    registry.gauge(metric::LOG_DROPPED, log::all_dropped() as f64);
    let left = host.core.borrow_mut().budget_left(now);
    registry.gauge(metric::BUDGET, left);
    registry.render(now)
}

fn readiness<D, S>(host: &Host<D, S>) -> Response<Full<Bytes>>
where
    D: Dialect,
    S: Source,
{
    let mut response = Response::new(Full::default());
    if !host.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn handle_operator_request<D, S>(
    host: &Host<D, S>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>>
where
    D: Dialect,
    S: Source,
{
    let path = request.uri().path();
    let text = |text: String| Response::new(Full::new(text.into()));
    match path {
        "/metrics" => return text(metrics(host)),
        quarantine::LIST => return text(quarantine::list(host)),
        _ => {}
    }
    let fingerprint = path.strip_prefix(quarantine::LIFT);
    let Some(fingerprint) = fingerprint.filter(|_| request.method() == Method::DELETE) else {
        return readiness(host);
    };
    let mut response = Response::new(Full::default());
    if !quarantine::lift(host, fingerprint) {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

type Body = Either<Full<Bytes>, frame::Body>;

/// Accepts and serves connections of other hosts.
pub async fn serve_hosts<D, S>(host: Rc<Host<D, S>>, listener: TcpListener)
where
    D: Dialect,
    S: Source,
{
    loop {
        let stream = accept_with_retry(&listener).await;
        tokio::task::spawn_local(serve_host_connection(host.clone(), stream));
    }
}

async fn serve_host_connection<D, S>(host: Rc<Host<D, S>>, stream: TcpStream)
where
    D: Dialect,
    S: Source,
{
    set_socket_options(&stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(handle_host_request(host, request).await) }
    });
    let connection = http2::Builder::new(Executor)
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // An error ends the peer's requests, and the peer sees that.
    let _ = connection.await;
}

async fn handle_host_request<D, S>(
    host: Rc<Host<D, S>>,
    request: Request<Incoming>,
) -> Response<Body>
where
    D: Dialect,
    S: Source,
{
    let path = request.uri().path().to_owned();
    if let Some(format) = branch::Format::of(&path) {
        return serve_branch(&host, format, request.into_body()).await;
    }
    if path == quarantine::PATH {
        return exchange_quarantine(&host, request.into_body()).await;
    }
    let after = path.strip_prefix(feed::PATH);
    match after.and_then(|after| after.parse().ok()) {
        Some(after) => {
            let queries = Some(request.into_body());
            Response::new(Either::Right(feed::serve::body(host, after, queries)))
        }
        None => bad_request().map(Either::Left),
    }
}

async fn serve_branch<D, S>(
    host: &Rc<Host<D, S>>,
    format: branch::Format,
    body: Incoming,
) -> Response<Body>
where
    D: Dialect,
    S: Source,
{
    let received = receive(&host.uploads, body, MAX_REQUEST_BYTES, BODY_TIMEOUT).await;
    let result = match received {
        Ok((body, memory)) => branch::answer::answer(host, format, &body, memory),
        Err(receive::Failure::NoMemory) => return unavailable().map(Either::Left),
        Err(failure) => Err(Error::new(Step::Read, "host", failure.reason())),
    };
    match result {
        Ok(body) => Response::new(Either::Right(body)),
        Err(error) => {
            warn!(event = "branch", %error, "request of another host not served");
            bad_request().map(Either::Left)
        }
    }
}

async fn exchange_quarantine<D, S>(host: &Host<D, S>, body: Incoming) -> Response<Body>
where
    D: Dialect,
    S: Source,
{
    let body = http_body_util::Limited::new(body, MAX_REQUEST_BYTES);
    let result = match body.collect().await {
        Ok(body) => quarantine::answer(host, &body.to_bytes()),
        Err(e) => Err(Error::new(Step::Read, "host", e)),
    };
    match result {
        Ok(answer) => Response::new(Either::Left(Full::new(answer))),
        Err(error) => {
            warn!(event = "quarantine", %error, "quarantine exchange of another host not served");
            bad_request().map(Either::Left)
        }
    }
}

fn bad_request() -> Response<Full<Bytes>> {
    empty(StatusCode::BAD_REQUEST)
}

/// Tells another host that nothing was sent and that it has to ask elsewhere.
fn unavailable() -> Response<Full<Bytes>> {
    empty(StatusCode::SERVICE_UNAVAILABLE)
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
