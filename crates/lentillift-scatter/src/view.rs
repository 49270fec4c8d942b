//! What requests are served by: one consistent picture of the published state.

use crate::config::Config;
use crate::server::Server;
use lentillift_core::id;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

/// A picture of the published state; a request keeps the one it arrived under.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// The configuration.
    pub config: Arc<Config>,
    /// The backend servers of each service.
    pub servers: HashMap<id::Service, Vec<Arc<Server>>>,
    /// Failure domains that are to get no work.
    pub evacuated: BTreeSet<id::Domain>,
}
