//! The listener's bounds against peers that misbehave, over real sockets.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::plain;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A listener whose handler counts the requests that reach it.
struct Fixture {
    address: SocketAddr,
    handled: Arc<AtomicU32>,
    stop: watch::Sender<bool>,
    serving: tokio::task::JoinHandle<()>,
}

impl Fixture {
    async fn start(options: Options) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handled: Arc<AtomicU32> = Arc::default();
        let (stop, stopped) = watch::channel(false);
        let counter = handled.clone();
        let handler = move |request: Request<Bytes>| {
            counter.fetch_add(1, Ordering::SeqCst);
            async move { answer(&request) }
        };
        let serving = tokio::spawn(listener::serve(listener, options, stopped, handler));
        Self {
            address,
            handled,
            stop,
            serving,
        }
    }

    /// Sends `bytes` and returns all bytes received until the listener closes the connection.
    async fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut reply = Vec::new();
        // An error is ignored, since a connection that is reset is also closed.
        let _ = stream.read_to_end(&mut reply).await;
        String::from_utf8(reply).unwrap()
    }
}

fn answer(request: &Request<Bytes>) -> Response<Bytes> {
    plain(StatusCode::OK, format!("{} bytes", request.body().len()))
}

/// Bounds that are small enough for the tests to reach.
fn small_bounds() -> Options {
    Options {
        connections: 1,
        head_timeout: Duration::from_millis(100),
        body_timeout: Duration::from_millis(100),
        body_limit: 10,
    }
}

/// Defines cases: the bytes that a peer sends, the start of the response, and the number of
/// requests that reach the handler.
macro_rules! cases {
    ($($name:ident: $bytes:expr => $status:expr, $handled:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let fixture = Fixture::start(small_bounds()).await;
                let reply = fixture.exchange($bytes.as_bytes()).await;
                let status: &str = $status;
                assert!(reply.starts_with(status), "found {reply:?}");
                assert_eq!(fixture.handled.load(Ordering::SeqCst), $handled);
            }
        )+
    };
}

cases! {
    a_whole_request_is_handled:
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 2\r\n\r\nab"
        => "HTTP/1.1 200", 1;
    a_body_over_the_limit_is_refused:
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 11\r\n\r\nabcdefghijk"
        => "HTTP/1.1 413", 0;
    a_chunked_body_over_the_limit_is_refused:
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n"
        => "HTTP/1.1 413", 0;
    an_incomplete_body_is_refused:
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 5\r\n\r\nab"
        => "HTTP/1.1 408", 0;
    an_incomplete_head_closes_the_connection:
        "POST / HTTP/1.1\r\nhost"
        => "", 0;
    a_connection_without_a_request_is_closed:
        ""
        => "", 0;
    bytes_that_are_not_http_are_refused:
        "\u{1}\u{2}\u{3}\r\n\r\n"
        => "HTTP/1.1 400", 0;
    a_length_that_is_no_number_is_refused:
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n"
        => "HTTP/1.1 400", 0;
}

/// A peer opens the only permitted connection and sends nothing. The next peer waits until the head
/// timeout closes the idle connection; without that timeout it would wait forever.
#[tokio::test]
async fn an_idle_connection_is_closed_and_frees_its_permit() {
    let fixture = Fixture::start(small_bounds()).await;
    let _idle = TcpStream::connect(fixture.address).await.unwrap();
    let request = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let reply = fixture.exchange(request.as_bytes()).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "found {reply:?}");
}

/// The process is stopped while it receives a request's body. The peer must still get its response,
/// and the listener stops after that.
#[tokio::test]
async fn a_stop_finishes_requests_in_flight() {
    let options = Options {
        head_timeout: Duration::from_secs(30),
        body_timeout: Duration::from_secs(30),
        ..small_bounds()
    };
    let fixture = Fixture::start(options).await;
    let mut stream = TcpStream::connect(fixture.address).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert!(interim.starts_with(b"HTTP/1.1 100"));
    fixture.stop.send_replace(true);
    stream.write_all(b"ab").await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    assert!(reply.starts_with("HTTP/1.1 200"), "found {reply:?}");
    fixture.serving.await.unwrap();
}
