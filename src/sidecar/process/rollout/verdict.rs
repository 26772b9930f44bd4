//! Judgement of a version by its failures and its slowness relative to the old one, by route. No I/O.
//!
//! A version may turn bad at any time, so the evidence is a cumulative sum that never falls below zero: good responses
//! of the past do not hide bad ones of the present. What the old version does at the same time is the reference, so that
//! a burst or a fault that meets both does not count against the new one.

use crate::prelude::*;
use crate::sidecar::process::rollout::samples::{RouteSamples, TIME_CLASSES};

/// Evidence from which on a version is bad, as the logarithm of a likelihood ratio; about 1 in 1,000 that it is not.
const THRESHOLD: f64 = 7.0;
/// Responses of the old version on a route that are needed to judge slowness.
const MIN_REFERENCE: f64 = 20.0;
/// Time constant with which samples of the old version are forgotten, so that the reference follows the load.
const REFERENCE_DECAY: Duration = Duration::from_secs(5);
/// Test of failures: least fraction that counts as usual, and the excess over it that is bad.
const FAILING: Test = Test {
    classes_above: 0,
    least: 0.015,
    factor: 2.0,
    excess: 0.065,
};
/// Test of responses at least 2.4 to 3.4 times slower than the median of the route. The usual fraction leaves room for
/// canary targets on VMs of half the mean speed.
const SLOW: Test = Test {
    classes_above: 6,
    least: 0.08,
    factor: 2.0,
    excess: 0.2,
};
/// Test of responses at least 4.8 times slower, which are rare also on slow VMs.
const VERY_SLOW: Test = Test {
    classes_above: 10,
    least: 0.02,
    factor: 2.0,
    excess: 0.1,
};
const TESTS: [Test; 3] = [FAILING, SLOW, VERY_SLOW];

/// Sequential test of the fraction of bad responses.
#[derive(Debug, Clone, Copy)]
struct Test {
    /// Time classes above the median of the old version from which on a response is bad; 0 tests failures.
    classes_above: u8,
    /// Fraction of bad responses that is usual at least.
    least: f64,
    /// Multiple of the fraction at the old version that is usual.
    factor: f64,
    /// Difference between the usual fraction and that of a bad version.
    excess: f64,
}

impl Test {
    /// Evidence of `bad` among `total` responses, if the fraction is `reference` at the old version.
    fn evidence(&self, bad: f64, total: f64, reference: f64) -> f64 {
        let usual = (self.factor * reference).max(self.least).min(0.8);
        let suspect = (usual + self.excess).min(0.95);
        let good = total - bad;
        bad * (suspect / usual).ln() + good * ((1.0 - suspect) / (1.0 - usual)).ln()
    }
}

/// Why a version is bad.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Whether it is slow; otherwise it fails.
    pub slow: bool,
    /// Route on which it is bad; `None` for all routes together.
    pub route: Option<SmolStr>,
}

/// Samples of the old version, weighted by their age.
#[derive(Debug, Clone)]
struct Reference {
    total: f64,
    failed: f64,
    times: [f64; TIME_CLASSES],
}

impl Default for Reference {
    fn default() -> Self {
        Self {
            total: 0.0,
            failed: 0.0,
            times: [0.0; TIME_CLASSES],
        }
    }
}

