//! Case 1: a backend server answers some requests a second time. The second copy of a rejection
//! arrives where the answer to the next request on the connection is expected.

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
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Requests that a backend server runs at a time.
const SLOTS: usize = 2;

/// Requests that it queues beyond these.
const QUEUE: usize = 8;

/// Time that one request takes.
const WORK: Duration = Duration::from_millis(10);

/// Idle time after which a backend server closes a connection, in whole seconds.
const KEEP_ALIVE_S: u64 = 15;

/// Share of its answers that a faulty backend server sends a second time, as in the list of
/// disruptions of the site file; one backend server of two is faulty, which is less than there.
const EXTRA_SHARE: f64 = 0.03;

/// Seconds after the start of traffic from which the fault lasts for [`FAULT_FOR`].
const FAULTS_AT: [u64; 6] = [1, 8, 15, 22, 29, 36];

/// Duration of the fault each time.
const FAULT_FOR: Duration = Duration::from_secs(5);

/// Duration of the traffic.
const TRAFFIC: Duration = Duration::from_secs(42);

/// Interval at which every caller sends a request: more at once than the backend servers take.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of daemons, two in each of three zones.
const DAEMONS: u8 = 6;

/// Callers with a connection each, for each daemon.
const CALLERS: usize = 12;

/// Time limit of a request, in milliseconds.
const DEADLINE_MS: u64 = 4000;

/// What happened to each attempt.
#[derive(Debug, Default)]
struct Attempt {
    /// Backend servers that ran it.
    runs: Vec<&'static str>,
    /// Status that its caller got.
    status: Option<u16>,
}

type Attempts = Arc<Mutex<BTreeMap<String, Attempt>>>;

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A backend server of the service `desk`.
struct Backend {
    id: &'static str,
    load: Mutex<Load>,
    freed: Condvar,
    /// When the fault begins, each time.
    faults: Vec<Instant>,
    random: Mutex<Random>,
    extras: AtomicU64,
    record: Record,
    attempts: Attempts,
}

impl Backend {
    fn serve(&self, mut connection: Connection) {
        let mut extra: Option<Message> = None;
        while let Ok(Some(request)) = connection.read() {
            if let Some(extra) = extra.take() {
                let late = extra.header("x-attempt-id").unwrap_or_default();
                self.record.add(format_args!(
                    "{} answers {late} a second time ({}), before {}",
                    self.id,
                    extra.status(),
                    request.header("x-attempt-id").unwrap_or_default(),
                ));
                self.extras.fetch_add(1, Ordering::Relaxed);
                if connection.write(&extra).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if connection.write(&answer).is_err() {
                return;
            }
            if self.is_faulty() && self.random.lock().unwrap().happens(EXTRA_SHARE) {
                extra = Some(answer);
            }
        }
    }

    fn is_faulty(&self) -> bool {
        let now = Instant::now();
        let mut faults = self.faults.iter();
        faults.any(|at| now >= *at && now < *at + FAULT_FOR)
    }

    fn answer(&self, request: &Message) -> Message {
        let Some(id) = request.header("x-attempt-id") else {
            return Message::new("HTTP/1.1 400 Bad Request", "").with("x-not-executed", 1);
        };
        if request.header("x-target-instance") != Some(self.id) {
            return Message::new("HTTP/1.1 421 Misdirected Request", "").with("x-attempt-id", id);
        }
        let left = request
            .header("x-deadline-ms")
            .and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(DEADLINE_MS));
        if !self.start(until) {
            self.record.add(format_args!("{} rejects {id}", self.id));
            return self.with_load(
                Message::new("HTTP/1.1 503 Service Unavailable", "")
                    .with("x-not-executed", 1)
                    .with("x-attempt-id", id),
            );
        }
        self.record.add(format_args!("{} runs {id}", self.id));
        {
            let mut attempts = self.attempts.lock().unwrap();
            attempts
                .entry(id.to_owned())
                .or_default()
                .runs
                .push(self.id);
        }
        std::thread::sleep(WORK);
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        let body = format!("{} did {}", self.id, String::from_utf8_lossy(&request.body));
        self.with_load(
            Message::new("HTTP/1.1 200 OK", body)
                .with("x-attempt-id", id)
                .with("x-server-stamp", format!("{}.{id}", self.id)),
        )
    }

    /// Waits for a slot until the time limit; false if the queue is full or the time has passed.
    fn start(&self, until: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= SLOTS {
            if load.waiting >= QUEUE {
                return false;
            }
            load.waiting += 1;
            while load.running >= SLOTS && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                load = self.freed.wait_timeout(load, left).unwrap().0;
            }
            load.waiting -= 1;
            if load.running >= SLOTS {
                return false;
            }
        }
        load.running += 1;
        true
    }

    fn with_load(&self, answer: Message) -> Message {
        let load = self.load.lock().unwrap();
        let (running, waiting) = (load.running, load.waiting);
        answer
            .with("x-server-load", format!("{running},{waiting},{SLOTS}"))
            .with("keep-alive", format!("timeout={KEEP_ALIVE_S}"))
    }
}

