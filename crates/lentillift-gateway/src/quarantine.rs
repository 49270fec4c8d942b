//! Telling other hosts of requests under which backend servers ended.
//!
//! What goes wrong without it: a caller's next attempt comes to a host that knows nothing of it, and each host
//! in turn has servers ended. News goes to a few hosts at once, who pass on what is new to them; a
//! host that missed it, or has just started, learns it in an exchange with another one.

pub(crate) mod wire;

use crate::dialect::Dialect;
use crate::frame;
use crate::host::Host;
use crate::metric;
use crate::source::Source;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_fleet::quarantine::SharedRecord;
use lentillift_fleet::quarantine::State;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;
use tracing::info;

/// Path of these requests.
pub const PATH: &str = "/v2/quarantine";

/// Path at which operators read what is held, a request a line.
pub const LIST: &str = "/quarantine";

/// Beginning of the path, before a fingerprint, whose deletion lets a request be sent again.
pub const LIFT: &str = "/quarantine/";

/// Hosts that are told of news at once; passed on by each of them it reaches all of 760 in four steps.
pub const FANOUT: usize = 8;

/// Time for which news gathers. Most doubts are over within it.
const GATHER: Duration = Duration::from_millis(5);

/// Time between two exchanges with another host until the first one has succeeded, and while anything held is
/// younger than [`RECENT`]: hosts that missed the news have to know soon.
pub const SHORT_PERIOD: Duration = Duration::from_millis(250);

/// Time between two exchanges while only older things are held.
pub const LONG_PERIOD: Duration = Duration::from_secs(2);

/// Age up to which hosts may not have heard of something yet.
pub const RECENT: Duration = Duration::from_secs(15);

/// Longest time of an exchange.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Requests that are told of in one message.
const MOST: usize = 64;

/// Largest message, in bytes.
const MOST_BYTES: usize = 64 * 1024;

/// Tells and asks other hosts until the process is over.
pub async fn spread<D, S>(host: Rc<Host<D, S>>)
where
    D: Dialect,
    S: Source,
{
    let mut has_joined = false;
    loop {
        let latest = host.core.borrow().quarantine.shared_records(1, host.now());
        let period = period(&latest, has_joined);
        tokio::select! {
            () = host.quarantine_changed.notified() => push(&host).await,
            () = tokio::time::sleep(period) => has_joined |= exchange(&host, has_joined).await,
        }
    }
}

/// Time until the next exchange, by the latest of what is held.
pub fn period(latest: &[SharedRecord], has_joined: bool) -> Duration {
    let is_recent = latest.iter().any(|account| account.age < RECENT);
    match is_recent || !has_joined {
        true => SHORT_PERIOD,
        false => LONG_PERIOD,
    }
}

/// Tells some hosts what is new.
async fn push<D, S>(host: &Rc<Host<D, S>>)
where
    D: Dialect,
    S: Source,
{
    tokio::time::sleep(GATHER).await;
    let mut news = host.core.borrow_mut().quarantine.take_updates(host.now());
    news.iter().for_each(|account| tell(host, account));
    // What is decided goes first.
    news.sort_by_key(|account| account.state == State::Suspect);
    for accounts in news.chunks(MOST) {
        for peer in peers(host, FANOUT) {
            tokio::task::spawn_local(send(host.clone(), peer, accounts.to_vec()));
        }
    }
}

/// Exchanges with another host what it may not have heard of; says whether that succeeded.
async fn exchange<D, S>(host: &Rc<Host<D, S>>, has_joined: bool) -> bool
where
    D: Dialect,
    S: Source,
{
    let held = host
        .core
        .borrow()
        .quarantine
        .shared_records(MOST, host.now());
    if has_joined && held.is_empty() {
        return true;
    }
    let accounts = match has_joined {
        true => worth_telling(held),
        false => Vec::new(),
    };
    match peers(host, 1).first() {
        Some(peer) => send(host.clone(), *peer, accounts).await,
        None => false,
    }
}

/// Some other hosts that answer.
fn peers<D, S>(host: &Host<D, S>, count: usize) -> Vec<SocketAddr> {
    let swim = host.swim.borrow();
    let addresses = swim.answering().map(|member| member.address);
    addresses.choose_multiple(&mut rand::rng(), count)
}

/// Tells a host, and hears what it holds; says whether it answered.
async fn send<D, S>(host: Rc<Host<D, S>>, peer: SocketAddr, accounts: Vec<SharedRecord>) -> bool
where
    D: Dialect,
    S: Source,
{
    let answered = tokio::time::timeout(TIMEOUT, call(&host, peer, &accounts)).await;
    let failed = match answered {
        Ok(Ok(answer)) => {
            hear(&host, &peer.to_string(), &answer.accounts);
            return true;
        }
        Ok(Err(error)) => error,
        Err(_) => {
            host.peers.drop_connection(peer);
            Error::new(Step::Read, peer, "no answer in time")
        }
    };
    // The next exchange makes up for it.
    debug!(event = "quarantine", error = %failed, "not told");
    false
}

