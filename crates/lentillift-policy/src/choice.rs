//! Which replica of a shard a sub-request is sent to.
//!
//! Pattern: one replica is slow, full, cold or down while another is idle. Without this module half
//! of the sub-requests go to the slow one. Owners send their load counts for a backend server with
//! every result, and the replica with the lowest expected latency is chosen. Of more than two
//! replicas, two are drawn at random and compared, so that entries with the same information do not
//! all choose the same one (Mitzenmacher, "The Power of Two Choices", 2001).
//!
//! Defaults: counts older than a second are ignored, and the server is assumed to be idle; one
//! sub-request per second then finds out whether it is. A replica in another failure domain must be
//! better by 5%, which is less than the 1 ms of network latency between domains and so never
//! outweighs a queue.

use lentillift_core::id;
use lentillift_core::sub::Load;
use lentillift_core::time::Time;
use lentillift_settings::policy::Choice as Options;
use lentillift_settings::policy::millis;
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Assumed latency of a server of which nothing is known, and lower bound for the others.
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);

/// A request that arrives at a random time waits on average this fraction (1/n) of a request's time
/// until the last slot is free.
const RESIDUAL_WAIT_DIVISOR: u32 = 4;

/// Latency that is assumed for a server that accepts no work.
const NO_CAPACITY_LATENCY: Duration = Duration::from_secs(3600);

/// A replica that can be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The backend server that holds the replica.
    pub backend: &'a id::Backend,
    /// Whether it is in the failure domain of this process.
    pub same_domain: bool,
}

/// The last known load of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct KnownLoad {
    load: Load,
    /// When `load` was received; `None` before the first.
    received_at: Option<Time>,
    /// Sub-requests sent since.
    sent: u32,
}

/// The last known loads of backend servers.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    // INVARIANT: Holds published backend servers only.
    known: HashMap<id::Backend, KnownLoad>,
}

impl Loads {
    /// Bytes per backend server, its name's pointer included.
    pub const BYTES_PER_BACKEND: usize = size_of::<(id::Backend, KnownLoad)>();

    /// Records the load that an owner sent for a backend server.
    pub fn record(&mut self, now: Time, backend: &id::Backend, load: Load) {
        let known = KnownLoad {
            load,
            received_at: Some(now),
            sent: 0,
        };
        self.known.insert(backend.clone(), known);
    }

    /// Records that a sub-request was sent to a backend server.
    pub fn record_sent(&mut self, backend: &id::Backend) {
        if let Some(known) = self.known.get_mut(backend) {
            known.sent = known.sent.saturating_add(1);
        } else {
            let known = KnownLoad {
                sent: 1,
                ..KnownLoad::default()
            };
            self.known.insert(backend.clone(), known);
        }
    }

    /// Removes backend servers that are no longer published.
    pub fn retain(&mut self, keep: impl Fn(&id::Backend) -> bool) {
        self.known.retain(|backend, _| keep(backend));
    }

    /// The last load received for a backend server; `None` if it is stale.
    pub fn load(&self, options: &Options, now: Time, backend: &str) -> Option<&Load> {
        let known = self.known.get(backend)?;
        let received_at = known.received_at?;
        let fresh = now.saturating_sub(received_at) < millis(options.age_ms);
        fresh.then_some(&known.load)
    }

    /// Whether `backend` is known to refuse hedges: it is cold or has requests waiting.
    ///
    /// Waiting requests count for as long as they were expected to wait.
    pub fn is_busy(&self, options: &Options, now: Time, backend: &str) -> bool {
        let Some(load) = self.load(options, now, backend) else {
            return false;
        };
        let received_at = self.known.get(backend).and_then(|known| known.received_at);
        let age = now.saturating_sub(received_at.unwrap_or_default());
        load.cold || load.limit == 0 || (load.queued > 0 && age < load.wait)
    }

    /// Expected time until a new sub-request to `backend` is answered.
    pub fn expected_latency(&self, options: &Options, now: Time, backend: &str) -> Duration {
        let Some(known) = self.known.get(backend) else {
            return DEFAULT_LATENCY;
        };
        let Some(load) = self.load(options, now, backend) else {
            return DEFAULT_LATENCY;
        };
        if load.limit == 0 {
            return NO_CAPACITY_LATENCY;
        }
        let run = load.run.max(DEFAULT_LATENCY);
        // Sub-requests sent since the load was received fill free slots first, then wait.
        let occupied = load.running + known.sent;
        let waiting = (occupied + 1).saturating_sub(load.limit);
        let wait_since = run * waiting.min(known.sent) / load.limit;
        // The fewer slots are free, the likelier the sub-request finds none when it arrives.
        let residual_wait = run * occupied / load.limit / RESIDUAL_WAIT_DIVISOR;
        load.wait + wait_since + residual_wait + run
    }

    /// Chooses among replicas; `None` when there are none.
    pub fn choose<'a, R>(
        &self,
        options: &Options,
        now: Time,
        rng: &mut R,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a id::Backend>
    where
        R: Rng,
    {
        let first = rng.random_range(0..candidates.len().max(1));
        let first = candidates.get(first)?;
        if !options.on || candidates.len() == 1 {
            return Some(first.backend);
        }
        // Any replica but the first, each with the same probability.
        let others: Vec<_> = candidates.iter().filter(|c| *c != first).collect();
        let second = others[rng.random_range(0..others.len())];
        let score = |candidate: &Candidate<'_>| {
            let expected = self.expected_latency(options, now, candidate.backend);
            match candidate.same_domain {
                true => expected,
                false => expected * (100 + options.domain_percent) / 100,
            }
        };
        let best = if score(second) < score(first) {
            second
        } else {
            first
        };
        Some(best.backend)
    }
}
