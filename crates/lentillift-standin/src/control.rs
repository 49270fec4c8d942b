//! HTTP control interface, through which a load run registers hosts, injects faults and reads
//! counters.

use crate::fault::Fault;
use crate::world::RunningWorld;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::json;
use lentillift_http::listener::plain;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A host that a load run registers with the configuration service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address at which its process accepts connections of other hosts.
    pub node: SocketAddr,
}

/// Serves the control interface until `stop` becomes true.
///
/// `POST /hosts` takes a [`Host`], `DELETE /hosts/NAME` removes one, `POST /faults` takes a
/// [`Fault`], and `GET /counts` returns the counters of each backend server and of the
/// configuration service.
pub async fn serve(running: RunningWorld, listener: TcpListener, stop: watch::Receiver<bool>) {
    let running = Arc::new(Mutex::new(running));
    let handler = move |request: Request<Bytes>| {
        let running = running.clone();
        async move {
            let mut running = running.lock().unwrap_or_else(PoisonError::into_inner);
            handle(&mut running, &request)
        }
    };
    listener::serve(listener, Options::default(), stop, handler).await;
}

fn handle(running: &mut RunningWorld, request: &Request<Bytes>) -> Response<Bytes> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/hosts") => add_host(running, request.body()),
        (&Method::DELETE, _) => match path.strip_prefix("/hosts/") {
            Some(name) => {
                running.remove_host(name);
                plain(StatusCode::OK, "removed".to_owned())
            }
            None => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
        },
        (&Method::POST, "/faults") => apply_fault(running, request.body()),
        (&Method::GET, "/counts") => counts(running),
        _ => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
    }
}

fn add_host(running: &mut RunningWorld, body: &[u8]) -> Response<Bytes> {
    match serde_json::from_slice::<Host>(body) {
        Ok(host) => {
            running.add_host(&host.host, host.node, &host.domain);
            plain(StatusCode::OK, "added".to_owned())
        }
        Err(e) => plain(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

fn apply_fault(running: &mut RunningWorld, body: &[u8]) -> Response<Bytes> {
    let fault = serde_json::from_slice::<Fault>(body).map_err(|e| e.to_string());
    match fault.and_then(|fault| fault.apply(running)) {
        Ok(()) => plain(StatusCode::OK, "done".to_owned()),
        Err(e) => plain(StatusCode::BAD_REQUEST, e),
    }
}

fn counts(running: &RunningWorld) -> Response<Bytes> {
    let backends = running.backends.iter();
    let backends: serde_json::Map<_, _> = backends
        .map(|(name, backend)| {
            let count = serde_json::to_value(backend.count()).unwrap_or_default();
            (name.to_string(), count)
        })
        .collect();
    let counts = serde_json::json!({
        "backends": backends,
        "platform_calls": running.platform.calls(),
    });
    json(StatusCode::OK, counts.to_string().into_bytes())
}
