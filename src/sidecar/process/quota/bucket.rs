//! Token bucket of one holder and tenant. No I/O.
//!
//! At any time, the unspent units (those of the bucket, and as many as the borrowers may have) are at most the depth, and
//! the rates of the bucket and of the borrowers are at most the rate. The requests that run in any window are therefore at
//! most the depth plus the rate times the window.

use crate::prelude::*;
use crate::sidecar::process::quota::limits::Allotment;

/// Part of the depth that may be lent.
const LENT_DEPTH: f64 = 0.75;
/// Part of the rate that may be lent. The rest is for borrowers whose demand grows.
const LENT_RATE: f64 = 0.6;

/// What the borrowers have of a part, in sum.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lent {
    /// Units per second.
    pub rate: f64,
    /// Greatest number of units.
    pub depth: u32,
}

/// Units of a quota that requests at this node can take.
#[derive(Debug, Clone, Copy, Default)]
pub struct Available {
    /// Units that can be taken now.
    pub units: f64,
    /// Rate at which units accrue, per second.
    pub rate: f64,
}

/// Units of one tenant that a holder may issue.
#[derive(Debug, Clone)]
pub struct Bucket {
    allotment: Allotment,
    level: f64,
    updated: Now,
}

impl Bucket {
    /// Bucket of a holder that has just begun.
    pub fn new(allotment: Allotment, now: Now) -> Self {
        Self {
            allotment,
            level: allotment.start.min(allotment.depth),
            updated: now,
        }
    }

    /// Changes what the bucket may issue.
    pub fn set_allotment(&mut self, allotment: Allotment) {
        self.allotment = allotment;
        self.level = self.level.min(allotment.depth);
    }

    /// Adds the units that have accrued. `unknown` is the part of what may be lent that an earlier process may have lent.
    pub fn refill(&mut self, lent: Lent, unknown: f64, now: Now) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let a = &self.allotment;
        let rate = a.rate * (1.0 - LENT_RATE * unknown);
        let depth = a.depth * (1.0 - LENT_DEPTH * unknown);
        let depth = depth.max(a.start).max(1.0);
        let room = (depth.min(a.depth) - f64::from(lent.depth)).max(0.0);
        let accrued = (rate - lent.rate).max(0.0) * elapsed;
        self.level = (self.level + accrued).min(room);
    }

    /// Takes a unit for a request at the holder itself.
    pub fn take(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Units, as of the last [`Bucket::refill`], and the rate that is not lent.
    pub fn left(&self, lent: Lent) -> Available {
        Available {
            units: self.level,
            rate: (self.allotment.rate - lent.rate).max(0.0),
        }
    }

    /// Greatest rate that borrowers may have in sum.
    pub fn max_lent_rate(&self, unknown: f64) -> f64 {
        self.allotment.rate * LENT_RATE * (1.0 - unknown)
    }

    /// Greatest number of units that borrowers with long loans may have in sum.
    pub fn max_lent_depth(&self) -> u32 {
        (self.allotment.depth * LENT_DEPTH).max(1.0) as u32
    }

    /// Greatest number of units that all borrowers may have in sum.
    pub fn max_depth(&self) -> u32 {
        self.allotment.depth.max(1.0) as u32
    }

    /// Takes up to `want` units for a borrower. Half of what is left stays for others.
    pub fn lend(&mut self, want: u32) -> u32 {
        if self.level < 1.0 {
            return 0;
        }
        let units = want.min((self.level / 2.0).max(1.0) as u32);
        self.level -= f64::from(units);
        units
    }

    /// Time until there are `units` units, at the latest `max`.
    pub fn wait(&self, units: f64, lent: Lent, max: Duration) -> Duration {
        let missing = (units - self.level).max(0.0);
        let rate = (self.allotment.rate - lent.rate).max(0.0);
        match missing < rate * max.as_secs_f64() {
            true => Duration::from_secs_f64(missing / rate),
            false => max,
        }
    }
}
