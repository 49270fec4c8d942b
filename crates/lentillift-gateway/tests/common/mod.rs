//! Test fixtures: a process's tasks over loopback, scripted backend servers, and published state in
//! memory.

#![allow(dead_code, unreachable_pub)]

pub mod crashing;
pub mod doubling;
pub mod endless;

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use http::request;
use http::response;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::packet::Body;
use lentillift_fleet::packet::Digest;
use lentillift_fleet::packet::Packet;
use lentillift_gateway::daemon;
use lentillift_gateway::daemon::Settings;
use lentillift_gateway::daemon::Tuning;
use lentillift_gateway::dialect::Dialect;
use lentillift_gateway::dialect::Executed;
use lentillift_gateway::dialect::ReplyInfo;
use lentillift_gateway::dialect::RequestInfo;
use lentillift_gateway::dialect::single_value;
use lentillift_gateway::front;
use lentillift_gateway::host::Host;
use lentillift_gateway::listen;
use lentillift_gateway::quarantine;
use lentillift_gateway::source::Source;
use lentillift_gateway::source::WatchResult;
use lentillift_scatter::budget;
use lentillift_scatter::config::Config;
use lentillift_scatter::config::Kind;
use lentillift_scatter::config::Limits;
use lentillift_scatter::config::Part;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Scatter;
use lentillift_scatter::config::Service;
use lentillift_scatter::config::Target;
use lentillift_scatter::core::Options;
use lentillift_scatter::server::Entry;
use lentillift_scatter::server::Stage;
use lentillift_scatter::source::Decoded;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Protocol of these tests, with headers `x-id`, `x-left`, `x-backend`, `x-signature`, `x-not-run`,
/// `x-parts` and `x-missing`.
#[derive(Debug, Clone, Copy)]
pub struct TestDialect;

fn text(headers: &HeaderMap, name: &'static str) -> Option<Box<str>> {
    let name = HeaderName::from_static(name);
    Some(single_value(headers, &name)?.into())
}

impl Dialect for TestDialect {
    fn parse_request(&self, head: &request::Parts) -> RequestInfo {
        let left = text(&head.headers, "x-left").and_then(|ms| ms.parse().ok());
        RequestInfo {
            id: text(&head.headers, "x-id"),
            timeout: left.map(Duration::from_millis),
        }
    }

    fn set_target_headers(&self, headers: &mut HeaderMap, backend: &id::Backend, left: Duration) {
        headers.insert("x-backend", backend.parse().expect("a header value"));
        headers.insert("x-left", (left.as_millis() as u64).into());
    }

    fn parse_reply(&self, head: &response::Parts) -> ReplyInfo {
        let ran = match () {
            () if head.status == StatusCode::MISDIRECTED_REQUEST => Executed::Misdirected,
            () if head.headers.contains_key("x-not-run") => Executed::No,
            () => Executed::Maybe,
        };
        ReplyInfo {
            id: text(&head.headers, "x-id"),
            executed: ran,
            signature: text(&head.headers, "x-signature"),
            load: None,
        }
    }

    fn set_merged_headers(&self, headers: &mut HeaderMap, signatures: &[Box<str>], missing: usize) {
        let parts = signatures.join(",");
        headers.insert("x-parts", parts.parse().expect("a header value"));
        headers.insert("x-missing", missing.into());
    }
}

/// Published state in memory. The value of key `config` lists the shards, and may change route
/// `/all/` by `records=N`, `objective=MS` or `one-service`; that of any other key is `service address
/// domain`.
#[derive(Debug, Default, Clone)]
pub struct MemorySource {
    pub items: Vec<Item>,
    /// Whether it refuses all requests.
    pub is_unavailable: bool,
    /// Transit time of a response.
    pub lag: Duration,
    /// When the last response was sent.
    pub last_response: Rc<Cell<Option<Instant>>>,
    /// Whether the next watch gets no response.
    pub is_silent: Rc<Cell<bool>>,
    /// Whether calls time out, as behind a broken link.
    pub is_cut: Rc<Cell<bool>>,
    /// Update that the next answered watch returns.
    pub next_update: Rc<RefCell<Option<Update>>>,
}

impl MemorySource {
    /// Records that a response is sent now, and waits until it arrives.
    async fn send_response(&self) {
        self.last_response.set(Some(Instant::now()));
        tokio::time::sleep(self.lag).await;
    }

    fn check_available(&self) -> Result<()> {
        match self.is_unavailable {
            true => Err(Error::new(Step::Read, "service", "unavailable")),
            false => Ok(()),
        }
    }

