//! Connections to backend servers, each used for one request at a time.
//!
//! A backend server takes few connections and a new one may hold a slot for some milliseconds, so
//! connections are kept. What goes wrong with kept ones: the server closes one just as a request is
//! written to it, which then may or may not have run. Connections are therefore given up before the
//! server's idle timeout, and well before it for requests that may run only once.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use lentillift_core::id;
use lentillift_scatter::config::Kind;
use lentillift_scatter::server::Server;
use socket2::SockRef;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Longest time to open a connection; a hundred round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which bytes that nobody acknowledged end a connection.
///
/// A connection that went silent would otherwise take requests until TCP gives up after minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest time to find out whether anybody listens at an address. The next send for the request waits
/// for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a connection is kept if the server does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);

/// Time before a server's idle timeout at which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Largest reply, in bytes; a larger one would crowd out other requests' memory.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of the request left this host.
    Unsent(&'static str),
    /// The request may have run.
    Broken(&'static str),
    /// The request may have run; the connection ended before the whole reply was here.
    Cut(&'static str),
}

/// Nobody listens at the server's address.
const REFUSED: Failure = Failure::Unsent("connection refused");

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection without a request.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    keep_alive: Duration,
}

/// All connections to backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<id::Backend, Vec<Idle>>>,
    opened: Cell<u64>,
}

impl Pool {
    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Connections without a request.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Sends a request and reads the whole reply, unless `may_leave` says no once there is a connection.
    ///
    /// # Errors
    ///
    /// Says whether anything of the request may have reached the server.
    pub async fn exchange<F>(
        &self,
        server: &Server,
        kind: Kind,
        mut request: Request<Full<Bytes>>,
        may_leave: F,
    ) -> Result<Response<Bytes>, Failure>
    where
        F: Fn() -> bool,
    {
        let backend = &server.entry.id;
        loop {
            let kept = self.take_idle(backend, kind);
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => self.open(server.entry.address).await?,
            };
            if sender.ready().await.is_err() {
                if fresh {
                    return Err(Failure::Unsent("closed at once"));
                }
                continue;
            }
            if !may_leave() {
                return Err(Failure::Unsent("server left meanwhile"));
            }
            match sender.try_send_request(request).await {
                Ok(response) => return self.finish(backend, sender, response).await,
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(Failure::Unsent("closed before the request")),
                    None => return Err(reply_failure(failed.error())),
                },
            }
        }
    }

    /// Takes a connection that the server still keeps, the one used last first.
    fn take_idle(&self, backend: &id::Backend, kind: Kind) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(backend)?;
        while let Some(last) = kept.pop() {
            let keep = match kind {
                Kind::Idempotent => last.keep_alive,
                Kind::Once => last.keep_alive / 2,
            };
            if !last.sender.is_closed() && last.since.elapsed() < keep {
                return Some(last.sender);
            }
        }
        None
    }

    /// Whether nobody listens at the server's address, as after its process ended.
    ///
    /// A connection that could be opened is kept.
    pub async fn is_refused(&self, server: &Server) -> bool {
        let opened = tokio::time::timeout(PROBE_TIMEOUT, self.open(server.entry.address)).await;
        match opened {
            Ok(Ok(sender)) => {
                self.put_idle(&server.entry.id, sender, DEFAULT_KEEP_ALIVE);
                false
            }
            Ok(Err(failure)) => failure == REFUSED,
            Err(_) => false,
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<Sender, Failure> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(REFUSED),
            Ok(Err(_)) => return Err(Failure::Unsent("connection failed")),
            Err(_) => return Err(Failure::Unsent("connection timed out")),
        };
        self.opened.set(self.opened.get() + 1);
        set_socket_options(&stream);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|_| Failure::Unsent("handshake failed"))?;
        tokio::task::spawn_local(async move {
            // Its error ends the exchange too, and is told there.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn finish(
        &self,
        backend: &id::Backend,
        sender: Sender,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, Failure> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|e| match e.is::<http_body_util::LengthLimitError>() {
            true => Failure::Broken("reply too large"),
            false => Failure::Cut("reply cut off"),
        })?;
        if is_persistent(&head.headers) {
            self.put_idle(backend, sender, keep_alive_time(&head.headers));
        }
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    fn put_idle(&self, backend: &id::Backend, sender: Sender, keep: Duration) {
        let idle = Idle {
            sender,
            since: Instant::now(),
            keep_alive: keep,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(backend.clone()).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long or belong to nobody `keeps` names.
    pub fn sweep<F>(&self, keeps: F)
    where
        F: Fn(&id::Backend) -> bool,
    {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|backend, kept| {
            kept.retain(|one| !one.sender.is_closed() && one.since.elapsed() < one.keep_alive);
            !kept.is_empty() && keeps(backend)
        });
    }
}

/// Sets what every connection within the system's reach needs.
pub fn set_socket_options(stream: &TcpStream) {
    // Both only make failures show sooner; a connection works without.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// What it means that no reply came over a connection.
fn reply_failure(error: &hyper::Error) -> Failure {
    match error.is_parse() {
        true => Failure::Broken("malformed reply"),
        false => Failure::Cut("no whole reply"),
    }
}

fn is_persistent(headers: &http::HeaderMap) -> bool {
    let named = headers.get_all(header::CONNECTION).iter();
    !named
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// How long the server keeps a connection without a request, by its `Keep-Alive` header.
fn keep_alive_time(headers: &http::HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let told = told.and_then(|value| {
        let parts = value.split(',').map(str::trim);
        let timeout = parts.filter_map(|part| part.strip_prefix("timeout="));
        timeout.filter_map(|seconds| seconds.parse().ok()).next()
    });
    let told = told.map(Duration::from_secs);
    told.map_or(DEFAULT_KEEP_ALIVE, |told| {
        told.saturating_sub(KEEP_ALIVE_MARGIN)
    })
}
