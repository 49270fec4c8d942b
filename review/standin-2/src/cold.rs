//! Cases about cold backend servers: FAILBACK.

use crate::Folders;
use crate::backend::Backend;
use crate::backend::Description;
use crate::host;
use crate::host::Host;
use crate::record::Record;
use crate::requester;
use crate::requester::Load;
use crate::store::Store;
use std::collections::HashMap;
use std::collections::HashSet;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// `warmup_overage` and `warmup_slack` of the settings.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time for which a server is cold after its start, `warmup_s` of its service.
const WARMUP: Duration = Duration::from_secs(3);

/// Time by which a server that comes back is in the store before it accepts connections.
const REGISTERED_AHEAD: Duration = Duration::from_millis(300);

/// Time from the end of a killed process to the start of the next one, as the bench has it.
const RESTART_DELAY: Duration = Duration::from_millis(570);

/// How often processes are killed in one run: it depends on the moment whether what they sent before falls into the same
/// second.
const KILLS: usize = 4;

/// How far above the bound the requests of a second are "well above" it, so that a cold server crashes.
const WELL_ABOVE: f64 = 2.0;

/// One host in each domain.
const FOUR_HOSTS: [(&str, &str); 4] = [
    ("front-giza-a-1", "giza-a"),
    ("front-shubra-b-1", "shubra-b"),
    ("front-tanta-c-1", "tanta-c"),
    ("front-mansoura-d-1", "mansoura-d"),
];

/// A small fleet with one route to one service.
struct World {
    record: Arc<Record>,
    store_is_up: Arc<AtomicBool>,
    servers: Vec<Arc<Backend>>,
    hosts: Vec<Host>,
    stop: Arc<AtomicBool>,
    requesters: Vec<JoinHandle<()>>,
    warmup_per_s: f64,
    /// When the disturbance was over; what is lost later is lost for another reason.
    settled_at: f64,
}

impl World {
    /// Requests that one cold server may get in a second.
    fn bound(&self) -> f64 {
        bound(self.warmup_per_s)
    }

    /// Starts the store, a server in each of `domains`, the hosts, and requesters that send to each host at `interval`.
    fn start(
        folders: &Folders<'_>,
        warmup_per_s: f64,
        domains: &[&str],
        interval: Duration,
    ) -> Self {
        let record = Arc::new(Record::default());
        let store = Arc::new(Store::default());
        store.put("op/config", &config(warmup_per_s));
        let store_is_up = Arc::new(AtomicBool::new(true));
        let servers = domains.iter().enumerate();
        let servers: Vec<Arc<Backend>> = servers
            .map(|(number, domain)| {
                let what = Description {
                    id: format!("i-desk-{number}"),
                    service: "desk".to_owned(),
                    domain: (*domain).to_owned(),
                    slots: 6,
                    work: Duration::from_millis(20),
                    crashes_above: Some((bound(warmup_per_s) * WELL_ABOVE) as usize),
                };
                Backend::start(what, &store, &store_is_up, &record)
            })
            .collect();
        let hosts = host::start_all(&FOUR_HOSTS, &store, &record, folders.temporary);
        let load = Load {
            method: "POST",
            path: "/desk/1",
            interval,
            requesters: 8,
            deadline: Duration::from_secs(2),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let requesters = hosts.iter().enumerate();
        let requesters =
            requesters.flat_map(|(i, host)| requester::start(i, host.front, &load, &record, &stop));
        let requesters = requesters.collect();
        record.note("requesters start");
        Self {
            record,
            store_is_up,
            servers,
            hosts,
            stop,
            requesters,
            warmup_per_s,
            settled_at: 0.0,
        }
    }

    /// Ends everything, writes the record and judges FAILBACK.
    fn finish(mut self, folders: &Folders<'_>) -> ExitCode {
        self.stop.store(true, Ordering::SeqCst);
        for requester in self.requesters.drain(..) {
            let _ = requester.join();
        }
        self.hosts.clear();
        let bound = self.bound();
        let worst = most_in_a_second(&self.record);
        self.record.note(format!(
            "most requests to a cold server in one second: {worst:?}, bound {bound}"
        ));
        self.record.write(&folders.record.join("record.txt"));
        println!("most requests to a cold server in one second: {worst:?}, bound {bound}");
        let served = self
            .record
            .answered
            .lock()
            .unwrap()
            .iter()
            .filter(|a| a.status == 200)
            .count();
        println!("requests served: {served}");
        let lost = lost(&self.record, self.settled_at);
        println!("requests passed on after the servers were back and lost: {lost}");
        if served == 0 {
            return ExitCode::from(2);
        }
        match worst.is_some_and(|(_, count)| count as f64 > bound) {
            true => ExitCode::from(1),
            false => ExitCode::from(0),
        }
    }
}

fn bound(warmup_per_s: f64) -> f64 {
    warmup_per_s * OVERAGE + SLACK
}

/// Number of requests that were sent after `settled_at`, ran at a server and got no success.
fn lost(record: &Record, settled_at: f64) -> usize {
    let arrivals = record.arrivals.lock().unwrap();
    let ran: HashSet<&str> = arrivals
        .iter()
        .filter(|a| a.ran)
        .map(|a| a.id.as_str())
        .collect();
    let sent = record.sent.lock().unwrap();
    let late: HashSet<&str> = sent
        .iter()
        .filter(|sent| sent.at > settled_at)
        .map(|sent| sent.id.as_str())
        .collect();
    let answered = record.answered.lock().unwrap();
    let lost = answered
        .iter()
        .filter(|a| a.status != 200 && ran.contains(a.id.as_str()) && late.contains(a.id.as_str()));
    lost.count()
}

fn config(warmup_per_s: f64) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-desk\",\"host\":\"review.example\",\"prefix\":\"/desk/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":1,\
         \"service\":\"desk\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":{},\
         \"warmup_per_s\":{warmup_per_s}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        WARMUP.as_secs_f64()
    )
}