impl Reference {
    fn add(&mut self, s: &RouteSamples) {
        self.total += f64::from(s.total);
        self.failed += f64::from(s.failed);
        for (class, n) in &s.times {
            self.times[usize::from(*class).min(TIME_CLASSES - 1)] += f64::from(*n);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.total *= factor;
        self.failed *= factor;
        self.times.iter_mut().for_each(|n| *n *= factor);
    }

    /// Class of the median service time; `None` without enough samples.
    fn median(&self) -> Option<u8> {
        let total: f64 = self.times.iter().sum();
        let mut sum = 0.0;
        let found = self.times.iter().position(|n| {
            sum += n;
            sum >= total / 2.0
        });
        found.filter(|_| total >= MIN_REFERENCE).map(|c| c as u8)
    }

    fn fraction_from(&self, class: u8) -> f64 {
        let above: f64 = self.times[usize::from(class).min(TIME_CLASSES)..]
            .iter()
            .sum();
        above / self.times.iter().sum::<f64>().max(1.0)
    }
}

/// State of one route, or of all routes together.
#[derive(Debug, Default)]
struct Evidence {
    reference: Reference,
    scores: [f64; TESTS.len()],
}

/// Bad responses among a number of them, and the fraction that is bad at the old version.
type Count = (f64, f64, f64);

impl Evidence {
    /// Counts the bad responses of the new version for a test; `None` if slowness cannot be judged yet.
    fn count(&self, test: &Test, s: &RouteSamples) -> Option<Count> {
        let r = &self.reference;
        if test.classes_above == 0 {
            let usual = r.failed / r.total.max(1.0);
            return Some((f64::from(s.failed), f64::from(s.total), usual));
        }
        let from = r.median()? + test.classes_above;
        let slow = s.times.iter().filter(|(c, _)| **c >= from);
        let slow: u32 = slow.map(|(_, n)| n).sum();
        let total: u32 = s.times.values().sum();
        Some((f64::from(slow), f64::from(total), r.fraction_from(from)))
    }

    fn record(&mut self, test: usize, count: Count) {
        let (bad, total, usual) = count;
        let evidence = TESTS[test].evidence(bad, total, usual);
        self.scores[test] = (self.scores[test] + evidence).max(0.0);
    }

    fn fault(&self) -> Option<bool> {
        let bad = |i: &usize| self.scores[*i] >= THRESHOLD;
        let test = (0..TESTS.len()).find(bad)?;
        Some(TESTS[test].classes_above > 0)
    }
}

/// Judgement of the new version of a service.
#[derive(Debug, Default)]
pub struct Judge {
    routes: BTreeMap<SmolStr, Evidence>,
    all: Evidence,
    /// Responses of the new version.
    total: u64,
    /// Those that were failures or slow.
    bad: u64,
    decayed_at: Now,
}

impl Judge {
    /// Adds samples of the old version.
    pub fn add_old(&mut self, routes: &BTreeMap<SmolStr, RouteSamples>, now: Now) {
        let age = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-age / REFERENCE_DECAY.as_secs_f64()).exp();
        self.decayed_at = now;
        for e in self.routes.values_mut() {
            e.reference.scale(factor);
        }
        self.all.reference.scale(factor);
        for (route, s) in routes {
            let e = self.routes.entry(route.clone()).or_default();
            e.reference.add(s);
            self.all.reference.add(s);
        }
    }

    /// Adds samples of the new version.
    pub fn add_new(&mut self, routes: &BTreeMap<SmolStr, RouteSamples>) {
        let mut sums: [Count; TESTS.len()] = Default::default();
        for (route, s) in routes {
            let e = self.routes.entry(route.clone()).or_default();
            self.total += u64::from(s.total);
            for (i, test) in TESTS.iter().enumerate() {
                let Some(count) = e.count(test, s) else {
                    continue;
                };
                e.record(i, count);
                sums[i].0 += count.0;
                sums[i].1 += count.1;
                // The slow responses of each route are relative to its own median.
                sums[i].2 += count.1 * count.2;
            }
            self.bad += u64::from(s.failed) + e.count(&SLOW, s).map_or(0, |c| c.0 as u64);
        }
        for (i, (bad, total, usual)) in sums.into_iter().enumerate() {
            self.all.record(i, (bad, total, usual / total.max(1.0)));
        }
    }

    /// Number of responses of the new version, and of bad ones among them.
    pub fn samples(&self) -> (u64, u64) {
        (self.total, self.bad)
    }

    /// Why the version is bad; `None` if there is not enough evidence that it is.
    pub fn fault(&self) -> Option<Fault> {
        let fault = |route: Option<&SmolStr>, e: &Evidence| {
            Some(Fault {
                slow: e.fault()?,
                route: route.cloned(),
            })
        };
        let by_route = self.routes.iter().find_map(|(r, e)| fault(Some(r), e));
        by_route.or_else(|| fault(None, &self.all))
    }
}
