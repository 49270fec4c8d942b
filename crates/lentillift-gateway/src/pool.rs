//! Pool of connections to backend servers, each used for one request at a time.
//!
//! A backend server accepts few connections, and a new one may hold a slot for some milliseconds,
//! so connections are kept alive. The risk of a kept connection is that the server closes it just
//! as a request is written to it; the request then may or may not have run. Connections are
//! therefore dropped before the server's idle timeout, and well before it for requests that must
//! run at most once.

use crate::body_memory::BodyMemory;
use crate::body_memory::Growth;
use crate::body_memory::Reservation;
use crate::head_limit::HeadLimit;
use crate::head_limit::Limited;
use crate::head_limit::MAX_HEAD_BYTES;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use lentillift_core::id;
use lentillift_http::body::Body;
use lentillift_scatter::config::Kind;
use lentillift_scatter::server::Server;
use socket2::SockRef;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout for opening a connection: a hundred round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged data ends a connection (`TCP_USER_TIMEOUT`).
///
/// A connection that went silent would otherwise receive requests until TCP gives up after minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for probing whether a server's port is open. The request's next send waits for this
/// probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Idle time for which a connection is kept if the server specifies none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);

/// Safety margin before a server's idle timeout, from which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Largest reply, in bytes. A larger one would take memory that other requests need.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Memory for all replies that are being read, in bytes.
const REPLY_MEMORY_BYTES: usize = 32 * 1024 * 1024;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of the request was sent.
    Unsent(&'static str),
    /// The request may have run; its reply can't be used.
    Broken(&'static str),
    /// The request may have run; the connection ended before the reply was complete.
    Cut(&'static str),
}

/// The server's port is closed.
const REFUSED: Failure = Failure::Unsent("connection refused");

/// Number of a connection, unique within its pool.
pub type ConnectionId = u64;

type Sender = http1::SendRequest<Full<Bytes>>;

/// An open connection.
#[derive(Debug)]
struct Open {
    id: ConnectionId,
    sender: Sender,
    head: HeadLimit,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    open: Open,
    since: Instant,
    keep_alive: Duration,
}

/// A connection whose exchange is complete, until it is returned to its pool.
///
/// Dropped, it is closed. That is the right end for one that is out of step: on it, every further
/// request would run and get the reply of an earlier one.
#[derive(Debug)]
pub struct Connection {
    backend: id::Backend,
    open: Open,
    /// Idle time for which it may be kept; none if the server closes it.
    keep_alive: Option<Duration>,
}

impl Connection {
    /// Number of the connection.
    pub fn id(&self) -> ConnectionId {
        self.open.id
    }
}

/// What a request needs of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Requirement<'a> {
    /// How often the request may run.
    pub kind: Kind,
    /// Connections on which the same request was rejected. A late copy of the rejection could
    /// arrive on them, and its id would not tell it from the reply to the request.
    pub rejected_on: &'a [ConnectionId],
}

/// Takes memory for `more` bytes of a reply.
///
/// # Errors
///
/// When the reply may not be that large.
fn grow_reply(reservation: &mut Reservation, more: usize) -> Result<(), Failure> {
    if reservation.held() + more > MAX_REPLY_BYTES {
        return Err(Failure::Broken("reply too large"));
    }
    match reservation.grow(more) {
        Growth::Granted => Ok(()),
        Growth::Denied => Err(Failure::Broken("no memory for the reply")),
    }
}

/// Idle connections to all backend servers.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<id::Backend, Vec<Idle>>>,
    opened: Cell<u64>,
    memory: Rc<RefCell<BodyMemory>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
            opened: Cell::new(0),
            memory: Rc::new(RefCell::new(BodyMemory::new(REPLY_MEMORY_BYTES))),
        }
    }
}

impl Pool {
    /// Number of connections opened since the process started.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Number of bytes of replies that are being read.
    pub fn reply_bytes(&self) -> usize {
        self.memory.borrow().used()
    }

