//! Load balancing: prefers the local availability zone, picks the less loaded of two random targets and ramps up cold
//! targets.
//!
//! A state machine without I/O. What this node observes takes precedence over what a target reports about itself,
//! whether better or worse.

use rand::{Rng, RngExt};

use crate::prelude::*;
use crate::process::observe::observed_target::{moving_average, ObservedTarget, ServiceTargets};
pub use crate::process::observe::observed_target::{
    COLD_WEIGHT, LOAD_TTL, MAX_EJECTED_PERCENT, OBSERVATION_TTL, RAMP_UP_TIME,
};
use crate::settings::BalancePolicy;

/// Mean utilization of the slots in the local availability zone above which targets of other zones are considered too.
pub const SPILLOVER_UTILIZATION: f64 = 0.8;
/// Consecutive failures after which a target is ejected.
pub const EJECTION_FAILURES: u32 = 5;
/// Length of the first ejection; it doubles with each further one.
pub const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection. If a target is not ejected again within this time, its next ejection starts with the first length.
pub const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Latency assumed before the first sample, in seconds; only the ratio to other targets matters.
const INITIAL_LATENCY_SECONDS: f64 = 0.01;

/// State that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// Accepts requests.
    Ready,
    /// Does not accept requests; recent observations of this node take precedence.
    Unready,
    /// Accepts no new requests; observations of this node do not override this.
    Draining,
}

/// Properties of a target from its record.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Service of the target.
    pub service: ServiceId,
    /// Availability zone of the target; targets in that of this node are preferred.
    pub az: Az,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State that it reports.
    pub reported: ReportedState,
    /// Time since it became ready.
    pub age: Duration,
    /// Incarnation of the node; a change discards the observations.
    pub incarnation: u64,
    /// Doubt that the node is reachable, 0 for none; targets with the least doubt are preferred.
    pub doubt: u8,
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// The target responded.
    Responded {
        /// Time to the response.
        latency: Duration,
        /// Running and waiting requests in percent of the slots, as counted by the admitting node.
        load_percent: Option<u32>,
    },
    /// The target failed: no connection, a lost or malformed response, a server error or a time-out.
    Failed,
    /// The target rejected the request and accepts no more of this rank for this time.
    Rejected(Duration),
    /// The attempt was abandoned; it says nothing about the target.
    Cancelled,
}

/// Result of [`Balancer::choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to the target of the node with this id.
    Target(NodeId),
    /// Every usable target is in back-off for this rank, for at least this time.
    BackOff(Duration),
    /// No target is usable.
    None,
}

/// Load balancer of a node, with its observations of the targets of all services.
#[derive(Debug)]
pub struct Balancer {
    policy: BalancePolicy,
    az: Az,
    groups: BTreeMap<ServiceId, ServiceTargets>,
    node_services: BTreeMap<NodeId, ServiceId>,
}

impl Balancer {
    /// Creates the balancer of a node in this zone.
    pub fn new(policy: BalancePolicy, az: Az) -> Self {
        Self {
            policy,
            az,
            groups: BTreeMap::new(),
            node_services: BTreeMap::new(),
        }
    }

    /// Adds or changes the target of a node. A new incarnation or service discards the observations.
    pub fn set(&mut self, now: Now, node: &NodeId, info: TargetInfo) {
        let service = info.service.clone();
        if self.node_services.get(node).is_some_and(|s| *s != service) {
            self.remove(now, node);
        }
        self.node_services.insert(node.clone(), service.clone());
        let group = self.groups.entry(service).or_default();
        match group.targets.get_mut(node) {
            Some(t) if t.info.incarnation == info.incarnation => {
                let became_ready = t.info.reported == ReportedState::Unready
                    && info.reported == ReportedState::Ready;
                if became_ready || t.info.age != info.age {
                    t.age_at = now;
                }
                t.info = info;
            }
            _ => {
                group
                    .targets
                    .insert(node.clone(), ObservedTarget::new(info, now));
            }
        }
        group.trim_ejections(now);
    }

    /// Removes the target of a node and the observations of it.
    pub fn remove(&mut self, now: Now, node: &NodeId) {
        if let Some(service) = self.node_services.remove(node) {
            if let Some(g) = self.groups.get_mut(&service) {
                g.targets.remove(node);
                g.trim_ejections(now);
            }
        }
    }

