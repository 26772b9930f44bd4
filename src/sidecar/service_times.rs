//! Times that targets take for the requests of each route, and how likely an answer is late. Without I/O.

use crate::prelude::*;

/// Samples after which a new one counts as much as any other has to.
const SAMPLES: f64 = 50.0;
/// Standard deviation of the logarithm of a time before any sample.
const SPREAD_START: f64 = 0.6;
/// Least standard deviation of the logarithm of a time, for waits that are not exactly known.
const LEAST_SPREAD: f64 = 0.25;
/// Slope at which a logistic curve is nearest to the normal distribution.
const LOGISTIC: f64 = 1.702;

/// Times of one route at an average target. Their logarithms are taken as normally distributed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    samples: f64,
    mean_ln: f64,
    variance: f64,
}

impl RunTime {
    /// The distribution before any sample, around a mean time.
    pub fn around(mean: Duration) -> Self {
        Self {
            samples: 0.0,
            mean_ln: mean.as_secs_f64().max(1e-4).ln(),
            variance: SPREAD_START * SPREAD_START,
        }
    }

    /// Takes the time of a request, already divided by the slowness of its target.
    pub fn add(&mut self, time: Duration) {
        let ln = time.as_secs_f64().max(1e-4).ln();
        self.samples = (self.samples + 1.0).min(SAMPLES);
        let off = ln - self.mean_ln;
        self.mean_ln += off / self.samples;
        // The first samples say nothing about the spread.
        let weight = 1.0 / (self.samples + 10.0);
        self.variance += weight * (off * off - self.variance);
    }

    /// The middle of the times at an average target.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ln.exp())
    }

    /// Part of the requests that take longer than `limit` at a target of this slowness.
    pub fn late(&self, limit: Duration, slow: f64) -> f64 {
        if limit.is_zero() {
            return 1.0;
        }
        let spread = self.variance.sqrt().max(LEAST_SPREAD);
        let z = (limit.as_secs_f64().ln() - self.mean_ln - slow.ln()) / spread;
        1.0 / (1.0 + (LOGISTIC * z).exp())
    }
}

/// Times of all routes.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<SmolStr, RunTime>,
}

impl RunTimes {
    /// Times of a route, once any is known.
    pub fn get(&self, route: &str) -> Option<&RunTime> {
        self.routes.get(route)
    }

    /// Forgets routes that a version does not have.
    pub fn retain<F>(&mut self, has: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|route, _| has(route));
    }

    /// Takes the time of a request at a target of this slowness.
    pub fn add(&mut self, route: &SmolStr, ran: Duration, slow: f64) {
        let time = ran.div_f64(slow);
        match self.routes.get_mut(route) {
            Some(t) => t.add(time),
            None => {
                let mut t = RunTime::around(time);
                t.add(time);
                self.routes.insert(route.clone(), t);
            }
        }
    }
}
