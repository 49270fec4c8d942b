//! A process's tasks over loopback, with scripted backend servers and published state in memory.

#![allow(dead_code, unreachable_pub)]

pub mod fragile;

use http::HeaderMap;
use http::StatusCode;
use http::request;
use http::response;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_fleet::follow;
use lentillift_fleet::packet::Body;
use lentillift_fleet::packet::Digest;
use lentillift_fleet::packet::Packet;
use lentillift_gateway::daemon;
use lentillift_gateway::daemon::Settings;
use lentillift_gateway::daemon::Tuning;
use lentillift_gateway::dialect::Ask;
use lentillift_gateway::dialect::Dialect;
use lentillift_gateway::dialect::Mark;
use lentillift_gateway::dialect::Ran;
use lentillift_gateway::front;
use lentillift_gateway::host::Host;
use lentillift_gateway::listen;
use lentillift_gateway::quarantine;
use lentillift_gateway::source::Source;
use lentillift_gateway::source::Watched;
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
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Meaning;
use lentillift_scatter::source::News;
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

/// Headers of these tests: `x-id`, `x-left`, `x-backend`, `x-signature`, `x-not-run`, `x-parts` and
/// `x-missing`.
#[derive(Debug, Clone, Copy)]
pub struct Plain;

fn text(headers: &HeaderMap, name: &str) -> Option<Box<str>> {
    Some(headers.get(name)?.to_str().ok()?.into())
}

impl Dialect for Plain {
    fn ask(&self, head: &request::Parts) -> Ask {
        let left = text(&head.headers, "x-left").and_then(|ms| ms.parse().ok());
        Ask {
            id: text(&head.headers, "x-id"),
            patience: left.map(Duration::from_millis),
        }
    }

    fn address(&self, headers: &mut HeaderMap, backend: &id::Backend, left: Duration) {
        headers.insert("x-backend", backend.parse().expect("a header value"));
        headers.insert("x-left", (left.as_millis() as u64).into());
    }

    fn mark(&self, head: &response::Parts) -> Mark {
        let ran = match () {
            () if head.status == StatusCode::MISDIRECTED_REQUEST => Ran::Misdirected,
            () if head.headers.contains_key("x-not-run") => Ran::No,
            () => Ran::Maybe,
        };
        Mark {
            id: text(&head.headers, "x-id"),
            ran,
            signature: text(&head.headers, "x-signature"),
            load: None,
        }
    }

    fn merged(&self, headers: &mut HeaderMap, signatures: &[Box<str>], missing: usize) {
        let parts = signatures.join(",");
        headers.insert("x-parts", parts.parse().expect("a header value"));
        headers.insert("x-missing", missing.into());
    }
}

/// Published state in memory: the value of key `config` is the list of its shards, that of any other
/// key `service address domain`.
#[derive(Debug, Default, Clone)]
pub struct Memory {
    pub items: Vec<Item>,
    /// Whether it turns this host away.
    pub away: bool,
    /// How long an answer is on its way.
    pub lag: Duration,
    /// When the last answer left.
    pub left: Rc<Cell<Option<Instant>>>,
    /// Whether the next watch is never answered.
    pub is_silent: Rc<Cell<bool>>,
    /// What the next watch that is answered tells.
    pub news: Rc<RefCell<Option<News>>>,
}

impl Memory {
    /// An answer leaves now, and arrives when this returns.
    async fn leave(&self) {
        self.left.set(Some(Instant::now()));
        tokio::time::sleep(self.lag).await;
    }

    fn turn_away(&self) -> Result<()> {
        match self.away {
            true => Err(Error::new(Step::Read, "service", "turned away")),
            false => Ok(()),
        }
    }
}

impl Source for Memory {
    async fn read(&self, _silence: Duration) -> Result<News> {
        self.turn_away()?;
        let items = self.items.clone();
        self.leave().await;
        Ok(News::All { revision: 1, items })
    }

    async fn watch(
        &self,
        after: id::Revision,
        wait: Duration,
        _silence: Duration,
    ) -> Result<Watched> {
        self.turn_away()?;
        if self.is_silent.replace(false) {
            std::future::pending::<()>().await;
        }
        if let Some(news) = self.news.take() {
            return Ok(Watched::Changes(news));
        }
        tokio::time::sleep(wait).await;
        self.leave().await;
        Ok(Watched::Changes(News::Changes {
            revision: after,
            items: Vec::new(),
        }))
    }

