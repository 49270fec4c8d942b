//! Follows published state, from the configuration service or from another host, and forwards it.

mod freshness;
pub mod serve;
mod service;

use crate::dialect::Dialect;
use crate::feed_wire::Frame;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::metric;
use crate::source::Source;
use freshness::FreshnessCheck;
use http::Request;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_fleet::follow::search;
use lentillift_fleet::follow::search::Next;
use lentillift_fleet::follow::search::Search;
use lentillift_scatter::switch::Mechanism;
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;
use tracing::warn;

/// Path prefix of feed requests, followed by the revision that the follower has.
pub const PATH: &str = "/v3/feed/";

/// Time that a starting process waits to discover other hosts before it reads the service itself:
/// many round trips. When a whole fleet cold-starts, callers wait for it too.
const JOIN_WAIT: Duration = Duration::from_millis(120);

/// Time that a process without state follows a host that has none either: as long as that host
/// takes to join and to read everything.
const BOOTSTRAP_WAIT: Duration = Duration::from_millis(500);

/// Transfer time of one message from which its size is logged.
const SLOW_MESSAGE: Duration = Duration::from_millis(100);

/// Why this host stops following an origin.
enum LeaveReason {
    /// It failed, or its state can't be relied on.
    Failed(Error),
    /// The highest-ranked origin should be tried again.
    Retry,
}

/// Follows published state until the process ends.
pub async fn follow<D, S>(host: Rc<Host<D, S>>)
where
    D: Dialect,
    S: Source,
{
    tokio::time::sleep(JOIN_WAIT).await;
    let mut search = Search::default();
    loop {
        let order = rank_origins(&host, search.round());
        let next = search.next(&order, host.freshness.urgency(host.age()), host.now());
        let Next::Try { origin, until } = next else {
            let pause = host
                .freshness
                .retry_pause()
                .mul_f64(rand::rng().random_range(0.5..1.0));
            tokio::time::sleep(pause).await;
            continue;
        };
        host.origin.replace(Some(origin.clone()));
        let reason = match &origin {
            Origin::Service => service::follow_service(&host, until).await,
            Origin::Host(name) => follow_host(&host, name, until).await,
        };
        host.origin.replace(None);
        let LeaveReason::Failed(error) = reason else {
            search.left(&origin, search::LeaveReason::Again, host.now());
            continue;
        };
        host.metrics
            .count(metric::ORIGINS_LOST, origin_kind(&origin));
        warn!(
            event = "origin",
            ?origin,
            %error,
            age_ms = host.age().map_or(0, |age| age.as_millis() as u64),
            "lost"
        );
        search.left(&origin, search::LeaveReason::Failed, host.now());
        if origin == Origin::Service {
            host.record_own_failure();
            // Otherwise followers would detect this only by the age of its state, two thirds of the
            // bound later.
            host.origin_reachable.set(false);
            host.changed.send_modify(|count| *count += 1);
        }
    }
}

/// Metric label of an origin's kind.
fn origin_kind(origin: &Origin) -> &'static str {
    match origin {
        Origin::Service => "service",
        Origin::Host(_) => "host",
    }
}

fn rank_origins<D, S>(host: &Host<D, S>, round: usize) -> Vec<Origin>
where
    D: Dialect,
    S: Source,
{
    let own = Candidate {
        host: host.name.clone(),
        domain: host.domain.clone(),
    };
    let swim = host.swim.borrow();
    let alive = swim.answering().filter(|m| swim.is_same_region(m));
    let others: Vec<Candidate> = alive
        .map(|m| Candidate {
            host: m.host.clone(),
            domain: m.domain.clone(),
        })
        .collect();
    // Without relays, the first host of a failure domain serves all other hosts of it.
    let fan = if host.is_on(Mechanism::Relays) {
        follow::FANOUT
    } else {
        usize::MAX
    };
    follow::rank_origins(&own, &others, fan, round)
}

/// Whether to leave the origin: at the time `until`, or else once another one ranks first.
fn should_leave<D, S>(host: &Host<D, S>, origin: &Origin, until: Option<Time>) -> bool
where
    D: Dialect,
    S: Source,
{
    match until {
        Some(until) => host.now() >= until,
        None => rank_origins(host, 0).first() != Some(origin),
    }
}

/// Follows another host until its feed fails or a better origin is available.
async fn follow_host<D, S>(host: &Host<D, S>, name: &id::Host, until: Option<Time>) -> LeaveReason
where
    D: Dialect,
    S: Source,
{
    let origin = Origin::Host(name.clone());
    let started = host.now();
    let (check, queries) = FreshnessCheck::start(host.clock, name, host.freshness.heartbeat());
    let mut reader = match open_feed(host, name, queries).await {
        Ok(reader) => reader,
        Err(error) => return LeaveReason::Failed(error),
    };
    let mut max_age = None;
    loop {
        if should_leave(host, &origin, until) {
            return LeaveReason::Retry;
        }
        let frame = match next_frame(host, &mut reader, max_age).await {
            Ok(frame) => frame,
            Err(error) => return LeaveReason::Failed(error),
        };
        let size = reader.last();
        if frame.update.is_some() {
            record_size(host, name, size);
        }
        let path = frame.path.join(" ");
        if let Err(error) = apply_frame(host, name, frame, &check) {
            return LeaveReason::Failed(error);
        }
        if max_age.is_none() {
            let age_ms = host.age().map(|age| age.as_millis() as u64);
            info!(event = "origin", ?origin, way = path, age_ms, "followed");
        }
        let is_bootstrapping = host.age().is_none() && host.now() < started + BOOTSTRAP_WAIT;
        // A long transfer is not the origin's fault.
        let age_limit = host.freshness.max_age() + size.took;
        if !is_bootstrapping && host.age().is_none_or(|age| age > age_limit) {
            return LeaveReason::Failed(stale_error(host, name));
        }
        max_age = Some(age_limit);
    }
}

