//! A consistent snapshot of the published state, from which requests are served.

use crate::config::Config;
use crate::server::Server;
use lentillift_core::id;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

/// A snapshot of the published state; a request keeps the one that was the latest on its arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Backend servers by service.
    pub servers: HashMap<id::Service, Vec<Arc<Server>>>,
    /// Failure domains that are to get no work.
    pub evacuated: BTreeSet<id::Domain>,
}