    /// Chooses a target for a request of this rank, if possible one that has not been tried.
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
        let back_off_end = |t: &ObservedTarget| t.backoffs.get(rank).copied().unwrap_or_default();
        let mut candidates: Vec<_> = usable
            .iter()
            .copied()
            .filter(|(_, t)| back_off_end(t) <= now)
            .collect();
        if candidates.is_empty() {
            let wait = usable.iter().map(|(_, t)| back_off_end(t) - now).min();
            return wait.map_or(Choice::None, Choice::BackOff);
        }
        if candidates.iter().any(|(n, _)| !tried.contains(n)) {
            candidates.retain(|(n, _)| !tried.contains(n));
        }
        let least_doubt = candidates.iter().map(|(_, t)| t.doubt(now)).min();
        candidates.retain(|(_, t)| Some(t.doubt(now)) == least_doubt);
        if self.policy == BalancePolicy::LeastLoaded {
            self.prefer_own_zone(now, &mut candidates);
        }
        let service_latency = group.latency.unwrap_or(INITIAL_LATENCY_SECONDS);
        Choice::Target(self.pick(now, candidates, service_latency, rng).clone())
    }

    /// Picks a random target, or the one of two random targets with the lower score.
    fn pick<'a, R>(
        &self,
        now: Now,
        mut candidates: Vec<(&'a NodeId, &'a ObservedTarget)>,
        service_latency: f64,
        rng: &mut R,
    ) -> &'a NodeId
    where
        R: Rng,
    {
        let first = candidates[rng.random_range(0..candidates.len())];
        if self.policy == BalancePolicy::Random || candidates.len() == 1 {
            return first.0;
        }
        candidates.retain(|(n, _)| *n != first.0);
        let second = candidates[rng.random_range(0..candidates.len())];
        match second.1.score(now, service_latency) < first.1.score(now, service_latency) {
            true => second.0,
            false => first.0,
        }
    }

    /// Drops the targets of other zones while the local availability zone is below [`SPILLOVER_UTILIZATION`].
    fn prefer_own_zone(&self, now: Now, candidates: &mut Vec<(&NodeId, &ObservedTarget)>) {
        let own = candidates.iter().filter(|(_, t)| t.info.az == self.az);
        let (work, slots) = own.fold((0.0, 0.0), |(w, s), (_, t)| {
            (w + t.request_count(now), s + f64::from(t.info.slots))
        });
        if slots > 0.0 && work <= SPILLOVER_UTILIZATION * slots {
            candidates.retain(|(_, t)| t.info.az == self.az);
        }
    }

    fn target(&mut self, node: &NodeId) -> Option<&mut ObservedTarget> {
        let group = self.groups.get_mut(self.node_services.get(node)?)?;
        group.targets.get_mut(node)
    }

    /// Counts an attempt that was sent to a target.
    pub fn started(&mut self, node: &NodeId) {
        if let Some(t) = self.target(node) {
            t.outstanding += 1;
        }
    }

    /// Records the end of an attempt at a target.
    pub fn ended(&mut self, now: Now, node: &NodeId, rank: &RankId, end: AttemptEnd) {
        let Some(t) = self.target(node) else {
            return;
        };
        t.outstanding = t.outstanding.saturating_sub(1);
        match end {
            AttemptEnd::Responded {
                latency,
                load_percent,
            } => {
                t.failures = 0;
                t.last_response = Some(now);
                t.load = load_percent.map(|p| (f64::from(p) / 100.0, now));
                if now > t.ejected_until + MAX_EJECTION {
                    t.ejections = 0;
                }
                let sample = latency.as_secs_f64();
                t.latency = moving_average(t.latency, sample);
                if let Some(g) = self
                    .node_services
                    .get(node)
                    .and_then(|s| self.groups.get_mut(s))
                {
                    g.latency = moving_average(g.latency, sample);
                }
            }
            AttemptEnd::Failed => self.failed(now, node),
            AttemptEnd::Rejected(back_off) => {
                t.backoffs.retain(|_, until| *until > now);
                let until = t.backoffs.entry(rank.clone()).or_default();
                // A rejection without a back-off does not end an earlier back-off.
                *until = (*until).max(now + back_off);
            }
            AttemptEnd::Cancelled => {}
        }
    }

    /// Counts a failure against a target and ejects it after [`EJECTION_FAILURES`] in a row.
    fn failed(&mut self, now: Now, node: &NodeId) {
        let Some(group) = self
            .node_services
            .get(node)
            .and_then(|s| self.groups.get_mut(s))
        else {
            return;
        };
        let may_eject = group.ejected(now) < group.max_ejected();
        let Some(t) = group.targets.get_mut(node) else {
            return;
        };
        t.failures += 1;
        t.penalty = (t.penalty(now) + 1.0).min(16.0);
        t.penalty_at = now;
        if t.failures >= EJECTION_FAILURES && t.ejected_until <= now && may_eject && t.is_staying()
        {
            let duration = FIRST_EJECTION * 2_u32.pow(t.ejections.min(5));
            t.ejected_until = now + duration.min(MAX_EJECTION);
            t.ejections += 1;
        }
    }

    /// Whether a service has targets that may become usable again.
    pub fn may_recover(&self, service: &str) -> bool {
        let group = self.groups.get(service);
        group.is_some_and(|g| g.targets.values().any(ObservedTarget::is_staying))
    }

    /// Number of targets of a service that are ejected now.
    pub fn ejected(&self, now: Now, service: &str) -> usize {
        self.groups.get(service).map_or(0, |g| g.ejected(now))
    }
}
