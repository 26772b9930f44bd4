//! Delays between attempts: exponential bounds with full jitter.

use rand::rngs::StdRng;
use rand::RngExt;

use crate::prelude::*;

/// Bound of the first delay.
pub const FIRST: Duration = Duration::from_millis(100);
/// Greatest bound.
pub const LAST: Duration = Duration::from_secs(10);

/// Failures in a row and the delay that follows from them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and draws the delay before the next attempt: uniform between 0 and a bound that doubles with
    /// each failure. Full jitter spreads the attempts of many nodes that failed at the same moment.
    pub fn fail(&mut self, rng: &mut StdRng) -> Duration {
        let bound = FIRST.saturating_mul(1 << self.failures.min(16)).min(LAST);
        self.failures = self.failures.saturating_add(1);
        jitter(bound, rng)
    }

    /// Forgets the failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Uniform duration between 0 and `bound`.
pub fn jitter(bound: Duration, rng: &mut StdRng) -> Duration {
    Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
}

/// Interval with a jitter of a quarter to both sides, so that nodes started together drift apart.
pub fn around(interval: Duration, rng: &mut StdRng) -> Duration {
    interval * 3 / 4 + jitter(interval / 2, rng)
}
