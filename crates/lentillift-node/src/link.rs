//! A link: one connection to another process, over which messages go both ways.

use crate::frame;
use crate::hub::Inbound;
use crate::message::Message;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use http::HeaderMap;
use http::Request;
use http::Response;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Most messages in one frame.
const MAX_BATCH_MESSAGES: usize = 256;

/// Flow control window: bytes that a peer may send before they are read.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Timeout for opening a connection, including the handshake in which both sides name themselves.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that carries a process's host name.
const HOST_HEADER: &str = "x-host";

/// Header that carries a process's incarnation.
const INCARNATION_HEADER: &str = "x-incarnation";

/// Identity of the process at one end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The host's name.
    pub host: id::Host,
    /// The incarnation of its process; it changes with each start.
    pub incarnation: id::Incarnation,
}

impl Peer {
    fn write_headers(&self, headers: &mut HeaderMap) {
        if let Ok(host) = self.host.parse() {
            headers.insert(HOST_HEADER, host);
        }
        headers.insert(INCARNATION_HEADER, self.incarnation.into());
    }

    fn read_headers(headers: &HeaderMap) -> Option<Self> {
        let host = headers.get(HOST_HEADER)?.to_str().ok()?.into();
        let incarnation = headers
            .get(INCARNATION_HEADER)?
            .to_str()
            .ok()?
            .parse()
            .ok()?;
        Some(Self { host, incarnation })
    }
}

/// An open connection on which the handshake is complete.
#[derive(Debug)]
pub struct Link {
    /// The process at the other end.
    pub peer: Peer,
    sender: SendStream<Bytes>,
    receiver: RecvStream,
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// If nothing listens there, the listener is not a process of the fleet, or the handshake times
/// out.
pub async fn dial(local_peer: &Peer, address: SocketAddr) -> Result<Link> {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, dial_handshake(local_peer, address)).await;
    opened.unwrap_or_else(|_| Err(Error::new(Step::Connect, address, "timed out")))
}

async fn dial_handshake(local_peer: &Peer, address: SocketAddr) -> Result<Link> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Connect, address, e);
    let stream = TcpStream::connect(address).await.map_err(|e| fail(&e))?;
    stream.set_nodelay(true).map_err(|e| fail(&e))?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|e| fail(&e))?;
    tokio::spawn(async move {
        // An error also ends the streams and is reported there.
        let _ = connection.await;
    });
    let mut client = client.ready().await.map_err(|e| fail(&e))?;
    let mut request = Request::post("http://node/v1/link")
        .body(())
        .map_err(|e| fail(&e))?;
    local_peer.write_headers(request.headers_mut());
    let (response, sender) = client.send_request(request, false).map_err(|e| fail(&e))?;
    let response = response.await.map_err(|e| fail(&e))?;
    let peer = Peer::read_headers(response.headers())
        .ok_or_else(|| fail(&"no valid host name and incarnation in the headers"))?;
    Ok(Link {
        peer,
        sender,
        receiver: response.into_body(),
    })
}

/// Completes the handshake on a connection that a peer has opened.
///
/// # Errors
///
/// If the peer is not a process of the fleet, or the handshake times out.
pub async fn accept(local_peer: &Peer, stream: TcpStream) -> Result<Link> {
    let accepted = tokio::time::timeout(OPEN_TIMEOUT, accept_handshake(local_peer, stream)).await;
    accepted.unwrap_or_else(|_| Err(Error::new(Step::Connect, "peer", "timed out")))
}

async fn accept_handshake(local_peer: &Peer, stream: TcpStream) -> Result<Link> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Connect, "peer", e);
    stream.set_nodelay(true).map_err(|e| fail(&e))?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|e| fail(&e))?;
    let first = connection.accept().await;
    let (request, mut respond) = first
        .ok_or_else(|| fail(&"closed"))?
        .map_err(|e| fail(&e))?;
    tokio::spawn(async move { while connection.accept().await.is_some() {} });
    let peer = Peer::read_headers(request.headers())
        .ok_or_else(|| fail(&"no valid host name and incarnation in the headers"))?;
    let mut response = Response::new(());
    local_peer.write_headers(response.headers_mut());
    let sender = respond
        .send_response(response, false)
        .map_err(|e| fail(&e))?;
    Ok(Link {
        peer,
        sender,
        receiver: request.into_body(),
    })
}

impl Link {
    /// Transfers messages both ways until either side closes the link or `outbound` is closed.
    ///
    /// # Errors
    ///
    /// If reading, decoding or writing fails; the error names the step.
    pub async fn run(
        self,
        outbound: &mut mpsc::Receiver<Message>,
        inbound: &mpsc::Sender<Inbound>,
    ) -> Result<()> {
        let Self {
            peer,
            sender,
            receiver,
        } = self;
        tokio::select! {
            ended = write_messages(&peer, sender, outbound) => ended,
            ended = read_messages(&peer, receiver, inbound) => ended,
        }
    }
}

async fn write_messages(
    peer: &Peer,
    mut sender: SendStream<Bytes>,
    outbound: &mut mpsc::Receiver<Message>,
) -> Result<()> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Write, &peer.host, e);
    let mut batch = Vec::new();
    while outbound.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let frame = frame::encode(std::mem::take(&mut batch)).map_err(|e| fail(&e))?;
        write_all(&mut sender, frame).await.map_err(|e| fail(&e))?;
    }
    // The peer sees the end of the stream only after all data sent before it.
    sender.send_data(Bytes::new(), true).map_err(|e| fail(&e))
}

/// Writes all of `data`, waiting for the peer's flow control window to open.
async fn write_all(
    sender: &mut SendStream<Bytes>,
    mut data: Bytes,
) -> std::result::Result<(), h2::Error> {
    while !data.is_empty() {
        sender.reserve_capacity(data.len());
        let granted = match poll_fn(|cx| sender.poll_capacity(cx)).await {
            Some(granted) => granted?,
            None => return Err(h2::Reason::STREAM_CLOSED.into()),
        };
        let part = data.split_to(granted.min(data.len()));
        sender.send_data(part, false)?;
    }
    Ok(())
}

async fn read_messages(
    peer: &Peer,
    mut receiver: RecvStream,
    inbound: &mpsc::Sender<Inbound>,
) -> Result<()> {
    let mut buffer = BytesMut::new();
    while let Some(data) = receiver.data().await {
        let data = data.map_err(|e| Error::new(Step::Read, &peer.host, e))?;
        buffer.extend_from_slice(&data);
        let released = receiver.flow_control().release_capacity(data.len());
        released.map_err(|e| Error::new(Step::Read, &peer.host, e))?;
        while let Some(messages) =
            frame::decode(&mut buffer).map_err(|e| Error::new(Step::Decode, &peer.host, e))?
        {
            let received = Inbound::Received {
                peer: peer.clone(),
                messages,
            };
            if inbound.send(received).await.is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}
