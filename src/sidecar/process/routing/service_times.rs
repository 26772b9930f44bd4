//! Distribution of the service times of each route, and the probability of a late response. No I/O.

use crate::prelude::*;

/// Sample count at which the mean turns into a moving average with a constant weight of one over this count.
const MAX_SAMPLES: f64 = 50.0;
/// Standard deviation of the logarithm of a time before the first sample.
const INITIAL_STD_DEV: f64 = 0.6;
/// Minimum standard deviation of the logarithm of a time; it allows for the uncertainty of the expected wait.
const MIN_STD_DEV: f64 = 0.25;
/// Scale factor with which the logistic function best approximates the normal distribution function.
const LOGISTIC_SCALE: f64 = 1.702;

/// Service times of one route at an average target, modelled as a log-normal distribution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeDistribution {
    samples: f64,
    mean_ln: f64,
    variance: f64,
}

impl TimeDistribution {
    /// Creates the initial distribution with the given median and no samples.
    pub fn with_median(median: Duration) -> Self {
        Self {
            samples: 0.0,
            mean_ln: median.as_secs_f64().max(1e-4).ln(),
            variance: INITIAL_STD_DEV * INITIAL_STD_DEV,
        }
    }

    /// Adds the service time of a request, already divided by the slowdown of its target.
    pub fn add(&mut self, time: Duration) {
        let ln = time.as_secs_f64().max(1e-4).ln();
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        let diff = ln - self.mean_ln;
        self.mean_ln += diff / self.samples;
        // Less than the weight in the mean, because the first samples say nothing about the variance.
        let weight = 1.0 / (self.samples + 10.0);
        self.variance += weight * (diff * diff - self.variance);
    }

    /// Median service time at an average target.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ln.exp())
    }

    /// Fraction of the requests that take longer than `limit` at a target with this slowdown.
    pub fn late_fraction(&self, limit: Duration, slowdown: f64) -> f64 {
        if limit.is_zero() {
            return 1.0;
        }
        let std_dev = self.variance.sqrt().max(MIN_STD_DEV);
        let z = (limit.as_secs_f64().ln() - self.mean_ln - slowdown.ln()) / std_dev;
        1.0 / (1.0 + (LOGISTIC_SCALE * z).exp())
    }
}

/// Service times at an average target, by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<SmolStr, TimeDistribution>,
}

impl ServiceTimes {
    /// Service times of a route; `None` before the first sample.
    pub fn get(&self, route: &str) -> Option<&TimeDistribution> {
        self.routes.get(route)
    }

    /// Removes the routes for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.routes.retain(|route, _| keep(route));
    }

    /// Adds the service time of a request that was measured at a target with this slowdown.
    pub fn add(&mut self, route: &SmolStr, measured: Duration, slowdown: f64) {
        let time = measured.div_f64(slowdown);
        match self.routes.get_mut(route) {
            Some(t) => t.add(time),
            None => {
                let mut t = TimeDistribution::with_median(time);
                t.add(time);
                self.routes.insert(route.clone(), t);
            }
        }
    }
}
