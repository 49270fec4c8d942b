//! A backend server that takes its time.

use super::setup::Setup;
use lentillift_core::hit::Hit;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_owner::core::Ticket;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// How many times as long a request takes whose body starts with [`LONG`].
const LONG_FACTOR: f64 = 20.0;

/// Start of the body of a long request.
pub const LONG: &str = "long";

/// The body that many queries share.
pub const SAME: &str = "same";

/// How many times as long a request takes at a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Number of a request at all owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    pub owner: usize,
    pub ticket: Ticket,
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    /// Its client has given it up; the server goes on.
    Late,
    Cancelled,
    /// The server fell over.
    Broken,
}

/// What comes of a request that was started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    Runs(Duration),
    Hangs,
    /// The server was cold and had too much; these are lost.
    Falls(Vec<Run>),
}

/// What a server reports, whatever is true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Says {
    Truth,
    Idle,
    Full,
    Cold,
    Draining,
    Nothing,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    shard: u32,
    /// Whether it has the body that many queries share, and is no hedge.
    same: bool,
    /// Whether its client has given it up.
    late: bool,
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Fake {
    slots: u32,
    service_time: Duration,
    /// How many times as long each request takes.
    pub slow: f64,
    /// Share of requests that take ten times as long.
    pub stragglers: f64,
    pub hung: bool,
    /// Requests that it still has to serve before it is warm.
    pub cold: u32,
    /// Number of its start, if it tells it.
    pub incarnation: Option<u64>,
    pub says: Says,
    running: BTreeMap<Run, Running>,
    /// Requests that were started.
    pub runs: u64,
    /// Most requests at a time.
    pub peak: usize,
    /// Most requests at a time while cold.
    pub cold_peak: usize,
    /// Times that it fell over.
    pub falls: u64,
}

impl Fake {
    pub fn new(setup: &Setup) -> Self {
        Self {
            slots: setup.slots,
            service_time: setup.service_time,
            slow: 1.0,
            stragglers: 0.0,
            hung: false,
            cold: 0,
            incarnation: None,
            says: Says::Truth,
            running: BTreeMap::new(),
            runs: 0,
            peak: 0,
            cold_peak: 0,
            falls: 0,
        }
    }

    /// Requests with the body that many queries share, hedges aside.
    pub fn same(&self) -> usize {
        self.running.values().filter(|running| running.same).count()
    }

    pub fn start(&mut self, run: Run, sub: &Sub, rng: &mut StdRng) -> Start {
        let shard = match sub.work {
            sub::Work::Search { shard, .. } => shard,
            sub::Work::Action { .. } => 0,
        };
        self.runs += 1;
        let running = Running {
            shard,
            same: &*sub.body == SAME.as_bytes() && !sub.hedge,
            late: false,
        };
        self.running.insert(run, running);
        self.peak = self.peak.max(self.running.len());
        if self.hung {
            return Start::Hangs;
        }
        let mut factor = self.slow * rng.random_range(0.8..1.2);
        if self.cold > 0 {
            self.cold_peak = self.cold_peak.max(self.running.len());
            factor *= COLD_FACTOR;
            if self.running.len() > 1 {
                self.falls += 1;
                return Start::Falls(self.running.keys().copied().collect());
            }
        }
        if rng.random_bool(self.stragglers) {
            factor *= 10.0;
        }
        if sub.body.starts_with(LONG.as_bytes()) {
            factor *= LONG_FACTOR;
        }
        // More than its slots make all of them slower.
        let crowd = self.running.len() as f64 / f64::from(self.slots);
        Start::Runs(self.service_time.mul_f64(factor * crowd.max(1.0)))
    }

    pub fn end(&mut self, run: Run, end: End) -> Option<(sub::Result, Report)> {
        if end == End::Late {
            let running = self.running.get_mut(&run)?;
            running.late = true;
            let result = sub::Result::unknown(Failure::Timeout);
            return Some((result, Report::default()));
        }
        let running = self.running.remove(&run)?;
        if running.late {
            return None;
        }
        let result = match end {
            End::Done => {
                self.cold = self.cold.saturating_sub(1);
                sub::Result::Hits(vec![Hit {
                    id: running.shard.to_string(),
                    score: 1.0,
                    json: "{}".to_owned(),
                }])
            }
            End::Late | End::Cancelled => sub::Result::unknown(Failure::Timeout),
            End::Broken => sub::Result::unknown(Failure::Connection),
        };
        let report = match end {
            End::Done => self.report(),
            _ => Report::default(),
        };
        Some((result, report))
    }

    fn report(&self) -> Report {
        let says = |load, draining, cold| Report {
            load: Some(load),
            draining,
            cold,
            incarnation: self.incarnation,
        };
        let load = self.running.len() as f64 / f64::from(self.slots);
        match self.says {
            Says::Truth => says(load, false, self.cold > 0),
            Says::Idle => says(0.0, false, false),
            Says::Full => says(1.0, false, false),
            Says::Cold => says(load, false, true),
            Says::Draining => says(load, true, false),
            Says::Nothing => Report::default(),
        }
    }
}
