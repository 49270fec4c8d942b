//! Backend servers that send bytes without end.

use super::listener;
use super::read_message;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Bytes after which an endless server gives up: far more than fit into the buffers of a socket.
const FLOOD_BYTES: usize = 64 * 1024 * 1024;

/// Bytes that it writes at once.
const WRITE_BYTES: usize = 16 * 1024;

/// How the flood of a server ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Flood {
    /// The host closed the connection.
    Stopped,
    /// The host read everything.
    Read,
}

/// Starts a server that answers each request with `start` and then `part` again and again. Returns
/// its address, and how each flood ended.
pub async fn endless(
    start: &'static str,
    part: &'static str,
) -> (SocketAddr, mpsc::UnboundedReceiver<Flood>) {
    let (listener, address) = listener().await;
    let (ended, floods) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ended = ended.clone();
            tokio::task::spawn_local(async move {
                if read_message(&mut stream).await.is_some() {
                    let _ = ended.send(flood(&mut stream, start, part).await);
                }
            });
        }
    });
    (address, floods)
}

async fn flood(stream: &mut TcpStream, start: &str, part: &str) -> Flood {
    let block = part.repeat(WRITE_BYTES / part.len());
    if stream.write_all(start.as_bytes()).await.is_err() {
        return Flood::Stopped;
    }
    for _ in 0..FLOOD_BYTES / block.len() {
        if stream.write_all(block.as_bytes()).await.is_err() {
            return Flood::Stopped;
        }
    }
    Flood::Read
}
