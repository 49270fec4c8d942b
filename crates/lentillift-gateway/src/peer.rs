//! Connections to other hosts: one `h2` connection each, opened when it is first needed.

use crate::frame;
use crate::local::Executor;
use crate::pool::set_socket_options;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::TokioIo;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time to open a connection; a hundred round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes that a peer may send before they are read.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// What is sent: a whole message, or messages that are made while they are sent.
type Body = Either<Full<Bytes>, frame::Body>;

type Sender = http2::SendRequest<Body>;

/// Connections to other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    open: RefCell<HashMap<SocketAddr, Sender>>,
}

impl Peers {
    /// Sends a request to the host at `address`.
    ///
    /// # Errors
    ///
    /// Step [`Step::Connect`] says that nothing was sent; [`Step::Write`] that it may have been.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.call(address, request.map(Either::Left)).await
    }

    /// Sends a request to the host at `address` whose body is made while it is sent. Whoever gives up on the
    /// response has to end it as well.
    ///
    /// # Errors
    ///
    /// As for [`Peers::send`].
    pub async fn stream(
        &self,
        address: SocketAddr,
        request: Request<frame::Body>,
    ) -> Result<Response<Incoming>> {
        self.call(address, request.map(Either::Right)).await
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>> {
        let mut sender = self.sender(address).await?;
        let response = sender.send_request(request).await;
        response.map_err(|e| {
            self.drop_connection(address);
            Error::new(Step::Write, address, e)
        })
    }

    async fn sender(&self, address: SocketAddr) -> Result<Sender> {
        let kept = self.open.borrow().get(&address).cloned();
        if let Some(mut sender) = kept {
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok(sender);
            }
            self.drop_connection(address);
        }
        let sender = dial(address).await?;
        self.open.borrow_mut().insert(address, sender.clone());
        Ok(sender)
    }

    /// Forgets connections that have ended, such as those to hosts that were replaced.
    pub fn sweep(&self) {
        let mut open = self.open.borrow_mut();
        open.retain(|_, sender| !sender.is_closed());
    }

    /// Gives up the connection to `address`, so that the next request opens a new one.
    ///
    /// A connection can go silent for good without a reset while new ones work.
    pub fn drop_connection(&self, address: SocketAddr) {
        self.open.borrow_mut().remove(&address);
    }
}

async fn dial(address: SocketAddr) -> Result<Sender> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Connect, address, e);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| fail(&"timed out"))?;
    let stream = stream.map_err(|e| fail(&e))?;
    set_socket_options(&stream);
    let shaken = http2::Builder::new(Executor)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = shaken.map_err(|e| fail(&e))?;
    tokio::task::spawn_local(async move {
        // An error ends the requests on it too, and is told there.
        let _ = connection.await;
    });
    Ok(sender)
}
