//! Stand-in of a backend server: it registers in the store, runs requests, can end and come back cold.

use crate::http;
use crate::record::Arrival;
use crate::record::Record;
use crate::store::Store;
use crate::store::listen;
use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Interval at which a server renews its entry. The entry changes only if more than its number changes.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Requests that a server queues beside those that it runs.
const QUEUE: usize = 12;

/// What a server is.
#[derive(Debug, Clone)]
pub struct Description {
    pub id: String,
    pub service: String,
    pub domain: String,
    pub slots: usize,
    pub work: Duration,
    /// Requests in one second under which it crashes while it is cold; none if it bears any number.
    pub crashes_above: Option<usize>,
}

/// A process of the server; it ends with the server's crash.
#[derive(Debug, Default)]
struct Process {
    has_ended: AtomicBool,
    /// Whether it has withdrawn its entry; it serves on for a while.
    has_left: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    cold_until: Mutex<Option<Instant>>,
    present: AtomicUsize,
    running: AtomicUsize,
}

impl Process {
    fn warmup_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }
}

/// A backend server.
#[derive(Debug)]
pub struct Backend {
    pub what: Description,
    pub address: SocketAddr,
    store: Arc<Store>,
    /// False while the store answers nobody; no entry is written then.
    store_is_up: Arc<AtomicBool>,
    record: Arc<Record>,
    process: Mutex<Arc<Process>>,
}

impl Backend {
    /// Registers a server and starts it.
    pub fn start(
        what: Description,
        store: &Arc<Store>,
        store_is_up: &Arc<AtomicBool>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let (listener, address) = listen("127.0.0.1");
        let backend = Arc::new(Self {
            what,
            address,
            store: store.clone(),
            store_is_up: store_is_up.clone(),
            record: record.clone(),
            process: Mutex::default(),
        });
        let process = backend.register(Duration::ZERO);
        backend.accept_from(listener, process);
        backend
    }

    /// Ends the server's process, as in a crash. Its entry stays until the platform removes it.
    pub fn crash(&self) {
        let process = self.process.lock().unwrap().clone();
        process.has_ended.store(true, Ordering::SeqCst);
        for connection in process.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.note(format!("{} crashed", self.what.id));
    }

    /// Withdraws the server's entry without having reported that it drains; returns when the store accepted that. The
    /// server serves on until it [crashes](Self::crash).
    pub fn leave(&self) -> f64 {
        self.process
            .lock()
            .unwrap()
            .has_left
            .store(true, Ordering::SeqCst);
        self.store.remove(&self.key());
        self.record.note(format!(
            "{} has left the store, and serves on",
            self.what.id
        ))
    }

    /// Starts the server again under its id, cold for `cold`. It registers `registered_ahead` before it listens, so that
    /// whoever reads the store knows that it is cold.
    pub fn come_back_cold(self: &Arc<Self>, cold: Duration, registered_ahead: Duration) {
        let process = self.register(registered_ahead + cold);
        thread::sleep(registered_ahead);
        let listener = TcpListener::bind(self.address).expect("its port is free again");
        self.accept_from(listener, process);
        self.record
            .note(format!("{} is back, cold for {cold:?}", self.what.id));
    }

    /// Begins a process that is cold for `cold`, and keeps its entry in the store.
    fn register(self: &Arc<Self>, cold: Duration) -> Arc<Process> {
        let process = Arc::new(Process::default());
        if cold > Duration::ZERO {
            *process.cold_until.lock().unwrap() = Some(Instant::now() + cold);
        }
        *self.process.lock().unwrap() = process.clone();
        let (backend, beating) = (self.clone(), process.clone());
        thread::spawn(move || backend.beat(&beating));
        process
    }

    fn accept_from(self: &Arc<Self>, listener: TcpListener, process: Arc<Process>) {
        listener
            .set_nonblocking(true)
            .expect("a listener that polls");
        let backend = self.clone();
        thread::spawn(move || backend.accept(&listener, &process));
    }

