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
use crate::sidecar::process::routing::candidates::{select, Eligible, Evaluation};
use crate::sidecar::process::routing::service_times::{ServiceTimes, TimeDistribution};
use crate::sidecar::process::target::queue::Load;
use crate::sidecar::version::routes::RANKS;

/// Cost of a response that misses the latency objective; one that misses the deadline costs 1.
const LATE_COST: f64 = 0.7;
/// Slowdown of a target that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Time for which the reported pace of a target is used; it grows to all slots within a few service times.
const PACE_VALID: Duration = Duration::from_secs(1);
/// Service time assumed before the first report.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time constant with which a load report decays to the mean load of its target.
const REPORT_DECAY: Duration = Duration::from_millis(300);
/// Weight of a new report in the mean load of a service.
const SERVICE_LOAD_WEIGHT: f64 = 0.05;
/// Mean load of a service, in requests per slot, below which some of its targets have free slots.
const FULL_LOAD: f64 = 1.0;
/// Time constant with which the mean load of a target without new reports decays to that of its service.
const TARGET_LOAD_DECAY: Duration = Duration::from_secs(4);
/// Weight of a new report in the mean load of a target.
const TARGET_LOAD_WEIGHT: f64 = 0.2;
/// Minimum number of slots assumed for a target with a rate limit.
const MIN_SLOTS: f64 = 0.05;
/// Longest back-off after a rejection.
const MAX_BACK_OFF: Duration = Duration::from_millis(250);
/// Expected wait, as a multiple of the time to the deadline, above which a request is rejected without an attempt.
const MAX_WAIT_FACTOR: f64 = 1.5;

/// Properties of a target from the record of its node.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Service that the target runs.
    pub service: ServiceId,
    /// Availability zone of the target; that of this node is preferred.
    pub az: Az,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether its node responds on a link; true for the target of this node.
    pub reachable: bool,
    /// Id of the target; a change discards its statistics.
    pub id: SmolStr,
    /// Incarnation of the target; 0 if unknown.
    pub incarnation: u64,
    /// Version of the program that the target runs; `None` if unknown.
    pub version: Option<SmolStr>,
}

impl TargetInfo {
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation || self.incarnation == 0 || other.incarnation == 0
    }
}

/// Back-off from a target that rejected a request of a rank. It applies only to requests with at most as much time to
/// their latency objective: a rejected retry with little time says nothing about requests that have just arrived.
#[derive(Debug, Clone, Copy, Default)]
struct BackOff {
    ends: Now,
    until_due: Duration,
}

