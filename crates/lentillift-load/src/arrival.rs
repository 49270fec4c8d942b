//! Arrival times and keys of requests, drawn from a scenario.

use crate::scenario::Scenario;
use crate::scenario::Stream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A request and the time at which it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub due: Duration,
    /// Index of its stream in the scenario.
    pub stream: usize,
    /// Which of the stream's distinct queries it sends; 0 is the most frequent.
    pub key: u64,
}

/// Draws all arrivals of a scenario, sorted by time; the same seed gives the same arrivals.
pub fn draw(scenario: &Scenario) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in scenario.streams.iter().enumerate() {
        let seed = scenario.seed.wrapping_add(index as u64);
        let mut rng = StdRng::seed_from_u64(seed);
        let zipf = Zipf::new(stream.keys, stream.zipf);
        let mut at = 0.0;
        loop {
            at += gap(stream, at, &mut rng);
            if at >= scenario.seconds as f64 {
                break;
            }
            arrivals.push(Arrival {
                due: Duration::from_secs_f64(at),
                stream: index,
                key: zipf.draw(&mut rng),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.due);
    arrivals
}

/// Seconds from one arrival to the next, drawn from a Poisson process with the stream's rate at `at`.
fn gap<R>(stream: &Stream, at: f64, rng: &mut R) -> f64
where
    R: Rng,
{
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let burst = stream.burst.as_ref();
    let burst = burst.filter(|burst| (burst.at..burst.at + burst.seconds).contains(&at));
    let rate = stream.rate * burst.map_or(1.0, |burst| burst.factor);
    -uniform.ln() / rate.max(f64::MIN_POSITIVE)
}

/// A Zipf distribution, as a table of cumulative weights.
struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(keys: u64, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weight = |rank: u64| (rank as f64).powf(-exponent);
        let cumulative = (1..=keys.max(1)).map(|rank| {
            sum += weight(rank);
            sum
        });
        Self {
            cumulative: cumulative.collect(),
        }
    }

    fn draw<R>(&self, rng: &mut R) -> u64
    where
        R: Rng,
    {
        let sum = self.cumulative.last().copied().unwrap_or(1.0);
        let at = rng.random_range(0.0..sum);
        self.cumulative.partition_point(|weight| *weight <= at) as u64
    }
}
