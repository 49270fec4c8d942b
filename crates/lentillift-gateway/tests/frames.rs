//! Messages between hosts over links that are slow or silent, in virtual time.

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

/// Bytes that are on the way at a time.
const PIPE: usize = 1024 * 1024;

#[derive(Debug, PartialEq, Encode, Decode)]
struct Large {
    content: Vec<u8>,
}

/// Reads one message that comes in so many parts with pauses between; gives up after `silence`.
async fn receive(parts: usize, pause: Duration, silence: Duration) -> Result<(Large, MessageSize)> {
    let content = vec![7; 100_000];
    let whole = frame::frame(&Large { content }, "follower").expect("it can be encoded");
    let size = whole.len().div_ceil(parts);
    let pieces: Vec<Bytes> = whole.chunks(size).map(Bytes::copy_from_slice).collect();
    let (near, far) = tokio::io::duplex(PIPE);
    let service = service_fn(move |_: Request<Incoming>| {
        let slow = stream::iter(pieces.clone()).then(move |piece| async move {
            tokio::time::sleep(pause).await;
            piece
        });
        async move { Ok::<_, Infallible>(Response::new(frame::body(slow))) }
    });
    tokio::task::spawn_local(async move {
        let connection =
            server::Builder::new(Executor).serve_connection(TokioIo::new(far), service);
        // It ends with the test.
        let _ = connection.await;
    });
    let shaken = client::Builder::new(Executor).handshake(TokioIo::new(near));
    let (mut sender, connection) = shaken.await.expect("a connection");
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

/// What is published has grown, and the link of whoever tells it is busy: the message takes longer than
/// the silence after which an origin is given up. Its reader left in the middle, asked elsewhere for
/// the whole again, and each try made the links busier; news came into force seconds late. Lines of lost
/// origins told of 177 messages that were left after 29 MB of them had come. Silence now counts from the
/// last bytes that came.
#[test]
fn a_message_that_is_still_coming_is_not_silence() {
    run(async {
        let silence = Duration::from_millis(1000);
        let read = receive(10, Duration::from_millis(400), silence).await;
        let (message, _) = read.expect("the message");
        assert_eq!(message.content.len(), 100_000);
    });
}

/// A message tells how old its sender's knowledge is, and is then seconds under way. Taken at its word, its
/// reader would hold what it knows for fresher than it is, and ask a server that has left meanwhile.
#[test]
fn the_time_that_a_message_took_is_known() {
    run(async {
        let pause = Duration::from_millis(400);
        let read = receive(10, pause, Duration::from_millis(1000)).await;
        let (_, size) = read.expect("the message");
        assert!(size.bytes > 100_000);
        assert_eq!(size.took.as_millis() / 100, pause.as_millis() * 9 / 100);
    });
}

/// An origin stops in the middle of a message, as when its host froze. Waited for without end, its
/// follower would serve old knowledge.
#[test]
fn a_message_that_stops_is_given_up() {
    run(async {
        let silence = Duration::from_millis(1000);
        let read = receive(2, Duration::from_millis(1500), silence).await;
        assert!(read.is_err());
    });
}