    fn decode(&self, item: &Item) -> Meaning {
        let value = item.value.clone().unwrap_or_default();
        let value = String::from_utf8(value).expect("text");
        let words: Vec<&str> = value.split_whitespace().collect();
        match (item.key.as_str(), words.as_slice()) {
            ("config", shards) => Meaning::Config(Box::new(config(shards))),
            (id, [service, address, domain]) => Meaning::Server(Entry {
                id: id.into(),
                service: (*service).into(),
                address: address.parse().expect("an address"),
                domain: (*domain).into(),
                slots: 2,
                stage: Stage::Ready,
                cold_for: Duration::ZERO,
                born: 1,
            }),
            _ => Meaning::Other,
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

/// Routes `/one/` (idempotent) and `/once/` to service `s`, and `/all/` to all shards.
fn config(shards: &[&str]) -> Config {
    let single = || {
        let service = "s".into();
        Target::Split(vec![Part { service, weight: 1 }])
    };
    let all = Target::Scatter(Scatter {
        shards: shards.iter().map(|s| (*s).into()).collect(),
        records: 10,
        coverage: 0.5,
    });
    let routes = vec![
        route("one", single(), Kind::Idempotent),
        route("once", single(), Kind::Once),
        route("all", all, Kind::Idempotent),
    ];
    let service = Service {
        connections: 100,
        cold_rate: None,
    };
    let names = shards.iter().copied().chain(["s"]);
    let services = names.map(|name| (name.into(), service.clone())).collect();
    let limits = Limits {
        head_bytes: 16384,
        body_bytes: 1000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Config::new(1, routes, services, limits)
}

/// Connections of callers at a time.
pub const MOST_CALLERS: usize = 3;

pub type Shared = Rc<Host<Plain, Memory>>;

/// A process's host named `name` in `domain`, whose other hosts listen at `node`.
pub fn host(name: &str, domain: &str, node: SocketAddr, source: Memory) -> Shared {
    let unused = ([127, 0, 0, 1], 0).into();
    let settings = Settings {
        name: name.into(),
        domain: domain.into(),
        regions: BTreeMap::from([("a".into(), "r".into()), ("b".into(), "r".into())]),
        front: unused,
        callers: MOST_CALLERS,
        ready: unused,
        node,
        inbound: node,
        metrics: None,
        tuning: Tuning {
            seeds: Vec::new(),
            options: Options {
                // A process that has just started would have no budget for a second send.
                budget: budget::Options {
                    ratio: 5.0,
                    extra: 0,
                    window: Duration::from_secs(10),
                },
                ..Options::default()
            },
        },
        news: follow::Options::default(),
        grace: Duration::from_secs(5),
    };
    daemon::make(&settings, Plain, source)
}

/// A listener on a port that the system gives.
pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A served host and where its callers connect.
pub struct Served {
    pub host: Shared,
    pub front: SocketAddr,
}

/// Serves callers by `items`, which may be none yet.
pub async fn serve(items: Vec<Item>) -> Served {
    serve_from(items, Memory::default()).await
}

/// The same with a source to read.
pub async fn serve_from(items: Vec<Item>, source: Memory) -> Served {
    let (listener, front) = listener().await;
    let host = host("h", "a", front, source);
    if !items.is_empty() {
        host.learn(Some(News::All { revision: 1, items }), Duration::ZERO);
    }
    tokio::task::spawn_local(front::serve(host.clone(), listener, MOST_CALLERS));
    Served { host, front }
}

/// A host whose other hosts are served.
pub async fn start(name: &str, domain: &str, items: Vec<Item>) -> Shared {
    let (listener, node) = listener().await;
    let host = host(name, domain, node, Memory::default());
    if !items.is_empty() {
        host.learn(Some(News::All { revision: 1, items }), Duration::ZERO);
    }
    host.swim.borrow_mut().serve();
    tokio::task::spawn_local(listen::nodes(host.clone(), listener));
    tokio::task::spawn_local(quarantine::spread(host.clone()));
    host
}

/// Makes `host` known to `to`.
pub fn introduce(host: &Shared, to: &Shared) {
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
    to.count_hosts();
}

pub async fn front(host: &Shared) -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::task::spawn_local(front::serve(host.clone(), listener, MOST_CALLERS));
    address
}

pub fn item(key: &str, value: String) -> Item {
    Item {
        key: key.to_owned(),
        revision: 1,
        value: Some(value.into_bytes()),
    }
}

/// Service `s` with these backend servers.
pub fn singles(addresses: &[SocketAddr]) -> Vec<Item> {
    let mut items = vec![item("config", String::new())];
    for (n, address) in addresses.iter().enumerate() {
        items.push(item(&format!("b{n}"), format!("s {address} a")));
    }
    items
}

/// What a scripted backend server does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Writes these bytes, `ID` replaced by the request's id, and keeps the connection.
    Write(String),
    /// Writes them and closes the connection.
    WriteAndClose(String),
    /// Writes them and resets the connection.
    WriteAndReset(String),
    /// Writes them after a while and keeps the connection.
    Pause(Duration, String),
    /// Writes nothing.
    Hang,
}

/// A scripted backend server.
pub struct Backend {
    pub address: SocketAddr,
    /// Requests that it read, as text; `closed` when a connection ends.
    pub seen: mpsc::UnboundedReceiver<String>,
}

/// Starts a backend server that does `acts` with its requests, one after the other over all
/// connections, and the last of them over and over.
pub async fn backend(acts: Vec<Act>) -> Backend {
    let (listener, address) = listener().await;
    let (sender, seen) = mpsc::unbounded_channel();
    let acts = Rc::new(std::cell::RefCell::new(acts));
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(talk(stream, acts.clone(), sender.clone()));
        }
    });
    Backend { address, seen }
}

