//! Serialised form of a view: the inputs from which it is derived.

use crate::view::Values;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::config::Config;
use lentillift_settings::placement::Placement;
use lentillift_settings::roster::Roster;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Inputs from which a view is derived.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Seen {
    config: Option<Arc<Config>>,
    roster: Option<Arc<Roster>>,
    placements: BTreeMap<id::Service, Arc<Placement>>,
    alive: Vec<id::Host>,
    /// Time from which the view is too old to act on; none if it never is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fresh_until: Option<Time>,
}

impl From<View> for Seen {
    fn from(view: View) -> Self {
        Self {
            config: view.values.config.clone(),
            roster: view.values.roster.clone(),
            placements: view.values.placements.clone(),
            alive: view.alive.to_vec(),
            fresh_until: Some(view.fresh_until).filter(|until| *until < Time::MAX),
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
        Self {
            fresh_until: seen.fresh_until.unwrap_or(Time::MAX),
            ..Self::new(values, seen.alive)
        }
    }
}
