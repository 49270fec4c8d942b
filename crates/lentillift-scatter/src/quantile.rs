//! Following a quantile of times that are measured one by one, without keeping them.

use std::time::Duration;

/// Step by which an estimate moves; a hundred samples settle it.
const STEP: f64 = 0.04;

/// Least estimate; from zero it would never rise again.
const MIN_ESTIMATE: Duration = Duration::from_micros(200);

/// Moves `estimate` towards the time that the share `quantile` of the samples stays below.
pub fn step(estimate: Duration, sample: Duration, quantile: f64) -> Duration {
    let factor = match sample > estimate {
        true => 1.0 + STEP * quantile,
        false => 1.0 - STEP * (1.0 - quantile),
    };
    estimate.mul_f64(factor).max(MIN_ESTIMATE)
}
