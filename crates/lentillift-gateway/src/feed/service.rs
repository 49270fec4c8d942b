//! Reads published state from the configuration service.

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
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_scatter::source::Update;
use std::time::Duration;
use tracing::info;
use tracing::warn;

/// Allowance for opening a connection and for a busy processor during a call.
const STALL_ALLOWANCE: Duration = Duration::from_secs(1);

/// Longest silence of the service during a full read.
const READ_SILENCE: Duration = Duration::from_secs(2);

/// Follows the service until it fails or another origin is to be tried.
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
        let started = host.now();
        let (update, age) = match poll(host).await {
            Ok(polled) => polled,
            Err(error) if host.now().saturating_sub(started) > max_call_time(host) => {
                warn!(event = "origin", origin = "service", %error, "stood still during a call");
                return LeaveReason::Retry;
            }
            Err(error) => return LeaveReason::Failed(error),
        };
        let is_unchanged = matches!(&update, Update::Changes { items, .. } if items.is_empty());
        host.apply_update(Some(update), age);
        host.origin_reachable.set(true);
        host.set_path(RelayPath::reader(&host.name));
        if !is_unchanged {
            tokio::time::sleep(host.freshness.pause()).await;
        }
    }
}

/// Time within which a failing call to the service has timed out, provided this process was
/// running.
///
/// A call that fails later was delayed on this side, for example because the host was frozen, which
/// says nothing about the service. Counted as a failure of the service, it would make this host
/// serve callers from old state as if no newer one were available.
fn max_call_time<D, S>(host: &Host<D, S>) -> Duration
where
    D: Dialect,
    S: Source,
{
    host.freshness.watch() + host.freshness.slack() + STALL_ALLOWANCE
}

/// Reads the updates since the local revision, and their age.
async fn poll<D, S>(host: &Host<D, S>) -> Result<(Update, Duration)>
where
    D: Dialect,
    S: Source,
{
    let after = host.catalog.borrow().revision();
    if after == 0 {
        return read(host).await;
    }
    let started = host.now();
    let wait = host.freshness.next_watch(host.age().unwrap_or_default());
    let WatchResult::Changes(update) = watch(host, after, wait).await? else {
        return read(host).await;
    };
    let elapsed = host.now().saturating_sub(started);
    let age = match &update {
        Update::Changes { items, .. } if items.is_empty() => proof::age_after_watch(elapsed, wait),
        // The time of the change within the watch is unknown.
        _ => elapsed,
    };
    Ok((update, age))
}

async fn watch<D, S>(host: &Host<D, S>, after: id::Revision, wait: Duration) -> Result<WatchResult>
where
    D: Dialect,
    S: Source,
{
    let watch = host.source.watch(after, wait, host.freshness.slack());
    let watched = with_timeout(wait + host.freshness.bound, watch).await;
    let registry = &host.metrics;
    registry.count_call(metric::SERVICE_CALLS, "watch", watched.is_ok());
    watched
}

/// Reads all published state; returns it with its age.
async fn read<D, S>(host: &Host<D, S>) -> Result<(Update, Duration)>
where
    D: Dialect,
    S: Source,
{
    let started = host.now();
    let read = with_timeout(host.freshness.bound, host.source.read(READ_SILENCE)).await;
    host.metrics
        .count_call(metric::SERVICE_CALLS, "read", read.is_ok());
    Ok((read?, host.now().saturating_sub(started)))
}

/// Awaits a call to the service; fails if it takes longer than `limit` in total.
async fn with_timeout<T, C>(limit: Duration, call: C) -> Result<T>
where
    C: Future<Output = Result<T>>,
{
    let response = tokio::time::timeout(limit, call).await;
    response.unwrap_or_else(|_| Err(Error::new(Step::Read, "service", "response took too long")))
}
