//! Gossip of quarantine records: which requests backend servers ended under.
//!
//! Without it, a caller's next attempt may reach a host that does not know the request, and the
//! request would crash servers of one host after another. A change is pushed to a few hosts at
//! once, which forward what is new to them. A host that missed it, or has just started, learns it
//! in a periodic exchange with another host.

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

/// Path of requests between hosts.
pub const PATH: &str = "/v2/quarantine";

/// Path at which operators list the records, one request per line.
pub const LIST: &str = "/quarantine";

/// Path prefix, followed by a fingerprint; `DELETE` on it lifts the quarantine of that request.
pub const LIFT: &str = "/quarantine/";

/// Number of hosts to which a change is pushed. With each of them forwarding it, it reaches all of
/// 760 hosts in four steps.
pub const FANOUT: usize = 8;

/// Time for which changes are collected before they are pushed. Most suspicions are resolved within
/// it.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Interval between exchanges with another host until the first one has succeeded, and while any
/// record is younger than [`RECENT`]: hosts that missed a change have to learn it soon.
pub const SHORT_PERIOD: Duration = Duration::from_millis(250);

/// Interval between exchanges while all records are older than [`RECENT`].
pub const LONG_PERIOD: Duration = Duration::from_secs(2);

/// Age below which a record may not have reached all hosts yet.
pub const RECENT: Duration = Duration::from_secs(15);

/// Timeout of an exchange.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of records in one message.
const MAX_RECORDS: usize = 64;

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Pushes changes and exchanges records with other hosts until the process ends.
pub async fn gossip<D, S>(host: Rc<Host<D, S>>)
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

/// Interval until the next exchange, given the latest record.
pub fn period(latest: &[SharedRecord], has_joined: bool) -> Duration {
    let is_recent = latest.iter().any(|record| record.age < RECENT);
    match is_recent || !has_joined {
        true => SHORT_PERIOD,
        false => LONG_PERIOD,
    }
}

/// Pushes changed records to some other hosts.
async fn push<D, S>(host: &Rc<Host<D, S>>)
where
    D: Dialect,
    S: Source,
{
    tokio::time::sleep(BATCH_DELAY).await;
    let mut changed = host.core.borrow_mut().quarantine.take_updates(host.now());
    changed.iter().for_each(|record| log_state(host, record));
    // Decided records go first, suspects last.
    changed.sort_by_key(|record| record.state == State::Suspect);
    for records in changed.chunks(MAX_RECORDS) {
        for peer in peers(host, FANOUT) {
            tokio::task::spawn_local(send(host.clone(), peer, records.to_vec()));
        }
    }
}

/// Exchanges records with another host; returns whether that succeeded. Until the first success it
/// sends none, which requests all records of the other host.
async fn exchange<D, S>(host: &Rc<Host<D, S>>, has_joined: bool) -> bool
where
    D: Dialect,
    S: Source,
{
    let held = host
        .core
        .borrow()
        .quarantine
        .shared_records(MAX_RECORDS, host.now());
    if has_joined && held.is_empty() {
        return true;
    }
    let records = match has_joined {
        true => records_to_send(held),
        false => Vec::new(),
    };
    match peers(host, 1).first() {
        Some(peer) => send(host.clone(), *peer, records).await,
        None => false,
    }
}

/// Chooses some other hosts that respond, at random.
fn peers<D, S>(host: &Host<D, S>, count: usize) -> Vec<SocketAddr> {
    let swim = host.swim.borrow();
    let addresses = swim.answering().map(|member| member.address);
    addresses.choose_multiple(&mut rand::rng(), count)
}

/// Sends records to a host and merges those that it returns; returns whether it answered.
async fn send<D, S>(host: Rc<Host<D, S>>, peer: SocketAddr, records: Vec<SharedRecord>) -> bool
where
    D: Dialect,
    S: Source,
{
    let response = tokio::time::timeout(TIMEOUT, call(&host, peer, &records)).await;
    let error = match response {
        Ok(Ok(answer)) => {
            merge_records(&host, &peer.to_string(), &answer.records);
            return true;
        }
        Ok(Err(error)) => error,
        Err(_) => {
            host.peers.drop_connection(peer);
            Error::new(Step::Read, peer, "no answer in time")
        }
    };
    // A later exchange repairs the loss.
    debug!(event = "quarantine", %error, "quarantine records not exchanged");
    false
}

