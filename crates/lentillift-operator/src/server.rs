//! The HTTP listener for operators.

pub use crate::board::Board;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::json;
use lentillift_http::listener::plain;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Serves operators until `stop` becomes true.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    stop: watch::Receiver<bool>,
    board: Board,
) {
    let handler = move |request: Request<Bytes>| {
        let board = board.clone();
        async move { handle(&board, &request) }
    };
    listener::serve(listener, options, stop, handler).await;
}

/// Answers one request.
fn handle(board: &Board, request: &Request<Bytes>) -> Response<Bytes> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "method not allowed, use GET".to_owned(),
        );
    }
    match request.uri().path() {
        "/healthz" => plain(StatusCode::OK, "ok".to_owned()),
        "/readyz" if board.is_ready() => plain(StatusCode::OK, "ready".to_owned()),
        "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned()),
        "/metrics" => metrics(board),
        "/status" => json_response(&board.status()),
        "/timeline" => timeline(board, request.uri().query()),
        _ => plain(
            StatusCode::NOT_FOUND,
            "right is one of /healthz /readyz /metrics /status /timeline".to_owned(),
        ),
    }
}

fn metrics(board: &Board) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(board.metrics()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
    response
}

/// Answers `/timeline`, whose query may be `since=NUMBER`.
fn timeline(board: &Board, query: Option<&str>) -> Response<Bytes> {
    let since = match query.map(|query| query.strip_prefix("since=").unwrap_or(query)) {
        None => Ok(0),
        Some(since) => since.parse(),
    };
    match since {
        Ok(since) => json_response(&board.timeline(since)),
        Err(_) => plain(
            StatusCode::BAD_REQUEST,
            "since: right is the number of an event".to_owned(),
        ),
    }
}

/// A response with `value` as JSON.
fn json_response<T>(value: &T) -> Response<Bytes>
where
    T: Serialize,
{
    json(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    )
}
