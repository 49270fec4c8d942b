//! A fake backend server with service times, slots, cold starts and faults.

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

/// Factor on the service time of a request whose body starts with [`LONG`].
const LONG_FACTOR: f64 = 20.0;

/// Prefix of the body of a long request.
pub const LONG: &str = "long";

/// The body that many queries share.
pub const SAME: &str = "same";

/// Factor on the service time at a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Identifies a request among those of all owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    pub owner: usize,
    pub ticket: Ticket,
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    /// The deadline of its client passed; the server continues to run it.
    Late,
    Cancelled,
    /// The server crashed.
    Broken,
}

/// Result of starting a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// It ends after this time.
    Runs(Duration),
    Hangs,
    /// The server crashed because it had more than one request while cold; these are lost.
    Crashes(Vec<Run>),
}

/// What a server reports about itself, true or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportMode {
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
    /// Whether it has the body [`SAME`] and is no hedge.
    same: bool,
    /// Whether the deadline of its client has passed.
    late: bool,
}

/// A fake backend server.
#[derive(Debug, Clone)]
pub struct FakeServer {
    slots: u32,
    service_time: Duration,
    /// Factor on the service time of every request.
    pub slow: f64,
    /// Share of requests that take ten times as long, from 0 to 1.
    pub stragglers: f64,
    pub hung: bool,
    /// Number of requests that it has to serve until it is warm.
    pub cold: u32,
    /// Number of its current start, if it reports one.
    pub incarnation: Option<u64>,
    pub reports: ReportMode,
    running: BTreeMap<Run, Running>,
    /// Number of requests that were started.
    pub runs: u64,
    /// Maximum number of concurrent requests.
    pub peak: usize,
    /// Maximum number of concurrent requests while cold.
    pub cold_peak: usize,
    /// Number of crashes.
    pub crashes: u64,
}

impl FakeServer {
    pub fn new(setup: &Setup) -> Self {
        Self {
            slots: setup.slots,
            service_time: setup.service_time,
            slow: 1.0,
            stragglers: 0.0,
            hung: false,
            cold: 0,
            incarnation: None,
            reports: ReportMode::Truth,
            running: BTreeMap::new(),
            runs: 0,
            peak: 0,
            cold_peak: 0,
            crashes: 0,
        }
    }

    /// Number of running requests with the body [`SAME`], hedges not counted.
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
                self.crashes += 1;
                return Start::Crashes(self.running.keys().copied().collect());
            }
        }
        if rng.random_bool(self.stragglers) {
            factor *= 10.0;
        }
        if sub.body.starts_with(LONG.as_bytes()) {
            factor *= LONG_FACTOR;
        }
        // More requests than slots slow each of them down.
        let contention = self.running.len() as f64 / f64::from(self.slots);
        Start::Runs(self.service_time.mul_f64(factor * contention.max(1.0)))
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
        let report = |load, draining, cold| Report {
            load: Some(load),
            draining,
            cold,
            incarnation: self.incarnation,
        };
        let load = self.running.len() as f64 / f64::from(self.slots);
        match self.reports {
            ReportMode::Truth => report(load, false, self.cold > 0),
            ReportMode::Idle => report(0.0, false, false),
            ReportMode::Full => report(1.0, false, false),
            ReportMode::Cold => report(load, false, true),
            ReportMode::Draining => report(load, true, false),
            ReportMode::Nothing => Report::default(),
        }
    }
}
