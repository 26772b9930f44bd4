//! Admission queue of the target: the order in which requests get slots, and which are rejected on arrival. No I/O.
//!
//! It handles overload, when more requests arrive than the slots can run. A request is admitted only if it is expected
//! to meet its latency objective. Others are rejected on arrival, so that callers can retry elsewhere or later before
//! their deadline, and slots are spent on responses that still meet their objective. More urgent ranks go first.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::reason::Reason;
use crate::sidecar::process::target::abandoned::Abandoned;
use crate::sidecar::process::target::admission::LATE_WAIT_FRACTION;
use crate::sidecar::process::target::full::FullLimit;
use crate::sidecar::process::target::occupancy::Ending;
use crate::sidecar::process::target::pace::Pace;
use crate::sidecar::process::target::rate_limit::{RateLimit, RequestRate};
use crate::sidecar::process::target::silence::ResponseTimes;
use crate::sidecar::process::target::tenant_shares::TenantShares;
use crate::sidecar::version::routes::RANKS;

/// Fraction of the mean service time that must remain before the deadline for a request to be dispatched. With less
/// time, most requests would miss their deadline and waste their slots.
pub(super) const MIN_TIME_FRACTION: f64 = 0.8;
/// Weight of a new sample in the moving averages of service times and of failures.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the slowdown of the target; times of single requests vary by half their mean.
const SLOWDOWN_WEIGHT: f64 = 0.05;
/// Number of samples that the assumption of no slowdown counts as. The first samples weigh more than later ones, so that
/// a target that starts slow is known as slow after a few responses.
const SLOWDOWN_PRIOR: f64 = 3.0;
/// Range to which the slowdown of a sample is clamped.
const SLOWDOWN_RANGE: (f64, f64) = (0.05, 20.0);
/// Time constant of the moving average of the slots that each rank uses.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Service time assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Id of a request within one queue.
pub type Ticket = u64;

/// A request for a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Id, unique within the queue.
    pub ticket: Ticket,
    /// Route, which determines the expected service time.
    pub route: SmolStr,
    /// Tenant; empty if the request has none.
    pub tenant: TenantId,
    /// Rank, below [`RANKS`].
    pub rank: usize,
    /// Latency objective of the route; a request that will miss it may wait for a fraction of it.
    pub objective: Duration,
    /// Time until which a response meets the latency objective.
    pub due: Now,
    /// Time at which the caller gives up.
    pub deadline: Now,
    /// Time that the route takes at an average target; zero if unknown.
    pub baseline: Duration,
    /// Longest expected wait with which the request is admitted, because other targets may have free slots; `None` if
    /// only the latency objective limits the wait.
    pub max_wait: Option<Duration>,
    /// Whether an earlier attempt of the request reached a target.
    pub retry: bool,
    /// Time that the link needs for what is to be sent before the response; zero if the response is small.
    pub link_backlog: Duration,
    /// Time that the link needs for the response; zero if it is small.
    pub transfer: Duration,
}

/// What the owner of the queue must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to the target; its slot is occupied until [`Queue::finish`] or [`Queue::cancel`].
    Dispatch(Ticket),
    /// Report that the request was not run, why, and the time after which a slot may be free.
    Reject(Ticket, Reason, Duration),
}

/// Load of a target as its node reports it to other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that occupy slots.
    #[serde(rename = "r")]
    pub running: u32,
    /// For each rank, the number of waiting requests that a new one of this rank would queue behind.
    #[serde(rename = "w")]
    pub waiting: [u32; RANKS],
    /// Mean service time or, if greater, the mean age of the running requests, in microseconds.
    #[serde(rename = "s")]
    pub service_us: u32,
    /// Service time at this target, in percent of the time at an average target; 0 before the first sample.
    #[serde(rename = "p")]
    pub slowdown_pct: u16,
    /// Failed responses, in percent.
    #[serde(rename = "f")]
    pub failed_pct: u8,
    /// Rate limit that the target names; `None` without one.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f32>,
    /// Time that the VM's link needs for the request bodies that were admitted, in ms.
    #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
    pub inbound_ms: u32,
    /// Requests that the target gets at once, if fewer than its slots.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<u16>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) arrival: Arrival,
    since: Now,
    /// Time since which the request can no longer meet its latency objective.
    pub(super) late_since: Option<Now>,
}

