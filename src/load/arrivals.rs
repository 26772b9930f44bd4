//! Arrival times of open-loop load.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

/// Poisson process of arrivals over several kinds of request; the same seed gives the same sequence.
pub struct Arrivals {
    rng: StdRng,
    rates: Vec<f64>,
    total_rate: f64,
    /// Time of the last arrival since the start, in seconds.
    last_s: f64,
}

impl Arrivals {
    /// Creates the process from the rates of the kinds, in requests per second.
    pub fn new(seed: u64, rates: Vec<f64>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            total_rate: rates.iter().sum(),
            rates,
            last_s: 0.0,
        }
    }
}

impl Iterator for Arrivals {
    /// Time of the arrival since the start, and the index of its kind.
    type Item = (Duration, usize);

    fn next(&mut self) -> Option<Self::Item> {
        if self.total_rate <= 0.0 {
            return None;
        }
        // A uniform value in (0, 1], so that the logarithm is finite.
        let uniform = 1.0 - self.rng.random::<f64>();
        self.last_s += -uniform.ln() / self.total_rate;
        // Selects a kind with a probability in proportion to its rate.
        let mut point = self.rng.random::<f64>() * self.total_rate;
        let mut kind = 0;
        for (i, rate) in self.rates.iter().enumerate() {
            if *rate > 0.0 {
                kind = i;
                if point < *rate {
                    break;
                }
            }
            point -= rate;
        }
        Some((Duration::from_secs_f64(self.last_s), kind))
    }
}
