//! Choice of a target: own zone first, the less loaded of two random targets, cold targets slowly.
//!
//! A state machine without I/O. What this node observes takes precedence over what a target says about itself,
//! whether better or worse.

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::process::observe::observed::{moving_average, ServiceTargets, Target};
pub use crate::process::observe::observed::{
    COLD_WEIGHT, LOAD_TTL, MAX_EJECTED_PERCENT, OBSERVATION_TTL, RAMP_UP_TIME,
};
use crate::settings::BalancePolicy;

/// Mean use of the own zone's slots above which other zones are considered too.
pub const SPILL_USE: f64 = 0.8;
/// Consecutive failures after which a target is ejected.
pub const EJECT_FAILURES: u32 = 5;
/// Length of a first ejection; it doubles with each further one.
pub const EJECT_FIRST: Duration = Duration::from_secs(5);
/// Longest ejection. A target that stays this long without another one starts again with the first length.
pub const EJECT_LONGEST: Duration = Duration::from_secs(60);
/// Latency assumed before any sample, in seconds; only its ratio to other targets counts.
const LATENCY_START: f64 = 0.01;

/// What a target says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// Runs requests.
    Ready,
    /// Does not run requests; own observations may say otherwise.
    Unready,
    /// Takes no new work; binding.
    Leaving,
}

/// A target as its record describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub az: Az,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it says about itself.
    pub hint: Hint,
    /// Time since it became ready.
    pub age: Duration,
    /// Distinguishes successive processes; a change discards what was observed.
    pub born: u64,
    /// How doubtful it is that the node answers, 0 for no doubt; others are preferred.
    pub doubt: u8,
}

/// How a request at a target ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// It was answered.
    Answered {
        /// Time to the answer.
        latency: Duration,
        /// Running and waiting work in percent of the slots, as the admitting node counted it.
        load_percent: Option<u32>,
    },
    /// The target failed: no connection, a lost or broken answer, a time-out.
    Failed,
    /// The target has too much work and wants no more of this rank for a time.
    Refused(Duration),
    /// The caller went away; nothing was learned.
    Cancelled,
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send to the target of this node.
    Target(NodeId),
    /// Every usable target wants no work of this rank for this time at least.
    HeldOff(Duration),
    /// No target is usable.
    None,
}

/// Balancer state of one node.
#[derive(Debug)]
pub struct Balance {
    policy: BalancePolicy,
    az: Az,
    groups: BTreeMap<ServiceId, ServiceTargets>,
    services: BTreeMap<NodeId, ServiceId>,
}