#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) ticket: Ticket,
    pub(super) route: SmolStr,
    rank: usize,
    pub(super) since: Now,
    baseline: Duration,
    retry: bool,
    /// Whether the target may still run it when it ends here.
    pub(super) held: bool,
    /// Number of requests that were dispatched later and have a response.
    pub(super) overtaken: u32,
    pub(super) outcome: Ending,
}

impl Running {
    /// Age of the request relative to the time that its route takes at an average target; `None` if that is unknown.
    pub(super) fn slowdown(&self, now: Now) -> Option<f64> {
        let baseline = self.baseline.as_secs_f64();
        let age = now.saturating_sub(self.since).as_secs_f64();
        (baseline > 0.0).then(|| (age / baseline).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1))
    }
}

/// Slots of the target and the requests that wait for them.
#[derive(Debug, Clone)]
pub struct Queue {
    pub(super) slots: usize,
    /// Waiting requests in order of arrival.
    pub(super) waiting: Vec<Waiting>,
    pub(super) running: Vec<Running>,
    pub(super) abandoned: Abandoned,
    pub(super) full_limit: FullLimit,
    pub(super) pace: Pace,
    /// Whether the pace is not applied.
    pub(super) pace_off: bool,
    /// Whether a target that turned out to be full gets as many requests as before.
    pub(super) full_limit_off: bool,
    pub(super) response_times: ResponseTimes,
    /// Mean service time over all routes, in seconds.
    mean_time: Option<f64>,
    /// Mean service time of each route, in seconds.
    route_times: HashMap<SmolStr, f64>,
    /// Mean logarithm of the slowdown of finished requests.
    slowdown_ln: Option<f64>,
    slowdown_samples: u32,
    /// Moving average of the slots that each rank occupies.
    pub(super) slot_usage: [f64; RANKS],
    /// Time of the last update of `slot_usage`.
    usage_at: Now,
    /// Moving average of the fraction of failed responses.
    failure_rate: f64,
    pub(super) tenant_shares: TenantShares,
    pub(super) limit: RateLimit,
    /// Whether the present target has said whether it has a rate limit.
    limit_known: bool,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            slots: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            abandoned: Abandoned::default(),
            full_limit: FullLimit::default(),
            pace: Pace::default(),
            pace_off: false,
            full_limit_off: false,
            response_times: ResponseTimes::default(),
            mean_time: None,
            route_times: HashMap::default(),
            slowdown_ln: None,
            slowdown_samples: 0,
            slot_usage: [0.0; RANKS],
            usage_at: Now::ZERO,
            failure_rate: 0.0,
            tenant_shares: TenantShares::default(),
            limit: RateLimit::default(),
            limit_known: false,
        }
    }
}

fn moving_average(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |mean| mean + SAMPLE_WEIGHT * (sample - mean))
}

impl Queue {
    /// Changes the number of slots. Running requests keep theirs.
    pub fn set_slots(&mut self, now: Now, slots: u32) -> Vec<Action> {
        self.slots = slots as usize;
        self.advance(now)
    }

    /// Sets the rate limit that the target names. Returns whether it changed.
    pub fn set_limit(&mut self, now: Now, rate: Option<RequestRate>) -> bool {
        self.limit_known = true;
        self.limit.set(now, rate)
    }

    /// Sets the rate limit that another node knows of, unless the target itself has named one since this process
    /// started.
    pub fn suggest_limit(&mut self, now: Now, rate: RequestRate) {
        if !self.limit_known {
            self.limit.set(now, Some(rate));
        }
    }

