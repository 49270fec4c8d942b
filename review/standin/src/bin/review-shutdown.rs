//! Not one of the cases, see REPORT.md: a daemon that is told to stop closes connections without an
//! answer to requests that it has read and that wait for a backend server.

use lentillift_review::Random;
use lentillift_review::daemon::Daemon;
use lentillift_review::daemon::Folder;
use lentillift_review::daemon::Ports;
use lentillift_review::has_trouble;
use lentillift_review::http::Connection;
use lentillift_review::http::Message;
use lentillift_review::record::Record;
use lentillift_review::store;
use lentillift_review::store::Store;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Requests that a backend server runs at a time.
const SLOTS: usize = 3;

/// Requests that it queues beyond these.
const QUEUE: usize = 12;

/// Time that one request takes.
const WORK: Duration = Duration::from_millis(120);

/// Backend servers of the service.
const BACKENDS: usize = 2;

/// Number of daemons, three in each of three zones.
const DAEMONS: u8 = 9;

/// Callers with a connection each, for each daemon.
const CALLERS: usize = 24;

/// Longest time from an answer, and the `Retry-After` in it, to a caller's next request.
const THINK: Duration = Duration::from_millis(1000);

/// Time limit of a request and timeout of its route, in milliseconds.
const DEADLINE_MS: u64 = 5000;

/// Time from SIGTERM until the platform kills the process.
const GRACE: Duration = Duration::from_secs(6);

/// Time after its last byte from which a request that was read must not be cut.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time between two questions whether a daemon is ready; two misses take it out.
const READY_PERIOD: Duration = Duration::from_secs(1);

/// Traffic before the first SIGTERM.
const CALM: Duration = Duration::from_secs(8);

/// Daemons that are stopped and started again, one after the other; the site file has days on which
/// all of them are.
const STOPS: u8 = 9;

/// Time between the end of one stop and the next.
const GAP: Duration = Duration::from_secs(2);

/// Attempts that a backend server has or has run, and when it took or finished them.
type Taken = Arc<Mutex<BTreeMap<String, Instant>>>;

/// A backend server of the service `desk`.
#[derive(Default)]
struct Backend {
    /// Numbers of requests that run and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    taken: Taken,
}

impl Backend {
    fn serve(&self, id: &str, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let attempt = request.header("x-attempt-id").unwrap_or_default();
            let answer = if request.header("x-target-instance") != Some(id) {
                Message::new("HTTP/1.1 421 Misdirected Request", "")
            } else if self.run(attempt) {
                Message::new("HTTP/1.1 200 OK", format!("{id} did {attempt}"))
                    .with("x-server-stamp", format!("{id}.{attempt}"))
            } else {
                Message::new("HTTP/1.1 503 Service Unavailable", "").with("x-not-executed", 1)
            };
            if connection
                .write(&answer.with("x-attempt-id", attempt))
                .is_err()
            {
                return;
            }
        }
    }

    /// Runs a request once a slot is free; false if the queue is full.
    fn run(&self, attempt: &str) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= SLOTS && load.1 >= QUEUE {
            return false;
        }
        self.take(attempt);
        load.1 += 1;
        while load.0 >= SLOTS {
            load = self.freed.wait(load).unwrap();
        }
        load.1 -= 1;
        load.0 += 1;
        drop(load);
        std::thread::sleep(WORK);
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
        self.take(attempt);
        true
    }

    fn take(&self, attempt: &str) {
        let mut taken = self.taken.lock().unwrap();
        taken.insert(attempt.to_owned(), Instant::now());
    }
}

/// A place where a daemon runs, as the platform sees it.
struct Node {
    front: SocketAddr,
    ready: SocketAddr,
    /// Whether the platform sends new connections there.
    in_rotation: AtomicBool,
    /// When the daemon was told to stop last.
    stopped_at: Mutex<Option<Instant>>,
}