/// Sends a request at each interval until `until`, or later if the last answer came later.
fn call(front: SocketAddr, number: usize, from: Instant, record: &Record, attempts: &Attempts) {
    let mut connection = None;
    let mut random = Random::new(number as u64 + 1);
    let mut due = from;
    while due < from + TRAFFIC {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        due += INTERVAL;
        let id = format!("{:016x}", random.number());
        let request = Message::new("POST /desk/issue HTTP/1.1", format!("issue {id}"))
            .with("host", "desk.example")
            .with("x-attempt-id", &id)
            .with("x-deadline-ms", DEADLINE_MS);
        let timeout = Duration::from_millis(DEADLINE_MS + 1000);
        let mut open = match connection
            .take()
            .map_or_else(|| Connection::open(front, timeout), Ok)
        {
            Ok(open) => open,
            Err(_) => continue,
        };
        record.add(format_args!("caller {number} sends {id}"));
        attempts.lock().unwrap().entry(id.clone()).or_default();
        let answer = match open.exchange(&request) {
            Ok(answer) => answer,
            Err(error) => {
                record.add(format_args!(
                    "caller {number} gets no answer to {id}: {error}"
                ));
                continue;
            }
        };
        let status = answer.status();
        record.add(format_args!("caller {number} gets {status} for {id}"));
        if let Some(attempt) = attempts.lock().unwrap().get_mut(&id) {
            attempt.status = Some(status);
        }
        let pause = answer.header("retry-after").and_then(|s| s.parse().ok());
        let earliest = Instant::now() + Duration::from_secs_f64(pause.unwrap_or(0.0));
        while due < earliest {
            due += INTERVAL;
        }
        if answer.header("connection") != Some("close") {
            connection = Some(open);
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
    let attempts = Attempts::default();
    let store = Store::start()?;
    // Daemons need some seconds until each knows its share of the connections.
    let traffic_at = Instant::now() + Duration::from_secs(8);
    let mut backends = Vec::new();
    for (id, zone) in [("i-desk-1", "zone-a"), ("i-desk-2", "zone-b")] {
        let faulty = has_trouble() && id == "i-desk-1";
        let faults = FAULTS_AT.iter().filter(|_| faulty);
        let backend = Arc::new(Backend {
            id,
            load: Mutex::default(),
            freed: Condvar::new(),
            faults: faults
                .map(|s| traffic_at + Duration::from_secs(*s))
                .collect(),
            random: Mutex::new(Random::new(7)),
            extras: AtomicU64::new(0),
            record: record.clone(),
            attempts: attempts.clone(),
        });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entry = store::entry("desk", listener.local_addr()?, zone, SLOTS);
        store.put(&format!("servers/{id}"), &entry);
        let served = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                let idle = Duration::from_secs(KEEP_ALIVE_S);
                if stream.set_read_timeout(Some(idle)).is_ok() {
                    std::thread::spawn(move || served.serve(Connection::new(stream)));
                }
            }
        });
        backends.push(backend);
    }
    let route = "{\"name\":\"r-issue\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\
                 \"route_type\":\"non_idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":400,\
                 \"priority\":1,\"service\":\"desk\",\"max_attempts\":2}";
    store.put(
        "op/config",
        &store::config(1, &[route.to_owned()], &["desk"]),
    );
    let Some(ports) = Ports::choose(DAEMONS) else {
        return Err(std::io::Error::other("no free ports"));
    };
    let mut daemons = Vec::new();
    for number in 1..=DAEMONS {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
        let name = format!("front-{zone}-{}", 1 + (number - 1) / 3);
        let daemon = Daemon::start(number, &name, zone, ports, store.address, &folder.0)?;
        daemons.push(daemon);
    }
    if !daemons.iter().all(Daemon::wait_until_ready) {
        return Err(std::io::Error::other("a daemon is not ready"));
    }
    std::thread::sleep(traffic_at.saturating_duration_since(Instant::now()));
    let callers: Vec<_> = (0..CALLERS * daemons.len())
        .map(|number| {
            let front = daemons[number % daemons.len()].front;
            let (record, attempts) = (record.clone(), attempts.clone());
            std::thread::spawn(move || call(front, number, traffic_at, &record, &attempts))
        })
        .collect();
    for caller in callers {
        caller
            .join()
            .map_err(|_| std::io::Error::other("a caller failed"))?;
    }
    // What was answered may still run.
    std::thread::sleep(Duration::from_secs(2));
    let ended = daemons
        .iter_mut()
        .filter_map(|d| d.has_ended().then_some(()))
        .count();
    drop(daemons);

    let attempts = attempts.lock().unwrap();
    let extras: u64 = backends
        .iter()
        .map(|b| b.extras.load(Ordering::Relaxed))
        .sum();
    let served = attempts.values().filter(|a| a.status == Some(200)).count();
    let is_promise = |status: &u16| [408, 421, 429, 503].contains(status);
    let refused = |a: &&Attempt| a.status.as_ref().is_some_and(is_promise);
    let mut summary = vec![
        format!("trouble: {}", has_trouble()),
        format!("attempts: {}, answered 200: {served}", attempts.len()),
        format!(
            "attempts refused: {}",
            attempts.values().filter(refused).count()
        ),
        format!("answers sent a second time: {extras}"),
        format!("daemons that ended by themselves: {ended}"),
    ];
    let mut broken = 0;
    for (id, attempt) in attempts.iter() {
        if attempt.runs.len() > 1 {
            broken += 1;
            summary.push(format!(
                "TWICE: {id} ran at {:?}, answered {:?}",
                attempt.runs, attempt.status
            ));
        }
        if refused(&attempt) && !attempt.runs.is_empty() {
            broken += 1;
            summary.push(format!(
                "REFUSED: {id} ran at {:?}, answered {:?}",
                attempt.runs, attempt.status
            ));
        }
    }
    summary.push(format!("rule broken: {broken} times"));
    summary.iter().for_each(|line| println!("{line}"));
    record.write(&target, &summary)?;
    if served < 100 || ended > 0 || (has_trouble() && extras == 0) {
        return Ok(2);
    }
    Ok(u8::from(broken > 0))
}
