//! Case 2: a writer other than the backend server puts an incomplete entry under the server's key,
//! and requests of one service are run by another.

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
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Time that one request takes.
const WORK: Duration = Duration::from_millis(15);

/// Interval at which a backend server writes its entry: `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Number of daemons, one in each of three zones.
const DAEMONS: u8 = 3;

/// Callers with a connection each, for each daemon.
const CALLERS: usize = 2;

/// Traffic before the first entry of the other writer.
const CALM: Duration = Duration::from_secs(8);

/// Entries of the other writer, and the time between two of them.
const FOREIGN_ENTRIES: u32 = 3;
const FOREIGN_PERIOD: Duration = Duration::from_secs(3);

/// A backend server.
struct Backend {
    id: String,
    service: &'static str,
    record: Record,
    /// Requests that it ran although they are for another service.
    strays: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let attempt = request.header("x-attempt-id").unwrap_or_default();
            let answer = match request.header("x-target-instance") == Some(&self.id) {
                true => self.run(&request, attempt),
                false => Message::new("HTTP/1.1 421 Misdirected Request", ""),
            };
            if connection
                .write(&answer.with("x-attempt-id", attempt))
                .is_err()
            {
                return;
            }
        }
    }

    fn run(&self, request: &Message, attempt: &str) -> Message {
        let id = &self.id;
        self.record
            .add(format_args!("{id} runs {attempt} {}", request.start));
        if !request.target().starts_with(&format!("/{}/", self.service)) {
            let stray = format!(
                "{attempt} {} ran at {id}, of {}",
                request.start, self.service
            );
            self.strays.lock().unwrap().push(stray);
        }
        std::thread::sleep(WORK);
        Message::new("HTTP/1.1 200 OK", format!("{} did {attempt}", self.service))
            .with("x-server-stamp", format!("{id}.{attempt}"))
            .with("x-server-load", "1,0,2")
    }
}

/// What the callers got.
#[derive(Debug, Default)]
struct Count {
    served: usize,
    other: usize,
    /// Successes with the data of another service.
    foreign: Vec<String>,
}

fn call(front: SocketAddr, number: usize, until: Instant, record: &Record, count: &Mutex<Count>) {
    let mut random = Random::new(number as u64 + 1);
    let mut open = None;
    while Instant::now() < until {
        let id = format!("{:016x}", random.number());
        let service = ["desk", "ledger"][number % 2];
        let request = Message::new(
            format!("POST /{service}/issue HTTP/1.1"),
            format!("issue {id}"),
        )
        .with("host", "desk.example")
        .with("x-attempt-id", &id)
        .with("x-deadline-ms", 4000);
        record.add(format_args!("caller {number} sends {id} to {service}"));
        let connection = open.take();
        let timeout = Duration::from_secs(5);
        let mut connection = match connection.map_or_else(|| Connection::open(front, timeout), Ok) {
            Ok(connection) => connection,
            Err(_) => continue,
        };
        if let Ok(answer) = connection.exchange(&request) {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record.add(format_args!(
                "caller {number} gets {} for {id}: {body}",
                answer.status()
            ));
            let mut count = count.lock().unwrap();
            match answer.status() {
                200 => count.served += 1,
                _ => count.other += 1,
            }
            if answer.status() == 200 && !body.starts_with(service) {
                count
                    .foreign
                    .push(format!("{id} for {service} was answered: {body}"));
            }
            open = Some(connection);
        }
        std::thread::sleep(Duration::from_millis(10));
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
    let strays: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut foreign_entry = None;
    for (service, zone) in [
        ("desk", "zone-a"),
        ("desk", "zone-b"),
        ("ledger", "zone-a"),
        ("ledger", "zone-b"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let backend = Arc::new(Backend {
            id: format!("i-{service}-{zone}"),
            service,
            record: record.clone(),
            strays: strays.clone(),
        });
        let key = format!("servers/{}", backend.id);
        let entry = store::entry(service, address, zone, 2);
        if service == "ledger" && foreign_entry.is_none() {
            // No `version`, no `sequence` and no `born`, which every entry has.
            let foreign = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"max_concurrency\":2,\"state\":\"ready\",\"warmup_left_ms\":0}}"
            );
            foreign_entry = Some((key.clone(), foreign));
        }
        store.put(&key, &entry);
        let heart = store.clone();
        std::thread::spawn(move || {
            for sequence in 5.. {
                std::thread::sleep(HEARTBEAT);
                let next = format!("\"sequence\":{sequence}");
                heart.put(&key, &entry.replace("\"sequence\":4", &next));
            }
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = backend.clone();
                std::thread::spawn(move || backend.serve(Connection::new(stream)));
            }
        });
    }
    let route = |service: &str| {
        format!(
            "{{\"name\":\"r-{service}\",\"host\":\"desk.example\",\"prefix\":\"/{service}/\",\
             \"route_type\":\"non_idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":400,\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let routes = [route("desk"), route("ledger")];
    store.put("op/config", &store::config(1, &routes, &["desk", "ledger"]));
    let Some(ports) = Ports::choose(DAEMONS) else {
        return Err(std::io::Error::other("no free ports"));
    };
    let mut daemons = Vec::new();
    for number in 1..=DAEMONS {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) - 1];
        let name = format!("front-{zone}-1");
        daemons.push(Daemon::start(
            number,
            &name,
            zone,
            ports,
            store.address,
            &folder.0,
        )?);
    }
    if !daemons.iter().all(Daemon::wait_until_ready) {
        return Err(std::io::Error::other("a daemon is not ready"));
    }
    let count: Arc<Mutex<Count>> = Arc::default();
    let until = Instant::now() + CALM + FOREIGN_PERIOD * FOREIGN_ENTRIES;
    let callers: Vec<_> = (0..CALLERS * daemons.len())
        .map(|number| {
            let front = daemons[number / CALLERS].front;
            let (record, count) = (record.clone(), count.clone());
            std::thread::spawn(move || call(front, number, until, &record, &count))
        })
        .collect();
    std::thread::sleep(CALM);
    if let Some((key, entry)) = foreign_entry.filter(|_| has_trouble()) {
        for _ in 0..FOREIGN_ENTRIES {
            record.add(format_args!("another writer puts {key}: {entry}"));
            store.put(&key, &entry);
            std::thread::sleep(FOREIGN_PERIOD);
        }
    }
    for caller in callers {
        caller
            .join()
            .map_err(|_| std::io::Error::other("a caller failed"))?;
    }
    let ended = daemons
        .iter_mut()
        .filter_map(|d| d.has_ended().then_some(()))
        .count();
    drop(daemons);
    let (count, strays) = (count.lock().unwrap(), strays.lock().unwrap());
    let summary = [
        format!("trouble: {}", has_trouble()),
        format!("answered 200: {}, otherwise: {}", count.served, count.other),
        format!("daemons that ended by themselves: {ended}"),
        format!(
            "first run at another service: {}",
            strays.first().map_or("none", |s| s)
        ),
        format!(
            "first answer with foreign data: {}",
            count.foreign.first().map_or("none", |s| s)
        ),
        format!("answers with foreign data: {}", count.foreign.len()),
        format!("rule broken: {} times", strays.len()),
    ];
    summary.iter().for_each(|line| println!("{line}"));
    record.write(&target, &summary)?;
    if count.served < 100 || ended > 0 {
        return Ok(2);
    }
    Ok(u8::from(!strays.is_empty()))
}
