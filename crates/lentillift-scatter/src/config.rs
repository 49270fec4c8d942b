//! The configuration that operators publish: routes, services and limits of callers.

use lentillift_core::id;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use twox_hash::XxHash64;

/// Version number of a configuration; it only increases.
pub type Version = u64;

/// How often a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
}

/// One of several services that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the service.
    pub service: id::Service,
    /// Its share of the requests, relative to the weights of the other parts.
    pub weight: u32,
}

/// A search over every shard.
#[derive(Debug, Clone, PartialEq)]
pub struct Scatter {
    /// The services, each of which holds one shard.
    pub shards: Arc<[id::Service]>,
    /// Number of records in an answer.
    pub records: usize,
    /// Minimum fraction of the shards that an answer must cover, from 0 to 1.
    pub coverage: f64,
}

/// Where a route's requests go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one of these services, chosen by weight.
    Split(Vec<Part>),
    /// To every shard.
    Scatter(Scatter),
}

/// A rule for requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route; reply times are kept by it.
    pub name: Arc<str>,
    /// Host that callers name in the request.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Services that the requests go to.
    pub target: Target,
    /// How often a request may be run.
    pub kind: Kind,
    /// Maximum number of backend servers that a request may be sent to, for each shard.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which callers want the answer.
    pub objective: Duration,
}

impl Target {
    /// Returns the service for the request with this id; none for a scatter.
    ///
    /// The id decides, so that the same request goes to the same service on every host, and the
    /// shares follow the weights without shared counters.
    pub fn service(&self, id: &str) -> Option<&id::Service> {
        let Self::Split(parts) = self else {
            return None;
        };
        let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return parts.first().map(|part| &part.service);
        }
        let mut ticket = XxHash64::oneshot(0, id.as_bytes()) % total;
        for part in parts {
            let weight = u64::from(part.weight);
            if ticket < weight {
                return Some(&part.service);
            }
            ticket -= weight;
        }
        None
    }
}

/// Limits of a service's backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts from all hosts together.
    pub connections: u32,
    /// Requests a second that a cold backend server can take; none if no limit is known.
    pub cold_rate: Option<f64>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time that a caller has to send a head.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle without a request.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its version number.
    pub version: Version,
    /// Routes by host in lower case; within a host, longer prefixes come first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<id::Service, Service>,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Config {
    /// Creates a configuration, indexing the routes by host.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: HashMap<id::Service, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services,
            limits,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
