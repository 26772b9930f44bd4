//! Tells a target that will not respond to a request from one that is slow. No I/O.
//!
//! It handles targets that never respond to a request for which they have no room. Waiting for the deadline would leave
//! no time for another target. A request counts as unanswered if it has waited much longer than the slowest recent
//! response of its route at this target, while requests that were sent after it were answered, or several times as long
//! without them. A target that has become slow answers those late too, and its first slow responses raise the bound.

use crate::prelude::*;

/// Responses of a route before its times are used.
const MIN_SAMPLES: u32 = 20;
/// Weight with which the slowest recent response decays to the mean; it is remembered for about a hundred responses.
const DECAY_WEIGHT: f64 = 0.01;
/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Multiple of the slowest recent response that is the bound.
const BOUND_FACTOR: f64 = 3.0;
/// Minimum of the bound as a multiple of the mean. Single requests may take ten times as long as others, and one at which
/// the target is at work must not be given up.
const MIN_MEAN_FACTOR: f64 = 12.0;
/// Minimum of the bound; a pause of the process or of the VM takes as long.
const MIN_BOUND: Duration = Duration::from_millis(250);
/// Number of later requests that must have been answered.
const MIN_OVERTAKEN: u32 = 3;
/// Multiple of the bound from which on a request counts as unanswered even if no later one was answered: the target may
/// have no others.
const ALONE_FACTOR: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct Times {
    samples: u32,
    mean: f64,
    slowest: f64,
}

/// Response times of each route at the target, in seconds.
#[derive(Debug, Default, Clone)]
pub struct ResponseTimes {
    routes: HashMap<SmolStr, Times>,
}

impl ResponseTimes {
    /// Records the time of a response.
    pub fn record(&mut self, route: &SmolStr, time: Duration) {
        let time = time.as_secs_f64();
        let first = Times {
            samples: 0,
            mean: time,
            slowest: time,
        };
        let t = self.routes.entry(route.clone()).or_insert(first);
        t.samples = t.samples.saturating_add(1);
        t.mean += MEAN_WEIGHT * (time - t.mean);
        let decayed = t.slowest + DECAY_WEIGHT * (t.mean - t.slowest);
        t.slowest = decayed.max(time);
    }

    /// Age from which on a request of this route may count as unanswered; `None` if too little is known.
    pub fn bound(&self, route: &str) -> Option<Duration> {
        let t = self
            .routes
            .get(route)
            .filter(|t| t.samples >= MIN_SAMPLES)?;
        let bound = (BOUND_FACTOR * t.slowest).max(MIN_MEAN_FACTOR * t.mean);
        Some(Duration::from_secs_f64(bound).max(MIN_BOUND))
    }

    /// Whether a request of this age, after which `overtaken` later ones were answered, will have no response.
    pub fn is_unanswered(&self, route: &str, age: Duration, overtaken: u32) -> bool {
        let factor = match overtaken >= MIN_OVERTAKEN {
            true => 1,
            false => ALONE_FACTOR,
        };
        self.bound(route).is_some_and(|b| age >= b * factor)
    }

    /// Forgets all times, because another target has taken over the slots.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
