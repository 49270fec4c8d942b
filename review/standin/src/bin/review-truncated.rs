//! Case 3: a host that is one configuration behind merges another host's shards with the number of
//! records of an older route, and the answer lacks records that its parts have.

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
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Length of a record, in bytes.
const RECORD_BYTES: usize = 16;

/// Records of each shard.
const RECORDS: usize = 12;

/// Zone of the host that the caller asks, and of half of the shards.
const NEAR: &str = "zone-c";

/// Zone of the other hosts, and of the other half of the shards.
const FAR: &str = "zone-b";

/// Shards in each of the two zones.
const SHARDS_PER_ZONE: usize = 4;

/// Records in an answer of the route that exists from the beginning.
const OLD_TOP: usize = 3;

/// Records in an answer of the route that the second configuration adds.
const NEW_TOP: usize = 10;

/// Callers with a connection each.
const CALLERS: u64 = 4;

/// Time between two requests of a caller.
const INTERVAL: Duration = Duration::from_millis(40);

/// Time from the confirmation of the second configuration to the first request on its route. A host
/// without a disruption has the configuration after a few milliseconds.
const PUBLISHED_FOR: Duration = Duration::from_millis(150);

/// How long a host stands still, as in the list of disruptions of the site file.
const FREEZE: Duration = Duration::from_secs(4);

/// Traffic after the second configuration.
const TRAFFIC: Duration = Duration::from_secs(6);

/// Records of each shard, by the name of its service.
type Shards = Arc<BTreeMap<String, Vec<u8>>>;

/// Serves one backend server of a shard: each answer has all records of the shard.
fn serve(mut connection: Connection, id: &str, service: &str, records: &[u8]) {
    while let Ok(Some(request)) = connection.read() {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let answer = match request.header("x-target-instance") == Some(id) {
            true => Message::new("HTTP/1.1 200 OK", records)
                .with("x-attempt-id", attempt)
                .with("x-server-stamp", format!("{service}.{id}.{attempt}"))
                .with("x-server-load", "1,0,2"),
            false => {
                Message::new("HTTP/1.1 421 Misdirected Request", "").with("x-attempt-id", attempt)
            }
        };
        std::thread::sleep(Duration::from_millis(3));
        if connection.write(&answer).is_err() {
            return;
        }
    }
}

/// The greatest records of these services, falling.
fn greatest(shards: &Shards, services: &BTreeSet<&str>, top: usize) -> Vec<u8> {
    let records = services.iter().filter_map(|service| shards.get(*service));
    let mut records: Vec<&[u8]> = records.flat_map(|r| r.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}

/// What is wrong with a success; nothing if it is right by any configuration, old or new.
fn fault(shards: &Shards, id: &str, tops: &[usize], answer: &Message) -> Option<String> {
    let stamps = answer.header("x-shard-stamps").unwrap_or_default();
    let stamps: Vec<&str> = stamps.split(',').map(str::trim).collect();
    let mut services = BTreeSet::new();
    for stamp in &stamps {
        let mut parts = stamp.split('.');
        let (service, _, attempt) = (parts.next()?, parts.next(), parts.next());
        if attempt != Some(id) || !shards.contains_key(service) || !services.insert(service) {
            return Some(format!("stamp {stamp} is no part of it"));
        }
    }
    let missing = answer.header("x-shards-missing").unwrap_or("0");
    if missing.parse() != Ok(shards.len() - services.len()) {
        return Some(format!("{missing} missing beside {} parts", services.len()));
    }
    let is_right = |top: &usize| answer.body == greatest(shards, &services, *top);
    if tops.iter().any(is_right) {
        return None;
    }
    let got: BTreeSet<&[u8]> = answer.body.chunks_exact(RECORD_BYTES).collect();
    let expected = greatest(shards, &services, got.len());
    let lacking = expected
        .chunks_exact(RECORD_BYTES)
        .filter(|r| !got.contains(r));
    Some(format!(
        "{} records, and {} of the greatest {} of its {} parts are not among them",
        got.len(),
        lacking.count(),
        got.len(),
        services.len()
    ))
}

/// Sends searches of all callers to `path` until `until`; returns the number of successes and of
/// wrong ones.
fn search(
    front: SocketAddr,
    path: &'static str,
    tops: &'static [usize],
    until: Instant,
    shards: &Shards,
    record: &Record,
) -> std::io::Result<(usize, usize)> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (shards, record) = (shards.clone(), record.clone());
            let random = Random::new(100 * path.len() as u64 + number);
            std::thread::spawn(move || {
                search_one(front, path, tops, until, &shards, &record, random)
            })
        })
        .collect();
    let mut sum = (0, 0);
    for caller in callers {
        let result = caller
            .join()
            .map_err(|_| std::io::Error::other("a caller failed"))?;
        let (good, wrong) = result?;
        sum = (sum.0 + good, sum.1 + wrong);
    }
    Ok(sum)
}

