//! Reading the service that publishes.

use super::LeaveReason;
use super::should_leave;
use crate::dialect::Dialect;
use crate::host::Host;
use crate::metric;
use crate::source::Source;
use crate::source::WatchResult;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::proof;
use lentillift_fleet::follow::way::Way;
use lentillift_scatter::source::News;
use std::time::Duration;
use tracing::info;
use tracing::warn;

/// Time that opening a connection and a busy processor may add to a call.
const STALL_ALLOWANCE: Duration = Duration::from_secs(1);

/// Longest pause of the service while everything is read.
const READ_SILENCE: Duration = Duration::from_secs(2);

/// Reads the service until it fails, or another origin is to be tried.
pub(super) async fn follow_service<D, S>(host: &Host<D, S>, until: Option<Time>) -> LeaveReason
where
    D: Dialect,
    S: Source,
{
    info!(event = "origin", origin = "service", "reading");
    loop {
        if should_leave(host, &Origin::Service, until) {
            return LeaveReason::Retry;
        }
        let asked = host.now();
        let (news, age) = match poll(host).await {
            Ok(told) => told,
            Err(error) if host.now().saturating_sub(asked) > max_call_time(host) => {
                warn!(event = "origin", origin = "service", %error, "stood still during a call");
                return LeaveReason::Retry;
            }
            Err(error) => return LeaveReason::Failed(error),
        };
        let quiet = matches!(&news, News::Changes { items, .. } if items.is_empty());
        host.apply_update(Some(news), age);
        host.origin_reachable.set(true);
        host.set_path(Way::reader(&host.name));
        if !quiet {
            tokio::time::sleep(host.freshness.pause()).await;
        }
    }
}

/// Time after which a call to the service that fails has timed out by itself, while this process ran.
///
/// One that fails later was held up here, as while the host stood still, which says nothing of the service. Taken
/// for its failure, it would have callers served by old knowledge as if nobody could know more.
fn max_call_time<D, S>(host: &Host<D, S>) -> Duration
where
    D: Dialect,
    S: Source,
{
    host.freshness.watch() + host.freshness.slack() + STALL_ALLOWANCE
}

/// What there is to know beyond what is known here, and how old it is.
async fn poll<D, S>(host: &Host<D, S>) -> Result<(News, Duration)>
where
    D: Dialect,
    S: Source,
{
    let after = host.catalog.borrow().revision();
    if after == 0 {
        return read(host).await;
    }
    let asked = host.now();
    let wait = host.freshness.next_watch(host.age().unwrap_or_default());
    let WatchResult::Changes(news) = watch(host, after, wait).await? else {
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

async fn watch<D, S>(host: &Host<D, S>, after: id::Revision, wait: Duration) -> Result<WatchResult>
where
    D: Dialect,
    S: Source,
{
    let watch = host.source.watch(after, wait, host.freshness.slack());
    let watched = with_timeout(wait + host.freshness.bound, watch).await;
    let board = &host.metrics;
    board.count_call(metric::SERVICE_CALLS, "watch", watched.is_ok());
    watched
}

/// Everything that is published, and how old it is.
async fn read<D, S>(host: &Host<D, S>) -> Result<(News, Duration)>
where
    D: Dialect,
    S: Source,
{
    let asked = host.now();
    let read = with_timeout(host.freshness.bound, host.source.read(READ_SILENCE)).await;
    host.metrics
        .count_call(metric::SERVICE_CALLS, "read", read.is_ok());
    Ok((read?, host.now().saturating_sub(asked)))
}

/// What a call to the service brings, unless its answer takes longer than `most` altogether.
async fn with_timeout<T, C>(most: Duration, call: C) -> Result<T>
where
    C: Future<Output = Result<T>>,
{
    let brought = tokio::time::timeout(most, call).await;
    brought.unwrap_or_else(|_| Err(Error::new(Step::Read, "service", "an answer took too long")))
}
