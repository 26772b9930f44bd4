//! Choice of the target for a request: the one with the lowest probability of a late or failed response, in the
//! availability zone of this node unless another zone is clearly better. No I/O.
//!
//! Targets differ widely in speed, and routes in their latency objectives. A slow target is fast enough for a request
//! with much time left, but not for one with little time. Targets are therefore compared by the fraction of such
//! requests that would be late there, not by their mean service time.
//!
//! Load reports arrive with responses, so with many targets they are old. Only a few targets, sampled in proportion to
//! their capacity, are compared, because a target that all nodes consider the best would be overloaded. As a report
//! ages, it is replaced by the mean load of its target.

use rand::Rng;

use crate::prelude::*;
use crate::sidecar::process::routing::candidates::{select, Eligible};
pub use crate::sidecar::process::routing::known_target::TargetInfo;
use crate::sidecar::process::routing::known_target::{
    back_off_from, BackOff, ServiceState, Target,
};
use crate::sidecar::process::routing::observe::{Exclusion, Observer};
use crate::sidecar::process::routing::service_times::{ServiceTimes, TimeDistribution};
use crate::sidecar::process::target::queue::Load;
use crate::sidecar::version::routes::RANKS;

/// Weight of a new report in the mean load of a target.
const TARGET_LOAD_WEIGHT: f64 = 0.2;
/// Expected wait, as a multiple of the time to the deadline, above which a request is rejected without an attempt.
const MAX_WAIT_FACTOR: f64 = 1.5;

/// Criteria for the choice of a target.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Service that must run the request.
    pub service: &'a str,
    /// Name of the route, which determines the expected service time.
    pub route: &'a str,
    /// Rank with which the request is queued; 0 is the most urgent.
    pub rank: usize,
    /// Time left to meet the latency objective.
    pub until_due: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Whether the request has a large body, which waits for the link into the VM of the target.
    pub upload: bool,
    /// Nodes whose targets must not be chosen.
    pub excluded: &'a [NodeId],
}

/// Result of [`Placement::choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Node of the chosen target.
    Target(NodeId),
    /// All targets are full or in back-off; a slot may be free after this time.
    Full(Duration),
    /// No eligible target is known.
    None,
}

/// Targets of all services as this node sees them.
#[derive(Debug)]
pub struct Placement {
    az: Az,
    pub(super) targets: BTreeMap<NodeId, Target>,
    pub(super) services: HashMap<ServiceId, ServiceState>,
    pub(super) times: ServiceTimes,
}

/// Targets of a service for one request.
struct Candidates<'a> {
    eligible: Vec<Eligible<'a, Target>>,
    /// Shortest back-off of the targets that are in back-off; `None` if there is none.
    min_back_off: Option<Duration>,
}

impl Placement {
    /// Creates a placement without targets; `az` is the availability zone of this node.
    pub fn new(az: Az) -> Self {
        Self {
            az,
            targets: BTreeMap::new(),
            services: HashMap::default(),
            times: ServiceTimes::default(),
        }
    }

    /// Median service time of a route at an average target; zero if unknown.
    pub fn baseline(&self, route: &str) -> Duration {
        self.times
            .get(route)
            .map_or(Duration::ZERO, TimeDistribution::median)
    }