/// Sends searches of one caller.
fn search_one(
    front: SocketAddr,
    path: &str,
    tops: &[usize],
    until: Instant,
    shards: &Shards,
    record: &Record,
    mut random: Random,
) -> std::io::Result<(usize, usize)> {
    let (mut good, mut wrong) = (0, 0);
    let mut connection = Connection::open(front, Duration::from_secs(5))?;
    while Instant::now() < until {
        let id = format!("{:016x}", random.number());
        let request = Message::new(format!("GET {path} HTTP/1.1"), "")
            .with("host", "find.example")
            .with("x-attempt-id", &id)
            .with("x-deadline-ms", 1000);
        record.add(format_args!("caller sends {id} {path}"));
        let answer = connection.exchange(&request)?;
        let missing = answer.header("x-shards-missing").unwrap_or("no").to_owned();
        record.add(format_args!(
            "caller gets {} for {id}, {missing} missing",
            answer.status()
        ));
        if answer.status() == 200 {
            good += 1;
            if let Some(fault) = fault(shards, &id, tops, &answer) {
                wrong += 1;
                record.add(format_args!("MIXED: {id}: {fault}"));
            }
        }
        std::thread::sleep(INTERVAL);
    }
    Ok((good, wrong))
}

fn route(name: &str, prefix: &str, top: usize, services: &[&str]) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"find.example\",\"prefix\":\"{prefix}\",\
         \"route_type\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":100,\
         \"priority\":1,\"fanout_services\":[\"{}\"],\"max_attempts\":2,\"top_k\":{top},\
         \"min_shard_ratio\":0.75}}",
        services.join("\",\"")
    )
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
    let mut random = Random::new(3);
    let names: Vec<String> = (0..2 * SHARDS_PER_ZONE)
        .map(|n| format!("shard-{n}"))
        .collect();
    let shards: Shards = Arc::new(
        names
            .iter()
            .map(|name| {
                let numbers = (0..RECORDS * RECORD_BYTES / 8).map(|_| random.number());
                (name.clone(), numbers.flat_map(u64::to_be_bytes).collect())
            })
            .collect(),
    );
    for (number, name) in names.iter().enumerate() {
        for replica in 0..2 {
            let id = format!("i-{number}-{replica}");
            let zone = if number < SHARDS_PER_ZONE { NEAR } else { FAR };
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let entry = store::entry(name, listener.local_addr()?, zone, 2);
            store.put(&format!("servers/{id}"), &entry);
            let (shards, name) = (shards.clone(), name.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (shards, name, id) = (shards.clone(), name.clone(), id.clone());
                    std::thread::spawn(move || {
                        serve(Connection::new(stream), &id, &name, &shards[&name]);
                    });
                }
            });
        }
    }
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let old = route("r-old", "/find/", OLD_TOP, &services);
    let new = route("r-new", "/find/full/", NEW_TOP, &services);
    store.put(
        "op/config",
        &store::config(1, std::slice::from_ref(&old), &services),
    );

    let Some(ports) = Ports::choose(3) else {
        return Err(std::io::Error::other("no free ports"));
    };
    // The names decide which host each one gets published values from: the first reads the store,
    // the second follows it, and the third follows the second.
    let start =
        |number, name, zone| Daemon::start(number, name, zone, ports, store.address, &folder.0);
    let mut asked = start(1, "front-zone-c-2", NEAR)?;
    let mut relay = start(2, "front-zone-b-2", FAR)?;
    let mut behind = start(3, "front-zone-b-3", FAR)?;
    if ![&asked, &relay, &behind]
        .into_iter()
        .all(Daemon::wait_until_ready)
    {
        return Err(std::io::Error::other("a daemon is not ready"));
    }
    let until = Instant::now() + Duration::from_secs(8);
    let calm = search(asked.front, "/find/x", &[OLD_TOP], until, &shards, &record)?;

    if has_trouble() {
        record.add("front-zone-b-2 stands still");
        if !relay.signal("STOP") {
            return Err(std::io::Error::other("signal not sent"));
        }
    }
    let frozen_at = Instant::now();
    store.put("op/config", &store::config(2, &[old, new], &services));
    record.add("configuration 2 confirmed");
    std::thread::sleep(PUBLISHED_FOR);
    let full = |until| {
        let tops = &[OLD_TOP, NEW_TOP];
        search(asked.front, "/find/full/x", tops, until, &shards, &record)
    };
    let during = full(frozen_at + FREEZE)?;
    if has_trouble() {
        record.add("front-zone-b-2 wakes");
        relay.signal("CONT");
    }
    let after = full(frozen_at + TRAFFIC)?;
    let ended = [&mut asked, &mut relay, &mut behind]
        .into_iter()
        .filter_map(|daemon| daemon.has_ended().then_some(()))
        .count();
    let follows = behind.log().contains("front-zone-b-2");
    drop([asked, relay, behind]);

    let wrong = calm.1 + during.1 + after.1;
    let summary = [
        format!("trouble: {}", has_trouble()),
        format!("successes on the old route: {}, wrong: {}", calm.0, calm.1),
        format!(
            "successes on the new route during the freeze: {}, wrong: {}",
            during.0, during.1
        ),
        format!(
            "successes on the new route after it: {}, wrong: {}",
            after.0, after.1
        ),
        format!("daemons that ended by themselves: {ended}"),
        format!("rule broken: {wrong} times"),
    ];
    summary.iter().for_each(|line| println!("{line}"));
    record.write(&target, &summary)?;
    if calm.0 < 20 || during.0 + after.0 < 20 || ended > 0 || !follows {
        return Ok(2);
    }
    Ok(u8::from(wrong > 0))
}
