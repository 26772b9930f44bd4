//! Queues the requests for the slots of a backend server.
//!
//! A state machine without I/O. Each rank has a bounded queue that is served round robin over callers. The most urgent
//! rank is served first, except that each waiting rank earns its minimum share of dispatches as credit.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::request::reason::Reason;
use crate::settings::QueuePolicy;

/// Largest number of queued requests of one rank.
pub const MAX_QUEUED_PER_RANK: usize = 64;
/// Largest number of queued requests of one caller in one rank.
pub const MAX_QUEUED_PER_CALLER: usize = MAX_QUEUED_PER_RANK / 2;
/// Shortest and longest back-off. The longest is short compared to a deadline, so that load shedding ends soon after
/// the overload.
pub const BACK_OFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(1000));
/// Weight of a new sample in the moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Identifies a request within one [`Admission`].
pub type Ticket = u64;

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Ticket that no earlier request has used.
    pub ticket: Ticket,
    /// Rank; undeclared ranks are served last.
    pub rank: RankId,
    /// Caller, for fairness within the rank.
    pub caller: CallerId,
    /// Deadline of the request, after which it is not dispatched.
    pub deadline: Now,
}

/// A rank declared by the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RankShare {
    /// Name of the rank, unique in the version; a new version keeps the queue of a rank with the same name.
    pub name: RankId,
    /// Position in the order of urgency; 0 is the most urgent.
    pub order: u8,
    /// Minimum share of dispatches while requests of this rank wait, 0 to 1.
    pub min_share: f64,
}

/// Action for the driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server; it occupies a slot until [`Admission::finished`] or
    /// [`Admission::cancelled`].
    Dispatch(Ticket),
    /// Reject the request with this reason and back-off; it was not run.
    Reject(Ticket, Reason, Duration),
}

#[derive(Debug)]
struct QueuedRequest {
    ticket: Ticket,
    arrived: Now,
    deadline: Now,
}

/// Queue of one rank, or of all undeclared ranks. `credit` is the number of dispatches that the rank is owed;
/// `service_time` is a moving average in seconds.
#[derive(Debug)]
struct Queue {
    share: RankShare,
    callers: BTreeMap<CallerId, VecDeque<QueuedRequest>>,
    round_robin: VecDeque<CallerId>,
    len: usize,
    credit: f64,
    service_time: Option<f64>,
}

impl Queue {
    fn new(share: RankShare) -> Self {
        Self {
            share,
            callers: BTreeMap::new(),
            round_robin: VecDeque::new(),
            len: 0,
            credit: 0.0,
            service_time: None,
        }
    }

    fn push(&mut self, caller: &CallerId, request: QueuedRequest) {
        let queue = self.callers.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(caller.clone());
        }
        queue.push_back(request);
        self.len += 1;
    }

    /// Takes the next request and moves its caller to the end of the round robin.
    fn pop(&mut self) -> Option<QueuedRequest> {
        let caller = self.round_robin.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let request = queue.pop_front();
        match queue.is_empty() {
            true => {
                self.callers.remove(&caller);
            }
            false => self.round_robin.push_back(caller),
        }
        self.len -= 1;
        request
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        for (caller, queue) in &mut self.callers {
            let Some(i) = queue.iter().position(|r| r.ticket == ticket) else {
                continue;
            };
            queue.remove(i);
            self.len -= 1;
            if queue.is_empty() {
                let caller = caller.clone();
                self.callers.remove(&caller);
                self.round_robin.retain(|c| *c != caller);
            }
            return true;
        }
        false
    }

    fn caller_len(&self, caller: &str) -> usize {
        self.callers.get(caller).map_or(0, VecDeque::len)
    }

    /// Number of queued requests of this rank that the round robin serves before a new one of this caller.
    fn ahead_of(&self, caller: &str) -> usize {
        let own = self.caller_len(caller);
        let others = self.callers.iter().filter(|(c, _)| *c != caller);
        own + others.map(|(_, q)| q.len().min(own + 1)).sum::<usize>()
    }
}

/// Admission state of one backend server. `running` maps a ticket to its rank and start time; `service_time` is the
/// moving average over all ranks in seconds.
#[derive(Debug)]
pub struct Admission {
    policy: QueuePolicy,
    slots: usize,
    queues: Vec<Queue>,
    running: BTreeMap<Ticket, (RankId, Now)>,
    service_time: Option<f64>,
}

/// Name of the queue that holds the requests of undeclared ranks.
const UNDECLARED: &str = "";