    /// Fails after `timeout` if the link is broken.
    async fn check_link(&self, timeout: Duration) -> Result<()> {
        if !self.is_cut.get() {
            return Ok(());
        }
        tokio::time::sleep(timeout).await;
        Err(Error::new(Step::Read, "service", "no answer in time"))
    }
}

impl Source for MemorySource {
    async fn read(&self, silence: Duration) -> Result<Update> {
        self.check_available()?;
        self.check_link(silence).await?;
        let items = self.items.clone();
        self.send_response().await;
        Ok(Update::All { revision: 1, items })
    }

    async fn watch(
        &self,
        after: id::Revision,
        wait: Duration,
        silence: Duration,
    ) -> Result<WatchResult> {
        self.check_available()?;
        self.check_link(wait + silence).await?;
        if self.is_silent.replace(false) {
            std::future::pending::<()>().await;
        }
        if let Some(update) = self.next_update.take() {
            self.send_response().await;
            return Ok(WatchResult::Changes(update));
        }
        tokio::time::sleep(wait).await;
        self.send_response().await;
        Ok(WatchResult::Changes(Update::Changes {
            revision: after,
            items: Vec::new(),
        }))
    }

    fn decode(&self, item: &Item) -> Decoded {
        let value = item.value.clone().unwrap_or_default();
        let value = String::from_utf8(value).expect("text");
        let words: Vec<&str> = value.split_whitespace().collect();
        match (item.key.as_str(), words.as_slice()) {
            ("config", shards) => Decoded::Config(Box::new(config(shards))),
            (id, [service, address, domain]) => Decoded::Server(Entry {
                id: id.into(),
                service: (*service).into(),
                address: address.parse().expect("an address"),
                domain: (*domain).into(),
                slots: 2,
                stage: Stage::Ready,
                cold_for: Duration::ZERO,
                process_start_ms: 1,
            }),
            _ => Decoded::Other,
        }
    }
}

fn route(name: &str, target: Target, kind: Kind) -> Route {
    Route {
        name: name.into(),
        host: "search.example".to_owned(),
        prefix: format!("/{name}/"),
        target,
        kind,
        attempts: 2,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(2),
    }
}

/// Value of the word `name=VALUE` in a configuration.
fn option(words: &[&str], name: &str) -> Option<u64> {
    let mut values = words.iter().filter_map(|word| word.strip_prefix(name));
    let value = values.find_map(|rest| rest.strip_prefix('='));
    value.map(|value| value.parse().expect("a number"))
}

