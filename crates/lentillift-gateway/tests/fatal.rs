//! Requests that crash each backend server which starts to run them.

mod common;

use common::Reaction;
use common::SharedHost;
use common::backend;
use common::crashing::Behavior;
use common::crashing::CrashingServer;
use common::crashing::FATAL;
use common::front;
use common::get;
use common::header;
use common::introduce;
use common::item;
use common::listener;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::start;
use common::status;
use lentillift_fleet::quarantine::State;
use lentillift_gateway::listen;
use lentillift_gateway::listen::Audience;
use lentillift_scatter::source::Item;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of polls for an expected condition, and the pause between them.
const POLLS: usize = 2000;
const PAUSE: Duration = Duration::from_millis(2);

/// Shards of a search; each has a replica in both failure domains.
const SHARDS: usize = 6;

/// Names and failure domains of the hosts.
const HOSTS: [(&str, &str); 3] = [("h0", "a"), ("h1", "b"), ("h2", "a")];

/// Sends of a request that all hosts together may still make after it crashed three servers.
const MAX_SENDS: usize = 3;

/// Hosts that know each other, and backend servers that crash on certain requests.
struct Fleet {
    servers: Vec<CrashingServer>,
    hosts: Vec<SharedHost>,
    fronts: Vec<SocketAddr>,
    attempts: usize,
}

impl Fleet {
    async fn start() -> Self {
        let mut servers = Vec::new();
        let mut items = vec![config()];
        for shard in 0..SHARDS {
            for domain in ["a", "b"] {
                let letter = char::from(b'a' + shard as u8);
                let server = CrashingServer::start(Behavior::quick(letter)).await;
                let value = format!("s{shard} {} {domain}", server.address);
                items.push(item(&format!("b{shard}{domain}"), value));
                servers.push(server);
            }
        }
        let mut hosts = Vec::new();
        let mut fronts = Vec::new();
        for (name, domain) in HOSTS {
            let host = start(name, domain, items.clone()).await;
            fronts.push(front(&host).await);
            hosts.push(host);
        }
        for (from, to) in (0..HOSTS.len()).flat_map(|a| (0..HOSTS.len()).map(move |b| (a, b))) {
            if from != to {
                introduce(&hosts[from], &hosts[to]);
            }
        }
        Self {
            servers,
            hosts,
            fronts,
            attempts: 0,
        }
    }

    /// Requests `path` from a host once all servers are up.
    async fn send_request(&mut self, host: usize, path: &str) -> String {
        let is_up = || self.servers.iter().all(CrashingServer::is_up);
        wait_until("all servers are up", is_up).await;
        self.attempts += 1;
        let id = format!("i{}", self.attempts);
        send_request(self.fronts[host], &get(path, &id)).await
    }

    /// Number of fatal requests that reached servers.
    fn fatal(&self) -> u32 {
        self.servers.iter().map(CrashingServer::fatal).sum()
    }

    /// Number of server crashes.
    fn crashes(&self) -> u32 {
        self.servers.iter().map(CrashingServer::crashes).sum()
    }
}

/// Configuration with [`SHARDS`] shards.
fn config() -> Item {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    item("config", shards.join(" "))
}

/// Waits until `condition` holds.
async fn wait_until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    for _ in 0..POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never happened: {what}");
}

fn servers_ended(host: &SharedHost) -> u64 {
    let text = host.metrics.render(host.now());
    let line = text
        .lines()
        .find(|line| line.starts_with("lentillift_gateway_servers_ended_total "));
    line.map_or(0, |line| {
        let count = line.rsplit(' ').next().expect("a value");
        count.parse().expect("a number")
    })
}

/// A crashed server looks like one whose reply was lost, so the request that crashed it goes
/// undetected.
#[test]
fn a_crashed_server_is_distinguished_from_a_lost_reply() {
    run(async {
        let lossy = backend(vec![Reaction::WriteAndClose(String::new())]).await;
        let served = serve(single_service(&[lossy.address])).await;
        send_request(served.front, &get("/once/x", "i1")).await;
        assert_eq!(servers_ended(&served.host), 0);
        let server = CrashingServer::start(Behavior::quick('a')).await;
        let served = serve(single_service(&[server.address])).await;
        send_request(served.front, &get(&format!("/once/{FATAL}"), "i2")).await;
        assert_eq!(servers_ended(&served.host), 1);
    });
}

/// One search crashes every server of every shard, whichever host its caller retries at.
#[test]
fn a_search_that_crashes_servers_is_stopped_at_all_hosts() {
    run(async {
        let mut fleet = Fleet::start().await;
        let path = format!("/all/{FATAL}");
        let mut sends = 0;
        for attempt in 0..12 {
            let (before, crashes_before) = (fleet.fatal(), fleet.crashes());
            fleet.send_request(attempt % HOSTS.len(), &path).await;
            let is_sent = fleet.fatal() > before;
            sends += usize::from(is_sent && crashes_before >= 3);
        }
        assert!(fleet.hosts.iter().map(servers_ended).sum::<u64>() >= 3);
        assert!(sends <= MAX_SENDS, "sent {sends} times more");
        for host in 0..HOSTS.len() {
            let answer = fleet.send_request(host, "/all/x").await;
            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        }
    });
}

