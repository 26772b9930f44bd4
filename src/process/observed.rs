//! What the balancer has observed of each target.

use super::balance::{Hint, TargetInfo};
use crate::prelude::*;

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

pub(super) fn average(old: Option<f64>, sample: f64) -> Option<f64> {
    Some(old.map_or(sample, |o| o + LATENCY_WEIGHT * (sample - o)))
}

/// A target with what this node observed of it.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) info: TargetInfo,
    pub(super) seen: Now,
    pub(super) outstanding: u32,
    pub(super) latency: Option<f64>,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Now,
    pub(super) penalty: f64,
    pub(super) penalty_at: Now,
    pub(super) answered: Option<Now>,
    pub(super) load: Option<(f64, Now)>,
    pub(super) held: BTreeMap<RankId, Now>,
}

impl Target {
    pub(super) fn new(info: TargetInfo, now: Now) -> Self {
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
    pub(super) fn answers(&self, now: Now) -> bool {
        let lately = |t| now.saturating_sub(t) < OBSERVED_FOR;
        self.failures == 0 && self.answered.is_some_and(lately)
    }

    pub(super) fn doubt(&self, now: Now) -> u8 {
        match self.answers(now) {
            true => 0,
            false => self.info.doubt,
        }
    }

    pub(super) fn usable(&self, now: Now) -> bool {
        match self.info.hint {
            Hint::Leaving => false,
            Hint::Unready => self.answers(now),
            Hint::Ready => self.ejected_until <= now,
        }
    }

    pub(super) fn stays(&self) -> bool {
        self.info.hint != Hint::Leaving
    }

    pub(super) fn weight(&self, now: Now) -> f64 {
        let age = self.info.age + now.saturating_sub(self.seen);
        let grown = age.as_secs_f64() / RAMP.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * grown).min(1.0)
    }

    pub(super) fn penalty(&self, now: Now) -> f64 {
        let t = now.saturating_sub(self.penalty_at).as_secs_f64();
        self.penalty * 0.5_f64.powf(t / PENALTY_HALVES)
    }

    pub(super) fn score(&self, now: Now, usual: f64) -> f64 {
        let latency = self.latency.unwrap_or(usual);
        let work = f64::from(self.outstanding + 1);
        work * latency * (1.0 + self.penalty(now)) / self.weight(now)
    }

    /// Work at the target: what this node sent, or what the admitting node counted a moment ago if that is more.
    pub(super) fn work(&self, now: Now) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_FRESH)
            .map_or(0.0, |(part, _)| part * f64::from(self.info.slots));
        reported.max(f64::from(self.outstanding))
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
pub(super) struct Group {
    pub(super) targets: BTreeMap<NodeId, Target>,
    pub(super) latency: Option<f64>,
}

impl Group {
    pub(super) fn ejected(&self, now: Now) -> usize {
        let out = |t: &&Target| t.stays() && t.ejected_until > now;
        self.targets.values().filter(out).count()
    }

    /// Targets that may be ejected at once: a part of those that stay, and never the last one.
    pub(super) fn ceiling(&self) -> usize {
        let all = self.targets.values().filter(|t| t.stays()).count();
        (all * EJECT_PERCENT / 100).min(all.saturating_sub(1))
    }

    /// Ends ejections above the ceiling, which falls when other targets leave.
    pub(super) fn trim(&mut self, now: Now) {
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