/// Routes `/one/` (idempotent) and `/once/` (at most once) to service `s`, and `/all/` to all
/// shards.
fn config(words: &[&str]) -> Config {
    let is_option = |word: &str| word.contains('=') || word == "one-service";
    let shards: Vec<&str> = words.iter().copied().filter(|w| !is_option(w)).collect();
    let single = || {
        let service = "s".into();
        Target::Split(vec![Part { service, weight: 1 }])
    };
    let all = match words.contains(&"one-service") {
        true => single(),
        false => Target::Scatter(Scatter {
            shards: shards.iter().map(|s| (*s).into()).collect(),
            records: option(words, "records").unwrap_or(10) as usize,
            coverage: 0.5,
        }),
    };
    let mut all = route("all", all, Kind::Idempotent);
    if let Some(ms) = option(words, "objective") {
        all.objective = Duration::from_millis(ms);
    }
    let routes = vec![
        route("one", single(), Kind::Idempotent),
        route("once", single(), Kind::Once),
        all,
    ];
    let service = Service {
        connections: 100,
        cold_rate: None,
    };
    let names = shards.into_iter().chain(["s"]);
    let services = names.map(|name| (name.into(), service.clone())).collect();
    let limits = Limits {
        head_bytes: 16384,
        body_bytes: 1000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Config::new(1, routes, services, limits)
}

/// Maximum number of concurrent caller connections.
pub const MAX_CALLERS: usize = 3;

/// Memory for callers' bodies, in bytes.
pub const BODY_MEMORY: usize = 16 << 20;

pub type SharedHost = Rc<Host<TestDialect, MemorySource>>;

/// State of a process named `name` in `domain`, which other hosts reach at `node`.
pub fn host(name: &str, domain: &str, node: SocketAddr, source: MemorySource) -> SharedHost {
    host_with_memory(name, domain, node, source, BODY_MEMORY)
}

/// As [`host`], with `body_memory` bytes for callers' bodies.
fn host_with_memory(
    name: &str,
    domain: &str,
    node: SocketAddr,
    source: MemorySource,
    body_memory: usize,
) -> SharedHost {
    let unused = ([127, 0, 0, 1], 0).into();
    let settings = Settings {
        name: name.into(),
        domain: domain.into(),
        regions: BTreeMap::from([("a".into(), "r".into()), ("b".into(), "r".into())]),
        front: unused,
        max_callers: MAX_CALLERS,
        body_memory,
        ready: unused,
        node,
        inbound: node,
        metrics: None,
        tuning: Tuning {
            seeds: Vec::new(),
            options: Options {
                // Otherwise a process that has just started would have no budget for a second send.
                budget: budget::Options {
                    ratio: 5.0,
                    extra: 0,
                    window: Duration::from_secs(10),
                },
                ..Options::default()
            },
        },
        freshness: follow::Options::default(),
        grace: Duration::from_secs(5),
    };
    daemon::new_host(&settings, TestDialect, source)
}

/// A listener on a free port.
pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A host that serves callers, and the address for them.
pub struct Served {
    pub host: SharedHost,
    pub front: SocketAddr,
}

/// Starts a host that serves callers from `items`; with none, it has no configuration yet.
pub async fn serve(items: Vec<Item>) -> Served {
    serve_from(items, MemorySource::default()).await
}

/// As [`serve`], with a source of published state.
pub async fn serve_from(items: Vec<Item>, source: MemorySource) -> Served {
    serve_on(items, |front| host("h", "a", front, source)).await
}

/// As [`serve`], with `body_memory` bytes for callers' bodies.
pub async fn serve_with_memory(items: Vec<Item>, body_memory: usize) -> Served {
    let source = MemorySource::default();
    serve_on(items, |front| {
        host_with_memory("h", "a", front, source, body_memory)
    })
    .await
}

async fn serve_on<F>(items: Vec<Item>, host_at: F) -> Served
where
    F: FnOnce(SocketAddr) -> SharedHost,
{
    let (listener, front) = listener().await;
    let host = host_at(front);
    if !items.is_empty() {
        host.apply_update(Some(Update::All { revision: 1, items }), Duration::ZERO);
    }
    tokio::task::spawn_local(front::serve(host.clone(), listener, MAX_CALLERS));
    Served { host, front }
}

/// Starts a host that serves other hosts.
pub async fn start(name: &str, domain: &str, items: Vec<Item>) -> SharedHost {
    let (listener, node) = listener().await;
    let host = host(name, domain, node, MemorySource::default());
    if !items.is_empty() {
        host.apply_update(Some(Update::All { revision: 1, items }), Duration::ZERO);
    }
    host.swim.borrow_mut().serve();
    tokio::task::spawn_local(listen::serve_hosts(host.clone(), listener));
    tokio::task::spawn_local(quarantine::gossip(host.clone()));
    host
}

/// A host name whose highest-ranked origin is `origin`.
pub fn follower_of(origin: &str) -> String {
    let candidate = |name: &str| Candidate {
        host: name.into(),
        domain: "a".into(),
    };
    let others = [candidate(origin)];
    let best = |name: &String| {
        follow::rank_origins(&candidate(name), &others, follow::FANOUT, 0).remove(0)
    };
    let mut names = (0..).map(|number| format!("follower-{number}"));
    let name = names.find(|name| best(name) == Origin::Host(origin.into()));
    name.expect("a name that ranks below the origin")
}

/// Adds `host` to the membership of `to`.
pub fn introduce(host: &SharedHost, to: &SharedHost) {
    let from = host.swim.borrow().own().clone();
    let packet = Packet {
        from,
        digest: Digest {
            values: 0,
            members: 0,
        },
        body: Body::Push,
        updates: Vec::new(),
    };
    to.swim.borrow_mut().packet(to.now(), packet);
    to.update_hosts();
}

pub async fn front(host: &SharedHost) -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::task::spawn_local(front::serve(host.clone(), listener, MAX_CALLERS));
    address
}

pub fn item(key: &str, value: String) -> Item {
    Item {
        key: key.to_owned(),
        revision: 1,
        value: Some(value.into_bytes()),
    }
}

/// A configuration of service `s` with these backend servers.
pub fn single_service(addresses: &[SocketAddr]) -> Vec<Item> {
    let mut items = vec![item("config", String::new())];
    for (n, address) in addresses.iter().enumerate() {
        items.push(item(&format!("b{n}"), format!("s {address} a")));
    }
    items
}