    /// Keeps the entry up to date while the process runs.
    fn beat(&self, process: &Process) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970")
            .as_millis();
        let (mut sequence, mut last_left) = (0, None);
        while !process.has_ended.load(Ordering::SeqCst) {
            if process.has_left.load(Ordering::SeqCst) {
                return;
            }
            if !self.store_is_up.load(Ordering::SeqCst) {
                // It tries again soon, as a sound server does.
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            sequence += 1;
            let left = process.warmup_left().as_millis();
            if last_left != Some(left) {
                last_left = Some(left);
                self.store
                    .put(&self.key(), &self.entry(born, sequence, left));
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.what.id)
    }

    fn entry(&self, born: u128, sequence: u64, warmup_left_ms: u128) -> String {
        let Description {
            service,
            domain,
            slots,
            ..
        } = &self.what;
        let address = self.address;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{domain}\",\"version\":\"v1\",\
             \"max_concurrency\":{slots},\"state\":\"ready\",\"warmup_left_ms\":{warmup_left_ms},\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, process: &Arc<Process>) {
        while !process.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(kept) = stream.try_clone() {
                process.connections.lock().unwrap().push(kept);
            }
            let (backend, process) = (self.clone(), process.clone());
            thread::spawn(move || backend.connection(stream, &process));
        }
    }

    fn connection(&self, stream: TcpStream, process: &Process) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if process.has_ended.load(Ordering::SeqCst)
                || self.answer(&mut writer, &request, process).is_err()
            {
                return;
            }
        }
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        request: &http::Message,
        process: &Process,
    ) -> std::io::Result<()> {
        let id = request.header("x-attempt-id");
        let load = |process: &Process| {
            let running = process.running.load(Ordering::SeqCst);
            let waiting = process
                .present
                .load(Ordering::SeqCst)
                .saturating_sub(running);
            format!("{running},{waiting},{}", self.what.slots)
        };
        if request.path() == "/health" {
            let left = process.warmup_left().as_millis().to_string();
            let load = load(process);
            let headers = [
                ("X-Instance-Id", self.what.id.as_str()),
                ("X-Server-Load", &load),
                ("X-Warmup-Ms", &left),
            ];
            return http::respond(writer, "200 OK", &headers, b"");
        }
        if request.header("x-target-instance") != self.what.id {
            self.arrived(id, process, false);
            let headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", id)];
            return http::respond(writer, "421 Misdirected Request", &headers, b"");
        }
        if process.present.fetch_add(1, Ordering::SeqCst) >= self.what.slots + QUEUE {
            process.present.fetch_sub(1, Ordering::SeqCst);
            self.arrived(id, process, false);
            let headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", id)];
            return http::respond(writer, "503 Service Unavailable", &headers, b"");
        }
        self.arrived(id, process, true);
        if self.is_overrun(process) {
            self.record
                .note(format!("{} is overrun while it is cold", self.what.id));
            self.crash();
        }
        while process.running.fetch_add(1, Ordering::SeqCst) >= self.what.slots {
            process.running.fetch_sub(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(self.what.work);
        process.running.fetch_sub(1, Ordering::SeqCst);
        process.present.fetch_sub(1, Ordering::SeqCst);
        if process.has_ended.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let load = load(process);
        let stamp = format!("{}.{id}", self.what.id);
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Server-Stamp", &stamp),
            ("X-Server-Load", &load),
        ];
        http::respond(writer, "200 OK", &headers, id.as_bytes())
    }

    /// Whether it has got more requests in the last second than it bears while it is cold.
    fn is_overrun(&self, process: &Process) -> bool {
        let Some(most) = self
            .what
            .crashes_above
            .filter(|_| !process.warmup_left().is_zero())
        else {
            return false;
        };
        let begin = self.record.now() - 1000.0;
        let arrivals = self.record.arrivals.lock().unwrap();
        let recent = arrivals
            .iter()
            .rev()
            .take_while(|arrival| arrival.at > begin);
        let recent = recent
            .filter(|arrival| arrival.backend == self.what.id && arrival.ran && arrival.is_cold);
        !process.has_ended.load(Ordering::SeqCst) && recent.count() > most
    }

    fn arrived(&self, id: &str, process: &Process, ran: bool) {
        let arrival = Arrival {
            id: id.to_owned(),
            backend: self.what.id.clone(),
            at: self.record.now(),
            is_cold: !process.warmup_left().is_zero(),
            ran,
        };
        self.record.arrivals.lock().unwrap().push(arrival);
    }
}