    /// Sends a request and reads the complete reply. Nothing is sent if `may_send` returns false
    /// once a connection is ready.
    ///
    /// The connection is to be [released](Self::release) if the reply belongs to the request.
    ///
    /// # Errors
    ///
    /// The variant states whether the server may have received any of the request.
    pub async fn exchange<F>(
        &self,
        server: &Server,
        requirement: Requirement<'_>,
        mut request: Request<Full<Bytes>>,
        may_send: F,
    ) -> Result<(Response<Bytes>, Connection), Failure>
    where
        F: Fn() -> bool,
    {
        let backend = &server.entry.id;
        loop {
            let idle = self.take_idle(backend, requirement);
            let is_new = idle.is_none();
            let mut open = match idle {
                Some(open) => open,
                None => self.open(server.entry.address).await?,
            };
            if open.sender.ready().await.is_err() {
                if is_new {
                    return Err(Failure::Unsent("connection closed at once"));
                }
                continue;
            }
            if !may_send() {
                return Err(Failure::Unsent("send withdrawn while connecting"));
            }
            open.head.start();
            let sent = tokio::select! {
                biased;
                sent = open.sender.try_send_request(request) => sent,
                () = open.head.exceeded() => return Err(Failure::Broken("reply head too large")),
            };
            open.head.end();
            match sent {
                Ok(response) => return self.read_reply(backend, open, response).await,
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(Failure::Unsent("connection closed before the request")),
                    None => return Err(reply_failure(failed.error())),
                },
            }
        }
    }

    /// Takes the most recently used idle connection that meets the requirement and that the server
    /// should still keep open. Requests that must run at most once use it for only half of that
    /// time.
    fn take_idle(&self, backend: &id::Backend, requirement: Requirement<'_>) -> Option<Open> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(backend)?;
        let mut end = kept.len();
        while let Some(index) = end.checked_sub(1) {
            end = index;
            if requirement.rejected_on.contains(&kept[index].open.id) {
                continue;
            }
            let last = kept.remove(index);
            let keep = match requirement.kind {
                Kind::Idempotent => last.keep_alive,
                Kind::Once => last.keep_alive / 2,
            };
            if !last.open.sender.is_closed() && last.since.elapsed() < keep {
                return Some(last.open);
            }
        }
        None
    }

    /// Whether the server's port is closed, as after its process ended.
    ///
    /// A connection that this opens is kept for later requests.
    pub async fn is_refused(&self, server: &Server) -> bool {
        let opened = tokio::time::timeout(PROBE_TIMEOUT, self.open(server.entry.address)).await;
        match opened {
            Ok(Ok(open)) => {
                self.put_idle(&server.entry.id, open, DEFAULT_KEEP_ALIVE);
                false
            }
            Ok(Err(failure)) => failure == REFUSED,
            Err(_) => false,
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<Open, Failure> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(REFUSED),
            Ok(Err(_)) => return Err(Failure::Unsent("connection failed")),
            Err(_) => return Err(Failure::Unsent("connection timed out")),
        };
        let id = self.opened.get() + 1;
        self.opened.set(id);
        set_socket_options(&stream);
        let head = HeadLimit::default();
        let stream = TokioIo::new(Limited::new(stream, head.clone()));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(stream)
            .await;
        let (sender, connection) = handshake.map_err(|_| Failure::Unsent("handshake failed"))?;
        tokio::task::spawn_local(async move {
            // An error also ends the exchange, which reports it.
            let _ = connection.await;
        });
        Ok(Open { id, sender, head })
    }

    /// Reads the rest of a reply.
    async fn read_reply(
        &self,
        backend: &id::Backend,
        open: Open,
        response: Response<Incoming>,
    ) -> Result<(Response<Bytes>, Connection), Failure> {
        let (head, body) = response.into_parts();
        let body = self.read_body(body).await?;
        let connection = Connection {
            backend: backend.clone(),
            open,
            keep_alive: is_persistent(&head.headers).then(|| keep_alive_time(&head.headers)),
        };
        Ok((Response::from_parts(head, body), connection))
    }

    /// Reads a body to its end.
    async fn read_body(&self, mut incoming: Incoming) -> Result<Bytes, Failure> {
        let mut reservation = Reservation::new(&self.memory);
        let mut body = Body::default();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| Failure::Cut("reply cut off"))?;
            if let Ok(data) = frame.into_data() {
                grow_reply(&mut reservation, data.len())?;
                body.push(data);
            }
        }
        Ok(body.finish())
    }

    /// Keeps a connection for later requests, unless its server closes it.
    pub fn release(&self, connection: Connection) {
        if let Some(keep_alive) = connection.keep_alive {
            self.put_idle(&connection.backend, connection.open, keep_alive);
        }
    }

    fn put_idle(&self, backend: &id::Backend, open: Open, keep: Duration) {
        let idle = Idle {
            open,
            since: Instant::now(),
            keep_alive: keep,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(backend.clone()).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long, or whose backend server is not one that
    /// `is_published` accepts.
    pub fn sweep<F>(&self, is_published: F)
    where
        F: Fn(&id::Backend) -> bool,
    {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|backend, kept| {
            kept.retain(|one| !one.open.sender.is_closed() && one.since.elapsed() < one.keep_alive);
            !kept.is_empty() && is_published(backend)
        });
    }
}

/// Sets the socket options of connections within the system: no delay, and a limit on
/// unacknowledged data.
pub fn set_socket_options(stream: &TcpStream) {
    // Both options only make failures visible sooner; the connection works without them.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Classifies an error that ended an exchange after its request was sent.
fn reply_failure(error: &hyper::Error) -> Failure {
    match error.is_parse() {
        true => Failure::Broken("malformed reply"),
        false => Failure::Cut("no complete reply"),
    }
}

fn is_persistent(headers: &http::HeaderMap) -> bool {
    let named = headers.get_all(header::CONNECTION).iter();
    !named
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Time for which an idle connection is kept, from the server's `Keep-Alive` header.
fn keep_alive_time(headers: &http::HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout = value.and_then(|value| {
        let parts = value.split(',').map(str::trim);
        let timeout = parts.filter_map(|part| part.strip_prefix("timeout="));
        timeout.filter_map(|seconds| seconds.parse().ok()).next()
    });
    let timeout = timeout.map(Duration::from_secs);
    timeout.map_or(DEFAULT_KEEP_ALIVE, |timeout| {
        timeout.saturating_sub(KEEP_ALIVE_MARGIN)
    })
}
