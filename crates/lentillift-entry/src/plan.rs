//! Choice of a snapshot for a query.
//!
//! A snapshot can be served if each of its shards has a backend server that is in service and did
//! not recently report that it lacks the snapshot. The newest such snapshot is chosen. Otherwise
//! queries after a version change would be sent to servers that have dropped the old index, or have
//! not loaded the new one yet, and their answers would miss those shards.

use lentillift_core::coverage::Reason;
use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use std::collections::HashMap;
use std::time::Duration;

/// How long a backend server's report that it lacks a snapshot is valid.
///
/// A server that is loading a snapshot has it some seconds later. A new attempt costs one refused
/// sub-request per server and entry, so one every few seconds is cheap.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Number of reports from which on expired ones are removed at each insertion.
const PRUNE_THRESHOLD: usize = 1024;

/// Recent reports of backend servers that they lack a snapshot.
#[derive(Debug, Default)]
pub struct MissingSnapshots {
    reported_at: HashMap<(id::Backend, id::Snapshot), Time>,
}

impl MissingSnapshots {
    /// Records a report that `backend` lacks `snapshot`.
    pub fn record(&mut self, now: Time, backend: id::Backend, snapshot: id::Snapshot) {
        if self.reported_at.len() >= PRUNE_THRESHOLD {
            self.reported_at.retain(|_, at| *at + REPORT_TTL > now);
        }
        self.reported_at.insert((backend, snapshot), now);
    }

    /// Whether `backend` recently reported that it lacks `snapshot`.
    pub fn is_missing(&self, now: Time, backend: &id::Backend, snapshot: id::Snapshot) -> bool {
        // Cloning the name for the key is cheap: it is reference-counted.
        !self.reported_at.is_empty()
            && self
                .reported_at
                .get(&(backend.clone(), snapshot))
                .is_some_and(|at| *at + REPORT_TTL > now)
    }
}

/// Chooses the newest snapshot of `service` that can be served completely.
///
/// If there is none, the one with the largest servable share of its shards, the newest of equals.
pub fn choose_snapshot<'a>(
    view: &'a View,
    service: &id::Service,
    missing: &MissingSnapshots,
    now: Time,
) -> Option<&'a Map> {
    let placement = view.values.placements.get(service)?;
    let mut maps: Vec<&Map> = placement.maps.iter().collect();
    maps.sort_by_key(|map| std::cmp::Reverse(map.snapshot));
    let mut best = None;
    for map in maps {
        let share = servable_parts(view, map, missing, now);
        if share == map.parts.len() {
            return Some(map);
        }
        let share = share as f64 / map.parts.len() as f64;
        if best.is_none_or(|(most, _)| share > most) {
            best = Some((share, map));
        }
    }
    best.map(|(_, map)| map)
}

/// Number of parts of `map` that can be served.
fn servable_parts(view: &View, map: &Map, missing: &MissingSnapshots, now: Time) -> usize {
    let is_servable = |part: &&Part| {
        let mut replicas = part.replicas.iter();
        replicas.any(|backend| {
            view.in_service(backend)
                && view.owner(backend).is_some()
                && !missing.is_missing(now, backend, map.snapshot)
        })
    };
    map.parts.iter().filter(is_servable).count()
}

/// Why no sub-request can be sent to any replica of `part`.
pub fn unservable_reason(
    view: &View,
    part: &Part,
    snapshot: id::Snapshot,
    missing: &MissingSnapshots,
    now: Time,
) -> Reason {
    let is_domain_out = |backend: &id::Backend| {
        let known = view.backends.get(backend);
        let config = view.values.config.as_ref();
        known
            .zip(config)
            .is_some_and(|(known, config)| config.domains_out.contains(&known.server.domain))
    };
    let replicas = &part.replicas;
    if !replicas.is_empty() && replicas.iter().all(is_domain_out) {
        return Reason::DomainOut;
    }
    let mut usable = replicas.iter().filter(|b| view.in_service(b));
    let any_usable = usable.clone().next().is_some();
    match any_usable && usable.all(|b| missing.is_missing(now, b, snapshot)) {
        true => Reason::SnapshotGone,
        false => Reason::NoReplica,
    }
}