impl BackOff {
    /// Remaining back-off for a request with this time to its latency objective.
    fn duration(&self, until_due: Duration, now: Now) -> Duration {
        match until_due <= self.until_due {
            true => self.ends.saturating_sub(now),
            false => Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    load: Load,
    reported_at: Now,
    /// Moving average of the reported requests at the target; `None` before the first report.
    mean_requests: Option<f64>,
    /// Estimate of the requests at the target that were sent since the last report, as of `sent_at`.
    unreported: f64,
    sent_at: Now,
    back_offs: [BackOff; RANKS],
    /// Back-offs of large bodies for which the link into the VM has no room.
    upload_back_offs: [BackOff; RANKS],
    cold_until: Now,
    /// Whether its node has reported its pace since it started.
    paced: bool,
    /// Whether a response of the target said that it is about to stop.
    leaving: bool,
}

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

#[derive(Debug, Default)]
struct ServiceState {
    nodes: Vec<NodeId>,
    /// Moving average of the running and waiting requests per slot.
    load: f64,
    /// Sum of the slowdowns of the targets that have reported one, in percent, and their number.
    slowdowns: (u64, u64),
}

/// Targets of all services as this node sees them.
#[derive(Debug)]
pub struct Placement {
    az: Az,
    targets: BTreeMap<NodeId, Target>,
    services: HashMap<ServiceId, ServiceState>,
    times: ServiceTimes,
}

impl Target {
    /// Expected number of running requests and of waiting ones ahead of a new request of this rank. As the last report
    /// ages, the estimate moves to the mean of the target, and then to that of its service, `mean` requests per slot.
    /// Requests that this node has sent since the report are added.
    fn requests(&self, rank: usize, mean: f64, now: Now) -> f64 {
        let decay = |t: Now, tau: f64| (-now.saturating_sub(t).as_secs_f64() / tau).exp();
        let requests = f64::from(self.load.running + self.load.waiting[rank.min(RANKS - 1)]);
        let mean = mean * self.slots(now);
        let mean_weight = decay(self.reported_at, TARGET_LOAD_DECAY.as_secs_f64());
        let expected = self
            .mean_requests
            .map_or(mean, |m| mean + (m - mean) * mean_weight);
        let report_weight = decay(self.reported_at, REPORT_DECAY.as_secs_f64());
        let sent = self.unreported * decay(self.sent_at, self.service_time());
        expected + (requests - expected) * report_weight + sent
    }

    /// Requests that the target runs at once: at most its slots and its pace, and no more than its rate limit lets in.
    fn slots(&self, now: Now) -> f64 {
        let slots = self.paced_slots(now);
        let limited = |rate: f32| (f64::from(rate) * self.service_time()).max(MIN_SLOTS);
        self.load
            .limit
            .map_or(slots, |rate| slots.min(limited(rate)))
    }

    /// Pace of the target, if it was reported a short time ago. A target with an old low pace would get few requests and
    /// so report no new one.
    fn pace(&self, now: Now) -> Option<u16> {
        self.load
            .pace
            .filter(|_| now < self.reported_at + PACE_VALID)
    }

    /// Requests that the node of the target lets in at once.
    fn paced_slots(&self, now: Now) -> f64 {
        let slots = self.info.slots.max(1);
        let pace = self.pace(now).map_or(slots, u32::from);
        f64::from(slots.min(pace.max(1)))
    }

    fn service_time(&self) -> f64 {
        match self.load.service_us {
            0 => INITIAL_SERVICE_TIME.as_secs_f64(),
            us => f64::from(us) / 1e6,
        }
    }

    /// Slowdown relative to the mean of the service's targets.
    fn slowdown(&self, mean: f64) -> f64 {
        match self.load.slowdown_pct {
            0 => 1.0,
            percent => f64::from(percent) / 100.0 / mean,
        }
    }

    /// Slowdown of a target that has just started, as far as its node has not measured it yet: by its pace if that is
    /// known, or by time.
    fn cold_factor(&self, now: Now) -> f64 {
        let by_time = now < self.cold_until && !self.paced;
        match self.pace(now).is_some() || by_time {
            true => COLD_FACTOR,
            false => 1.0,
        }
    }

    /// Remaining back-off for a request.
    fn back_off(&self, req: &Criteria<'_>, now: Now) -> Duration {
        let rank = req.rank.min(RANKS - 1);
        let any = self.back_offs[rank].duration(req.until_due, now);
        match req.upload {
            true => any.max(self.upload_back_offs[rank].duration(req.until_due, now)),
            false => any,
        }
    }

    /// Requests that the target can run per second.
    fn capacity(&self, now: Now) -> f64 {
        let cold = match self.pace(now) {
            Some(_) => 1.0,
            None => self.cold_factor(now),
        };
        self.slots(now) / (self.service_time() * cold)
    }

    /// Estimates what a request gets at the target.
    fn evaluate(
        &self,
        req: &Criteria<'_>,
        service: &ServiceState,
        times: &ServiceTimes,
        now: Now,
    ) -> Evaluation {
        let cold = self.cold_factor(now);
        let requests = self.requests(req.rank, service.load, now);
        let wait =
            (requests + 1.0 - self.slots(now)).max(0.0) * self.service_time() / self.slots(now);
        let inbound_wait = match req.upload {
            true => self.inbound_wait(now),
            false => 0.0,
        };
        // Requests ahead run while the body arrives.
        let wait = wait.max(inbound_wait);
        let (dist, slowdown) = match times.get(req.route) {
            Some(dist) => (*dist, self.slowdown(service.slowdown()) * cold),
            None => (
                TimeDistribution::with_median(Duration::from_secs_f64(self.service_time())),
                cold,
            ),
        };
        let late = |end: Duration| dist.late_fraction(end.saturating_sub(seconds(wait)), slowdown);
        let late_cost = LATE_COST * late(req.until_due) + (1.0 - LATE_COST) * late(req.remaining);
        let failed = f64::from(self.load.failed_pct) / 100.0;
        Evaluation {
            wait,
            cost: 1.0 - (1.0 - late_cost) * (1.0 - failed),
            load: requests / self.slots(now) + inbound_wait / INITIAL_SERVICE_TIME.as_secs_f64(),
        }
    }

    /// Expected wait of a large body for the link into the VM, in seconds. The link works off what was reported.
    fn inbound_wait(&self, now: Now) -> f64 {
        let reported = Duration::from_millis(self.load.inbound_ms.into());
        let age = now.saturating_sub(self.reported_at);
        reported.saturating_sub(age).as_secs_f64()
    }
}

impl ServiceState {
    /// Mean slowdown of the targets, to which that of each target is relative; 1 before the first report.
    fn slowdown(&self) -> f64 {
        match self.slowdowns {
            (_, 0) => 1.0,
            (sum, count) => sum as f64 / count as f64 / 100.0,
        }
    }

    /// Replaces the slowdown of a target, in percent; 0 stands for none.
    fn replace_slowdown(&mut self, old: u16, new: u16) {
        let (sum, count) = self.slowdowns;
        self.slowdowns = (
            sum + u64::from(new) - u64::from(old),
            count + u64::from(new > 0) - u64::from(old > 0),
        );
    }
}

fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX)
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