    /// Dispatches, queues or rejects a new request.
    pub fn arrive(&mut self, now: Now, a: Arrival) -> Vec<Action> {
        self.update_usage(now);
        if let Some((reason, back_off)) = self.rejection(now, &a) {
            return vec![Action::Reject(a.ticket, reason, back_off)];
        }
        self.waiting.push(Waiting {
            arrival: a,
            since: now,
            late_since: None,
        });
        self.advance(now)
    }

    /// Mean service time of a route at this target.
    pub fn route_time(&self, route: &str) -> Duration {
        let known = self.route_times.get(route).copied().or(self.mean_time);
        known.map_or(INITIAL_SERVICE_TIME, Duration::from_secs_f64)
    }

    pub(super) fn mean_service_time(&self) -> f64 {
        self.mean_time.unwrap_or(INITIAL_SERVICE_TIME.as_secs_f64())
    }

    fn update_usage(&mut self, now: Now) {
        let dt = now.saturating_sub(self.usage_at);
        if dt < Duration::from_millis(10) {
            return;
        }
        let decay = (-dt.as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64()).exp();
        for rank in 0..RANKS {
            let n = self.running.iter().filter(|r| r.rank == rank).count();
            self.slot_usage[rank] = self.slot_usage[rank] * decay + n as f64 * (1.0 - decay);
        }
        self.usage_at = now;
    }

    /// Frees the slot of a request that the target responded to; `failed` tells whether the response was a failure.
    pub fn finish(&mut self, now: Now, ticket: Ticket, failed: bool) -> Vec<Action> {
        self.failure_rate += SAMPLE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        self.update_usage(now);
        if let Some(i) = self.running.iter().position(|r| r.ticket == ticket) {
            let r = self.running.swap_remove(i);
            self.abandon(now, &r);
            self.record_pace(now, &r, failed);
            // Failures are often fast, so their times would make a broken target look fast.
            if !failed {
                self.on_response(now, &r);
                if let Some(slowdown) = r.slowdown(now) {
                    let old = self.slowdown_ln.unwrap_or_default();
                    self.slowdown_samples = self.slowdown_samples.saturating_add(1);
                    let first = 1.0 / (SLOWDOWN_PRIOR + f64::from(self.slowdown_samples));
                    let weight = first.max(SLOWDOWN_WEIGHT);
                    self.slowdown_ln = Some(old + weight * (slowdown.ln() - old));
                }
                let sample = now.saturating_sub(r.since).as_secs_f64();
                self.mean_time = Some(moving_average(self.mean_time, sample));
                let old = self.route_times.get(&r.route).copied();
                self.route_times
                    .insert(r.route, moving_average(old, sample));
            }
        }
        self.advance(now)
    }

    /// Removes a waiting or dispatched request that was given up. Its service time is not recorded.
    pub fn cancel(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        if let Some(i) = self.running.iter().position(|r| r.ticket == ticket) {
            let r = self.running.swap_remove(i);
            self.abandon(now, &r);
        }
        self.waiting.retain(|w| w.arrival.ticket != ticket);
        self.advance(now)
    }

    /// Discards the measurements of the previous target when a new one takes over the slots.
    pub fn reset(&mut self) {
        self.mean_time = None;
        self.slowdown_ln = None;
        self.slowdown_samples = 0;
        self.route_times.clear();
        self.abandoned.clear();
        self.full_limit.clear();
        self.response_times.clear();
        self.failure_rate = 0.0;
        self.limit = RateLimit::default();
        self.limit_known = false;
    }

    /// Rejects all waiting requests, without a back-off.
    pub fn reject_all(&mut self, reason: Reason) -> Vec<Action> {
        let reject = |w: Waiting| Action::Reject(w.arrival.ticket, reason, Duration::ZERO);
        self.waiting.drain(..).map(reject).collect()
    }

