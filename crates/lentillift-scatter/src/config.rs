//! The configuration that operators publish: routes, services and limits of callers.

use lentillift_core::id;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use twox_hash::XxHash64;

/// Number of a configuration; it only rises.
pub type Version = u64;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Once,
}

/// One of several services that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// Its share of the requests, relative to the other parts' weights.
    pub weight: u32,
}

/// A search over every shard.
#[derive(Debug, Clone, PartialEq)]
pub struct Scatter {
    /// The services that hold one shard each.
    pub shards: Arc<[id::Service]>,
    /// Records that the caller wants.
    pub records: usize,
    /// Least share of the shards that makes an answer, from 0 to 1.
    pub coverage: f64,
}

/// Where a route's requests go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one of these services, drawn by weight.
    Split(Vec<Part>),
    /// To every shard.
    Scatter(Scatter),
}

/// A rule for requests of one host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Start of the path, with a slash at either end.
    pub prefix: String,
    /// Where requests go.
    pub target: Target,
    /// How often a request may run.
    pub kind: Kind,
    /// Backend servers that one request may be sent to, for each shard.
    pub attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which callers want the answer.
    pub objective: Duration,
}

impl Target {
    /// The service that serves the request `id`; none for a scatter.
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

/// What the configuration says of a service's backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts from all hosts together.
    pub connections: u32,
    /// Requests a second that a cold backend server bears; none where no bound is known.
    pub cold_rate: Option<f64>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its number.
    pub version: Version,
    /// The routes, by host; longer prefixes come first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services, by name.
    pub services: HashMap<id::Service, Service>,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Config {
    /// Makes a configuration.
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

    /// The route with the longest prefix that starts `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
