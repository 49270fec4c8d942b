//! Reading the service that publishes.

use super::Left;
use super::is_over;
use crate::dialect::Dialect;
use crate::host::Host;
use crate::metric;
use crate::source::Source;
use crate::source::Watched;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::proof;
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_scatter::source::News;
use std::time::Duration;
use tracing::info;
use tracing::warn;

/// Time that opening a connection and a busy processor may add to a call.
const HELD_UP: Duration = Duration::from_secs(1);

/// Longest pause of the service while everything is read.
const READ_SILENCE: Duration = Duration::from_secs(2);

/// Reads the service until it fails, or another origin is to be tried.
pub(super) async fn service<D, S>(host: &Host<D, S>, until: Option<Time>) -> Left
where
    D: Dialect,
    S: Source,
{
    info!(event = "origin", origin = "service", "reading");
    loop {
        if is_over(host, &Origin::Service, until) {
            return Left::Again;
        }
        let asked = host.now();
        let (news, age) = match ask(host).await {
            Ok(told) => told,
            Err(error) if host.now().saturating_sub(asked) > longest(host) => {
                warn!(event = "origin", origin = "service", %error, "stood still during a call");
                return Left::Again;
            }
            Err(error) => return Left::Failed(error),
        };
        let quiet = matches!(&news, News::Changes { items, .. } if items.is_empty());
        host.learn(Some(news), age);
        host.steady.set(true);
        host.take_way(RelayPath::reader(&host.name));
        if !quiet {
            tokio::time::sleep(host.news.pause()).await;
        }
    }
}

/// Time after which a call to the service that fails has timed out by itself, while this process ran.
///
/// One that fails later was held up here, as while the host stood still, which says nothing of the service. Taken
/// for its failure, it would have callers served by old knowledge as if nobody could know more.
fn longest<D, S>(host: &Host<D, S>) -> Duration
where
    D: Dialect,
    S: Source,
{
    host.news.watch() + host.news.slack() + HELD_UP
}

/// What there is to know beyond what is known here, and how old it is.
async fn ask<D, S>(host: &Host<D, S>) -> Result<(News, Duration)>
where
    D: Dialect,
    S: Source,
{
    let after = host.catalog.borrow().revision();
    if after == 0 {
        return read(host).await;
    }
    let asked = host.now();
    let wait = host.news.next_watch(host.age().unwrap_or_default());
    let Watched::Changes(news) = watch(host, after, wait).await? else {
        return read(host).await;
    };
    let passed = host.now().saturating_sub(asked);
    let age = match &news {
        News::Changes { items, .. } if items.is_empty() => proof::age_after_watch(passed, wait),
        // When the change came is not known.
        _ => passed,
    };
    Ok((news, age))
}

async fn watch<D, S>(host: &Host<D, S>, after: id::Revision, wait: Duration) -> Result<Watched>
where
    D: Dialect,
    S: Source,
{
    let watch = host.source.watch(after, wait, host.news.slack());
    let watched = within(wait + host.news.bound, watch).await;
    let board = &host.board;
    board.call(metric::SERVICE_CALLS, "watch", watched.is_ok());
    watched
}

/// Everything that is published, and how old it is.
async fn read<D, S>(host: &Host<D, S>) -> Result<(News, Duration)>
where
    D: Dialect,
    S: Source,
{
    let asked = host.now();
    let read = within(host.news.bound, host.source.read(READ_SILENCE)).await;
    host.board.call(metric::SERVICE_CALLS, "read", read.is_ok());
    Ok((read?, host.now().saturating_sub(asked)))
}

/// What a call to the service brings, unless its answer takes longer than `most` altogether.
async fn within<T, C>(most: Duration, call: C) -> Result<T>
where
    C: Future<Output = Result<T>>,
{
    let brought = tokio::time::timeout(most, call).await;
    brought.unwrap_or_else(|_| Err(Error::new(Step::Read, "service", "an answer took too long")))
}
