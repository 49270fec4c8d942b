//! What a view was derived from, as it is written down.

use crate::view::Values;
use crate::view::View;
use lentillift_core::id;
use lentillift_settings::config::Config;
use lentillift_settings::placement::Placement;
use lentillift_settings::roster::Roster;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a view was derived from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Seen {
    config: Option<Arc<Config>>,
    roster: Option<Arc<Roster>>,
    placements: BTreeMap<id::Service, Arc<Placement>>,
    alive: Vec<id::Host>,
}

impl From<View> for Seen {
    fn from(view: View) -> Self {
        Self {
            config: view.values.config.clone(),
            roster: view.values.roster.clone(),
            placements: view.values.placements.clone(),
            alive: view.alive.to_vec(),
        }
    }
}

impl From<Seen> for View {
    fn from(seen: Seen) -> Self {
        let values = Values {
            config: seen.config,
            roster: seen.roster,
            placements: seen.placements,
        };
        Self::new(values, seen.alive)
    }
}
