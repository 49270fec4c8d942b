//! What hosts tell each other of slow backend servers.
//!
//! Pattern: a search asks ninety shards of sixty hosts, and each host has one search a second or less.
//! A seventh of the backend servers become slow for some seconds. A host meets each of them once in four
//! seconds, so by itself it learns of them when they are well again; until then a seventh of the parts
//! of each search are late, and repeats for all of them are more than the budget allows.
//!
//! Every host that is asked for shards tells with its answer which servers it found slow or was told of.
//! What is told keeps the time at which it was learnt, so it fades as fast as what a host learnt
//! itself, however often it is passed on.

use crate::replica::Replica;
use crate::replica_table::ReplicaTable;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::time::Duration;

/// Part of the servers that a host itself has asked lately that may be slow for its own findings to be
/// worth anything.
///
/// A host that stands still for a moment finds all servers slow; if it told others, they would go
/// round servers that are well. What it heard from others it passes on all the same.
const MAX_SLOW_FRACTION: f64 = 0.4;

/// Servers told of at a time: about a kilobyte.
const MAX_REPORTS: usize = 48;

/// Difference in age below which two reports are held to be the same one, passed on by another way.
const AGE_TOLERANCE: Duration = Duration::from_millis(50);

/// What a host has learnt of a slow backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The server.
    pub backend: id::Backend,
    /// Its reply time compared with the usual one.
    pub slowness: f64,
    /// Share of its requests that failed, from 0 to 1.
    pub failing: f64,
    /// Time since this was learnt.
    pub age: Duration,
}

impl ReplicaTable {
    /// What other hosts should know; the latest first.
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

    /// Takes in what another host reports, where it is newer than what is known here; says of how many
    /// servers it was.
    pub fn merge_reports(&mut self, reports: &[Report], now: Time) -> usize {
        let newer = reports.iter().filter(|report| {
            // One that was never considered here would be kept for ever under a name that a peer made up.
            let replica = self.find(&report.backend);
            replica.is_some_and(|replica| replica.merge(report, now, AGE_TOLERANCE))
        });
        newer.count()
    }
}