fn undeclared_queue() -> Queue {
    Queue::new(RankShare {
        name: UNDECLARED.into(),
        order: u8::MAX,
        min_share: 0.0,
    })
}

fn moving_average(old: Option<f64>, sample: f64) -> Option<f64> {
    Some(old.map_or(sample, |o| o + SERVICE_TIME_WEIGHT * (sample - o)))
}

impl Admission {
    /// Creates an admission state without slots or declared ranks.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            slots: 0,
            queues: vec![undeclared_queue()],
            running: BTreeMap::new(),
            service_time: None,
        }
    }

    /// Changes the number of slots; running requests keep theirs.
    pub fn set_slots(&mut self, now: Now, slots: u32) -> Vec<Action> {
        self.slots = slots as usize;
        self.dispatch(now)
    }

    /// Changes the ranks. Requests of a removed rank move to the queue of undeclared ranks.
    pub fn set_ranks(&mut self, ranks: &[RankShare]) {
        let mut old = std::mem::take(&mut self.queues);
        for r in ranks {
            let index = old.iter().position(|q| q.share.name == r.name);
            let mut q = index.map_or_else(|| Queue::new(r.clone()), |i| old.swap_remove(i));
            q.share = r.clone();
            self.queues.push(q);
        }
        let mut undeclared = undeclared_queue();
        for mut q in old {
            while let Some(caller) = q.round_robin.front().cloned() {
                if let Some(request) = q.pop() {
                    undeclared.push(&caller, request);
                }
            }
        }
        self.queues.push(undeclared);
        self.queues.sort_by_key(|q| q.share.order);
    }

    /// Number of waiting requests of each rank; the empty name stands for all undeclared ranks.
    pub fn waiting(&self) -> impl Iterator<Item = (&RankId, usize)> {
        self.queues.iter().map(|q| (&q.share.name, q.len))
    }

    /// Running and waiting requests in percent of the slots.
    pub fn load_percent(&self) -> u32 {
        let requests = self.running.len() + self.queues.iter().map(|q| q.len).sum::<usize>();
        (100 * requests / self.slots.max(1)) as u32
    }

    fn queue_index(&self, rank: &str) -> usize {
        let name = match self.policy {
            QueuePolicy::Fifo => UNDECLARED,
            QueuePolicy::Ranked => rank,
        };
        let found = self.queues.iter().position(|q| q.share.name == name);
        // The queue of undeclared ranks is last, because no declared order is greater.
        found.unwrap_or(self.queues.len() - 1)
    }

    /// Handles a new request: queues or rejects it, then dispatches.
    pub fn arrive(&mut self, now: Now, a: &Arrival) -> Vec<Action> {
        let i = self.queue_index(&a.rank);
        let rejection = match self.policy {
            QueuePolicy::Ranked => self.rejection(now, i, a),
            QueuePolicy::Fifo => {
                let full = self.queues[i].len >= MAX_QUEUED_PER_RANK * self.queues.len();
                full.then_some((Reason::QueueFull, Duration::ZERO))
            }
        };
        if let Some((reason, back_off)) = rejection {
            return vec![Action::Reject(a.ticket, reason, back_off)];
        }
        let request = QueuedRequest {
            ticket: a.ticket,
            arrived: now,
            deadline: a.deadline,
        };
        let caller = match self.policy {
            QueuePolicy::Ranked => a.caller.clone(),
            QueuePolicy::Fifo => CallerId::default(),
        };
        self.queues[i].push(&caller, request);
        self.dispatch(now)
    }

    /// Reason and back-off if a new request has to be rejected.
    fn rejection(&self, now: Now, i: usize, a: &Arrival) -> Option<(Reason, Duration)> {
        let q = &self.queues[i];
        if q.len >= MAX_QUEUED_PER_RANK {
            return Some((Reason::QueueFull, self.back_off(i)));
        }
        if q.caller_len(&a.caller) >= MAX_QUEUED_PER_CALLER {
            return Some((Reason::CallerShare, Duration::ZERO));
        }
        let wait = self.estimated_wait(i, q.ahead_of(&a.caller));
        let busy = self.running.len() >= self.slots;
        let end = now.as_secs_f64() + wait + q.service_time.unwrap_or(0.0);
        let too_late = a.deadline <= now || (busy && end > a.deadline.as_secs_f64());
        too_late.then_some((Reason::Deadline, Duration::ZERO))
    }

    /// Dispatches per second; practically unlimited before a service time is known.
    fn dispatch_rate(&self) -> f64 {
        let service_time = self.service_time.unwrap_or(0.0).max(1e-6);
        self.slots.max(1) as f64 / service_time
    }

    /// Estimated wait in seconds behind `ahead` requests of the same rank: by the order of urgency, or by the minimum
    /// share of the rank if that is sooner.
    fn estimated_wait(&self, i: usize, ahead: usize) -> f64 {
        if self.running.len() < self.slots || self.service_time.is_none() {
            return 0.0;
        }
        let more_urgent: usize = self.queues[..i].iter().map(|q| q.len).sum();
        let less_urgent = self.queues[i + 1..].iter().filter(|q| q.len > 0);
        let reserved: f64 = less_urgent.map(|q| q.share.min_share).sum();
        let by_order = (more_urgent + ahead + 1) as f64 / (1.0 - reserved).max(0.01);
        let by_share = (ahead + 1) as f64 / self.queues[i].share.min_share.max(1e-9);
        by_order.min(by_share) / self.dispatch_rate()
    }

    /// Half of the time in which the queue of the rank drains, so that the back-off cannot leave it empty.
    fn back_off(&self, i: usize) -> Duration {
        let q = &self.queues[i];
        let time = self.estimated_wait(i, q.len) / 2.0;
        Duration::from_secs_f64(time.min(60.0)).clamp(BACK_OFF_RANGE.0, BACK_OFF_RANGE.1)
    }

    /// Handles the end of a dispatched request that ran; its service time becomes a sample.
    pub fn finished(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        if let Some((rank, started)) = self.running.remove(&ticket) {
            let sample = now.saturating_sub(started).as_secs_f64();
            self.service_time = moving_average(self.service_time, sample);
            let i = self.queue_index(&rank);
            self.queues[i].service_time = moving_average(self.queues[i].service_time, sample);
        }
        self.dispatch(now)
    }

    /// Handles the end of a waiting request, or of a dispatched one that was abandoned or failed; its service time
    /// is no sample.
    pub fn cancelled(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        if self.running.remove(&ticket).is_none() {
            self.queues.iter_mut().any(|q| q.remove(ticket));
        }
        self.dispatch(now)
    }

    /// Rejects all waiting requests, without a back-off.
    pub fn reject_all(&mut self, reason: Reason) -> Vec<Action> {
        let mut actions = Vec::new();
        for q in &mut self.queues {
            while let Some(request) = q.pop() {
                actions.push(Action::Reject(request.ticket, reason, Duration::ZERO));
            }
        }
        actions
    }

    /// Index of the next queue to serve: the one with the most credit if that is at least 1, otherwise the most urgent.
    fn next_queue(&self) -> Option<usize> {
        let waiting = self.queues.iter().enumerate().filter(|(_, q)| q.len > 0);
        let due = waiting
            .clone()
            .filter(|(_, q)| q.credit >= 1.0)
            // Of queues with equal credit the first one is the most urgent.
            .reduce(|a, b| match b.1.credit > a.1.credit {
                true => b,
                false => a,
            });
        due.or_else(|| waiting.clone().next()).map(|(i, _)| i)
    }

    fn dispatch(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.running.len() < self.slots {
            let Some(i) = self.next_queue() else { break };
            let q = &mut self.queues[i];
            let service_time = Duration::from_secs_f64(q.service_time.unwrap_or(0.0));
            let Some(request) = q.pop() else { break };
            // A request that did not wait runs even if the average predicts a late finish: it supplies the sample that
            // corrects the average.
            let expected = match self.policy {
                QueuePolicy::Ranked if request.arrived < now => service_time,
                _ => Duration::ZERO,
            };
            if request.deadline <= now + expected {
                actions.push(Action::Reject(
                    request.ticket,
                    Reason::Deadline,
                    Duration::ZERO,
                ));
            } else {
                self.update_credit(i);
                let rank = self.queues[i].share.name.clone();
                self.running.insert(request.ticket, (rank, now));
                actions.push(Action::Dispatch(request.ticket));
            }
            if self.queues[i].len == 0 {
                self.queues[i].credit = 0.0;
            }
        }
        actions
    }

    /// Credits every waiting rank with its share of this dispatch and charges the served rank for it.
    fn update_credit(&mut self, served: usize) {
        for (i, q) in self.queues.iter_mut().enumerate() {
            if q.len > 0 || i == served {
                q.credit = (q.credit + q.share.min_share).min(2.0);
            }
            if i == served {
                q.credit = (q.credit - 1.0).max(0.0);
            }
        }
    }
}
