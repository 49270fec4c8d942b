//! Which replica of a shard is asked.
//!
//! Pattern: one replica is slow, full, cold or gone while another is idle. Without this module
//! half of the sub-requests go to the slow one. Owners send their counts of a backend server along
//! with every result; the replica with the least expected wait is asked. Of more than two replicas
//! two are drawn and compared, so that entries that know the same do not all run to the same one
//! (Mitzenmacher, "The Power of Two Choices", 2001).
//!
//! Figures: counts older than a second are not believed, and the server is held to be idle: one
//! sub-request a second finds out whether it is. Another failure domain has to be better by 5%,
//! which is less than the 1 ms between domains costs and so never outweighs a queue.

use lentillift_core::id;
use lentillift_core::sub::Load;
use lentillift_core::time::Time;
use lentillift_settings::policy::Choice as Options;
use lentillift_settings::policy::millis;
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Time that a request is held to take at a server of which nothing is known.
const GUESS: Duration = Duration::from_millis(1);

/// Part of a request's time that the next one waits on average for the last slot to come free, if
/// others arrive at random.
const ARRIVAL: u32 = 4;

/// Wait that is held against a server which takes nothing.
const CLOSED: Duration = Duration::from_secs(3600);

/// A replica that could be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The backend server.
    pub backend: &'a id::Backend,
    /// Whether it is in the failure domain of this process.
    pub same_domain: bool,
}

/// What is known of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Known {
    load: Load,
    at: Option<Time>,
    /// Sub-requests sent since.
    sent: u32,
}

/// What is known of the backend servers' loads.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    // INVARIANT: Holds published backend servers only.
    known: HashMap<id::Backend, Known>,
}

impl Loads {
    /// Bytes that a backend server takes, its name's pointer included.
    pub const BYTES_PER_BACKEND: usize = size_of::<(id::Backend, Known)>();

    /// Takes in what an owner tells of a backend server.
    pub fn record(&mut self, now: Time, backend: &id::Backend, load: Load) {
        let known = Known {
            load,
            at: Some(now),
            sent: 0,
        };
        self.known.insert(backend.clone(), known);
    }

    /// Notes that a sub-request was sent to a backend server.
    pub fn record_sent(&mut self, backend: &id::Backend) {
        if let Some(known) = self.known.get_mut(backend) {
            known.sent = known.sent.saturating_add(1);
        } else {
            let known = Known {
                sent: 1,
                ..Known::default()
            };
            self.known.insert(backend.clone(), known);
        }
    }

    /// Forgets backend servers that are no longer published.
    pub fn retain(&mut self, keep: impl Fn(&id::Backend) -> bool) {
        self.known.retain(|backend, _| keep(backend));
    }

    /// What an owner told last of a backend server, unless it is too old to be believed.
    pub fn load(&self, options: &Options, now: Time, backend: &str) -> Option<&Load> {
        let known = self.known.get(backend)?;
        let at = known.at?;
        let fresh = now.saturating_sub(at) < millis(options.age_ms);
        fresh.then_some(&known.load)
    }

    /// Whether `backend` is known to be of no use for a hedge: cold, or with others waiting.
    ///
    /// That others wait is believed for as long as their wait was to take.
    pub fn is_busy(&self, options: &Options, now: Time, backend: &str) -> bool {
        let Some(load) = self.load(options, now, backend) else {
            return false;
        };
        let at = self.known.get(backend).and_then(|known| known.at);
        let age = now.saturating_sub(at.unwrap_or_default());
        load.cold || load.limit == 0 || (load.queued > 0 && age < load.wait)
    }

    /// Time until a further sub-request to `backend` would be answered.
    pub fn expected_latency(&self, options: &Options, now: Time, backend: &str) -> Duration {
        let Some(known) = self.known.get(backend) else {
            return GUESS;
        };
        let Some(load) = self.load(options, now, backend) else {
            return GUESS;
        };
        if load.limit == 0 {
            return CLOSED;
        }
        let run = load.run.max(GUESS);
        // What was sent since the counts were made fills free slots first, then waits.
        let taken = load.running + known.sent;
        let behind = (taken + 1).saturating_sub(load.limit);
        let since = run * behind.min(known.sent) / load.limit;
        // The fewer slots are free, the likelier none is when the sub-request arrives.
        let chance = run * taken / load.limit / ARRIVAL;
        load.wait + since + chance + run
    }

    /// Chooses among replicas; `None` when there is none.
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
        // Another one than the first, each as likely as any.
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