async fn call<D, S>(
    host: &Host<D, S>,
    peer: SocketAddr,
    records: &[SharedRecord],
) -> Result<wire::Message>
where
    D: Dialect,
    S: Source,
{
    let body = frame::encode(&wire::Message::from(records), &peer.to_string())?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://host/v2/quarantine");
    let response = host.peers.send(peer, request).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::new(Step::Read, peer, response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES);
    let body = body.collect().await;
    let body = body.map_err(|e| Error::new(Step::Read, peer, e))?;
    frame::decode(&body.to_bytes(), &peer.to_string())
}

/// Selects the recent records, or all records if none is recent. Older ones have reached nearly
/// all hosts and are sent only while nothing is recent.
pub fn records_to_send(mut held: Vec<SharedRecord>) -> Vec<SharedRecord> {
    if held.iter().any(|record| record.age < RECENT) {
        held.retain(|record| record.age < RECENT);
    }
    held
}

/// Merges the records of another host, and answers with those of this one: all of them to a host
/// that sends none, since it has just started.
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
        .shared_records(MAX_RECORDS, host.now());
    merge_records(host, "host", &message.records);
    let reply = match message.records.is_empty() {
        true => held,
        false => records_to_send(held),
    };
    frame::encode(&wire::Message::from(reply.as_slice()), "host")
}

/// Merges records of another host; what is new is forwarded.
pub(crate) fn merge_records<D, S>(host: &Host<D, S>, from: &str, records: &[wire::SharedRecord]) {
    let records: Vec<SharedRecord> = records.iter().map(SharedRecord::from).collect();
    let now = host.clock.now();
    let new = host.core.borrow_mut().merge_quarantine(&records, now);
    if new > 0 {
        debug!(event = "quarantine", from, new, "heard");
        host.quarantine_changed.notify_one();
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Suspect => "suspect",
        State::Quarantined { .. } => "quarantined",
        State::Cleared => "cleared",
    }
}

/// Time until a canary may be sent for a quarantined request; none if it is not quarantined or
/// stays so until it is lifted.
fn time_to_canary(state: State) -> Option<Duration> {
    match state {
        State::Quarantined { left, .. } => left,
        _ => None,
    }
}

/// Renders the records for operators, the latest first, a line each: `FINGERPRINT STATE ends=N
/// age_s=N left_s=N`. A quarantine without `left_s` lasts until it is lifted.
pub fn list<D, S>(host: &Host<D, S>) -> String {
    let records = host
        .core
        .borrow()
        .quarantine
        .shared_records(usize::MAX, host.clock.now());
    let lines = records.iter().map(|record| {
        let left = time_to_canary(record.state).map(|left| format!(" left_s={}", left.as_secs()));
        format!(
            "{} {} ends={} age_s={}{}\n",
            record.fingerprint,
            state_name(record.state),
            record.ends.len(),
            record.age.as_secs(),
            left.unwrap_or_default(),
        )
    });
    lines.collect()
}

/// Lifts a request's quarantine on all hosts; returns whether a record was lifted.
pub fn lift<D, S>(host: &Host<D, S>, fingerprint: &str) -> bool {
    let now = host.clock.now();
    let mut core = host.core.borrow_mut();
    let held = core.quarantine.shared_records(usize::MAX, now);
    let mut fingerprints = held.iter().map(|record| record.fingerprint);
    let found = fingerprints.find(|known| known.to_string() == fingerprint);
    let is_lifted = found.is_some_and(|known| core.quarantine.lift(known, now));
    if is_lifted {
        info!(
            event = "quarantine",
            fingerprint, "quarantine lifted by an operator"
        );
        host.quarantine_changed.notify_one();
    }
    is_lifted
}

/// Logs and counts a change of a record.
fn log_state<D, S>(host: &Host<D, S>, record: &SharedRecord) {
    let state = state_name(record.state);
    host.metrics.count(metric::QUARANTINE_CHANGES, state);
    info!(
        event = "quarantine",
        fingerprint = %record.fingerprint,
        state,
        ends = record.ends.len(),
        age_ms = record.age.as_millis() as u64,
        left_ms = time_to_canary(record.state).map(|left| left.as_millis() as u64),
        "changed"
    );
}