async fn talk(
    mut stream: TcpStream,
    acts: Rc<std::cell::RefCell<Vec<Act>>>,
    seen: mpsc::UnboundedSender<String>,
) {
    while let Some(request) = read_message(&mut stream).await {
        let id = header(&request, "x-id").unwrap_or_default();
        let _ = seen.send(request);
        let act = {
            let mut acts = acts.borrow_mut();
            match acts.len() {
                0 | 1 => acts.first().cloned().unwrap_or(Act::Hang),
                _ => acts.remove(0),
            }
        };
        let bytes = |text: &str| text.replace("ID", &id).into_bytes();
        match act {
            Act::Write(text) => stream.write_all(&bytes(&text)).await.expect("written"),
            Act::WriteAndClose(text) => {
                stream.write_all(&bytes(&text)).await.expect("written");
                return;
            }
            Act::WriteAndReset(text) => {
                stream.write_all(&bytes(&text)).await.expect("written");
                // What was written must be read before the reset overtakes it.
                tokio::time::sleep(Duration::from_millis(50)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("linger");
                return;
            }
            Act::Pause(pause, text) => {
                tokio::time::sleep(pause).await;
                stream.write_all(&bytes(&text)).await.expect("written");
            }
            Act::Hang => {}
        }
    }
    let _ = seen.send("closed".to_owned());
}

/// Reads one message with its body by length or in chunks; none at the end of the connection.
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

/// The path of a request.
pub fn get_path(request: &str) -> &str {
    request.split(' ').nth(1).unwrap_or_default()
}

/// The value of a header in a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let lines = message.lines().take_while(|line| !line.is_empty());
    let mut fields = lines.filter_map(|line| line.split_once(':'));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Sends a request over its own connection and reads the whole answer.
pub async fn ask(front: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(front).await.expect("connected");
    stream.write_all(request.as_bytes()).await.expect("written");
    read_message(&mut stream).await.expect("an answer")
}

/// A request for `path`.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: search.example\r\nx-id: {id}\r\nx-left: 3000\r\n\r\n")
}

/// The status of an answer.
pub fn status(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1).expect("a status");
    word.parse().expect("a number")
}

/// A whole reply with this body.
pub fn whole(body: &str) -> String {
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
    // A test that waits for what never comes should say so; nothing is measured by it.
    let bounded = async { tokio::time::timeout(LONGEST, test).await };
    let ended = tokio::task::LocalSet::new().block_on(&runtime, bounded);
    assert!(ended.is_ok(), "waited in vain");
}

/// Longest time of a test, many times what any takes.
const LONGEST: Duration = Duration::from_secs(120);
