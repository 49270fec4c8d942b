//! Choice of a snapshot for a query.

use lentillift_core::id;
use lentillift_core::snapshot::Map;
use lentillift_fleet::view::View;

/// The newest snapshot of `service` below `bound`, or the newest at all.
pub fn snapshot<'a>(view: &'a View, service: &id::Service) -> Option<&'a Map> {
    let placement = view.values.placements.get(service)?;
    placement.maps.iter().max_by_key(|map| map.snapshot)
}
