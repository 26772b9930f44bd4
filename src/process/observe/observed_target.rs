//! Observations of targets, on which the balancer bases its choice.

use crate::prelude::*;
use crate::process::routing::balance::{ReportedState, TargetInfo};

/// Time in which the weight of a target that has just become ready rises from [`COLD_WEIGHT`] to 1.
pub const RAMP_UP_TIME: Duration = Duration::from_secs(10);
/// Weight of a target that has just become ready, relative to 1.
pub const COLD_WEIGHT: f64 = 0.1;
/// Maximum share of the targets of a service that may be ejected at the same time, in percent.
pub const MAX_EJECTED_PERCENT: usize = 30;
/// Time for which a response that this node received takes precedence over a hint.
pub const OBSERVATION_TTL: Duration = Duration::from_secs(5);
/// Maximum age of a reported load that is used.
pub const LOAD_TTL: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of the penalty for failures, in seconds. Without a penalty, a target that fails fast would appear fast.
const PENALTY_HALF_LIFE_S: f64 = 5.0;

/// Exponentially weighted moving average.
pub(in crate::process) fn moving_average(old: Option<f64>, sample: f64) -> Option<f64> {
    Some(old.map_or(sample, |o| o + LATENCY_SAMPLE_WEIGHT * (sample - o)))
}

/// A target and what this node has observed of it.
#[derive(Debug)]
pub(in crate::process) struct ObservedTarget {
    pub(in crate::process) info: TargetInfo,
    /// Time at which the target had the age that `info` says.
    pub(in crate::process) age_at: Now,
    /// Requests that this node sent and that have not finished.
    pub(in crate::process) outstanding: u32,
    /// Moving average, in seconds.
    pub(in crate::process) latency: Option<f64>,
    /// Consecutive failures.
    pub(in crate::process) failures: u32,
    /// Ejections that followed each other closely.
    pub(in crate::process) ejections: u32,
    pub(in crate::process) ejected_until: Now,
    /// Penalty for failures as it was at `penalty_at`; see [`ObservedTarget::penalty`].
    pub(in crate::process) penalty: f64,
    pub(in crate::process) penalty_at: Now,
    pub(in crate::process) last_response: Option<Now>,
    /// Reported load as a fraction of the slots, and when it was reported.
    pub(in crate::process) load: Option<(f64, Now)>,
    /// Ends of the back-off times that the target asked for, by rank.
    pub(in crate::process) backoffs: BTreeMap<RankId, Now>,
}

impl ObservedTarget {
    pub(in crate::process) fn new(info: TargetInfo, now: Now) -> Self {
        Self {
            info,
            age_at: now,
            outstanding: 0,
            latency: None,
            failures: 0,
            ejections: 0,
            ejected_until: Now::ZERO,
            penalty: 0.0,
            penalty_at: now,
            last_response: None,
            load: None,
            backoffs: BTreeMap::new(),
        }
    }

    /// Whether this node recently received a response of the target, and has seen no failure since.
    pub(in crate::process) fn is_responding(&self, now: Now) -> bool {
        let is_recent = |t| now.saturating_sub(t) < OBSERVATION_TTL;
        self.failures == 0 && self.last_response.is_some_and(is_recent)
    }

    /// How doubtful it is that the node responds; 0 while the target is responding.
    pub(in crate::process) fn doubt(&self, now: Now) -> u8 {
        match self.is_responding(now) {
            true => 0,
            false => self.info.doubt,
        }
    }

    /// Whether requests may be sent to the target.
    pub(in crate::process) fn usable(&self, now: Now) -> bool {
        match self.info.reported {
            ReportedState::Draining => false,
            ReportedState::Unready => self.is_responding(now),
            ReportedState::Ready => self.ejected_until <= now,
        }
    }

    /// Whether the target is not about to stop.
    pub(in crate::process) fn is_staying(&self) -> bool {
        self.info.reported != ReportedState::Draining
    }

    /// Weight between [`COLD_WEIGHT`] and 1, by the time since the target became ready.
    pub(in crate::process) fn weight(&self, now: Now) -> f64 {
        let age = self.info.age + now.saturating_sub(self.age_at);
        let progress = age.as_secs_f64() / RAMP_UP_TIME.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * progress).min(1.0)
    }

    /// Penalty for failures, decayed to `now`.
    pub(in crate::process) fn penalty(&self, now: Now) -> f64 {
        let t = now.saturating_sub(self.penalty_at).as_secs_f64();
        self.penalty * 0.5_f64.powf(t / PENALTY_HALF_LIFE_S)
    }

    /// Expected cost of another request; less is better. `default_latency`, in seconds, is used while this node has no
    /// sample of the target.
    pub(in crate::process) fn score(&self, now: Now, default_latency: f64) -> f64 {
        let latency = self.latency.unwrap_or(default_latency);
        let requests = f64::from(self.outstanding + 1);
        requests * latency * (1.0 + self.penalty(now)) / self.weight(now)
    }

    /// Number of requests at the target: those that this node sent, or the recent load that the node beside the target
    /// reported, if that is more.
    pub(in crate::process) fn request_count(&self, now: Now) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_TTL)
            .map_or(0.0, |(fraction, _)| fraction * f64::from(self.info.slots));
        reported.max(f64::from(self.outstanding))
    }
}

#[derive(Debug, Default)]
pub(in crate::process) struct ServiceTargets {
    pub(in crate::process) targets: BTreeMap<NodeId, ObservedTarget>,
    /// Moving average over all targets, in seconds.
    pub(in crate::process) latency: Option<f64>,
}

impl ServiceTargets {
    /// Number of targets that are ejected at `now`.
    pub(in crate::process) fn ejected(&self, now: Now) -> usize {
        let is_ejected = |t: &&ObservedTarget| t.is_staying() && t.ejected_until > now;
        self.targets.values().filter(is_ejected).count()
    }

    /// Maximum number of targets that may be ejected at the same time: a share of those that stay, but never all of
    /// them.
    pub(in crate::process) fn max_ejected(&self) -> usize {
        let all = self.targets.values().filter(|t| t.is_staying()).count();
        (all * MAX_EJECTED_PERCENT / 100).min(all.saturating_sub(1))
    }

    /// Ends the ejections above the maximum, which decreases when other targets leave.
    pub(in crate::process) fn trim_ejections(&mut self, now: Now) {
        while self.ejected(now) > self.max_ejected() {
            let is_ejected = |t: &&mut ObservedTarget| t.is_staying() && t.ejected_until > now;
            let ejected = self.targets.values_mut().filter(is_ejected);
            match ejected.min_by_key(|t| t.ejected_until) {
                Some(t) => t.ejected_until = now,
                None => return,
            }
        }
    }
}