    /// Number of running and waiting requests.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether no request is running or waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Load to report to other nodes. The age of running requests is included, so that a target that has become slow
    /// is detected before its requests finish.
    pub fn load(&self, now: Now) -> Load {
        let ages = self.running.iter().map(|r| now.saturating_sub(r.since));
        let age = ages.sum::<Duration>().as_secs_f64() / self.running.len().max(1) as f64;
        let mut waiting = [0; RANKS];
        for (rank, n) in waiting.iter_mut().enumerate() {
            *n = self.ahead_of_rank(rank) as u32;
        }
        Load {
            running: self.occupied(now) as u32,
            waiting,
            service_us: (self.mean_service_time().max(age) * 1e6) as u32,
            slowdown_pct: self.slowdown_pct(now),
            failed_pct: (self.failure_rate * 100.0) as u8,
            limit: self.limit.rate().map(|rate| rate as f32),
            inbound_ms: 0,
            pace: self.reported_pace(),
        }
    }

    /// Fraction of the running requests that are retries. The same fraction of the calls that the target makes is
    /// attributed to retries.
    pub fn retry_fraction(&self) -> f64 {
        let retries = self.running.iter().filter(|r| r.retry).count();
        retries as f64 / self.running.len().max(1) as f64
    }

    /// Slowdown to report to other nodes: the greater of those of finished and of running requests.
    fn slowdown_pct(&self, now: Now) -> u16 {
        let ages: Vec<f64> = self
            .running
            .iter()
            .filter_map(|r| r.slowdown(now))
            .collect();
        let running = ages.iter().sum::<f64>() / ages.len().max(1) as f64;
        let finished = self.slowdown_ln.map_or(0.0, f64::exp);
        (finished.max(running) * 100.0) as u16
    }

    /// Rejects waiting requests that can no longer finish in time and dispatches others to free slots.
    pub fn advance(&mut self, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        self.abandoned.expire(now);
        while self.occupied(now) < self.usable_slots()
            && !self.waiting.is_empty()
            && self.limit.take(now)
        {
            let Some(i) = self.next_waiting() else {
                break;
            };
            let a = self.waiting.remove(i).arrival;
            let time = self.route_time(&a.route);
            self.tenant_shares.record(&a.tenant, time, now);
            self.running.push(Running {
                ticket: a.ticket,
                route: a.route,
                rank: a.rank,
                since: now,
                baseline: a.baseline,
                retry: a.retry,
                held: false,
                overtaken: 0,
                outcome: Ending::default(),
            });
            out.push(Action::Dispatch(a.ticket));
        }
        out
    }

    /// Index of the waiting request that gets the next slot: the most urgent one that can meet its objective, of the
    /// tenant that has used the least.
    fn next_waiting(&self) -> Option<usize> {
        let key = |w: &Waiting| (w.late_since.is_some(), w.arrival.rank);
        let used = |w: &Waiting| self.tenant_shares.used(&w.arrival.tenant);
        let order = |a: &Waiting, b: &Waiting| {
            let by_rank = key(a).cmp(&key(b));
            by_rank.then_with(|| used(a).total_cmp(&used(b)))
        };
        let waiting = self.waiting.iter().enumerate();
        // `min_by` returns the first of equal elements, which arrived first.
        let next = waiting.min_by(|(_, a), (_, b)| order(a, b));
        next.map(|(i, _)| i)
    }

    fn expire(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut i = 0;
        while i < self.waiting.len() {
            let service_time = self.route_time(&self.waiting[i].arrival.route);
            let w = &mut self.waiting[i];
            if now + service_time > w.arrival.due {
                w.late_since.get_or_insert(now);
            }
            let late_wait = w.arrival.objective.mul_f64(LATE_WAIT_FRACTION);
            let too_late = w.late_since.is_some_and(|t| now > t + late_wait) && now > w.since;
            match too_late || now + service_time.mul_f64(MIN_TIME_FRACTION) > w.arrival.deadline {
                true => {
                    let w = self.waiting.remove(i);
                    out.push(Action::Reject(
                        w.arrival.ticket,
                        Reason::Deadline,
                        Duration::ZERO,
                    ));
                }
                false => i += 1,
            }
        }
    }
}