async fn call<D, S>(
    host: &Host<D, S>,
    peer: SocketAddr,
    accounts: &[SharedRecord],
) -> Result<wire::Message>
where
    D: Dialect,
    S: Source,
{
    let body = frame::encode(&wire::Message::from(accounts), &peer.to_string())?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://host/v2/quarantine");
    let response = host.peers.send(peer, request).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::new(Step::Read, peer, response.status()));
    }
    let body = Limited::new(response.into_body(), MOST_BYTES);
    let body = body.collect().await;
    let body = body.map_err(|e| Error::new(Step::Read, peer, e))?;
    frame::decode(&body.to_bytes(), &peer.to_string())
}

/// What is young, if anything is; the rest has reached nearly all hosts and is told in calm times.
pub fn worth_telling(mut held: Vec<SharedRecord>) -> Vec<SharedRecord> {
    if held.iter().any(|account| account.age < RECENT) {
        held.retain(|account| account.age < RECENT);
    }
    held
}

/// Hears another host, and answers with what is held here: all of it to a host that tells nothing, since it has
/// just started.
///
/// # Errors
///
/// When the message is malformed.
pub fn answer<D, S>(host: &Host<D, S>, body: &[u8]) -> Result<Bytes>
where
    D: Dialect,
    S: Source,
{
    let message: wire::Message = frame::decode(body, "host")?;
    let held = host
        .core
        .borrow()
        .quarantine
        .shared_records(MOST, host.now());
    hear(host, "host", &message.accounts);
    let told = match message.accounts.is_empty() {
        true => held,
        false => worth_telling(held),
    };
    frame::encode(&wire::Message::from(told.as_slice()), "host")
}

/// Takes in what another host holds; what is new is passed on.
pub(crate) fn hear<D, S>(host: &Host<D, S>, from: &str, accounts: &[wire::Account]) {
    let accounts: Vec<SharedRecord> = accounts.iter().map(SharedRecord::from).collect();
    let now = host.clock.now();
    let new = host.core.borrow_mut().hear(&accounts, now);
    if new > 0 {
        debug!(event = "quarantine", from, new, "heard");
        host.quarantine_changed.notify_one();
    }
}

fn name(state: State) -> &'static str {
    match state {
        State::Suspect => "suspect",
        State::Quarantined { .. } => "quarantined",
        State::Cleared => "cleared",
    }
}

/// Time until a canary may be sent for a request that is quarantined.
fn left(state: State) -> Option<Duration> {
    match state {
        State::Quarantined { left, .. } => left,
        _ => None,
    }
}

/// What is held, for operators: `FINGERPRINT STATE ends=N age_s=N left_s=N` a request, the latest first.
/// A quarantine without `left_s` stays until it is lifted.
pub fn list<D, S>(host: &Host<D, S>) -> String {
    let accounts = host
        .core
        .borrow()
        .quarantine
        .shared_records(usize::MAX, host.clock.now());
    let lines = accounts.iter().map(|account| {
        let left = left(account.state).map(|left| format!(" left_s={}", left.as_secs()));
        format!(
            "{} {} ends={} age_s={}{}\n",
            account.fingerprint,
            name(account.state),
            account.ends.len(),
            account.age.as_secs(),
            left.unwrap_or_default(),
        )
    });
    lines.collect()
}

/// Lets a request be sent again at all hosts; says whether it was held.
pub fn lift<D, S>(host: &Host<D, S>, fingerprint: &str) -> bool {
    let now = host.clock.now();
    let mut core = host.core.borrow_mut();
    let held = core.quarantine.shared_records(usize::MAX, now);
    let mut named = held.iter().map(|account| account.fingerprint);
    let named = named.find(|known| known.to_string() == fingerprint);
    let is_lifted = named.is_some_and(|known| core.quarantine.lift(known, now));
    if is_lifted {
        info!(event = "quarantine", fingerprint, "lifted by an operator");
        host.quarantine_changed.notify_one();
    }
    is_lifted
}

/// Logs what is decided of a request.
fn tell<D, S>(host: &Host<D, S>, account: &SharedRecord) {
    let state = name(account.state);
    host.board.count(metric::QUARANTINE, state);
    info!(
        event = "quarantine",
        fingerprint = %account.fingerprint,
        state,
        ends = account.ends.len(),
        age_ms = account.age.as_millis() as u64,
        left_ms = left(account.state).map(|left| left.as_millis() as u64),
        "changed"
    );
}