impl Node {
    /// Asks once a second whether it is ready.
    fn watch(&self, record: &Record) {
        let mut misses = 0;
        loop {
            std::thread::sleep(READY_PERIOD);
            let question = Message::new("GET /ready HTTP/1.1", "").with("host", "ready");
            let asked = Connection::open(self.ready, READY_PERIOD);
            let answer = asked.and_then(|mut ready| ready.exchange(&question));
            misses = match answer.is_ok_and(|answer| answer.status() == 200) {
                true => 0,
                false => misses + 1,
            };
            let was = self.in_rotation.swap(misses < 2, Ordering::Relaxed);
            if was != (misses < 2) {
                record.add(format_args!("{} in rotation: {}", self.front, misses < 2));
            }
        }
    }
}

/// Results of all callers.
#[derive(Debug, Default)]
struct Count {
    served: usize,
    refused: usize,
    other: usize,
    /// Requests whose connection ended without an answer.
    cut: usize,
    /// Those that the process had read and that were not over, with what is known of them.
    lost: Vec<(String, String)>,
}

/// Sends one request after the other.
fn call(nodes: &[Arc<Node>], number: usize, until: Instant, record: &Record, count: &Mutex<Count>) {
    let mut random = Random::new(number as u64 + 1);
    let mut open: Option<(Connection, usize)> = None;
    while Instant::now() < until {
        let usable = (0..nodes.len()).map(|step| (number + step) % nodes.len());
        let home = usable
            .clone()
            .find(|node| nodes[*node].in_rotation.load(Ordering::Relaxed))
            .unwrap_or(number % nodes.len());
        let timeout = Duration::from_millis(DEADLINE_MS + 1000);
        let opened = match open.take() {
            Some(open) => Ok(open),
            None => Connection::open(nodes[home].front, timeout).map(|open| (open, home)),
        };
        let Ok((mut connection, node)) = opened else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        let id = format!("{:016x}", random.number());
        let request = Message::new("POST /desk/issue HTTP/1.1", format!("issue {id}"))
            .with("host", "desk.example")
            .with("x-attempt-id", &id)
            .with("x-deadline-ms", DEADLINE_MS);
        let sent = Instant::now();
        record.add(format_args!(
            "caller {number} sends {id} to {}",
            nodes[node].front
        ));
        let result = connection.write(&request).and_then(|()| connection.read());
        let took = sent.elapsed();
        let mut count = count.lock().unwrap();
        match result {
            Ok(Some(answer)) => {
                let status = answer.status();
                record.add(format_args!("caller {number} gets {status} for {id}"));
                match status {
                    200 => count.served += 1,
                    503 => count.refused += 1,
                    _ => count.other += 1,
                }
                let pause = answer.header("retry-after").and_then(|s| s.parse().ok());
                drop(count);
                let think = THINK.mul_f64((random.number() % 1000) as f64 / 1000.0);
                std::thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.0)) + think);
                if answer.header("connection") != Some("close") {
                    open = Some((connection, node));
                }
            }
            ended => {
                // An orderly end: the process had read all bytes. Unread ones would cause a reset.
                let is_orderly = matches!(ended, Ok(None));
                let stopped_at = *nodes[node].stopped_at.lock().unwrap();
                let until = GRACE + Duration::from_secs(1);
                let planned = stopped_at.is_some_and(|at| at.elapsed() < until);
                record.add(format_args!(
                    "caller {number} gets no answer to {id} after {} ms, orderly: {is_orderly}",
                    took.as_millis()
                ));
                count.cut += 1;
                let in_time = took + LOSS_SLACK < Duration::from_millis(DEADLINE_MS);
                if is_orderly && planned && in_time && took > LOSS_SLACK {
                    let after =
                        stopped_at.map_or(0, |at| sent.saturating_duration_since(at).as_millis());
                    let what = format!(
                        "sent {after} ms after SIGTERM, cut after {} ms",
                        took.as_millis()
                    );
                    count.lost.push((id, what));
                }
            }
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> std::io::Result<u8> {
    let target: PathBuf = std::env::args().nth(1).unwrap_or_default().into();
    let folder = Folder::create()?;
    let record = Record::default();
    let store = Store::start()?;
    let taken = Taken::default();
    for number in 0..BACKENDS {
        let id = format!("i-desk-{number}");
        let zone = ["zone-a", "zone-b"][number % 2];
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entry = store::entry("desk", listener.local_addr()?, zone, SLOTS);
        store.put(&format!("servers/{id}"), &entry);
        let backend = Arc::new(Backend {
            taken: taken.clone(),
            ..Backend::default()
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (backend, id) = (backend.clone(), id.clone());
                std::thread::spawn(move || backend.serve(&id, Connection::new(stream)));
            }
        });
    }
    let route = format!(
        "{{\"name\":\"r-issue\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":{DEADLINE_MS},\
         \"target_latency_ms\":500,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2}}"
    );
    store.put("op/config", &store::config(1, &[route], &["desk"]));
    let Some(ports) = Ports::choose(DAEMONS) else {
        return Err(std::io::Error::other("no free ports"));
    };
    let start = |number: u8| {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
        let name = format!("front-{zone}-{}", 1 + (number - 1) / 3);
        Daemon::start(number, &name, zone, ports, store.address, &folder.0)
    };
    let mut daemons = Vec::new();
    for number in 1..=DAEMONS {
        daemons.push(start(number)?);
    }
    if !daemons.iter().all(Daemon::wait_until_ready) {
        return Err(std::io::Error::other("a daemon is not ready"));
    }
    let nodes: Vec<Arc<Node>> = daemons
        .iter()
        .map(|daemon| {
            Arc::new(Node {
                front: daemon.front,
                ready: daemon.ready,
                in_rotation: AtomicBool::new(true),
                stopped_at: Mutex::new(None),
            })
        })
        .collect();
    for node in &nodes {
        let (node, record) = (node.clone(), record.clone());
        std::thread::spawn(move || node.watch(&record));
    }
    let turn = GRACE + GAP;
    let until = Instant::now() + CALM + turn * u32::from(STOPS);
    let count: Arc<Mutex<Count>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS * nodes.len())
        .map(|number| {
            let (nodes, record, count) = (nodes.clone(), record.clone(), count.clone());
            std::thread::spawn(move || call(&nodes, number, until, &record, &count))
        })
        .collect();
    std::thread::sleep(CALM);
    let mut by_itself = 0;
    for number in 1..=STOPS {
        let index = usize::from(number) - 1;
        let next = Instant::now() + turn;
        if has_trouble() {
            record.add(format_args!("SIGTERM to {}", nodes[index].front));
            *nodes[index].stopped_at.lock().unwrap() = Some(Instant::now());
            daemons[index].signal("TERM");
            let kill_at = Instant::now() + GRACE;
            while !daemons[index].has_ended() && Instant::now() < kill_at {
                std::thread::sleep(Duration::from_millis(5));
            }
            record.add(format_args!("{} has ended", nodes[index].front));
            daemons[index] = start(number)?;
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        by_itself += daemons
            .iter_mut()
            .filter_map(|d| d.has_ended().then_some(()))
            .count();
    }
    for caller in callers {
        caller
            .join()
            .map_err(|_| std::io::Error::other("a caller failed"))?;
    }
    drop(daemons);
    let count = count.lock().unwrap();
    let mut summary = vec![
        format!("trouble: {}", has_trouble()),
        format!(
            "answered 200: {}, 503: {}, otherwise: {}",
            count.served, count.refused, count.other
        ),
        format!("connections that ended without an answer: {}", count.cut),
        format!("daemons that ended by themselves: {by_itself}"),
    ];
    // The rule doesn't count requests that were at work at a backend server near the end.
    let taken = taken.lock().unwrap();
    let lost = count.lost.iter().filter(|(id, _)| !taken.contains_key(id));
    let lost: Vec<String> = lost
        .map(|(id, what)| format!("LOST: {id}, {what}"))
        .collect();
    let broken = lost.len();
    summary.extend(lost);
    summary.push(format!("rule broken: {broken} times"));
    summary.iter().for_each(|line| println!("{line}"));
    record.write(&target, &summary)?;
    if count.served < 100 || by_itself > 0 {
        return Ok(2);
    }
    Ok(u8::from(broken > 0))
}