/// Reads the next message of an origin. Fails if the origin falls silent, or if this host's state
/// becomes older than `max_age` before the message begins; the first message, without `max_age`,
/// may come however old the state is.
async fn next_frame<D, S>(
    host: &Host<D, S>,
    reader: &mut Reader<Frame>,
    max_age: Option<Duration>,
) -> Result<Frame>
where
    D: Dialect,
    S: Source,
{
    let silence = match max_age {
        Some(_) => host.freshness.frame_timeout(),
        None => host.freshness.open_timeout(),
    };
    if let (Some(max_age), Some(age)) = (max_age, host.age()) {
        let remaining = max_age.saturating_sub(age);
        match tokio::time::timeout(remaining, reader.next(silence)).await {
            Ok(frame) => return frame,
            Err(_) if !reader.is_mid_message() => return Err(stale_error(host, reader.peer())),
            Err(_) => {}
        }
    }
    let frame = tokio::time::timeout(host.freshness.bound, reader.next(silence)).await;
    let cause = "message took longer than the freshness bound";
    frame.unwrap_or_else(|_| Err(Error::new(Step::Read, reader.peer(), cause)))
}

fn stale_error<D, S>(host: &Host<D, S>, origin: &str) -> Error
where
    D: Dialect,
    S: Source,
{
    let age = host.age().unwrap_or_default();
    Error::new(
        Step::Check,
        origin,
        format!("published state is {age:?} old"),
    )
}

/// Counts the bytes of a received update, and logs a slow transfer: saturated links show here.
fn record_size<D, S>(host: &Host<D, S>, name: &id::Host, size: frame::MessageSize)
where
    D: Dialect,
    S: Source,
{
    host.metrics
        .add(metric::UPDATE_BYTES_RECEIVED, size.bytes as u64);
    if size.took >= SLOW_MESSAGE {
        let took_ms = size.took.as_millis() as u64;
        info!(event = "news", from = %name, bytes = size.bytes, took_ms, "heard");
    }
}

/// Applies a message of another host, unless its state can't be relied on.
fn apply_frame<D, S>(
    host: &Host<D, S>,
    name: &id::Host,
    frame: Frame,
    check: &FreshnessCheck,
) -> Result<()>
where
    D: Dialect,
    S: Source,
{
    let fail = |cause: &dyn std::fmt::Display| Error::new(Step::Check, name, cause);
    let recorded = check.record_answer(frame.answered_query);
    recorded.map_err(|unknown| fail(&unknown))?;
    let is_checked = host.is_on(Mechanism::Proofs);
    let age = |ms: u32| {
        let sent_age = Duration::from_millis(ms.into());
        match is_checked {
            true => check.age(host.now(), sent_age),
            false => sent_age,
        }
    };
    // Also from a host whose path is rejected below: this concerns the service, not its state.
    if let Some(outage_age) = frame.outage_age_ms.map(age) {
        match frame.origin_reachable {
            true => host.record_outage(outage_age),
            false => host.record_other_failure(outage_age),
        }
    }
    let sender_path: Vec<id::Host> = frame.path.iter().map(|host| host.as_str().into()).collect();
    let path = RelayPath::extend(&sender_path, &host.name).map_err(|refused| fail(&refused))?;
    if let Some(age_ms) = frame.age_ms {
        let update = frame
            .update
            .map(|content| content.decode(name))
            .transpose()?;
        host.apply_update(update, age(age_ms));
    }
    if !frame.origin_reachable && host.age().is_some() {
        return Err(fail(&"its own origin is lost"));
    }
    host.origin_reachable.set(true);
    host.set_path(path);
    Ok(())
}

async fn open_feed<D, S>(
    host: &Host<D, S>,
    name: &id::Host,
    queries: frame::Body,
) -> Result<Reader<Frame>>
where
    D: Dialect,
    S: Source,
{
    let address = host.swim.borrow().table().get(name).map(|m| m.address);
    let fail = |cause: &str| Error::new(Step::Connect, name, cause);
    let address = address.ok_or_else(|| fail("host is unknown"))?;
    let after = host.catalog.borrow().revision();
    let mut request = Request::new(queries);
    *request.method_mut() = http::Method::POST;
    let uri = format!("http://host{PATH}{after}");
    *request.uri_mut() = uri.parse().map_err(|_| fail("invalid path"))?;
    let response = tokio::time::timeout(
        host.freshness.open_timeout(),
        host.peers.stream(address, request),
    )
    .await;
    let response = response.map_err(|_| {
        // A connection can stay silent forever while a new one works.
        host.peers.drop_connection(address);
        fail("timed out")
    })??;
    if response.status() != http::StatusCode::OK {
        return Err(Error::new(Step::Read, name, response.status()));
    }
    Ok(Reader::new(name, response.into_body()))
}
