//! Number of requests that the target gets at once, as far as it has shown that it runs them as fast as others do. No
//! I/O.
//!
//! It handles targets that have just started, or recover from an outage: they are slow for some seconds, and the time
//! that they name is often wrong or missing. Such a target gets few requests at once, and one more with each response
//! that is as fast as at comparable targets, so that the number doubles within a service time. With slower responses it
//! grows slowly: a target that is always slow ends at its slots too. The number falls when the target becomes slower
//! than others and than it was itself, or when most of its responses are errors. Service times vary by half of their
//! mean and more, so averages of many responses are compared, never single ones.

use crate::prelude::*;

/// Fraction of the slots that a target gets at first. With half, a service that restarts as a whole has all of its
/// slots after one or two service times.
const START_FRACTION: f64 = 0.5;
/// Ratio to the time at comparable targets up to which the mean response is fast.
const FAST_RATIO: f64 = 1.5;
/// Fraction of the limit that must be in use for fast growth: a response beside few others shows little.
const USED_FRACTION: f64 = 0.5;
/// Growth for each fast response while the limit is in use, and for each other response.
const GROWTH: (f64, f64) = (1.0, 0.1);
/// Time after the first response from which on a target gets all its slots unless its limit falls; targets are cold for
/// some seconds, and one with few requests would take long to show that it is not.
const MAX_RAMP: Duration = Duration::from_secs(8);
/// Ratio by which the recent mean must exceed both the time at comparable targets and the own long-term mean to count
/// as degraded. The recent mean of a steady target varies by a factor of 1.15.
const DEGRADED_RATIO: f64 = 2.0;
/// Factor of a fall; the next one follows after as many responses as the target runs at once.
const FALL_FACTOR: f64 = 0.9;
/// Fraction of the slots that a degraded target keeps. A target that is slow whatever it gets loses capacity with less.
const DEGRADED_FRACTION: f64 = 0.75;
/// Weights of a new sample in the recent and in the long-term mean, after the first ones.
const MEAN_WEIGHTS: (f64, f64) = (0.1, 0.01);
/// Responses before the target can count as degraded.
const MIN_SAMPLES: u32 = 10;
/// Weight of a new response in the fraction of errors.
const ERROR_WEIGHT: f64 = 0.15;
/// Fraction of errors above which the target is treated as one that has just started: five errors in a row, no single one.
const MAX_ERRORS: f64 = 0.5;
/// Fraction of errors that is assumed after that.
const REMAINING_ERRORS: f64 = 0.25;

/// What a request that ended at the target says about its pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// A response; with its time relative to that at an average target, `None` if that is unknown.
    Response(Option<f64>),
    /// A server error, or no response.
    Error,
}

/// How much of its slots a target gets.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum Limit {
    #[default]
    AllSlots,
    /// A fraction, until the first response.
    Start,
    Requests(f64),
}

/// Concurrency limit of a target.
#[derive(Debug, Default, Clone)]
pub struct Pace {
    limit: Limit,
    /// Number of falls so far.
    falls: u64,
    /// Responses in the recent and in the long-term mean.
    samples: (u32, u32),
    /// Recent mean of the logarithm of the ratio.
    recent: f64,
    /// Long-term mean of it.
    usual: f64,
    errors: f64,
    /// Responses since the last fall.
    since_fall: u32,
    /// Time of the last fall.
    fell_at: Now,
    /// Time of the first response since the limit fell or began; `None` before it.
    grows_since: Option<Now>,
}

fn start_limit(slots: usize) -> f64 {
    (slots as f64 * START_FRACTION).ceil().max(1.0)
}

impl Pace {
    /// Begins with few requests, because the target has just started or recovers. What is known about its times stays if
    /// it is the same target.
    pub fn restart(&mut self, same_target: bool) {
        if !same_target {
            let falls = self.falls;
            *self = Self {
                falls,
                ..Self::default()
            };
        }
        self.limit = Limit::Start;
        self.grows_since = None;
        self.samples.0 = 0;
    }

    /// Number of falls since the start of the process.
    pub fn falls(&self) -> u64 {
        self.falls
    }

    /// Records a request that was sent at `since` and ends now; `running` were at the target with it. Requests from before
    /// the last fall say nothing about fewer at once, and one event must not count twice.
    pub fn record(&mut self, now: Now, since: Now, slots: usize, running: usize, sample: Sample) {
        if since < self.fell_at {
            return;
        }
        let error = f64::from(u8::from(sample == Sample::Error));
        self.errors += ERROR_WEIGHT * (error - self.errors);
        if self.errors > MAX_ERRORS {
            self.errors = REMAINING_ERRORS;
            return self.fall(now, start_limit(slots), slots);
        }
        let Sample::Response(ratio) = sample else {
            return;
        };
        if let Some(ratio) = ratio {
            self.add(ratio.max(f64::MIN_POSITIVE).ln());
        }
        self.since_fall = self.since_fall.saturating_add(1);
        if self.is_degraded() {
            let current = self.limit(slots).min(running.max(1));
            if (self.since_fall as usize) < current {
                return;
            }
            let least = (slots as f64 * DEGRADED_FRACTION).max(1.0);
            let lower = (current as f64 * FALL_FACTOR).max(least);
            return self.fall(now, lower, slots);
        }
        let grows_since = *self.grows_since.get_or_insert(now);
        self.grow(slots, running);
        if now >= grows_since + MAX_RAMP {
            self.limit = Limit::AllSlots;
        }
    }

    fn add(&mut self, ratio_ln: f64) {
        let weight = |samples: u32, least: f64| (1.0 / f64::from(samples)).max(least);
        let (recent, all) = self.samples;
        self.samples = (recent.saturating_add(1), all.saturating_add(1));
        self.recent += weight(self.samples.0, MEAN_WEIGHTS.0) * (ratio_ln - self.recent);
        self.usual += weight(self.samples.1, MEAN_WEIGHTS.1) * (ratio_ln - self.usual);
    }

    /// Whether the target has become slow, compared with others and with itself.
    fn is_degraded(&self) -> bool {
        let excess = self.recent - self.usual.max(0.0);
        self.samples.0 >= MIN_SAMPLES && excess > DEGRADED_RATIO.ln()
    }

    fn grow(&mut self, slots: usize, running: usize) {
        let used = running as f64 >= self.limit(slots) as f64 * USED_FRACTION;
        let growth = match used && self.recent <= FAST_RATIO.ln() {
            true => GROWTH.0,
            false => GROWTH.1,
        };
        self.limit = match self.limit {
            Limit::AllSlots => return,
            Limit::Start => Limit::Requests(start_limit(slots) + growth),
            Limit::Requests(n) => Limit::Requests(n + growth),
        };
        if self.limit(slots) >= slots {
            self.limit = Limit::AllSlots;
        }
    }

    fn fall(&mut self, now: Now, to: f64, slots: usize) {
        self.fell_at = now;
        self.grows_since = None;
        self.since_fall = 0;
        self.samples.0 = 0;
        if (to as usize) < self.limit(slots) {
            self.limit = Limit::Requests(to);
            self.falls += 1;
        }
    }

    /// Number of requests that the target gets at once, of this many slots; at least one if there is a slot.
    pub fn limit(&self, slots: usize) -> usize {
        let limit = match self.limit {
            Limit::AllSlots => slots,
            Limit::Start => start_limit(slots) as usize,
            Limit::Requests(n) => n as usize,
        };
        limit.max(1).min(slots)
    }
}
