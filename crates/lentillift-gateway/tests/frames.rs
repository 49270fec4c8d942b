//! Message framing between hosts over slow or silent links, in virtual time.

use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http::Response;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http2 as client;
use hyper::server::conn::http2 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lentillift_core::error::Result;
use lentillift_gateway::frame;
use lentillift_gateway::frame::MessageSize;
use lentillift_gateway::frame::Reader;
use lentillift_gateway::local::Executor;
use std::convert::Infallible;
use std::time::Duration;

/// Capacity of the in-memory connection, in bytes.
const PIPE: usize = 1024 * 1024;

#[derive(Debug, PartialEq, Encode, Decode)]
struct Large {
    content: Vec<u8>,
}

/// Reads one message that arrives in `parts` pieces with a pause before each; gives up after
/// `silence` without data.
async fn receive(parts: usize, pause: Duration, silence: Duration) -> Result<(Large, MessageSize)> {
    let content = vec![7; 100_000];
    let encoded = frame::frame(&Large { content }, "follower").expect("it can be encoded");
    let size = encoded.len().div_ceil(parts);
    let pieces: Vec<Bytes> = encoded.chunks(size).map(Bytes::copy_from_slice).collect();
    receive_pieces(pieces, pause, silence).await
}

/// Reads one message that arrives in `pieces`, with a pause before each, and then the end of the
/// stream; gives up after `silence` without data.
async fn receive_pieces(
    pieces: Vec<Bytes>,
    pause: Duration,
    silence: Duration,
) -> Result<(Large, MessageSize)> {
    let (client_end, server_end) = tokio::io::duplex(PIPE);
    let service = service_fn(move |_: Request<Incoming>| {
        let slow = stream::iter(pieces.clone()).then(move |piece| async move {
            tokio::time::sleep(pause).await;
            piece
        });
        async move { Ok::<_, Infallible>(Response::new(frame::body(slow))) }
    });
    tokio::task::spawn_local(async move {
        let connection =
            server::Builder::new(Executor).serve_connection(TokioIo::new(server_end), service);
        // The connection ends with the test.
        let _ = connection.await;
    });
    let handshake = client::Builder::new(Executor).handshake(TokioIo::new(client_end));
    let (mut sender, connection) = handshake.await.expect("a connection");
    tokio::task::spawn_local(connection);
    let request = Request::new(Empty::<Bytes>::new());
    let response = sender.send_request(request).await.expect("a response");
    let mut reader: Reader<Large> = Reader::new("origin", response.into_body());
    let message = reader.next(silence).await?;
    Ok((message, reader.last()))
}

fn run<T>(test: T)
where
    T: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A large message over a busy link takes longer than the silence after which an origin is given
/// up. When the total time counted as silence, followers disconnected midway and requested the
/// whole state again elsewhere, which loaded the links further, and updates took effect seconds
/// late. Logs showed 177 messages abandoned after 29 MB of them had arrived. Silence is therefore
/// measured from the last data received.
#[test]
fn a_slow_message_is_not_silence() {
    run(async {
        let silence = Duration::from_millis(1000);
        let read = receive(10, Duration::from_millis(400), silence).await;
        let (message, _) = read.expect("the message");
        assert_eq!(message.content.len(), 100_000);
    });
}

/// A message contains the age of its sender's state, and may take seconds to transfer. Without the
/// transfer time its reader would take its state for fresher than it is, and use a server that has
/// left meanwhile.
#[test]
fn transfer_time_of_a_message_is_measured() {
    run(async {
        let pause = Duration::from_millis(400);
        let read = receive(10, pause, Duration::from_millis(1000)).await;
        let (_, size) = read.expect("the message");
        assert!(size.bytes > 100_000);
        assert_eq!(size.took.as_millis() / 100, pause.as_millis() * 9 / 100);
    });
}

/// An origin stops within a message, as when its host froze. A follower that waited forever would
/// serve old state.
#[test]
fn a_stalled_message_times_out() {
    run(async {
        let silence = Duration::from_millis(1000);
        let read = receive(2, Duration::from_millis(1500), silence).await;
        assert!(read.is_err());
    });
}

/// An origin ends its stream within a message, as when its process exits. Guards against a follower
/// that takes the beginning for a whole message.
#[test]
fn a_message_that_stops_is_an_error() {
    run(async {
        let content = (0..40).collect();
        let encoded = frame::frame(&Large { content }, "follower").expect("it can be encoded");
        for end in 0..encoded.len() {
            let pieces = vec![encoded.slice(..end)];
            let read = receive_pieces(pieces, Duration::ZERO, Duration::from_secs(1)).await;
            let error = read.expect_err("an error").to_string();
            assert!(error.contains("ended"), "{end}: {error}");
        }
    });
}
