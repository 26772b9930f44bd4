//! Order in which requests get the slots of the target, and which are refused at once. Without I/O.
//!
//! The load it answers: more work than the slots can run. A request is taken only if it can be expected to be answered
//! within its aim; what cannot is refused on arrival, so that callers come back elsewhere or later while their time
//! lasts, and slots are spent on answers that still have their full worth. Urgent ranks go first.

use serde::{Deserialize, Serialize};

use super::routes::RANKS;
use crate::prelude::*;
use crate::request::reason::Reason;

/// Requests that may wait; beyond it the estimates say nothing.
const MAX_WAITING: usize = 256;
/// Part of its aim for which a request that cannot meet it any more may wait for a free slot.
const LATE_PART: f64 = 0.125;
/// Part of the mean service time that has to be left to the deadline for a request to be sent to the target. With less, most
/// would run in vain and keep their slots from others.
const FIT_PART: f64 = 0.8;
/// Weight of a new sample in the averages of service times.
const SERVICE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the slowness of the target; times of single requests vary by half their mean.
const SLOW_WEIGHT: f64 = 0.05;
/// Least and greatest slowness that a sample counts as.
const SLOW_RANGE: (f64, f64) = (0.05, 20.0);
/// Time over which the use of slots by each rank is averaged.
const USE_TIME: Duration = Duration::from_secs(2);
/// Least part of the slots that the estimate for a rank leaves to it beside more urgent ranks.
const LEAST_REST: f64 = 0.15;
/// Service time assumed before any sample.
const SERVICE_START: Duration = Duration::from_millis(100);

/// Names a request within one queue.
pub type Ticket = u64;

/// A request that wants a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Ticket, not used before.
    pub ticket: Ticket,
    /// Route, for its service time.
    pub route: SmolStr,
    /// Rank, below [`RANKS`].
    pub rank: usize,
    /// Time within which its answer has its full worth.
    pub aim: Duration,
    /// Time at which its answer loses part of its worth.
    pub due: Now,
    /// Time at which its caller gives up.
    pub deadline: Now,
    /// Time that its route takes at an average target; zero if unknown.
    pub usual: Duration,
    /// Longest wait with which it is taken, because other targets may have room; `None` if its aim decides.
    pub patience: Option<Duration>,
    /// Whether it reached a target before.
    pub repeat: bool,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to the target; a slot is taken until [`Queue::finished`] or [`Queue::gone`].
    Dispatch(Ticket),
    /// Answer that the request was not run, and when there may be room.
    Refuse(Ticket, Reason, Duration),
}

/// Load of a target as its node reports it to others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in slots.
    #[serde(rename = "r")]
    pub running: u32,
    /// Waiting requests that go before a new one of each rank.
    #[serde(rename = "w")]
    pub waiting: [u32; RANKS],
    /// Mean service time, in microseconds.
    #[serde(rename = "s")]
    pub service_us: u32,
    /// Time of requests at this target, in percent of what they take at an average one; 0 before any is known.
    #[serde(rename = "p")]
    pub slow: u16,
    /// Failed answers, in percent.
    #[serde(rename = "f")]
    pub failed: u8,
}

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    since: Now,
    /// Since when it cannot meet its aim any more.
    late: Option<Now>,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    route: SmolStr,
    rank: usize,
    since: Now,
    usual: Duration,
    repeat: bool,
}

impl Running {
    /// Its age, relative to the time that its route takes at an average target; `None` if that is unknown.
    fn slowness(&self, now: Now) -> Option<f64> {
        let usual = self.usual.as_secs_f64();
        let age = now.saturating_sub(self.since).as_secs_f64();
        (usual > 0.0).then(|| (age / usual).clamp(SLOW_RANGE.0, SLOW_RANGE.1))
    }
}

/// Slots of the target and the requests that wait for them.
#[derive(Debug)]
pub struct Queue {
    slots: usize,
    /// Requests in order of arrival.
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    service: Option<f64>,
    routes: HashMap<SmolStr, f64>,
    /// Mean logarithm of the time of a request, relative to an average target.
    slow_ln: Option<f64>,
    /// Slots that each rank used on average.
    used: [f64; RANKS],
    used_at: Now,
    failed: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            slots: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            service: None,
            routes: HashMap::default(),
            slow_ln: None,
            used: [0.0; RANKS],
            used_at: Now::ZERO,
            failed: 0.0,
        }
    }
}