/// The server and the number of requests of the worst second: requests that were sent and ran inside it, while the
/// server was cold.
fn most_in_a_second(record: &Record) -> Option<(String, usize)> {
    let sent: HashMap<String, f64> = record
        .sent
        .lock()
        .unwrap()
        .iter()
        .map(|sent| (sent.id.clone(), sent.at))
        .collect();
    let arrivals = record.arrivals.lock().unwrap();
    let cold: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.is_cold && arrival.ran)
        .collect();
    let worst = cold.iter().map(|last| {
        let begin = last.at - 1000.0;
        let inside = cold.iter().filter(|other| {
            let is_same = other.backend == last.backend;
            let was_sent = sent.get(&other.id).is_some_and(|at| *at > begin);
            is_same && other.at <= last.at && other.at > begin && was_sent
        });
        (last.backend.clone(), inside.count())
    });
    worst.max_by_key(|(_, count)| *count)
}

/// A zone's servers are down and come back together, cold.
pub fn shares(folders: &Folders<'_>, has_trouble: bool) -> ExitCode {
    let mut world = World::start(
        folders,
        6.0,
        &["giza-a", "giza-a"],
        Duration::from_millis(25),
    );
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        cold_return(&mut world, 2, Duration::from_millis(2500));
    }
    thread::sleep(WARMUP + Duration::from_secs(1));
    world.finish(folders)
}

/// The servers end, and come back under their ids after `down`.
fn cold_return(world: &mut World, count: usize, down: Duration) {
    let servers = &world.servers[..count];
    servers.iter().for_each(|server| server.crash());
    thread::sleep(down);
    thread::scope(|scope| {
        for server in servers {
            scope.spawn(|| server.come_back_cold(WARMUP, REGISTERED_AHEAD));
        }
    });
    world.settled_at = world.record.now();
}

/// A zone's server is down and comes back cold under its id while the platform's store is silent.
pub fn outage(folders: &Folders<'_>, has_trouble: bool) -> ExitCode {
    let mut world = World::start(
        folders,
        8.0,
        &["giza-a", "shubra-b", "tanta-c"],
        Duration::from_millis(12),
    );
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        world.store_is_up.store(false, Ordering::SeqCst);
        world.hosts.iter().for_each(|host| host.link.cut());
        world.record.note("the store is silent");
    }
    thread::sleep(Duration::from_millis(500));
    cold_return(&mut world, 1, Duration::from_millis(1500));
    thread::sleep(Duration::from_millis(2000));
    world.hosts.iter().for_each(|host| host.link.heal());
    world.store_is_up.store(true, Ordering::SeqCst);
    world.record.note("the store answers");
    thread::sleep(Duration::from_secs(2));
    world.finish(folders)
}

/// Processes are killed, and started again after a short delay, while a zone's servers are cold.
pub fn restart(folders: &Folders<'_>, has_trouble: bool) -> ExitCode {
    let mut world = World::start(
        folders,
        10.0,
        &["giza-a", "giza-a"],
        Duration::from_millis(12),
    );
    thread::sleep(Duration::from_secs(2));
    for _ in 0..KILLS {
        cold_return(&mut world, 2, Duration::from_millis(2500));
        thread::sleep(Duration::from_millis(1100));
        if has_trouble {
            world.hosts.iter_mut().take(2).for_each(Host::kill);
            world.record.note("two processes killed");
            thread::sleep(RESTART_DELAY);
            world.hosts.iter_mut().take(2).for_each(Host::start_again);
            world.record.note("two processes started again");
        }
        thread::sleep(WARMUP);
    }
    world.finish(folders)
}
