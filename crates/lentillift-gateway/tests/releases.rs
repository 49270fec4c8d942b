//! Branch requests between a host and one of the previous release.

mod common;

use bincode::Decode;
use bincode::Encode;
use bytes::Bytes;
use common::MemorySource;
use common::Reaction;
use common::SharedHost;
use common::backend;
use common::complete_reply;
use common::front;
use common::get;
use common::header;
use common::host;
use common::introduce;
use common::item;
use common::listener;
use common::run;
use common::send_request;
use common::start;
use common::status;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lentillift_gateway::local::Executor;
use lentillift_scatter::source::Item;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Branch request of the previous release, field by field.
#[derive(Debug, Encode)]
struct BranchRequest {
    id: String,
    method: String,
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    authority: String,
    services: Vec<String>,
    sender: String,
    incarnation: u64,
    sent_us: u64,
    first_answer_ms: u32,
    timeout_ms: u32,
}

/// First fields of an answer, as the previous release reads them.
#[derive(Debug, Decode)]
struct Answer {
    parts: Vec<(u16, String)>,
    records: Vec<u8>,
    declined: Vec<u16>,
    failed: Vec<u16>,
}

/// Length of the prefix that states a message's length, in bytes.
const PREFIX_BYTES: usize = 4;

/// Published state with five shards, each with one server in failure domain `b`, which replies with
/// a record of its letter. Answers have two records.
async fn search_of_two_records() -> Vec<Item> {
    let mut items = vec![item("config", "s0 s1 s2 s3 s4 records=2".to_owned())];
    for (n, letter) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        let reply = Reaction::Write(complete_reply(&letter.repeat(16)));
        let server = backend(vec![reply]).await;
        items.push(item(&format!("b{n}"), format!("s{n} {} b", server.address)));
    }
    items
}

/// Sends a branch request of the previous release for all shards, and returns the only answer.
async fn request_previous(from: &SharedHost, to: SocketAddr) -> Answer {
    let request = BranchRequest {
        id: "i".to_owned(),
        method: "GET".to_owned(),
        path: "/all/x".to_owned(),
        headers: vec![("x-id".to_owned(), b"i".to_vec())],
        body: Vec::new(),
        authority: "search.example".to_owned(),
        services: (0..5).map(|n| format!("s{n}")).collect(),
        sender: from.name.to_string(),
        incarnation: 1,
        sent_us: 0,
        first_answer_ms: 2000,
        timeout_ms: 2000,
    };
    let body = bincode::encode_to_vec(&request, bincode::config::standard()).expect("encoded");
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "http://host/v2/branch".parse().expect("a URI");
    let response = from.peers.send(to, request).await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.into_body().collect().await.expect("a body");
    let message = &body.to_bytes()[PREFIX_BYTES..];
    let decoded = bincode::decode_from_slice(message, bincode::config::standard());
    decoded.expect("an answer").0
}

/// Guards against truncated answers of a host of the previous release, which does not say how many
/// records it wants.
#[test]
fn a_host_of_the_previous_release_gets_every_record() {
    run(async {
        let asking = start("asking", "a", Vec::new()).await;
        let asked = start("asked", "b", search_of_two_records().await).await;
        let address = asked.swim.borrow().own().address;
        let answer = request_previous(&asking, address).await;
        let letters = ["e", "d", "c", "b", "a"].map(|letter| letter.repeat(16));
        assert_eq!(answer.parts.len(), 5);
        assert_eq!(String::from_utf8(answer.records), Ok(letters.concat()));
        assert_eq!((answer.declined.len(), answer.failed.len()), (0, 0));
    });
}

/// Serves other hosts like the previous release, which answers 400 to paths that it does not know.
async fn serve_previous(listener: TcpListener, paths: Rc<RefCell<Vec<String>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let paths = paths.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            paths.borrow_mut().push(request.uri().path().to_owned());
            let mut response = Response::new(Full::<Bytes>::default());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http2::Builder::new(Executor);
        tokio::task::spawn_local(connection.serve_connection(TokioIo::new(stream), service));
    }
}

/// Guards against answers that a host of the previous release merged for its own route: it is not
/// asked in the format that would let it.
#[test]
fn a_host_of_the_previous_release_declines() {
    run(async {
        let asking = start("asking", "a", search_of_two_records().await).await;
        let (listener, node) = listener().await;
        let paths = Rc::new(RefCell::default());
        tokio::task::spawn_local(serve_previous(listener, Rc::clone(&paths)));
        let previous = host("previous", "b", node, MemorySource::default());
        previous.swim.borrow_mut().serve();
        introduce(&previous, &asking);
        let answer = send_request(front(&asking).await, &get("/all/x", "i")).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        let expected = ["e", "d"].map(|letter| letter.repeat(16)).concat();
        assert!(answer.ends_with(&format!("\r\n\r\n{expected}")), "{answer}");
        assert_eq!(*paths.borrow(), ["/v3/branch"]);
    });
}