fn average(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |o| o + SERVICE_WEIGHT * (sample - o))
}

impl Queue {
    /// Changes the number of slots; running requests keep theirs.
    pub fn set_slots(&mut self, now: Now, slots: u32) -> Vec<Action> {
        self.slots = slots as usize;
        self.advance(now)
    }

    /// A request wants a slot.
    pub fn arrive(&mut self, now: Now, a: Arrival) -> Vec<Action> {
        self.note_use(now);
        if let Some((reason, back_off)) = self.refusal(now, &a) {
            return vec![Action::Refuse(a.ticket, reason, back_off)];
        }
        self.waiting.push(Waiting {
            arrival: a,
            since: now,
            late: None,
        });
        self.advance(now)
    }

    /// Why a request is refused on arrival, and the time until it may be taken.
    fn refusal(&self, now: Now, a: &Arrival) -> Option<(Reason, Duration)> {
        if self.slots == 0 {
            return Some((Reason::NotReady, Duration::ZERO));
        }
        let service = self.service_of(&a.route);
        if a.deadline < now + service.mul_f64(FIT_PART) {
            return Some((Reason::Deadline, Duration::ZERO));
        }
        let wait = self.wait(a.rank);
        if wait.is_zero() {
            return None;
        }
        if a.patience.is_some_and(|p| wait > p) {
            return Some((Reason::QueueFull, Duration::ZERO));
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some((Reason::QueueFull, wait));
        }
        let end = now + wait + service;
        let spare = a.aim.mul_f64(LATE_PART);
        let may_be_late = now + service > a.due && wait <= spare && end <= a.deadline;
        match end <= a.due || may_be_late {
            true => None,
            false => Some((Reason::QueueFull, end.saturating_sub(a.due).min(wait))),
        }
    }

    /// Mean service time of a route at this target.
    fn service_of(&self, route: &str) -> Duration {
        let known = self.routes.get(route).copied().or(self.service);
        known.map_or(SERVICE_START, Duration::from_secs_f64)
    }

    fn mean_service(&self) -> f64 {
        self.service.unwrap_or(SERVICE_START.as_secs_f64())
    }

    fn ahead(&self, rank: usize) -> usize {
        let before = |w: &&Waiting| w.arrival.rank <= rank && w.late.is_none();
        self.waiting.iter().filter(before).count()
    }

    /// Expected wait of a new request of a rank: those before it, served by the slots that more urgent ranks leave.
    fn wait(&self, rank: usize) -> Duration {
        let ahead = self.ahead(rank);
        if self.running.len() + ahead < self.slots {
            return Duration::ZERO;
        }
        let over = (self.running.len() + ahead + 1).saturating_sub(self.slots);
        let slots = self.slots as f64;
        let urgent: f64 = self.used[..rank].iter().sum();
        let rest = (1.0 - urgent / slots).max(LEAST_REST);
        Duration::from_secs_f64(over as f64 * self.mean_service() / (slots * rest))
    }

    fn note_use(&mut self, now: Now) {
        let dt = now.saturating_sub(self.used_at);
        if dt < Duration::from_millis(10) {
            return;
        }
        let keep = (-dt.as_secs_f64() / USE_TIME.as_secs_f64()).exp();
        for rank in 0..RANKS {
            let n = self.running.iter().filter(|r| r.rank == rank).count();
            self.used[rank] = self.used[rank] * keep + n as f64 * (1.0 - keep);
        }
        self.used_at = now;
    }

