//! What this node knows of one target, and the estimate of what a request gets there. No I/O.

use crate::prelude::*;
use crate::sidecar::process::routing::az_load::AzLoads;
use crate::sidecar::process::routing::candidates::Evaluation;
use crate::sidecar::process::routing::placement::Criteria;
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
/// Time constant with which the mean load of a target without new reports decays to that of its service.
const TARGET_LOAD_DECAY: Duration = Duration::from_secs(4);
/// Minimum number of slots assumed for a target with a rate limit.
const MIN_SLOTS: f64 = 0.05;
/// Longest back-off after a rejection.
const MAX_BACK_OFF: Duration = Duration::from_millis(250);

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
    pub(super) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation || self.incarnation == 0 || other.incarnation == 0
    }
}

/// Back-off from a target that rejected a request of a rank. It applies only to requests with at most as much time to
/// their latency objective: a rejected retry with little time says nothing about requests that have just arrived.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BackOff {
    pub(super) ends: Now,
    pub(super) until_due: Duration,
}

impl BackOff {
    /// Remaining back-off for a request with this time to its latency objective.
    pub(super) fn duration(&self, until_due: Duration, now: Now) -> Duration {
        match until_due <= self.until_due {
            true => self.ends.saturating_sub(now),
            false => Duration::ZERO,
        }
    }
}

#[derive(Debug)]
pub(super) struct Target {
    pub(super) info: TargetInfo,
    pub(super) load: Load,
    pub(super) reported_at: Now,
    /// Moving average of the reported requests at the target; `None` before the first report.
    pub(super) mean_requests: Option<f64>,
    /// Estimate of the requests at the target that were sent since the last report, as of `sent_at`.
    pub(super) unreported: f64,
    pub(super) sent_at: Now,
    pub(super) back_offs: [BackOff; RANKS],
    /// Back-offs of large bodies for which the link into the VM has no room.
    pub(super) upload_back_offs: [BackOff; RANKS],
    pub(super) cold_until: Now,
    /// Whether its node has reported its pace since it started.
    pub(super) paced: bool,
    /// Whether a response of the target said that it is about to stop.
    pub(super) leaving: bool,
}

#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) nodes: Vec<NodeId>,
    /// Mean loads of its targets in each availability zone.
    pub(super) loads: AzLoads,
    /// Sum of the slowdowns of the targets that have reported one, in percent, and their number.
    pub(super) slowdowns: (u64, u64),
}

impl Target {
    /// Expected number of running requests and of waiting ones ahead of a new request of this rank. As the last report
    /// ages, the estimate moves to the mean of the target, and then to `mean`, the mean of its service in its zone in
    /// requests per slot. Requests that this node has sent since the report are added.
    pub(super) fn requests(&self, rank: usize, mean: f64, now: Now) -> f64 {
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
    pub(super) fn slots(&self, now: Now) -> f64 {
        let slots = self.paced_slots(now);
        let limited = |rate: f32| (f64::from(rate) * self.service_time()).max(MIN_SLOTS);
        self.load
            .limit
            .map_or(slots, |rate| slots.min(limited(rate)))
    }

    /// Pace of the target, if it was reported a short time ago. A target with an old low pace would get few requests and
    /// so report no new one.
    pub(super) fn pace(&self, now: Now) -> Option<u16> {
        self.load
            .pace
            .filter(|_| now < self.reported_at + PACE_VALID)
    }

    /// Requests that the node of the target lets in at once.
    pub(super) fn paced_slots(&self, now: Now) -> f64 {
        let slots = self.info.slots.max(1);
        let pace = self.pace(now).map_or(slots, u32::from);
        f64::from(slots.min(pace.max(1)))
    }

    pub(super) fn service_time(&self) -> f64 {
        match self.load.service_us {
            0 => INITIAL_SERVICE_TIME.as_secs_f64(),
            us => f64::from(us) / 1e6,
        }
    }

    /// Slowdown relative to the mean of the service's targets.
    pub(super) fn slowdown(&self, mean: f64) -> f64 {
        match self.load.slowdown_pct {
            0 => 1.0,
            percent => f64::from(percent) / 100.0 / mean,
        }
    }

    /// Slowdown of a target that has just started, as far as its node has not measured it yet: by its pace if that is
    /// known, or by time.
    pub(super) fn cold_factor(&self, now: Now) -> f64 {
        let by_time = now < self.cold_until && !self.paced;
        match self.pace(now).is_some() || by_time {
            true => COLD_FACTOR,
            false => 1.0,
        }
    }

    /// Remaining back-off for a request.
    pub(super) fn back_off(&self, req: &Criteria<'_>, now: Now) -> Duration {
        let rank = req.rank.min(RANKS - 1);
        let any = self.back_offs[rank].duration(req.until_due, now);
        match req.upload {
            true => any.max(self.upload_back_offs[rank].duration(req.until_due, now)),
            false => any,
        }
    }

    /// Requests that the target can run per second.
    pub(super) fn capacity(&self, now: Now) -> f64 {
        let cold = match self.pace(now) {
            Some(_) => 1.0,
            None => self.cold_factor(now),
        };
        self.slots(now) / (self.service_time() * cold)
    }

    /// Estimates what a request gets at the target.
    pub(super) fn evaluate(
        &self,
        req: &Criteria<'_>,
        service: &ServiceState,
        times: &ServiceTimes,
        now: Now,
    ) -> Evaluation {
        let cold = self.cold_factor(now);
        let mean = service.loads.expected(&self.info.az, now);
        let requests = self.requests(req.rank, mean, now);
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
    pub(super) fn inbound_wait(&self, now: Now) -> f64 {
        let reported = Duration::from_millis(self.load.inbound_ms.into());
        let age = now.saturating_sub(self.reported_at);
        reported.saturating_sub(age).as_secs_f64()
    }
}

impl ServiceState {
    /// Mean slowdown of the targets, to which that of each target is relative; 1 before the first report.
    pub(super) fn slowdown(&self) -> f64 {
        match self.slowdowns {
            (_, 0) => 1.0,
            (sum, count) => sum as f64 / count as f64 / 100.0,
        }
    }

    /// Replaces the slowdown of a target, in percent; 0 stands for none.
    pub(super) fn replace_slowdown(&mut self, old: u16, new: u16) {
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

/// Begins or extends the back-offs of a rank and of the less urgent ones.
pub(super) fn back_off_from(
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
