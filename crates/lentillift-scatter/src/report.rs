//! Reports on slow backend servers that hosts exchange.
//!
//! Suppose a search asks ninety shards through sixty hosts, and each host has one search a second
//! or less. A seventh of the backend servers become slow for some seconds. A host meets each of
//! them once in four seconds, so on its own it detects them when they have recovered; until then a
//! seventh of the parts of each search are late, and repeats for all of them exceed the budget.
//!
//! With its reply, every host that is asked for shards sends a report on each server that it
//! observed as slow or received a report on. A report keeps the time of the original observation,
//! so it decays as fast as the host's own observations, however often it is forwarded.

use crate::replica::Replica;
use crate::replica_table::ReplicaTable;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::time::Duration;

/// Maximum fraction of the servers that a host recently used itself that may be slow for its own
/// observations to be credible.
///
/// A host that is stopped for a moment finds all servers slow; if it reported them, other hosts
/// would avoid healthy servers. Reports that it received are forwarded in any case.
const MAX_SLOW_FRACTION: f64 = 0.4;

/// Maximum number of reports sent at a time: about a kilobyte.
const MAX_REPORTS: usize = 48;

/// Difference in age below which two reports count as the same one, received by another route.
const AGE_TOLERANCE: Duration = Duration::from_millis(50);

/// A report on a slow backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Name of the server.
    pub backend: id::Backend,
    /// Its reply time relative to the typical one of the route.
    pub slowness: f64,
    /// Fraction of its requests that failed, from 0 to 1.
    pub failing: f64,
    /// Time since the observation.
    pub age: Duration,
}

impl ReplicaTable {
    /// Returns the reports to send to other hosts; the latest first.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let (mut observed, mut slow) = (0, 0);
        let mut reportable: Vec<(&id::Backend, &Replica)> = Vec::new();
        for (backend, replica) in self.iter() {
            let is_observed = replica.is_observed(now);
            let is_reportable = replica.is_reportable(now);
            observed += u32::from(is_observed);
            slow += u32::from(is_observed && is_reportable);
            if is_reportable {
                reportable.push((backend, replica));
            }
        }
        let credible = f64::from(slow) <= f64::from(observed) * MAX_SLOW_FRACTION;
        reportable.retain(|(_, replica)| credible || replica.is_from_peer());
        let report = |(backend, replica): (&id::Backend, &Replica)| replica.report(backend, now);
        let mut reports: Vec<Report> = reportable.into_iter().map(report).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Merges reports of another host where they are newer than the local state; returns the number
    /// of servers that were updated.
    pub fn merge_reports(&mut self, reports: &[Report], now: Time) -> usize {
        let newer = reports.iter().filter(|report| {
            // An unknown server is skipped: under a name invented by a peer it would be kept
            // forever.
            let replica = self.find(&report.backend);
            replica.is_some_and(|replica| replica.merge(report, now, AGE_TOLERANCE))
        });
        newer.count()
    }
}
