//! The accept loop and the handling of one connection.

use crate::body::Body;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Delay after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest head of a request, in bytes. A connection reads as much at a time.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Limits and timeouts of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Timeout for receiving a request's head; also the longest time that a connection may be idle.
    pub head_timeout: Duration,
    /// Timeout for receiving a request's body.
    pub body_timeout: Duration,
    /// Maximum size of a request's body, in bytes.
    pub body_limit: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 1024,
            head_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(5),
            body_limit: 64 * 1024,
        }
    }
}

/// Serves requests until `stop` becomes true, then finishes those in flight.
///
/// A request whose body is too large, too slow or truncated gets an error status and never reaches
/// `handler`.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: Options,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(options.connections));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, permit)) => {
                let connection = serve_connection(stream, options, stop.clone(), handler.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Accepts a connection once fewer than the maximum number are open.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, permit))
}

/// Serves one connection. Its errors are ignored, since they affect only its peer.
async fn serve_connection<H, F>(
    stream: TcpStream,
    options: Options,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let service = service_fn(move |request| respond(request, options, handler.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Receives a request's body within the bounds and calls `handler`.
async fn respond<H, F>(
    request: Request<Incoming>,
    options: Options,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Response<Bytes>>,
{
    let (head, body) = request.into_parts();
    let received = receive(body, options.body_limit);
    let response = match tokio::time::timeout(options.body_timeout, received).await {
        Ok(Ok(body)) => handler(Request::from_parts(head, body)).await,
        Ok(Err(Failure::TooLarge)) => {
            let detail = format!("body: at most {} bytes are right", options.body_limit);
            plain(StatusCode::PAYLOAD_TOO_LARGE, detail)
        }
        Ok(Err(Failure::CutOff)) => plain(StatusCode::BAD_REQUEST, "body: cut off".to_owned()),
        Err(_) => plain(StatusCode::REQUEST_TIMEOUT, "body: too slow".to_owned()),
    };
    Ok(response.map(Full::new))
}

/// Why a body was not received.
enum Failure {
    TooLarge,
    CutOff,
}

/// Receives a body of at most `limit` bytes.
async fn receive(mut incoming: Incoming, limit: usize) -> Result<Bytes, Failure> {
    let mut body = Body::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| Failure::CutOff)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if body.len() + part.len() > limit {
            return Err(Failure::TooLarge);
        }
        body.push(part);
    }
    Ok(body.finish())
}

/// Creates a plain-text response; a line feed is appended to `text`.
pub fn plain(status: StatusCode, text: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(text + "\n"));
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, body: Vec<u8>) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}
