//! Samples of what targets ran during a rollout: counted at the admitting nodes, sent to the decider. No I/O.
//!
//! Counts are cumulative since the order, so that a lost or repeated report changes nothing and a new decider gets all
//! of them with the next reports.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Classes of service times for each doubling; a class is then 19% wide.
const CLASSES_PER_OCTAVE: f64 = 4.0;
/// Greatest service time of the first class, in microseconds.
const FIRST_CLASS_US: f64 = 100.0;
/// Number of classes; the last one begins at more than an hour.
pub const TIME_CLASSES: usize = 104;
/// Routes of which samples are kept. Those of further routes are counted together.
const MAX_ROUTES: usize = 48;
/// Name under which the samples of further routes are counted.
const OTHER_ROUTES: &str = "*";

/// Class of a service time.
pub fn time_class(t: Duration) -> u8 {
    let octaves = (t.as_secs_f64() * 1e6 / FIRST_CLASS_US).max(1.0).log2();
    (octaves * CLASSES_PER_OCTAVE).min(TIME_CLASSES as f64 - 1.0) as u8
}

/// What a target ran of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSamples {
    /// Responses, and requests without one in time.
    #[serde(rename = "n")]
    pub total: u32,
    /// Responses with a server error.
    #[serde(rename = "f", default)]
    pub failed: u32,
    /// Service times by class, with their number; those of a cold target are missing.
    #[serde(rename = "t")]
    pub times: BTreeMap<u8, u32>,
}

impl RouteSamples {
    /// Adds other samples of the route.
    pub(super) fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        for (class, n) in &other.times {
            *self.times.entry(*class).or_default() += n;
        }
    }

    /// Samples since an earlier report of the same counts.
    fn since(&self, old: &Self) -> Self {
        let count = |class: &u8| old.times.get(class).copied().unwrap_or(0);
        let times = self
            .times
            .iter()
            .map(|(c, n)| (*c, n.saturating_sub(count(c))));
        Self {
            total: self.total.saturating_sub(old.total),
            failed: self.failed.saturating_sub(old.failed),
            times: times.filter(|(_, n)| *n > 0).collect(),
        }
    }
}

/// Report of a node about its target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of the rollout.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version that was ordered.
    #[serde(rename = "o")]
    pub to: SmolStr,
    /// Version of the target.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// Tells counts that began anew from earlier ones.
    #[serde(rename = "i")]
    pub run: u64,
    /// Requests that reached the target since the order.
    #[serde(rename = "d")]
    pub delivered: u64,
    /// Requests at the target now.
    #[serde(rename = "b")]
    pub busy: u32,
    /// Samples by route.
    #[serde(rename = "p")]
    pub routes: BTreeMap<SmolStr, RouteSamples>,
}

impl Report {
    /// Counts a request that reached the target. `failed` says whether the response was a server error, and is `None` if
    /// there was none from which to judge the version. `time` is the service time, `None` from a cold target.
    pub fn count(&mut self, route: &SmolStr, failed: Option<bool>, time: Option<Duration>) {
        self.delivered += 1;
        let Some(failed) = failed else { return };
        let known = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let name = match known {
            true => route.clone(),
            false => SmolStr::new_static(OTHER_ROUTES),
        };
        let samples = self.routes.entry(name).or_default();
        samples.total += 1;
        samples.failed += u32::from(failed);
        if let Some(time) = time {
            *samples.times.entry(time_class(time)).or_default() += 1;
        }
    }

    /// Counts since an earlier report; all of them if the node or its target started anew.
    pub fn since(&self, old: Option<&Self>) -> Self {
        let Some(old) = old.filter(|o| o.run == self.run) else {
            return self.clone();
        };
        let none = RouteSamples::default();
        let samples = |r: &SmolStr| old.routes.get(r).unwrap_or(&none);
        let routes = self.routes.iter();
        Self {
            delivered: self.delivered.saturating_sub(old.delivered),
            routes: routes
                .map(|(r, s)| (r.clone(), s.since(samples(r))))
                .collect(),
            ..self.clone()
        }
    }
}
