//! Steps of a rollout in time, and the size of its canary. No I/O.
//!
//! A version may turn bad late, so it gets few requests until late in the time limit, and the rest then moves in two
//! quick steps. `completed` has to be written before the limit also if the store is slow for a second or two.

use crate::prelude::*;

/// Time between the planned end and the limit: for a slow store, and for an order that was learned late.
const FINISH_MARGIN: Duration = Duration::from_millis(2000);
/// Longest time for the requests at the old targets to end after all others have moved.
const DRAIN_TIME: Duration = Duration::from_millis(1800);
/// Duration of the step in which a part of the requests has moved; several reports arrive in it.
const RAMP_TIME: Duration = Duration::from_millis(800);
/// Shortest time for the requests at the old targets to end: nodes hear of the step, and requests that they had sent
/// before arrive.
pub const MIN_DRAIN_TIME: Duration = Duration::from_millis(700);
/// Parts of the time limit that these times take at most, for short limits.
const MAX_PARTS: [f64; 3] = [0.17, 0.15, 0.07];
/// Fraction of the requests that moves first. With the canary, and one and a half seconds of all requests until a version
/// that turns bad is rolled back, the exposure stays near a tenth for limits from 12 s.
pub const RAMP_SHARE: f64 = 0.3;
/// Fraction of the requests for the canary targets, if a service has enough targets for it.
const CANARY_SHARE: f64 = 0.09;
/// Greatest fraction for the canary of a small service; the cumulative cap then limits its time.
const MAX_CANARY_SHARE: f64 = 0.25;
/// Part of the allowed exposure that the canary may use; the rest is for the steps after it.
const CANARY_PART: f64 = 0.6;
/// Part of the allowed additional requests that the canary of a service with few requests may use.
const SLACK_PART: f64 = 0.5;

/// Bounds on the exposure to a bad version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Allowed fraction of the requests until the time limit.
    pub share: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

impl Bounds {
    /// Cumulative fraction of the requests that the canary may get, if `requests` are expected until the time limit.
    pub fn cap(&self, requests: f64) -> f64 {
        let by_slack = SLACK_PART * self.slack / requests.max(1.0);
        (CANARY_PART * self.share).max(by_slack.min(MAX_CANARY_SHARE))
    }
}

/// Times of the steps since the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Begin of the first step that moves requests beyond the canary.
    pub move_at: Duration,
    /// Begin of the step that moves all of them.
    pub full_at: Duration,
    /// Time at which the end is written at the latest.
    pub finish_at: Duration,
    /// Time limit of the order.
    pub limit: Duration,
}

impl Plan {
    /// Plan for a time limit.
    pub fn new(limit: Duration) -> Self {
        let part = |time: Duration, i: usize| time.min(limit.mul_f64(MAX_PARTS[i]));
        let finish_at = limit.saturating_sub(part(FINISH_MARGIN, 0));
        let full_at = finish_at.saturating_sub(part(DRAIN_TIME, 1));
        Self {
            move_at: full_at.saturating_sub(part(RAMP_TIME, 2)),
            full_at,
            finish_at,
            limit,
        }
    }

    /// Duration of the step before all requests move.
    pub fn ramp_time(&self) -> Duration {
        self.full_at.saturating_sub(self.move_at)
    }
}

/// Number of canary targets for a number of old targets.
pub fn canary_size(old_targets: usize) -> usize {
    let targets = old_targets as f64 * CANARY_SHARE / (1.0 - CANARY_SHARE);
    (targets as usize).max(1)
}

/// Fraction of the requests with which the slots of the canary are loaded as those of the old targets.
pub fn canary_share(canary_slots: u32, old_slots: u32) -> f64 {
    let (canary, old) = (f64::from(canary_slots), f64::from(old_slots));
    (canary / (canary + old).max(1.0)).min(MAX_CANARY_SHARE)
}
