//! Judgement of a version by its failures and its slowness relative to the old one, by route. No I/O.
//!
//! A version may turn bad at any time, so the evidence is a cumulative sum that never falls below zero: good responses
//! of the past do not hide bad ones of the present. What the old version does at the same time is the reference, so that
//! a burst or a fault that meets both does not count against the new one.

use crate::prelude::*;
use crate::sidecar::process::rollout::pace::RelativeTimes;
use crate::sidecar::process::rollout::samples::{time_class, RouteSamples, TIME_CLASSES};

/// Evidence from which on a version is bad, as the logarithm of a likelihood ratio; about 1 in 1,000 that it is not.
const THRESHOLD: f64 = 7.0;
/// Responses of the old version on a route that are needed to judge slowness.
const MIN_REFERENCE: f64 = 20.0;
/// Times below this one are never slow: a busy VM delays responses of a few milliseconds by several times their own time.
const MIN_SLOW_TIME: Duration = Duration::from_millis(30);
/// Time constant with which samples of the old version are forgotten, so that the reference follows the load.
const REFERENCE_DECAY: Duration = Duration::from_secs(5);
/// Test of failures: least fraction that counts as usual, and the excess over it that is bad.
const FAILING: Test = Test {
    classes_above: 0,
    least: 0.015,
    factor: 2.0,
    excess: 0.065,
};
/// Test of responses at least 2.4 to 3.4 times slower than the median of the route at a VM of the same pace.
const SLOW: Test = Test {
    classes_above: 6,
    least: 0.1,
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
    /// Counts the bad responses of a new target for a test; `None` if slowness cannot be judged yet. `slower_by` is the
    /// slowness of its VM in time classes, if it is known.
    fn count(&self, test: &Test, s: &RouteSamples, slower_by: Option<u8>) -> Option<Count> {
        let r = &self.reference;
        if test.classes_above == 0 {
            let usual = r.failed / r.total.max(1.0);
            return Some((f64::from(s.failed), f64::from(s.total), usual));
        }
        let least = time_class(MIN_SLOW_TIME);
        let from = (r.median()? + test.classes_above).max(least);
        let from_here = from + slower_by?;
        let slow = s.times.iter().filter(|(c, _)| **c >= from_here);
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
    /// Paces of all old targets together, and of each new one.
    old_pace: RelativeTimes,
    paces: BTreeMap<NodeId, RelativeTimes>,
    /// Samples of new targets whose pace is not known yet.
    pending: BTreeMap<NodeId, BTreeMap<SmolStr, RouteSamples>>,
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
            if let Some(median) = e.reference.median() {
                let times = s.times.iter();
                times.for_each(|(c, n)| self.old_pace.add(*c, median, *n));
            }
        }
    }

    /// Records the pace of a new target. Returns the slowness of its VM, if it is known.
    fn record_pace(
        &mut self,
        node: &NodeId,
        routes: &BTreeMap<SmolStr, RouteSamples>,
    ) -> Option<u8> {
        let pace = self.paces.entry(node.clone()).or_default();
        for (route, s) in routes {
            let median = self.routes.get(route).and_then(|e| e.reference.median());
            if let Some(median) = median {
                let times = s.times.iter();
                times.for_each(|(c, n)| pace.add(*c, median, *n));
            }
        }
        pace.slower_by(&self.old_pace)
    }

    /// Adds samples of the target of a node, which has the new version. Times are judged once the pace of the target is
    /// known.
    pub fn add_new(&mut self, node: &NodeId, routes: &BTreeMap<SmolStr, RouteSamples>) {
        for s in routes.values() {
            self.total += u64::from(s.total);
            self.bad += u64::from(s.failed);
        }
        self.evaluate(0, routes, None);
        let slower_by = self.record_pace(node, routes);
        let mut pending = self.pending.remove(node).unwrap_or_default();
        for (route, s) in routes {
            pending.entry(route.clone()).or_default().add(s);
        }
        if slower_by.is_none() {
            self.pending.insert(node.clone(), pending);
            return;
        }
        self.bad += self.evaluate(1, &pending, slower_by);
        self.evaluate(2, &pending, slower_by);
    }

    /// Adds samples to the evidence of a test, for each route and for all together. Returns the number of bad ones.
    fn evaluate(
        &mut self,
        test: usize,
        routes: &BTreeMap<SmolStr, RouteSamples>,
        slower_by: Option<u8>,
    ) -> u64 {
        let (mut bad, mut total, mut usual) = Count::default();
        for (route, s) in routes {
            let e = self.routes.entry(route.clone()).or_default();
            if let Some(count) = e.count(&TESTS[test], s, slower_by) {
                e.record(test, count);
                bad += count.0;
                total += count.1;
                // The slow responses of each route are relative to its own median.
                usual += count.1 * count.2;
            }
        }
        self.all.record(test, (bad, total, usual / total.max(1.0)));
        bad as u64
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
