//! What the balancer has observed of each target.

use crate::prelude::*;
use crate::process::routing::balance::{ReportedState, TargetInfo};

/// Time in which a cold target grows from [`COLD_WEIGHT`] to its whole weight.
pub const RAMP: Duration = Duration::from_secs(10);
/// Weight of a target that has just become ready.
pub const COLD_WEIGHT: f64 = 0.1;
/// Largest part of a service's targets that may be ejected at once, in percent.
pub const EJECT_PERCENT: usize = 30;
/// Time during which an own observation outweighs a hint.
pub const OBSERVED_FOR: Duration = Duration::from_secs(5);
/// Age up to which a reported load is used.
pub const LOAD_FRESH: Duration = Duration::from_secs(1);
/// Weight of a new sample in the latency average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time in which the penalty for failures halves. Without a penalty, a target that fails fast would look fast.
const PENALTY_HALVES: f64 = 5.0;

pub(in crate::process) fn average(old: Option<f64>, sample: f64) -> Option<f64> {
    Some(old.map_or(sample, |o| o + LATENCY_WEIGHT * (sample - o)))
}

/// A target with what this node observed of it.
#[derive(Debug)]
pub(in crate::process) struct Target {
    pub(in crate::process) info: TargetInfo,
    pub(in crate::process) seen: Now,
    pub(in crate::process) outstanding: u32,
    pub(in crate::process) latency: Option<f64>,
    pub(in crate::process) failures: u32,
    pub(in crate::process) ejections: u32,
    pub(in crate::process) ejected_until: Now,
    pub(in crate::process) penalty: f64,
    pub(in crate::process) penalty_at: Now,
    pub(in crate::process) answered: Option<Now>,
    pub(in crate::process) load: Option<(f64, Now)>,
    pub(in crate::process) held: BTreeMap<RankId, Now>,
}

impl Target {
    pub(in crate::process) fn new(info: TargetInfo, now: Now) -> Self {
        Self {
            info,
            seen: now,
            outstanding: 0,
            latency: None,
            failures: 0,
            ejections: 0,
            ejected_until: Now::ZERO,
            penalty: 0.0,
            penalty_at: now,
            answered: None,
            load: None,
            held: BTreeMap::new(),
        }
    }

    /// Whether this node has lately seen it answer, and nothing else since.
    pub(in crate::process) fn answers(&self, now: Now) -> bool {
        let lately = |t| now.saturating_sub(t) < OBSERVED_FOR;
        self.failures == 0 && self.answered.is_some_and(lately)
    }

    pub(in crate::process) fn doubt(&self, now: Now) -> u8 {
        match self.answers(now) {
            true => 0,
            false => self.info.doubt,
        }
    }

    pub(in crate::process) fn usable(&self, now: Now) -> bool {
        match self.info.reported {
            ReportedState::Draining => false,
            ReportedState::Unready => self.answers(now),
            ReportedState::Ready => self.ejected_until <= now,
        }
    }

    pub(in crate::process) fn stays(&self) -> bool {
        self.info.reported != ReportedState::Draining
    }

    pub(in crate::process) fn weight(&self, now: Now) -> f64 {
        let age = self.info.age + now.saturating_sub(self.seen);
        let grown = age.as_secs_f64() / RAMP.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * grown).min(1.0)
    }

    pub(in crate::process) fn penalty(&self, now: Now) -> f64 {
        let t = now.saturating_sub(self.penalty_at).as_secs_f64();
        self.penalty * 0.5_f64.powf(t / PENALTY_HALVES)
    }

    pub(in crate::process) fn score(&self, now: Now, usual: f64) -> f64 {
        let latency = self.latency.unwrap_or(usual);
        let work = f64::from(self.outstanding + 1);
        work * latency * (1.0 + self.penalty(now)) / self.weight(now)
    }

    /// Work at the target: what this node sent, or what the admitting node counted a moment ago if that is more.
    pub(in crate::process) fn work(&self, now: Now) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_FRESH)
            .map_or(0.0, |(part, _)| part * f64::from(self.info.slots));
        reported.max(f64::from(self.outstanding))
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
pub(in crate::process) struct Group {
    pub(in crate::process) targets: BTreeMap<NodeId, Target>,
    pub(in crate::process) latency: Option<f64>,
}

impl Group {
    pub(in crate::process) fn ejected(&self, now: Now) -> usize {
        let out = |t: &&Target| t.stays() && t.ejected_until > now;
        self.targets.values().filter(out).count()
    }

    /// Targets that may be ejected at once: a part of those that stay, and never the last one.
    pub(in crate::process) fn ceiling(&self) -> usize {
        let all = self.targets.values().filter(|t| t.stays()).count();
        (all * EJECT_PERCENT / 100).min(all.saturating_sub(1))
    }

    /// Ends ejections above the ceiling, which falls when other targets leave.
    pub(in crate::process) fn trim(&mut self, now: Now) {
        while self.ejected(now) > self.ceiling() {
            let out = |t: &&mut Target| t.stays() && t.ejected_until > now;
            let first = self.targets.values_mut().filter(out);
            match first.min_by_key(|t| t.ejected_until) {
                Some(t) => t.ejected_until = now,
                None => return,
            }
        }
    }
}