/// The caller of an action retries after each 502. The status must be correct: an action that
/// crashed a server may have run, and one that was not sent has not.
#[test]
fn a_fatal_action_is_refused_only_if_it_did_not_run() {
    run(async {
        let mut servers = Vec::new();
        for letter in ['a', 'b', 'c', 'd', 'e'] {
            servers.push(CrashingServer::start(Behavior::quick(letter)).await);
        }
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let served = serve(single_service(&addresses)).await;
        let reached = || servers.iter().map(CrashingServer::fatal).sum::<u32>();
        for attempt in 0..8 {
            let is_up = || servers.iter().all(CrashingServer::is_up);
            wait_until("all servers are up", is_up).await;
            let before = reached();
            let id = format!("i{attempt}");
            let answer = send_request(served.front, &get(&format!("/once/{FATAL}"), &id)).await;
            let expected = if reached() > before { 502 } else { 503 };
            assert_eq!(status(&answer), expected, "{answer}");
        }
        assert_eq!(reached(), 3);
    });
}

/// A host that has just started has no records, and receives the caller's next attempt.
#[test]
fn a_starting_host_learns_quarantined_requests() {
    run(async {
        let mut fleet = Fleet::start().await;
        let path = format!("/all/{FATAL}");
        fleet.send_request(0, &path).await;
        let is_known = |host: &SharedHost| {
            let records = host.core.borrow().quarantine.shared_records(1, host.now());
            let states = records.iter().map(|record| record.state);
            { states }.any(|state| matches!(state, State::Quarantined { .. }))
        };
        wait_until("quarantined", || is_known(&fleet.hosts[0])).await;
        let late = start("late", "b", vec![config()]).await;
        introduce(&fleet.hosts[0], &late);
        wait_until("the late host knows it", || is_known(&late)).await;
        let answer = send_request(front(&late).await, &get(&path, "late")).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
    });
}

/// A search whose shards are not near its host is delegated to another host, which sees the servers
/// crash. If the first host retried directly, the servers of the other failure domain would crash
/// as well.
#[test]
fn a_host_that_serves_shards_reports_crashes() {
    run(async {
        let mut servers = Vec::new();
        let mut items = vec![config()];
        for shard in 0..SHARDS {
            for domain in ["b", "c"] {
                let server = CrashingServer::start(Behavior::quick('x')).await;
                let value = format!("s{shard} {} {domain}", server.address);
                items.push(item(&format!("b{shard}{domain}"), value));
                servers.push(server);
            }
        }
        let entry = start("entry", "a", items.clone()).await;
        let helper = start("helper", "b", items).await;
        introduce(&helper, &entry);
        let answer = send_request(front(&entry).await, &get(&format!("/all/{FATAL}"), "i")).await;
        assert_eq!(status(&answer), 502, "{answer}");
        let crashes: u32 = servers.iter().map(CrashingServer::crashes).sum();
        // One replica of each shard, and two canaries.
        assert!(crashes <= SHARDS as u32 + 2, "{crashes}");
        assert!(servers_ended(&helper) >= 3);
    });
}

async fn operator_request(address: SocketAddr, method: &str, path: &str) -> String {
    let request = format!("{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    send_request(address, &request).await
}

/// The servers have been fixed, but the request that crashed them is refused until an operator
/// lifts its quarantine at one of the hosts.
#[test]
fn operators_list_and_lift_quarantines() {
    run(async {
        let mut fleet = Fleet::start().await;
        let path = format!("/all/{FATAL}");
        fleet.send_request(0, &path).await;
        let (listener, address) = listener().await;
        let host = fleet.hosts[2].clone();
        tokio::task::spawn_local(listen::serve_operations(
            host,
            listener,
            Audience::Operators,
        ));
        let mut list = String::new();
        for _ in 0..POLLS {
            list = operator_request(address, "GET", "/quarantine").await;
            if list.contains(" quarantined ends=3 ") {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        let line = list.lines().last().expect("a line");
        let fingerprint = line.split(' ').next().expect("a fingerprint");
        let held = format!("/quarantine/{fingerprint}");
        let other = operator_request(address, "DELETE", "/quarantine/0123").await;
        assert_eq!(status(&other), 404);
        assert_eq!(status(&fleet.send_request(0, &path).await), 503);
        assert_eq!(
            status(&operator_request(address, "DELETE", &held).await),
            200
        );
        let is_clear = |host: &SharedHost| {
            let records = host.core.borrow().quarantine.shared_records(1, host.now());
            records.iter().all(|record| record.state == State::Cleared)
        };
        for host in &fleet.hosts {
            wait_until("lifted", || is_clear(host)).await;
        }
        assert_eq!(status(&fleet.send_request(0, &path).await), 502);
    });
}
