//! What the quota of a tenant allows, and how it is divided. No I/O.
//!
//! The bound on the requests of a window is greater than the quota. The difference pays for what cannot be exact without
//! coordination: units that nodes hold unused, state that a restart loses, and the time between taking a unit and the run
//! of the request.

use crate::prelude::*;
use crate::sidecar::settings::SidecarSettings;

/// Part of the allowed excess that raises the rate, so that a tenant at its quota is served although some lent units
/// expire unused, and one below it although some holders have ended.
const RATE_PART: f64 = 0.4;
/// Part of the excess that raises the depth of the buckets, for the units that nodes hold.
const DEPTH_PART: f64 = 0.3;
/// Part of the excess that new processes may lend at once. Their predecessors' units are unknown to them. What the three
/// parts leave is for requests that run later than they took their unit.
const START_PART: f64 = 0.2;

/// Depth of the bucket of one holder below which a tenant gets fewer holders: units that several nodes may have at a
/// time. With a smaller depth, more requests within the quota are refused.
const HOLDER_DEPTH: f64 = 8.0;
/// The same for the second holder, which a small tenant needs in case that the first one fails.
const SECOND_HOLDER_DEPTH: f64 = 4.0;
/// Greatest rate and burst with an effect; greater ones would not be exact as numbers of units.
const MAX_UNITS: f64 = 1e9;

/// How the bound on a window follows from the quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Allowed excess, as a fraction of what the quota allows in a window.
    pub overage: f64,
    /// Allowed excess in a window, in requests.
    pub slack: f64,
}

impl QuotaBounds {
    /// Reads the bounds from the settings.
    pub fn new(s: &SidecarSettings) -> Self {
        Self {
            window: Duration::from_secs(s.quota_window_s),
            overage: s.quota_overage,
            slack: s.quota_slack,
        }
    }
}

/// Quota of a tenant, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

impl Quota {
    /// Quota with this rate and burst; `None` if the rate is 0, which stands for no limit.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        (rate > 0.0).then(|| Self {
            rate: rate.min(MAX_UNITS),
            burst: burst.clamp(0.0, MAX_UNITS),
        })
    }

    /// Greatest number of requests in any window.
    pub fn bound(&self, b: &QuotaBounds) -> f64 {
        let allowed = self.rate * b.window.as_secs_f64() + self.burst;
        allowed + self.excess(b)
    }

    fn excess(&self, b: &QuotaBounds) -> f64 {
        (self.rate * b.window.as_secs_f64() + self.burst) * b.overage + b.slack
    }

    /// What all holders together may issue: at most `rate` units per second and `depth` at once.
    pub fn allotment(&self, b: &QuotaBounds) -> Allotment {
        let (window, excess) = (b.window.as_secs_f64(), self.excess(b));
        let all = Allotment {
            rate: self.rate + RATE_PART * excess / window,
            depth: self.burst + DEPTH_PART * excess,
            start: START_PART * excess,
        };
        // A bucket that is not as deep as one unit never issues any.
        match all.depth < 1.0 {
            true => Allotment {
                rate: ((self.bound(b) - 1.0) / window).clamp(0.0, all.rate),
                depth: 1.0,
                start: 0.0,
            },
            false => all,
        }
    }
}

/// Units that one or several holders may issue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allotment {
    /// Units per second.
    pub rate: f64,
    /// Greatest number of units that are unspent at any time, lent ones included.
    pub depth: f64,
    /// Units that a process may issue as soon as it starts.
    pub start: f64,
}

impl Allotment {
    /// Greatest number of holders among which the units may be divided.
    pub fn max_holders(&self) -> usize {
        let second = (self.depth / SECOND_HOLDER_DEPTH).min(2.0);
        let by_depth = (self.depth / HOLDER_DEPTH).max(second);
        by_depth.min(self.start).max(1.0) as usize
    }

    /// Part of one of `holders` holders.
    pub fn part(&self, holders: usize) -> Self {
        let n = holders.max(1) as f64;
        Self {
            rate: self.rate / n,
            depth: self.depth / n,
            start: self.start / n,
        }
    }
}
