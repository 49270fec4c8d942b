//! Requests that end each backend server which begins to run them.

mod common;

use common::Act;
use common::Shared;
use common::ask;
use common::backend;
use common::fragile::FATAL;
use common::fragile::Fragile;
use common::fragile::Nature;
use common::front;
use common::get;
use common::header;
use common::introduce;
use common::item;
use common::listener;
use common::run;
use common::serve;
use common::singles;
use common::start;
use common::status;
use lentillift_fleet::quarantine::State;
use lentillift_gateway::listen;
use lentillift_gateway::listen::Audience;
use lentillift_scatter::source::Item;
use std::net::SocketAddr;
use std::time::Duration;

/// How often something that will come about is looked for, and the pause in between.
const LOOKS: usize = 2000;
const PAUSE: Duration = Duration::from_millis(2);

/// Shards of a search; each has a replica in either failure domain.
const SHARDS: usize = 6;

/// Hosts, of both failure domains.
const HOSTS: [(&str, &str); 3] = [("h0", "a"), ("h1", "b"), ("h2", "a")];

/// Sends of a request that had ended three servers which all hosts together may still make.
const MOST_SENDS: usize = 3;

/// Hosts that know each other, and backend servers that some requests end.
struct Fleet {
    servers: Vec<Fragile>,
    hosts: Vec<Shared>,
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
                let server = Fragile::start(Nature::quick(letter)).await;
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

    /// Asks for `path` at a host once all servers are up.
    async fn ask(&mut self, host: usize, path: &str) -> String {
        let is_up = || self.servers.iter().all(Fragile::is_up);
        until("all servers are up", is_up).await;
        self.attempts += 1;
        let id = format!("i{}", self.attempts);
        ask(self.fronts[host], &get(path, &id)).await
    }

    /// Requests that reached servers and end them.
    fn fatal(&self) -> u32 {
        self.servers.iter().map(Fragile::fatal).sum()
    }

    /// Times that servers ended.
    fn ends(&self) -> u32 {
        self.servers.iter().map(Fragile::ends).sum()
    }
}

/// Configuration with these shards.
fn config() -> Item {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    item("config", shards.join(" "))
}

