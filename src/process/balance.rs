//! Choice of a target: own zone first, the less loaded of two random targets, cold targets slowly.
//!
//! A state machine without I/O. What this node observes takes precedence over what a target says about itself,
//! whether better or worse.

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::settings::BalancePolicy;

/// Mean use of the own zone's slots above which other zones are considered too.
pub const SPILL_USE: f64 = 0.8;
/// Time in which a cold target grows from [`COLD_WEIGHT`] to its whole weight.
pub const RAMP: Duration = Duration::from_secs(10);
/// Weight of a target that has just become ready.
pub const COLD_WEIGHT: f64 = 0.1;
/// Consecutive failures after which a target is ejected.
pub const EJECT_FAILURES: u32 = 5;
/// Length of a first ejection; it doubles with each further one.
pub const EJECT_FIRST: Duration = Duration::from_secs(5);
/// Longest ejection. A target that stays this long without another one starts again with the first length.
pub const EJECT_LONGEST: Duration = Duration::from_secs(60);
/// Largest part of a service's targets that may be ejected at once, in percent.
pub const EJECT_PERCENT: usize = 30;
/// Time during which an own observation outweighs a hint.
pub const OBSERVED_FOR: Duration = Duration::from_secs(5);
/// Age up to which a reported load is used.
pub const LOAD_FRESH: Duration = Duration::from_secs(1);
/// Weight of a new sample in the latency average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Latency assumed before any sample, in seconds; only its ratio to other targets counts.
const LATENCY_START: f64 = 0.01;
/// Time in which the penalty for failures halves. Without a penalty, a target that fails fast would look fast.
const PENALTY_HALVES: f64 = 5.0;

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

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    seen: Now,
    outstanding: u32,
    latency: Option<f64>,
    failures: u32,
    ejections: u32,
    ejected_until: Now,
    penalty: f64,
    penalty_at: Now,
    answered: Option<Now>,
    load: Option<(f64, Now)>,
    held: BTreeMap<RankId, Now>,
}

impl Target {
    fn new(info: TargetInfo, now: Now) -> Self {
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

    fn usable(&self, now: Now) -> bool {
        let answers = self.failures == 0
            && self
                .answered
                .is_some_and(|t| now.saturating_sub(t) < OBSERVED_FOR);
        match self.info.hint {
            Hint::Leaving => false,
            Hint::Unready => answers,
            Hint::Ready => self.ejected_until <= now,
        }
    }

    fn stays(&self) -> bool {
        self.info.hint != Hint::Leaving
    }

    fn weight(&self, now: Now) -> f64 {
        let age = self.info.age + now.saturating_sub(self.seen);
        let grown = age.as_secs_f64() / RAMP.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * grown).min(1.0)
    }

    fn penalty(&self, now: Now) -> f64 {
        let t = now.saturating_sub(self.penalty_at).as_secs_f64();
        self.penalty * 0.5_f64.powf(t / PENALTY_HALVES)
    }

    fn score(&self, now: Now, usual: f64) -> f64 {
        let latency = self.latency.unwrap_or(usual);
        let work = f64::from(self.outstanding + 1);
        work * latency * (1.0 + self.penalty(now)) / self.weight(now)
    }

    /// Work at the target: what this node sent, or what the admitting node counted a moment ago if that is more.
    fn work(&self, now: Now) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_FRESH)
            .map_or(0.0, |(part, _)| part * f64::from(self.info.slots));
        reported.max(f64::from(self.outstanding))
    }
}

#[derive(Debug, Default)]
struct Group {
    targets: BTreeMap<NodeId, Target>,
    latency: Option<f64>,
}

impl Group {
    fn ejected(&self, now: Now) -> usize {
        let out = |t: &&Target| t.stays() && t.ejected_until > now;
        self.targets.values().filter(out).count()
    }

    /// Targets that may be ejected at once: a part of those that stay, and never the last one.
    fn ceiling(&self) -> usize {
        let all = self.targets.values().filter(|t| t.stays()).count();
        (all * EJECT_PERCENT / 100).min(all.saturating_sub(1))
    }

    /// Ends ejections above the ceiling, which falls when other targets leave.
    fn trim(&mut self, now: Now) {
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

/// Balancer state of one node.
#[derive(Debug)]
pub struct Balance {
    policy: BalancePolicy,
    az: Az,
    groups: BTreeMap<ServiceId, Group>,
    services: BTreeMap<NodeId, ServiceId>,
}

fn average(old: Option<f64>, sample: f64) -> Option<f64> {
    Some(old.map_or(sample, |o| o + LATENCY_WEIGHT * (sample - o)))
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
                    t.seen = now;
                }
                t.info = info;
            }
            _ => {
                group.targets.insert(node.clone(), Target::new(info, now));
            }
        }
        group.trim(now);
    }

    /// Forgets a target.
    pub fn remove(&mut self, now: Now, node: &NodeId) {
        if let Some(service) = self.services.remove(node) {
            if let Some(g) = self.groups.get_mut(&service) {
                g.targets.remove(node);
                g.trim(now);
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
        let until = |t: &Target| t.held.get(rank).copied().unwrap_or_default();
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
        if self.policy == BalancePolicy::LeastLoaded {
            self.prefer_own_zone(now, &mut open);
        }
        let first = open[rng.random_range(0..open.len())];
        if self.policy == BalancePolicy::Random || open.len() == 1 {
            return Choice::Target(first.0.clone());
        }
        open.retain(|(n, _)| *n != first.0);
        let second = open[rng.random_range(0..open.len())];
        let usual = group.latency.unwrap_or(LATENCY_START);
        let better = match second.1.score(now, usual) < first.1.score(now, usual) {
            true => second,
            false => first,
        };
        Choice::Target(better.0.clone())
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
                t.answered = Some(now);
                t.load = load_percent.map(|p| (f64::from(p) / 100.0, now));
                if now > t.ejected_until + EJECT_LONGEST {
                    t.ejections = 0;
                }
                let sample = latency.as_secs_f64();
                t.latency = average(t.latency, sample);
                if let Some(g) = self.services.get(node).and_then(|s| self.groups.get_mut(s)) {
                    g.latency = average(g.latency, sample);
                }
            }
            End::Failed => self.failed(now, node),
            End::Refused(time) if !time.is_zero() => {
                t.held.retain(|_, until| *until > now);
                t.held.insert(rank.clone(), now + time);
            }
            End::Refused(_) | End::Cancelled => {}
        }
    }

    fn failed(&mut self, now: Now, node: &NodeId) {
        let Some(group) = self.services.get(node).and_then(|s| self.groups.get_mut(s)) else {
            return;
        };
        let room = group.ejected(now) < group.ceiling();
        let Some(t) = group.targets.get_mut(node) else {
            return;
        };
        t.failures += 1;
        t.penalty = (t.penalty(now) + 1.0).min(16.0);
        t.penalty_at = now;
        if t.failures >= EJECT_FAILURES && t.ejected_until <= now && room && t.stays() {
            let time = EJECT_FIRST * 2_u32.pow(t.ejections.min(5));
            t.ejected_until = now + time.min(EJECT_LONGEST);
            t.ejections += 1;
        }
    }

    /// Number of targets of a service that are ejected now.
    pub fn ejected(&self, now: Now, service: &str) -> usize {
        self.groups.get(service).map_or(0, |g| g.ejected(now))
    }
}
