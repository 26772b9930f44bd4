//! Exponential back-off with full jitter, and jitter for periodic work.

use rand::rngs::StdRng;
use rand::RngExt;

use crate::prelude::*;

/// Upper bound of the first delay.
pub const INITIAL_BOUND: Duration = Duration::from_millis(100);
/// Largest upper bound of a delay.
pub const MAX_BOUND: Duration = Duration::from_secs(10);

/// Exponential back-off: counts consecutive failures and derives the next delay from their number.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the delay before the next try: uniform between 0 and a bound that doubles with each
    /// failure. Full jitter spreads the next tries of many nodes that failed at the same time.
    pub fn record_failure(&mut self, rng: &mut StdRng) -> Duration {
        let bound = INITIAL_BOUND
            .saturating_mul(1 << self.failures.min(16))
            .min(MAX_BOUND);
        self.failures = self.failures.saturating_add(1);
        jitter(bound, rng)
    }

    /// Sets the number of failures to 0, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Random duration, uniform between 0 and `bound`.
pub fn jitter(bound: Duration, rng: &mut StdRng) -> Duration {
    Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
}

/// Random duration within 25 % of `interval`, so that nodes which started together do not act at the same time.
pub fn with_jitter(interval: Duration, rng: &mut StdRng) -> Duration {
    interval * 3 / 4 + jitter(interval / 2, rng)
}