    /// Discards the service times of routes that a new version no longer has: those for which `keep` returns false.
    pub fn retain_routes<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.times.retain(keep);
    }

    /// Records the service time of a request that a target completed.
    pub fn record_service_time(&mut self, node: &NodeId, route: &SmolStr, service_time: Duration) {
        let Some(t) = self.targets.get(node) else {
            return;
        };
        let service = self.services.get(&t.info.service);
        let slowdown = t.slowdown(service.map_or(1.0, ServiceState::slowdown));
        self.times.add(route, service_time, slowdown);
    }

    /// Adds or updates the target of a node. Its statistics are kept if its id and service stay the same.
    pub fn set(&mut self, node: &NodeId, info: TargetInfo, now: Now) {
        match self.targets.get_mut(node) {
            Some(t) if t.info.id == info.id && t.info.service == info.service => {
                t.leaving &= t.info.is_same_incarnation(&info);
                t.info = info;
            }
            old => {
                // A target that replaces another one has just started.
                let cold_until = match old {
                    Some(_) => now + Duration::from_secs(2),
                    None => Now::ZERO,
                };
                self.remove(node);
                let service = self.services.entry(info.service.clone()).or_default();
                service.nodes.push(node.clone());
                self.targets.insert(
                    node.clone(),
                    Target {
                        info,
                        load: Load::default(),
                        reported_at: Now::ZERO,
                        mean_requests: None,
                        unreported: 0.0,
                        sent_at: now,
                        back_offs: [BackOff::default(); RANKS],
                        upload_back_offs: [BackOff::default(); RANKS],
                        cold_until,
                        paced: false,
                        leaving: false,
                    },
                );
            }
        }
    }

    /// Removes the target of a node and its statistics.
    pub fn remove(&mut self, node: &NodeId) {
        if let Some(t) = self.targets.remove(node) {
            if let Some(service) = self.services.get_mut(&t.info.service) {
                service.nodes.retain(|n| n != node);
                service.replace_slowdown(t.load.slowdown_pct, 0);
            }
        }
    }

    /// Nodes and properties of the targets of a service.
    pub fn targets_of(&self, service: &str) -> Vec<(NodeId, TargetInfo)> {
        let nodes = self.services.get(service).map_or(&[][..], |s| &s.nodes);
        let known = nodes.iter().filter_map(|n| Some((n, self.targets.get(n)?)));
        known.map(|(n, t)| (n.clone(), t.info.clone())).collect()
    }

    /// Whether all ready targets of a service have this version.
    pub fn has_only_version(&self, service: &str, version: &str) -> bool {
        let nodes = self.services.get(service).map_or(&[][..], |s| &s.nodes);
        let targets = nodes.iter().filter_map(|n| self.targets.get(n));
        let mut ready = targets.filter(|t| t.info.ready && !t.leaving);
        ready.all(|t| t.info.version.as_deref() == Some(version))
    }

    /// Version of the target of a node; `None` if unknown.
    pub fn version_of(&self, node: &str) -> Option<SmolStr> {
        self.targets.get(node).and_then(|t| t.info.version.clone())
    }

    /// Rate limit of a target as last reported; `None` without one.
    pub fn limit(&self, node: &NodeId) -> Option<f32> {
        self.targets.get(node).and_then(|t| t.load.limit)
    }

    /// Records that the target of a node is about to stop. It is not chosen until another incarnation takes its place.
    pub fn set_leaving(&mut self, node: &NodeId) {
        if let Some(t) = self.targets.get_mut(node) {
            t.leaving = true;
        }
    }

    /// Sets whether a node is reachable; the target of an unreachable one is not chosen.
    pub fn set_reachable(&mut self, node: &NodeId, reachable: bool) {
        if let Some(t) = self.targets.get_mut(node) {
            t.info.reachable = reachable;
        }
    }

    /// Whether the targets of a service, or those of one of its availability zones, have free slots on average.
    pub fn has_free_slots(&self, service: &str, now: Now) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| s.loads.has_free_slots(now))
    }

    /// Chooses a target that is ready, reachable, not excluded and not in back-off for the request.
    pub fn choose<R>(&self, now: Now, req: &Criteria<'_>, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        self.choose_among(now, req, rng, |_, _| true, &())
    }

    /// Chooses a target as [`Placement::choose`] does, among those for whose node and properties `allowed` returns true.
    pub fn choose_among<R, F, O>(
        &self,
        now: Now,
        req: &Criteria<'_>,
        rng: &mut R,
        allowed: F,
        observer: &O,
    ) -> Choice
    where
        R: Rng,
        F: Fn(&NodeId, &TargetInfo) -> bool,
        O: Observer,
    {
        let Some(service) = self.services.get(req.service) else {
            return Choice::None;
        };
        let candidates = self.candidates(now, req, service, allowed, observer);
        let eligible = candidates.eligible;
        let evaluate = |e: &Eligible<'_, Target>| e.target.evaluate(req, service, &self.times, now);
        let sampled = |e: &Eligible<'_, Target>| {
            observer.on_sampled(e.node);
            evaluate(e)
        };
        let own_az_failures = self.own_az_failures(req);
        let selected = select(&eligible, req.rank, own_az_failures, rng, sampled);
        let Some((selected, evaluation)) = selected else {
            return candidates.min_back_off.map_or(Choice::None, Choice::Full);
        };
        let limit = MAX_WAIT_FACTOR * req.remaining.as_secs_f64();
        if evaluation.wait > limit {
            let waits = eligible.iter().map(|e| evaluate(e).wait);
            let wait = waits.fold(f64::MAX, f64::min);
            if wait > limit {
                return Choice::Full(Duration::from_secs_f64(wait) - req.remaining);
            }
        }
        Choice::Target(selected.node.clone())
    }

    /// Targets of a service that are eligible for a request; reports the others to `observer`.
    fn candidates<'a, F, O>(
        &'a self,
        now: Now,
        req: &Criteria<'_>,
        service: &'a ServiceState,
        allowed: F,
        observer: &O,
    ) -> Candidates<'a>
    where
        F: Fn(&NodeId, &TargetInfo) -> bool,
        O: Observer,
    {
        let mut min_back_off: Option<Duration> = None;
        let mut eligible = Vec::new();
        for node in service.nodes.iter().filter(|n| !req.excluded.contains(n)) {
            let Some(t) = self.targets.get(node) else {
                continue;
            };
            if let Some(why) = t.exclusion(|info| allowed(node, info)) {
                observer.on_excluded(node, why);
                continue;
            }
            let back_off = t.back_off(req, now);
            if !back_off.is_zero() {
                observer.on_excluded(node, Exclusion::BackOff);
                min_back_off = Some(min_back_off.map_or(back_off, |b| b.min(back_off)));
                continue;
            }
            observer.on_eligible(node);
            eligible.push(Eligible {
                node,
                target: t,
                own_az: t.info.az == self.az,
                capacity: t.capacity(now),
            });
        }
        Candidates {
            eligible,
            min_back_off,
        }
    }

    /// Number of targets in the availability zone of this node that the request avoids because they failed or rejected it.
    fn own_az_failures(&self, req: &Criteria<'_>) -> usize {
        let excluded = req.excluded.iter();
        let targets = excluded.filter_map(|n| self.targets.get(n));
        targets.filter(|t| t.info.az == self.az).count()
    }

    /// Adds a request to the estimate of those at the target that its last load report lacks.
    pub fn record_sent(&mut self, node: &NodeId, now: Now) {
        if let Some(t) = self.targets.get_mut(node) {
            let age = now.saturating_sub(t.sent_at).as_secs_f64();
            t.unreported = 1.0 + t.unreported * (-age / t.service_time()).exp();
            t.sent_at = now;
        }
    }

    /// Records a load report of a node about its target.
    pub fn record_load(&mut self, now: Now, node: &NodeId, load: Load) {
        if let Some(t) = self.targets.get_mut(node) {
            let old_slowdown = std::mem::replace(&mut t.load, load).slowdown_pct;
            t.paced |= load.pace.is_some();
            t.reported_at = now;
            t.unreported = 0.0;
            let requests = f64::from(load.running + load.waiting[RANKS - 1]);
            let mean = t.mean_requests.unwrap_or(requests);
            t.mean_requests = Some(mean + TARGET_LOAD_WEIGHT * (requests - mean));
            let per_slot = requests / t.slots(now);
            if let Some(s) = self.services.get_mut(&t.info.service) {
                s.loads.record(&t.info.az, per_slot, now);
                s.replace_slowdown(old_slowdown, load.slowdown_pct);
            }
        }
    }

    /// Records that a target rejected a request of this rank with this time to its latency objective. Until the end of
    /// the back-off, the target gets no requests of this or less urgent ranks with as little time.
    pub fn record_rejection(
        &mut self,
        now: Now,
        node: &NodeId,
        rank: usize,
        until_due: Duration,
        back_off: Duration,
    ) {
        if let Some(t) = self.targets.get_mut(node) {
            back_off_from(&mut t.back_offs, now, rank, until_due, back_off);
        }
    }

    /// Records that the link into the VM of a target had no room for a large body, as
    /// [`record_rejection`](Self::record_rejection) does. Other requests are not affected.
    pub fn record_upload_rejection(
        &mut self,
        now: Now,
        node: &NodeId,
        rank: usize,
        until_due: Duration,
        back_off: Duration,
    ) {
        if let Some(t) = self.targets.get_mut(node) {
            back_off_from(&mut t.upload_back_offs, now, rank, until_due, back_off);
        }
    }
}