/// Waits until `seen` says yes.
async fn until<F>(what: &str, seen: F)
where
    F: Fn() -> bool,
{
    for _ in 0..LOOKS {
        if seen() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never: {what}");
}

fn ended(host: &Shared) -> u64 {
    let text = host.board.render(host.now());
    let line = text
        .lines()
        .find(|line| line.starts_with("lentillift_gateway_servers_ended_total "));
    line.map_or(0, |line| {
        let count = line.rsplit(' ').next().expect("a value");
        count.parse().expect("a number")
    })
}

/// A server that ended looks like one that lost a reply, and nobody finds the request that ended it.
#[test]
fn an_ended_server_is_told_from_a_lost_reply() {
    run(async {
        let lossy = backend(vec![Act::WriteAndClose(String::new())]).await;
        let served = serve(singles(&[lossy.address])).await;
        ask(served.front, &get("/once/x", "i1")).await;
        assert_eq!(ended(&served.host), 0);
        let fragile = Fragile::start(Nature::quick('a')).await;
        let served = serve(singles(&[fragile.address])).await;
        ask(served.front, &get(&format!("/once/{FATAL}"), "i2")).await;
        assert_eq!(ended(&served.host), 1);
    });
}

/// One search ends every server of every shard, at whichever host it is asked again.
#[test]
fn a_search_that_ends_servers_is_stopped_at_all_hosts() {
    run(async {
        let mut fleet = Fleet::start().await;
        let path = format!("/all/{FATAL}");
        let mut sends = 0;
        for attempt in 0..12 {
            let (before, had_ended) = (fleet.fatal(), fleet.ends());
            fleet.ask(attempt % HOSTS.len(), &path).await;
            let is_sent = fleet.fatal() > before;
            sends += usize::from(is_sent && had_ended >= 3);
        }
        assert!(fleet.hosts.iter().map(ended).sum::<u64>() >= 3);
        assert!(sends <= MOST_SENDS, "sent {sends} times more");
        for host in 0..HOSTS.len() {
            let answer = fleet.ask(host, "/all/x").await;
            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
        }
    });
}

/// The caller of an action comes again after each 502. What it is told has to be true: an action that ended a
/// server may have run, and one that was not sent has not.
#[test]
fn a_fatal_action_is_refused_only_if_it_did_not_run() {
    run(async {
        let mut servers = Vec::new();
        for letter in ['a', 'b', 'c', 'd', 'e'] {
            servers.push(Fragile::start(Nature::quick(letter)).await);
        }
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let served = serve(singles(&addresses)).await;
        let reached = || servers.iter().map(Fragile::fatal).sum::<u32>();
        for attempt in 0..8 {
            let is_up = || servers.iter().all(Fragile::is_up);
            until("all servers are up", is_up).await;
            let before = reached();
            let id = format!("i{attempt}");
            let answer = ask(served.front, &get(&format!("/once/{FATAL}"), &id)).await;
            let expected = if reached() > before { 502 } else { 503 };
            assert_eq!(status(&answer), expected, "{answer}");
        }
        assert_eq!(reached(), 3);
    });
}

/// A host that has just started knows nothing, and the caller comes to it next.
#[test]
fn a_host_that_starts_learns_what_is_quarantined() {
    run(async {
        let mut fleet = Fleet::start().await;
        let path = format!("/all/{FATAL}");
        fleet.ask(0, &path).await;
        let is_known = |host: &Shared| {
            let accounts = host.core.borrow().quarantine.shared_records(1, host.now());
            let states = accounts.iter().map(|account| account.state);
            { states }.any(|state| matches!(state, State::Quarantined { .. }))
        };
        until("quarantined", || is_known(&fleet.hosts[0])).await;
        let late = start("late", "b", vec![config()]).await;
        introduce(&fleet.hosts[0], &late);
        until("the late host knows it", || is_known(&late)).await;
        let answer = ask(front(&late).await, &get(&path, "late")).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
    });
}

/// A search that lacks shards near its host is asked of another host, under whose eyes the servers end. Asked
/// for again directly, the servers of its other failure domain would end as well.
#[test]
fn a_host_that_is_asked_for_shards_tells_what_ended() {
    run(async {
        let mut servers = Vec::new();
        let mut items = vec![config()];
        for shard in 0..SHARDS {
            for domain in ["b", "c"] {
                let server = Fragile::start(Nature::quick('x')).await;
                let value = format!("s{shard} {} {domain}", server.address);
                items.push(item(&format!("b{shard}{domain}"), value));
                servers.push(server);
            }
        }
        let entry = start("entry", "a", items.clone()).await;
        let helper = start("helper", "b", items).await;
        introduce(&helper, &entry);
        let answer = ask(front(&entry).await, &get(&format!("/all/{FATAL}"), "i")).await;
        assert_eq!(status(&answer), 502, "{answer}");
        let ends: u32 = servers.iter().map(Fragile::ends).sum();
        // One replica of each shard, and two canaries.
        assert!(ends <= SHARDS as u32 + 2, "{ends}");
        assert!(ended(&helper) >= 3);
    });
}

async fn operate(address: SocketAddr, method: &str, path: &str) -> String {
    let request = format!("{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    ask(address, &request).await
}

/// Servers have been mended, and the request that ended them is refused until an operator lifts that at one
/// of the hosts.
#[test]
fn operators_see_and_lift_a_quarantine() {
    run(async {
        let mut fleet = Fleet::start().await;
        let path = format!("/all/{FATAL}");
        fleet.ask(0, &path).await;
        let (listener, address) = listener().await;
        let host = fleet.hosts[2].clone();
        tokio::task::spawn_local(listen::plain(host, listener, Audience::Operators));
        let mut list = String::new();
        for _ in 0..LOOKS {
            list = operate(address, "GET", "/quarantine").await;
            if list.contains(" quarantined ends=3 ") {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        let line = list.lines().last().expect("a line");
        let fingerprint = line.split(' ').next().expect("a fingerprint");
        let held = format!("/quarantine/{fingerprint}");
        let other = operate(address, "DELETE", "/quarantine/0123").await;
        assert_eq!(status(&other), 404);
        assert_eq!(status(&fleet.ask(0, &path).await), 503);
        assert_eq!(status(&operate(address, "DELETE", &held).await), 200);
        let is_clear = |host: &Shared| {
            let accounts = host.core.borrow().quarantine.shared_records(1, host.now());
            accounts
                .iter()
                .all(|account| account.state == State::Cleared)
        };
        for host in &fleet.hosts {
            until("lifted", || is_clear(host)).await;
        }
        assert_eq!(status(&fleet.ask(0, &path).await), 502);
    });
}