    /// A dispatched request ended with an answer of the target; `failed` says that the answer was a failure.
    pub fn finished(&mut self, now: Now, ticket: Ticket, failed: bool) -> Vec<Action> {
        self.failed += SERVICE_WEIGHT * (f64::from(u8::from(failed)) - self.failed);
        self.note_use(now);
        if let Some(i) = self.running.iter().position(|r| r.ticket == ticket) {
            let r = self.running.swap_remove(i);
            // Failures are often quick, and would make a broken target look fast.
            if !failed {
                if let Some(slow) = r.slowness(now) {
                    let old = self.slow_ln.unwrap_or_default();
                    self.slow_ln = Some(old + SLOW_WEIGHT * (slow.ln() - old));
                }
                let sample = now.saturating_sub(r.since).as_secs_f64();
                self.service = Some(average(self.service, sample));
                let old = self.routes.get(&r.route).copied();
                self.routes.insert(r.route, average(old, sample));
            }
        }
        self.advance(now)
    }

    /// A waiting or dispatched request is given up; its service time says nothing.
    pub fn gone(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        self.running.retain(|r| r.ticket != ticket);
        self.waiting.retain(|w| w.arrival.ticket != ticket);
        self.advance(now)
    }

    /// A new target has the slots: nothing of the last one's times holds.
    pub fn reset(&mut self) {
        self.service = None;
        self.slow_ln = None;
        self.routes.clear();
        self.failed = 0.0;
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Action> {
        let refuse = |w: Waiting| Action::Refuse(w.arrival.ticket, reason, Duration::ZERO);
        self.waiting.drain(..).map(refuse).collect()
    }

    /// Running and waiting requests.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Load for other nodes. Requests that run longer than usual show a slow target before they end.
    pub fn load(&self, now: Now) -> Load {
        let ages = self.running.iter().map(|r| now.saturating_sub(r.since));
        let age = ages.sum::<Duration>().as_secs_f64() / self.running.len().max(1) as f64;
        let mut waiting = [0; RANKS];
        for (rank, n) in waiting.iter_mut().enumerate() {
            *n = self.ahead(rank) as u32;
        }
        Load {
            running: self.running.len() as u32,
            waiting,
            service_us: (self.mean_service().max(age) * 1e6) as u32,
            slow: self.slow_percent(now),
            failed: (self.failed * 100.0) as u8,
        }
    }

    /// Part of the running requests that reached a target before. Calls that the target makes belong to them as often.
    pub fn repeat_part(&self) -> f64 {
        let repeats = self.running.iter().filter(|r| r.repeat).count();
        repeats as f64 / self.running.len().max(1) as f64
    }

    /// Slowness for other nodes: of what ended, or of what runs when that takes longer already.
    fn slow_percent(&self, now: Now) -> u16 {
        let ages: Vec<f64> = self
            .running
            .iter()
            .filter_map(|r| r.slowness(now))
            .collect();
        let running = ages.iter().sum::<f64>() / ages.len().max(1) as f64;
        let ended = self.slow_ln.map_or(0.0, f64::exp);
        (ended.max(running) * 100.0) as u16
    }

    /// Time passes: refuses what cannot be served any more and fills free slots.
    pub fn advance(&mut self, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        while self.running.len() < self.slots {
            let key = |w: &Waiting| (w.late.is_some(), w.arrival.rank);
            let best = self.waiting.iter().enumerate();
            // The first of equal ones came first.
            let Some((i, _)) = best.min_by_key(|(_, w)| key(w)) else {
                break;
            };
            let a = self.waiting.remove(i).arrival;
            self.running.push(Running {
                ticket: a.ticket,
                route: a.route,
                rank: a.rank,
                since: now,
                usual: a.usual,
                repeat: a.repeat,
            });
            out.push(Action::Dispatch(a.ticket));
        }
        out
    }

    fn expire(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut i = 0;
        while i < self.waiting.len() {
            let service = self.service_of(&self.waiting[i].arrival.route);
            let w = &mut self.waiting[i];
            if now + service > w.arrival.due {
                w.late.get_or_insert(now);
            }
            let spare = w.arrival.aim.mul_f64(LATE_PART);
            let too_late = w.late.is_some_and(|t| now > t + spare) && now > w.since;
            match too_late || now + service.mul_f64(FIT_PART) > w.arrival.deadline {
                true => {
                    let w = self.waiting.remove(i);
                    out.push(Action::Refuse(
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
