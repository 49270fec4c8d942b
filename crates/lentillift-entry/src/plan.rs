//! Choice of a snapshot for a query.
//!
//! A snapshot can be served when each of its shards has a backend server that may be used and has
//! not said lately that it doesn't hold the snapshot. The newest such snapshot is taken. Without
//! this each query after a version change would run into servers that have dropped the old index,
//! or have not loaded the new one yet, and its answer would miss their shards.

use lentillift_core::coverage::Reason;
use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_core::snapshot::Part;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use std::collections::HashMap;
use std::time::Duration;

/// How long a backend server's word that it doesn't hold a snapshot counts.
///
/// A server that loads a new snapshot has it some seconds later; asking again costs one refused
/// sub-request per server and entry, so that a few seconds are often enough.
const AGE: Duration = Duration::from_secs(5);

/// Entries beyond which those out of date are dropped.
const MANY: usize = 1024;

/// Which backend servers have said lately that they don't hold a snapshot.
#[derive(Debug, Default)]
pub struct Gone {
    seen: HashMap<(id::Backend, id::Snapshot), Time>,
}

impl Gone {
    /// Notes that `backend` does not hold `snapshot`.
    pub fn note(&mut self, now: Time, backend: id::Backend, snapshot: id::Snapshot) {
        if self.seen.len() >= MANY {
            self.seen.retain(|_, at| *at + AGE > now);
        }
        self.seen.insert((backend, snapshot), now);
    }

    /// Whether `backend` is held not to have `snapshot`.
    pub fn is_gone(&self, now: Time, backend: &id::Backend, snapshot: id::Snapshot) -> bool {
        // Looked up by a key that is cheap to make: the name is a counted pointer.
        !self.seen.is_empty()
            && self
                .seen
                .get(&(backend.clone(), snapshot))
                .is_some_and(|at| *at + AGE > now)
    }
}

/// The newest snapshot of `service` that can be served as a whole.
///
/// When there is none, the one of which the largest share can be served, and of those the newest.
pub fn snapshot<'a>(
    view: &'a View,
    service: &id::Service,
    gone: &Gone,
    now: Time,
) -> Option<&'a Map> {
    let placement = view.values.placements.get(service)?;
    let mut maps: Vec<&Map> = placement.maps.iter().collect();
    maps.sort_by_key(|map| std::cmp::Reverse(map.snapshot));
    let mut best = None;
    for map in maps {
        let share = servable(view, map, gone, now);
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

/// How many parts of `map` can be served.
fn servable(view: &View, map: &Map, gone: &Gone, now: Time) -> usize {
    let held = |part: &&Part| {
        let mut replicas = part.replicas.iter();
        replicas.any(|backend| {
            view.in_service(backend)
                && view.owner(backend).is_some()
                && !gone.is_gone(now, backend, map.snapshot)
        })
    };
    map.parts.iter().filter(held).count()
}

/// Why no replica of `part` can be asked.
pub fn absence(view: &View, part: &Part, snapshot: id::Snapshot, gone: &Gone, now: Time) -> Reason {
    let out = |backend: &id::Backend| {
        let known = view.backends.get(backend);
        let config = view.values.config.as_ref();
        known
            .zip(config)
            .is_some_and(|(known, config)| config.domains_out.contains(&known.server.domain))
    };
    let replicas = &part.replicas;
    if !replicas.is_empty() && replicas.iter().all(out) {
        return Reason::DomainOut;
    }
    let mut usable = replicas.iter().filter(|b| view.in_service(b));
    let some = usable.clone().next().is_some();
    match some && usable.all(|b| gone.is_gone(now, b, snapshot)) {
        true => Reason::SnapshotGone,
        false => Reason::NoReplica,
    }
}
