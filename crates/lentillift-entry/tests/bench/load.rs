//! Open-loop streams of queries: arrivals do not depend on the answers to earlier queries.

use super::backend::LONG;
use super::backend::SAME;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_entry::answer::SearchRequest;
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// The bodies of the queries of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// A different body each time.
    Fresh,
    /// The same body each time.
    Same,
    /// A different body each time, of a query that takes long.
    Long,
}

/// A Poisson stream of queries.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Label under which results are counted.
    pub label: &'static str,
    pub caller: &'static str,
    /// Queries per second.
    pub rate: f64,
    pub from: Time,
    pub until: Time,
    pub allowance: Duration,
    pub body: Body,
}

impl Stream {
    pub fn new(caller: &'static str, rate: f64, from: f64, until: f64) -> Self {
        Self {
            label: caller,
            caller,
            rate,
            from: Duration::from_secs_f64(from),
            until: Duration::from_secs_f64(until),
            allowance: Duration::from_millis(130),
            body: Body::Fresh,
        }
    }

    /// The request number `request` of the stream.
    pub fn request(&self, service: &str, request: id::Request) -> SearchRequest {
        let body = match self.body {
            Body::Fresh => format!("{request}"),
            Body::Same => SAME.to_owned(),
            Body::Long => format!("{LONG}{request}"),
        };
        SearchRequest {
            service: service.into(),
            caller: self.caller.into(),
            allowance: self.allowance,
            limit: 100,
            least_coverage: 0.0,
            body: body.into_bytes().into(),
        }
    }

    /// A random time to the next arrival.
    pub fn gap(&self, rng: &mut StdRng) -> Duration {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }
}