impl Balance {
    /// A balancer of a node in this zone.
    pub fn new(policy: BalancePolicy, az: Az) -> Self {
        Self {
            policy,
            az,
            groups: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Adds or changes a target.
    pub fn set(&mut self, now: Now, node: &NodeId, info: TargetInfo) {
        let service = info.service.clone();
        if self.services.get(node).is_some_and(|s| *s != service) {
            self.remove(now, node);
        }
        self.services.insert(node.clone(), service.clone());
        let group = self.groups.entry(service).or_default();
        match group.targets.get_mut(node) {
            Some(t) if t.info.born == info.born => {
                let woke = t.info.hint == Hint::Unready && info.hint == Hint::Ready;
                if woke || t.info.age != info.age {
                    t.age_at = now;
                }
                t.info = info;
            }
            _ => {
                group.targets.insert(node.clone(), Target::new(info, now));
            }
        }
        group.trim_ejections(now);
    }

    /// Forgets a target.
    pub fn remove(&mut self, now: Now, node: &NodeId) {
        if let Some(service) = self.services.remove(node) {
            if let Some(g) = self.groups.get_mut(&service) {
                g.targets.remove(node);
                g.trim_ejections(now);
            }
        }
    }

    /// Chooses a target for a request of this rank, if possible another one than those already tried.
    pub fn choose<R>(
        &self,
        now: Now,
        service: &str,
        rank: &str,
        tried: &[NodeId],
        rng: &mut R,
    ) -> Choice
    where
        R: Rng,
    {
        let Some(group) = self.groups.get(service) else {
            return Choice::None;
        };
        let usable: Vec<_> = group
            .targets
            .iter()
            .filter(|(_, t)| t.usable(now))
            .collect();
        let until = |t: &Target| t.backoffs.get(rank).copied().unwrap_or_default();
        let mut open: Vec<_> = usable
            .iter()
            .copied()
            .filter(|(_, t)| until(t) <= now)
            .collect();
        if open.is_empty() {
            let wait = usable.iter().map(|(_, t)| until(t) - now).min();
            return wait.map_or(Choice::None, Choice::HeldOff);
        }
        if open.iter().any(|(n, _)| !tried.contains(n)) {
            open.retain(|(n, _)| !tried.contains(n));
        }
        let least = open.iter().map(|(_, t)| t.doubt(now)).min();
        open.retain(|(_, t)| Some(t.doubt(now)) == least);
        if self.policy == BalancePolicy::LeastLoaded {
            self.prefer_own_zone(now, &mut open);
        }
        let usual = group.latency.unwrap_or(LATENCY_START);
        Choice::Target(self.pick(now, open, usual, rng).clone())
    }

    /// A random target, or the better of two random ones.
    fn pick<'a, R>(
        &self,
        now: Now,
        mut open: Vec<(&'a NodeId, &'a Target)>,
        usual: f64,
        rng: &mut R,
    ) -> &'a NodeId
    where
        R: Rng,
    {
        let first = open[rng.random_range(0..open.len())];
        if self.policy == BalancePolicy::Random || open.len() == 1 {
            return first.0;
        }
        open.retain(|(n, _)| *n != first.0);
        let second = open[rng.random_range(0..open.len())];
        match second.1.score(now, usual) < first.1.score(now, usual) {
            true => second.0,
            false => first.0,
        }
    }

    fn prefer_own_zone(&self, now: Now, open: &mut Vec<(&NodeId, &Target)>) {
        let own = open.iter().filter(|(_, t)| t.info.az == self.az);
        let (work, slots) = own.fold((0.0, 0.0), |(w, s), (_, t)| {
            (w + t.work(now), s + f64::from(t.info.slots))
        });
        if slots > 0.0 && work <= SPILL_USE * slots {
            open.retain(|(_, t)| t.info.az == self.az);
        }
    }

    fn target(&mut self, node: &NodeId) -> Option<&mut Target> {
        let group = self.groups.get_mut(self.services.get(node)?)?;
        group.targets.get_mut(node)
    }

    /// A request was sent to a target.
    pub fn started(&mut self, node: &NodeId) {
        if let Some(t) = self.target(node) {
            t.outstanding += 1;
        }
    }

    /// A request that was sent to a target ended.
    pub fn ended(&mut self, now: Now, node: &NodeId, rank: &RankId, end: End) {
        let Some(t) = self.target(node) else {
            return;
        };
        t.outstanding = t.outstanding.saturating_sub(1);
        match end {
            End::Answered {
                latency,
                load_percent,
            } => {
                t.failures = 0;
                t.last_response = Some(now);
                t.load = load_percent.map(|p| (f64::from(p) / 100.0, now));
                if now > t.ejected_until + EJECT_LONGEST {
                    t.ejections = 0;
                }
                let sample = latency.as_secs_f64();
                t.latency = moving_average(t.latency, sample);
                if let Some(g) = self.services.get(node).and_then(|s| self.groups.get_mut(s)) {
                    g.latency = moving_average(g.latency, sample);
                }
            }
            End::Failed => self.failed(now, node),
            End::Refused(time) => {
                t.backoffs.retain(|_, until| *until > now);
                let until = t.backoffs.entry(rank.clone()).or_default();
                // A refusal without a back-off does not end an earlier one.
                *until = (*until).max(now + time);
            }
            End::Cancelled => {}
        }
    }

    fn failed(&mut self, now: Now, node: &NodeId) {
        let Some(group) = self.services.get(node).and_then(|s| self.groups.get_mut(s)) else {
            return;
        };
        let room = group.ejected(now) < group.max_ejected();
        let Some(t) = group.targets.get_mut(node) else {
            return;
        };
        t.failures += 1;
        t.penalty = (t.penalty(now) + 1.0).min(16.0);
        t.penalty_at = now;
        if t.failures >= EJECT_FAILURES && t.ejected_until <= now && room && t.is_staying() {
            let time = EJECT_FIRST * 2_u32.pow(t.ejections.min(5));
            t.ejected_until = now + time.min(EJECT_LONGEST);
            t.ejections += 1;
        }
    }

    /// Whether a service has targets that may become usable again.
    pub fn may_recover(&self, service: &str) -> bool {
        let group = self.groups.get(service);
        group.is_some_and(|g| g.targets.values().any(Target::is_staying))
    }

    /// Number of targets of a service that are ejected now.
    pub fn ejected(&self, now: Now, service: &str) -> usize {
        self.groups.get(service).map_or(0, |g| g.ejected(now))
    }
}
