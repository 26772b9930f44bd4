//! Arrival times of an open-loop load.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::prelude::*;

/// Poisson arrivals over several kinds of request; the same seed gives the same sequence.
pub struct Arrivals {
    rng: StdRng,
    rates: Vec<f64>,
    total: f64,
    at: f64,
}

impl Arrivals {
    /// Arrivals at these rates, in requests per second, one for each kind.
    pub fn new(seed: u64, rates: Vec<f64>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            total: rates.iter().sum(),
            rates,
            at: 0.0,
        }
    }
}

impl Iterator for Arrivals {
    /// Time since the start and index of the kind.
    type Item = (Duration, usize);

    fn next(&mut self) -> Option<Self::Item> {
        if self.total <= 0.0 {
            return None;
        }
        // A uniform value in (0, 1], so that the logarithm is finite.
        let uniform = 1.0 - self.rng.random::<f64>();
        self.at += -uniform.ln() / self.total;
        let mut pick = self.rng.random::<f64>() * self.total;
        let mut kind = 0;
        for (i, rate) in self.rates.iter().enumerate() {
            if *rate > 0.0 {
                kind = i;
                if pick < *rate {
                    break;
                }
            }
            pick -= rate;
        }
        Some((Duration::from_secs_f64(self.at), kind))
    }
}