    /// Whether the targets of a service have free slots on average.
    pub fn has_free_slots(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|s| s.load < FULL_LOAD)
    }

    /// Chooses a target that is ready, reachable, not excluded and not in back-off for the request.
    pub fn choose<R>(&self, now: Now, req: &Criteria<'_>, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        self.choose_among(now, req, rng, |_, _| true)
    }

    /// Chooses a target as [`Placement::choose`] does, among those for whose node and properties `allowed` returns true.
    pub fn choose_among<R, F>(
        &self,
        now: Now,
        req: &Criteria<'_>,
        rng: &mut R,
        allowed: F,
    ) -> Choice
    where
        R: Rng,
        F: Fn(&NodeId, &TargetInfo) -> bool,
    {
        let Some(service) = self.services.get(req.service) else {
            return Choice::None;
        };
        let mut min_back_off: Option<Duration> = None;
        let mut eligible = Vec::new();
        for node in service.nodes.iter().filter(|n| !req.excluded.contains(n)) {
            let Some(t) = self.targets.get(node) else {
                continue;
            };
            if !t.info.ready || !t.info.reachable || t.leaving || !allowed(node, &t.info) {
                continue;
            }
            let back_off = t.back_off(req, now);
            if !back_off.is_zero() {
                min_back_off = Some(min_back_off.map_or(back_off, |b| b.min(back_off)));
                continue;
            }
            eligible.push(Eligible {
                node,
                target: t,
                own_az: t.info.az == self.az,
                capacity: t.capacity(now),
            });
        }
        let evaluate = |e: &Eligible<'_, Target>| e.target.evaluate(req, service, &self.times, now);
        let Some((selected, evaluation)) = select(&eligible, req.rank, rng, evaluate) else {
            return min_back_off.map_or(Choice::None, Choice::Full);
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
                s.load += SERVICE_LOAD_WEIGHT * (per_slot - s.load);
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

/// Begins or extends the back-offs of a rank and of the less urgent ones.
fn back_off_from(
    back_offs: &mut [BackOff; RANKS],
    now: Now,
    rank: usize,
    until_due: Duration,
    back_off: Duration,
) {
    let ends = now + back_off.min(MAX_BACK_OFF);
    for b in &mut back_offs[rank.min(RANKS - 1)..] {
        match b.ends <= now {
            true => *b = BackOff { ends, until_due },
            false => {
                b.ends = b.ends.max(ends);
                b.until_due = b.until_due.max(until_due);
            }
        }
    }
}
