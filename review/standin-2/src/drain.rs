//! A case about backend servers that leave: DRAIN.

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
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// `drain_ms` of the settings.
const DRAIN_MS: f64 = 3000.0;

/// `contact_ms` of the settings: a host counts as in touch again this long after its cut.
const CONTACT: Duration = Duration::from_millis(4000);

/// Number of times that a server leaves.
const ROUNDS: usize = 7;

/// The moments of the cuts are spread over the second between two watches by this step a round.
const SPREAD: Duration = Duration::from_millis(150);

/// Time from the cut to the server's leave.
const CUT_AHEAD: Duration = Duration::from_millis(100);

/// Time for which the host stays cut off from the store; the sites have up to 5.5 s.
const CUT: Duration = Duration::from_millis(4000);

/// Time for which a server serves on after its leave: `drain_ms` and a little longer. Then it exits.
const SERVES_ON: Duration = Duration::from_millis(3150);

/// The machines of `ksps-lentil`.
const SIX_HOSTS: [(&str, &str); 6] = [
    ("front-kl-south-a-1", "kl-south-a"),
    ("front-kl-south-a-2", "kl-south-a"),
    ("front-kl-south-b-1", "kl-south-b"),
    ("front-kl-south-b-2", "kl-south-b"),
    ("front-kl-south-c-1", "kl-south-c"),
    ("front-kl-south-c-2", "kl-south-c"),
];

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"r-desk\",\"host\":\"review.example\",\"prefix\":\"/desk/\",\
    \"route_type\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":1,\"service\":\"desk\",\
    \"max_attempts\":2}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":34,\
    \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// A server that left, and which host was cut off meanwhile.
struct Leave {
    backend: String,
    at: f64,
    cut_host: Option<usize>,
}

/// A request that reached a server after `drain_ms`.
#[derive(Debug)]
struct Late {
    id: String,
    /// Time from the server's leave to the arrival, in milliseconds.
    after: f64,
}

/// Servers leave while the host that reads the store for the others is cut off from it.
pub fn late(folders: &Folders<'_>, has_trouble: bool) -> ExitCode {
    let record = Arc::new(Record::default());
    let store = Arc::new(Store::default());
    store.put("op/config", CONFIG);
    let up = Arc::new(AtomicBool::new(true));
    let start = |number: usize, domain: &str| {
        let what = Description {
            id: format!("i-desk-{number}"),
            service: "desk".to_owned(),
            domain: domain.to_owned(),
            slots: 2,
            work: Duration::from_millis(40),
            crashes_above: None,
        };
        Backend::start(what, &store, &up, &record)
    };
    let _stays = start(0, "kl-south-b");
    let mut leaving = start(1, "kl-south-a");
    let hosts = host::start_all(&SIX_HOSTS, &store, &record, folders.temporary);
    let load = Load {
        method: "POST",
        path: "/desk/1",
        interval: Duration::from_millis(66),
        requesters: 8,
        deadline: Duration::from_secs(2),
    };
    let stop = Arc::new(AtomicBool::new(false));
    let requesters = hosts.iter().enumerate();
    let requesters: Vec<_> = requesters
        .flat_map(|(i, host)| requester::start(i, host.front, &load, &record, &stop))
        .collect();
    let mut leaves = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(CONTACT + Duration::from_secs(1));
        let cut_host = has_trouble.then(|| reader(&hosts));
        thread::sleep(SPREAD * round as u32);
        if let Some(index) = cut_host {
            hosts[index].link.cut();
            record.note(format!("host {index} is cut off from the store"));
            thread::sleep(CUT_AHEAD);
        }
        let at = leaving.leave();
        leaves.push(Leave {
            backend: leaving.what.id.clone(),
            at,
            cut_host,
        });
        thread::sleep(SERVES_ON);
        leaving.crash();
        thread::sleep(CUT - CUT_AHEAD - SERVES_ON);
        if let Some(index) = cut_host {
            hosts[index].link.heal();
            record.note(format!("host {index} reaches the store again"));
        }
        leaving = start(round + 2, "kl-south-a");
    }
    stop.store(true, Ordering::SeqCst);
    requesters
        .into_iter()
        .for_each(|requester| drop(requester.join()));
    drop(hosts);
    let late = late_arrivals(&record, &leaves);
    let answered = record.answered.lock().unwrap().clone();
    let is_lost = |late: &&Late| !answered.iter().any(|a| a.id == late.id && a.status == 200);
    let lost = late.iter().filter(is_lost).count();
    record.note(format!("late requests, {lost} of them lost: {late:?}"));
    record.write(&folders.record.join("record.txt"));
    let latest = late.iter().map(|late| late.after).fold(0.0, f64::max);
    println!(
        "requests that reached a server over {DRAIN_MS} ms after its leave: {}, the latest after {latest:.0} ms",
        late.len()
    );
    println!("of these, lost when the server exited: {lost}");
    let served = record
        .answered
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.status == 200)
        .count();
    println!("requests served: {served}");
    match (served, late.is_empty()) {
        (0, _) => ExitCode::from(2),
        (_, true) => ExitCode::from(0),
        (_, false) => ExitCode::from(1),
    }
}

/// The host that reads the store: the one that begins most watches.
fn reader(hosts: &[Host]) -> usize {
    let before: Vec<u64> = hosts.iter().map(|host| host.link.watches()).collect();
    thread::sleep(Duration::from_millis(2500));
    let begun = hosts
        .iter()
        .zip(before)
        .map(|(host, before)| host.link.watches() - before);
    let most = begun.enumerate().max_by_key(|(_, begun)| *begun);
    most.map_or(0, |(index, _)| index)
}

/// The requests that reached a server late and came through a host that was not cut off.
fn late_arrivals(record: &Record, leaves: &[Leave]) -> Vec<Late> {
    let entered: HashMap<String, usize> = record
        .sent
        .lock()
        .unwrap()
        .iter()
        .map(|sent| (sent.id.clone(), sent.host))
        .collect();
    let arrivals = record.arrivals.lock().unwrap();
    let late = arrivals.iter().filter_map(|arrival| {
        let leave = leaves
            .iter()
            .find(|leave| leave.backend == arrival.backend)?;
        let host = *entered.get(&arrival.id)?;
        let after = arrival.at - leave.at;
        let is_late = arrival.ran && after > DRAIN_MS && leave.cut_host != Some(host);
        is_late.then(|| Late {
            id: arrival.id.clone(),
            after,
        })
    });
    late.collect()
}
