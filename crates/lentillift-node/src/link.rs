//! One connection to one other process.

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

/// Messages that go into one frame at most.
const BATCH: usize = 256;

/// Bytes that a peer may send before they are read.
const WINDOW: u32 = 1024 * 1024;

/// Longest time to open a connection and exchange names.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that carries a process's host name.
const HOST: &str = "x-host";

/// Header that carries a process's incarnation.
const INCARNATION: &str = "x-incarnation";

/// Who is at an end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The host's name.
    pub host: id::Host,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
}

impl Peer {
    fn write(&self, headers: &mut HeaderMap) {
        if let Ok(host) = self.host.parse() {
            headers.insert(HOST, host);
        }
        headers.insert(INCARNATION, self.incarnation.into());
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let host = headers.get(HOST)?.to_str().ok()?.into();
        let incarnation = headers.get(INCARNATION)?.to_str().ok()?.parse().ok()?;
        Some(Self { host, incarnation })
    }
}

/// An open connection on which names have been exchanged.
#[derive(Debug)]
pub struct Link {
    /// Who is at the other end.
    pub peer: Peer,
    sender: SendStream<Bytes>,
    receiver: RecvStream,
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// When nobody listens there, or not one of the system's processes.
pub async fn dial(me: &Peer, address: SocketAddr) -> Result<Link> {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, open(me, address)).await;
    opened.unwrap_or_else(|_| Err(Error::new(Step::Connect, address, "timed out")))
}

async fn open(me: &Peer, address: SocketAddr) -> Result<Link> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Connect, address, e);
    let stream = TcpStream::connect(address).await.map_err(|e| fail(&e))?;
    stream.set_nodelay(true).map_err(|e| fail(&e))?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|e| fail(&e))?;
    tokio::spawn(async move {
        // An error ends the streams too, and is seen there.
        let _ = connection.await;
    });
    let mut client = client.ready().await.map_err(|e| fail(&e))?;
    let mut request = Request::post("http://node/v1/link")
        .body(())
        .map_err(|e| fail(&e))?;
    me.write(request.headers_mut());
    let (response, sender) = client.send_request(request, false).map_err(|e| fail(&e))?;
    let response = response.await.map_err(|e| fail(&e))?;
    let peer = Peer::read(response.headers()).ok_or_else(|| fail(&"no host name"))?;
    Ok(Link {
        peer,
        sender,
        receiver: response.into_body(),
    })
}

/// Takes a connection that a peer has opened.
///
/// # Errors
///
/// When the peer is not one of the system's processes, or is too slow.
pub async fn accept(me: &Peer, stream: TcpStream) -> Result<Link> {
    let accepted = tokio::time::timeout(OPEN_TIMEOUT, greet(me, stream)).await;
    accepted.unwrap_or_else(|_| Err(Error::new(Step::Connect, "peer", "timed out")))
}

async fn greet(me: &Peer, stream: TcpStream) -> Result<Link> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Connect, "peer", e);
    stream.set_nodelay(true).map_err(|e| fail(&e))?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_concurrent_streams(1)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|e| fail(&e))?;
    let first = connection.accept().await;
    let (request, mut respond) = first
        .ok_or_else(|| fail(&"closed"))?
        .map_err(|e| fail(&e))?;
    tokio::spawn(async move { while connection.accept().await.is_some() {} });
    let peer = Peer::read(request.headers()).ok_or_else(|| fail(&"no host name"))?;
    let mut response = Response::new(());
    me.write(response.headers_mut());
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
    /// Carries messages both ways until either side ends.
    ///
    /// # Errors
    ///
    /// Says at which step the link broke.
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
            ended = write(&peer, sender, outbound) => ended,
            ended = read(&peer, receiver, inbound) => ended,
        }
    }
}

async fn write(
    peer: &Peer,
    mut sender: SendStream<Bytes>,
    outbound: &mut mpsc::Receiver<Message>,
) -> Result<()> {
    let fail = |e: &dyn std::fmt::Display| Error::new(Step::Write, &peer.host, e);
    let mut batch = Vec::new();
    while outbound.recv_many(&mut batch, BATCH).await > 0 {
        let frame = frame::encode(std::mem::take(&mut batch)).map_err(|e| fail(&e))?;
        write_all(&mut sender, frame).await.map_err(|e| fail(&e))?;
    }
    // The peer reads the end of the stream once it has read all that was sent before.
    sender.send_data(Bytes::new(), true).map_err(|e| fail(&e))
}

/// Writes as fast as the peer's window opens.
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

async fn read(
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
