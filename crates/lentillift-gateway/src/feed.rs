//! Learning what is published, from the service or from another host, and passing it on.

mod ask;
mod service;
pub mod tell;

use crate::dialect::Dialect;
use crate::frame;
use crate::frame::Reader;
use crate::host::Host;
use crate::metric;
use crate::notice::Frame;
use crate::source::Source;
use ask::Inquiry;
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

/// Path of these requests; the revision that the follower knows comes after it.
pub const PATH: &str = "/v3/feed/";

/// How long a process that starts waits for other hosts to turn up before it reads by itself: many
/// round trips. Callers wait for it too when a whole fleet starts anew.
const JOIN: Duration = Duration::from_millis(120);

/// How long a process that knows nothing follows a host that knows nothing either: as long as that
/// one takes to join and to read everything.
const PATIENCE: Duration = Duration::from_millis(500);

/// Time to take in one message beyond which its size is logged.
const SLOW_MESSAGE: Duration = Duration::from_millis(100);

/// Why an origin is left.
enum Left {
    /// It failed, or its knowledge can't be relied on.
    Failed(Error),
    /// The best one should be tried again.
    Again,
}

/// Learns until the process is over.
pub async fn follow<D, S>(host: Rc<Host<D, S>>)
where
    D: Dialect,
    S: Source,
{
    tokio::time::sleep(JOIN).await;
    let mut search = Search::default();
    loop {
        let order = order(&host, search.round());
        let next = search.next(&order, host.news.urgency(host.age()), host.now());
        let Next::Try { origin, until } = next else {
            let pause = host
                .news
                .retry_pause()
                .mul_f64(rand::rng().random_range(0.5..1.0));
            tokio::time::sleep(pause).await;
            continue;
        };
        host.origin.replace(Some(origin.clone()));
        let left = match &origin {
            Origin::Service => service::service(&host, until).await,
            Origin::Host(name) => subscribe(&host, name, until).await,
        };
        host.origin.replace(None);
        let Left::Failed(error) = left else {
            search.left(&origin, search::LeaveReason::Again, host.now());
            continue;
        };
        host.board.count(metric::ORIGINS_LOST, kind(&origin));
        warn!(
            event = "origin",
            ?origin,
            %error,
            age_ms = host.age().map_or(0, |age| age.as_millis() as u64),
            "lost"
        );
        search.left(&origin, search::LeaveReason::Failed, host.now());
        if origin == Origin::Service {
            host.note_away(Duration::ZERO);
            // Followers would find out by the age of its knowledge, two thirds of the bound later.
            host.steady.set(false);
            host.changed.send_modify(|count| *count += 1);
        }
    }
}

/// The kind of an origin, in metrics.
fn kind(origin: &Origin) -> &'static str {
    match origin {
        Origin::Service => "service",
        Origin::Host(_) => "host",
    }
}

