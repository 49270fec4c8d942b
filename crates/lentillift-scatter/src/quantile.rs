//! Tracks a quantile of a stream of durations without storing the samples.

use std::time::Duration;

/// Relative step of the estimate; it settles after about a hundred samples.
const STEP: f64 = 0.04;

/// Minimum estimate; an estimate of zero could never rise again.
const MIN_ESTIMATE: Duration = Duration::from_micros(200);

/// Moves `estimate` one step towards the duration that the fraction `quantile` of the samples stays
/// below.
pub fn step(estimate: Duration, sample: Duration, quantile: f64) -> Duration {
    let factor = match sample > estimate {
        true => 1.0 + STEP * quantile,
        false => 1.0 - STEP * (1.0 - quantile),
    };
    estimate.mul_f64(factor).max(MIN_ESTIMATE)
}