/// Reaction of a scripted backend server to a request.
#[derive(Debug, Clone)]
pub enum Reaction {
    /// Writes this reply, with `ID` replaced by the request's id, and keeps the connection open.
    Write(String),
    /// Writes the reply and closes the connection.
    WriteAndClose(String),
    /// Writes the reply and ends its own direction of the connection.
    WriteAndShutDown(String),
    /// Writes the reply and resets the connection.
    WriteAndReset(String),
    /// Writes the reply after a delay and keeps the connection open.
    Pause(Duration, String),
    /// Does not reply.
    Hang,
}

/// A scripted backend server.
pub struct Backend {
    pub address: SocketAddr,
    /// Requests that it received, as text; `closed` when a connection ends.
    pub seen: mpsc::UnboundedReceiver<String>,
}

/// Starts a backend server that applies `reactions` to its requests in order, across all
/// connections, and repeats the last one.
pub async fn backend(reactions: Vec<Reaction>) -> Backend {
    let (listener, address) = listener().await;
    let (sender, seen) = mpsc::unbounded_channel();
    let reactions = Rc::new(std::cell::RefCell::new(reactions));
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve_connection(stream, reactions.clone(), sender.clone()));
        }
    });
    Backend { address, seen }
}

async fn serve_connection(
    mut stream: TcpStream,
    reactions: Rc<std::cell::RefCell<Vec<Reaction>>>,
    seen: mpsc::UnboundedSender<String>,
) {
    while let Some(request) = read_message(&mut stream).await {
        let id = header(&request, "x-id").unwrap_or_default();
        let _ = seen.send(request);
        let reaction = {
            let mut reactions = reactions.borrow_mut();
            match reactions.len() {
                0 | 1 => reactions.first().cloned().unwrap_or(Reaction::Hang),
                _ => reactions.remove(0),
            }
        };
        let bytes = |text: &str| text.replace("ID", &id).into_bytes();
        match reaction {
            Reaction::Write(text) => stream.write_all(&bytes(&text)).await.expect("written"),
            Reaction::WriteAndClose(text) => {
                stream.write_all(&bytes(&text)).await.expect("written");
                return;
            }
            Reaction::WriteAndShutDown(text) => {
                stream.write_all(&bytes(&text)).await.expect("written");
                stream.shutdown().await.expect("shut down");
            }
            Reaction::WriteAndReset(text) => {
                stream.write_all(&bytes(&text)).await.expect("written");
                // The reply must be read before the reset discards it.
                tokio::time::sleep(Duration::from_millis(50)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("linger");
                return;
            }
            Reaction::Pause(pause, text) => {
                tokio::time::sleep(pause).await;
                stream.write_all(&bytes(&text)).await.expect("written");
            }
            Reaction::Hang => {}
        }
    }
    let _ = seen.send("closed".to_owned());
}

/// Reads one HTTP message with its body, by length or in chunks; none at the end of the connection.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(text.clone()).expect("text");
    if let Some(length) = header(&head, "content-length") {
        let mut body = vec![0; length.parse().expect("a length")];
        stream.read_exact(&mut body).await.ok()?;
        text.extend(body);
    }
    if header(&head, "transfer-encoding").is_some() {
        while !text.ends_with(b"0\r\n\r\n") {
            stream.read_exact(&mut byte).await.ok()?;
            text.push(byte[0]);
        }
    }
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// Path of a request.
pub fn get_path(request: &str) -> &str {
    request.split(' ').nth(1).unwrap_or_default()
}

/// Value of a header in a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let lines = message.lines().take_while(|line| !line.is_empty());
    let mut fields = lines.filter_map(|line| line.split_once(':'));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Sends a request over a new connection and reads the complete answer.
pub async fn send_request(front: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(front).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("written");
    read_message(&mut stream).await.expect("an answer")
}

/// A request for `path`.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: search.example\r\nx-id: {id}\r\nx-left: 3000\r\n\r\n")
}

/// Status code of an answer.
pub fn status(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1).expect("a status");
    word.parse().expect("a number")
}

/// A complete, signed reply with this body.
pub fn complete_reply(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nx-signature: sig-ID\r\nx-id: ID\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Runs a test's tasks on one thread.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().expect("a runtime");
    // Fails a test that waits for something that never happens.
    let bounded = async { tokio::time::timeout(TEST_TIMEOUT, test).await };
    let ended = tokio::task::LocalSet::new().block_on(&runtime, bounded);
    assert!(ended.is_ok(), "test timed out");
}

/// Timeout of a test, many times what any test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);