fn order<D, S>(host: &Host<D, S>, round: usize) -> Vec<Origin>
where
    D: Dialect,
    S: Source,
{
    let me = Candidate {
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
    // Without relays the first host of a failure domain tells all others of it.
    let fan = if host.is_on(Mechanism::Relays) {
        follow::FANOUT
    } else {
        usize::MAX
    };
    follow::rank_origins(&me, &others, fan, round)
}

/// Whether the origin is to be left for a better one.
fn is_over<D, S>(host: &Host<D, S>, origin: &Origin, until: Option<Time>) -> bool
where
    D: Dialect,
    S: Source,
{
    match until {
        Some(until) => host.now() >= until,
        None => order(host, 0).first() != Some(origin),
    }
}

/// Follows another host.
async fn subscribe<D, S>(host: &Host<D, S>, name: &id::Host, until: Option<Time>) -> Left
where
    D: Dialect,
    S: Source,
{
    let origin = Origin::Host(name.clone());
    let began = host.now();
    let (inquiry, questions) = Inquiry::start(host.clock, name, host.news.heartbeat());
    let mut reader = match open(host, name, questions).await {
        Ok(reader) => reader,
        Err(error) => return Left::Failed(error),
    };
    let mut allowed = None;
    loop {
        if is_over(host, &origin, until) {
            return Left::Again;
        }
        let frame = match next_frame(host, &mut reader, allowed).await {
            Ok(frame) => frame,
            Err(error) => return Left::Failed(error),
        };
        let size = reader.last();
        if frame.news.is_some() {
            note_size(host, name, size);
        }
        let way = frame.way.join(" ");
        if let Err(error) = hear(host, name, frame, &inquiry) {
            return Left::Failed(error);
        }
        if allowed.is_none() {
            let age_ms = host.age().map(|age| age.as_millis() as u64);
            info!(event = "origin", ?origin, way, age_ms, "followed");
        }
        let patient = host.age().is_none() && host.now() < began + PATIENCE;
        // That a message was long under way is not the origin's fault.
        let most = host.news.max_age() + size.took;
        if !patient && host.age().is_none_or(|age| age > most) {
            return Left::Failed(too_old(host, name));
        }
        allowed = Some(most);
    }
}

/// The next message of an origin, unless it falls silent, or what is believed gets older than `allowed` before
/// the message begins; the first one may come however old that is.
async fn next_frame<D, S>(
    host: &Host<D, S>,
    reader: &mut Reader<Frame>,
    allowed: Option<Duration>,
) -> Result<Frame>
where
    D: Dialect,
    S: Source,
{
    let patience = match allowed {
        Some(_) => host.news.frame_timeout(),
        None => host.news.open_timeout(),
    };
    if let (Some(allowed), Some(age)) = (allowed, host.age()) {
        let left = allowed.saturating_sub(age);
        match tokio::time::timeout(left, reader.next(patience)).await {
            Ok(frame) => return frame,
            Err(_) if !reader.is_amid() => return Err(too_old(host, reader.peer())),
            Err(_) => {}
        }
    }
    let frame = tokio::time::timeout(host.news.bound, reader.next(patience)).await;
    let slow = "a message took longer than the bound";
    frame.unwrap_or_else(|_| Err(Error::new(Step::Read, reader.peer(), slow)))
}

fn too_old<D, S>(host: &Host<D, S>, origin: &str) -> Error
where
    D: Dialect,
    S: Source,
{
    let age = host.age().unwrap_or_default();
    Error::new(Step::Check, origin, format!("knowledge is {age:?} old"))
}

/// Counts what was told, and logs what took long: links that are full show here.
fn note_size<D, S>(host: &Host<D, S>, name: &id::Host, size: frame::Size)
where
    D: Dialect,
    S: Source,
{
    host.board.add(metric::NEWS_HEARD, size.bytes as u64);
    if size.took >= SLOW_MESSAGE {
        let took_ms = size.took.as_millis() as u64;
        info!(event = "news", from = %name, bytes = size.bytes, took_ms, "heard");
    }
}

/// Takes in what another host tells, unless its knowledge can't be relied on.
fn hear<D, S>(host: &Host<D, S>, name: &id::Host, frame: Frame, inquiry: &Inquiry) -> Result<()>
where
    D: Dialect,
    S: Source,
{
    let fail = |cause: &dyn std::fmt::Display| Error::new(Step::Check, name, cause);
    let told: Vec<id::Host> = frame.way.iter().map(|host| host.as_str().into()).collect();
    let way = RelayPath::extend(&told, &host.name).map_err(|refused| fail(&refused))?;
    let heard = inquiry.hear(frame.answers);
    heard.map_err(|unasked| fail(&unasked))?;
    let is_proved = host.is_on(Mechanism::Proofs);
    let age = |ms: u32| {
        let told = Duration::from_millis(ms.into());
        match is_proved {
            true => inquiry.age(host.now(), told),
            false => told,
        }
    };
    if let Some(away_ms) = frame.away_ms {
        host.note_away(age(away_ms));
    }
    if let Some(age_ms) = frame.age_ms {
        let news = frame.news.map(|content| content.news(name)).transpose()?;
        host.learn(news, age(age_ms));
    }
    if !frame.steady && host.age().is_some() {
        return Err(fail(&"its origin is lost"));
    }
    host.steady.set(true);
    host.take_way(way);
    Ok(())
}

async fn open<D, S>(
    host: &Host<D, S>,
    name: &id::Host,
    questions: frame::Body,
) -> Result<Reader<Frame>>
where
    D: Dialect,
    S: Source,
{
    let address = host.swim.borrow().table().get(name).map(|m| m.address);
    let fail = |cause: &str| Error::new(Step::Connect, name, cause);
    let address = address.ok_or_else(|| fail("host is not known"))?;
    let after = host.catalog.borrow().revision();
    let mut request = Request::new(questions);
    *request.method_mut() = http::Method::POST;
    let uri = format!("http://host{PATH}{after}");
    *request.uri_mut() = uri.parse().map_err(|_| fail("path can't be sent"))?;
    let sent = tokio::time::timeout(
        host.news.open_timeout(),
        host.peers.stream(address, request),
    )
    .await;
    let response = sent.map_err(|_| {
        // A connection can be silent for good while a new one works.
        host.peers.drop_connection(address);
        fail("timed out")
    })??;
    if response.status() != http::StatusCode::OK {
        return Err(Error::new(Step::Read, name, response.status()));
    }
    Ok(Reader::new(name, response.into_body()))
}
