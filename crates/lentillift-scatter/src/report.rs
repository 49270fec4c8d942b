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

use crate::book::Book;
use crate::replica::Replica;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::time::Duration;

/// Part of the servers that a host itself has asked lately that may be slow for its own findings to be
/// worth anything.
///
/// A host that stands still for a moment finds all servers slow; if it told others, they would go
/// round servers that are well. What it heard from others it passes on all the same.
const MINORITY: f64 = 0.4;

/// Servers told of at a time: about a kilobyte.
const MOST: usize = 48;

/// Difference in age below which two reports are held to be the same one, passed on by another way.
const SAME: Duration = Duration::from_millis(50);

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

impl Book {
    /// What other hosts should know; the latest first.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let (mut seen, mut slow) = (0, 0);
        let mut told: Vec<(&id::Backend, &Replica)> = Vec::new();
        for (backend, replica) in self.iter() {
            let is_seen = replica.is_seen(now);
            let is_told = replica.is_told(now);
            seen += u32::from(is_seen);
            slow += u32::from(is_seen && is_told);
            if is_told {
                told.push((backend, replica));
            }
        }
        let credible = f64::from(slow) <= f64::from(seen) * MINORITY;
        told.retain(|(_, replica)| credible || replica.is_heard());
        let report = |(backend, replica): (&id::Backend, &Replica)| replica.report(backend, now);
        let mut reports: Vec<Report> = told.into_iter().map(report).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MOST);
        reports
    }

    /// Takes in what another host reports, where it is newer than what is known here; says of how many
    /// servers it was.
    pub fn merge_reports(&mut self, reports: &[Report], now: Time) -> usize {
        let newer = reports.iter().filter(|report| {
            // One that was never considered here would be kept for ever under a name that a peer made up.
            let replica = self.find(&report.backend);
            replica.is_some_and(|replica| replica.hear(report, now, SAME))
        });
        newer.count()
    }
}
