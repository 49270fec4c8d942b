//! Connections to other hosts: one HTTP/2 connection each, opened on first use.

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

/// Timeout for opening a connection: a hundred round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// HTTP/2 flow-control window of streams and connections.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// A request body: one complete message, or a stream of messages.
type Body = Either<Full<Bytes>, frame::Body>;

type Sender = http2::SendRequest<Body>;

/// Open connections to other hosts, by address.
#[derive(Debug, Default)]
pub struct Peers {
    open: RefCell<HashMap<SocketAddr, Sender>>,
}

impl Peers {
    /// Sends a request to the host at `address`.
    ///
    /// # Errors
    ///
    /// [`Step::Connect`] means that nothing was sent, [`Step::Write`] that the request may have
    /// been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.call(address, request.map(Either::Left)).await
    }

    /// Sends a request with a streamed body to the host at `address`. A caller that gives up on the
    /// response has to end the body as well.
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
        let cached = self.open.borrow().get(&address).cloned();
        if let Some(mut sender) = cached {
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok(sender);
            }
            self.drop_connection(address);
        }
        let sender = dial(address).await?;
        self.open.borrow_mut().insert(address, sender.clone());
        Ok(sender)
    }

    /// Removes connections that have ended, such as those to hosts that were replaced.
    pub fn sweep(&self) {
        let mut open = self.open.borrow_mut();
        open.retain(|_, sender| !sender.is_closed());
    }

    /// Drops the connection to `address`, so that the next request opens a new one.
    ///
    /// A connection can stay silent forever without a reset, while new ones work.
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
    let handshake = http2::Builder::new(Executor)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|e| fail(&e))?;
    tokio::task::spawn_local(async move {
        // An error also ends the requests on the connection, which report it.
        let _ = connection.await;
    });
    Ok(sender)
}
