//! Order in which waiting requests get the slots of a backend server.
//!
//! A state machine without I/O: a bounded queue for each rank, served round robin over callers; the most urgent rank
//! first, except that each waiting rank earns its least share of dispatches as credit.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::request::reason::Reason;
use crate::settings::QueuePolicy;

/// Requests of one rank that may wait.
pub const RANK_QUEUE: usize = 64;
/// Requests of one caller that may wait in one rank.
pub const CALLER_QUEUE: usize = RANK_QUEUE / 2;
/// Shortest and longest back-off time. The longest is short against a deadline, so that shedding ends soon after
/// the overload.
pub const BACK_OFF: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(1000));
/// Weight of a new sample in the average of service times.
const SERVICE_WEIGHT: f64 = 0.1;

/// Names a request within one admission.
pub type Ticket = u64;

/// A request that wants a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Ticket, not used before.
    pub ticket: Ticket,
    /// Rank; an undeclared one is served last.
    pub rank: RankId,
    /// Caller.
    pub caller: CallerId,
    /// Time at which its deadline passes.
    pub deadline: Now,
}

/// A rank, as the configuration declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct RankShare {
    /// Name.
    pub name: RankId,
    /// Order of service; 0 is the most urgent.
    pub order: u8,
    /// Least part of dispatches while work of this rank waits, 0 to 1.
    pub least: f64,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server; a slot is taken until [`Admission::finished`].
    Dispatch(Ticket),
    /// Answer that the request was not run.
    Refuse(Ticket, Reason, Duration),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    since: Now,
    deadline: Now,
}

#[derive(Debug)]
struct Queue {
    share: RankShare,
    callers: BTreeMap<CallerId, VecDeque<Waiting>>,
    ring: VecDeque<CallerId>,
    len: usize,
    credit: f64,
    service: Option<f64>,
}

impl Queue {
    fn new(share: RankShare) -> Self {
        Self {
            share,
            callers: BTreeMap::new(),
            ring: VecDeque::new(),
            len: 0,
            credit: 0.0,
            service: None,
        }
    }

    fn push(&mut self, caller: &CallerId, w: Waiting) {
        let line = self.callers.entry(caller.clone()).or_default();
        if line.is_empty() {
            self.ring.push_back(caller.clone());
        }
        line.push_back(w);
        self.len += 1;
    }

    /// Takes the next request; its caller goes to the end of the round.
    fn pop(&mut self) -> Option<Waiting> {
        let caller = self.ring.pop_front()?;
        let line = self.callers.get_mut(&caller)?;
        let w = line.pop_front();
        match line.is_empty() {
            true => {
                self.callers.remove(&caller);
            }
            false => self.ring.push_back(caller),
        }
        self.len -= 1;
        w
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        for (caller, line) in &mut self.callers {
            let Some(i) = line.iter().position(|w| w.ticket == ticket) else {
                continue;
            };
            line.remove(i);
            self.len -= 1;
            if line.is_empty() {
                let caller = caller.clone();
                self.callers.remove(&caller);
                self.ring.retain(|c| *c != caller);
            }
            return true;
        }
        false
    }

    fn of_caller(&self, caller: &str) -> usize {
        self.callers.get(caller).map_or(0, VecDeque::len)
    }

    /// Requests of this rank that the round robin serves before a new one of this caller.
    fn ahead_of(&self, caller: &str) -> usize {
        let own = self.of_caller(caller);
        let others = self.callers.iter().filter(|(c, _)| *c != caller);
        own + others.map(|(_, l)| l.len().min(own + 1)).sum::<usize>()
    }
}

/// Admission state of one backend server.
#[derive(Debug)]
pub struct Admission {
    policy: QueuePolicy,
    slots: usize,
    queues: Vec<Queue>,
    running: BTreeMap<Ticket, (RankId, Now)>,
    service: Option<f64>,
}

/// Name of the queue of undeclared ranks.
const UNDECLARED: &str = "";

fn undeclared() -> Queue {
    Queue::new(RankShare {
        name: UNDECLARED.into(),
        order: u8::MAX,
        least: 0.0,
    })
}

fn average(old: Option<f64>, sample: f64) -> Option<f64> {
    Some(old.map_or(sample, |o| o + SERVICE_WEIGHT * (sample - o)))
}

impl Admission {
    /// An admission without slots and ranks.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            slots: 0,
            queues: vec![undeclared()],
            running: BTreeMap::new(),
            service: None,
        }
    }

    /// Changes the number of slots; running requests keep theirs.
    pub fn set_slots(&mut self, now: Now, slots: u32) -> Vec<Action> {
        self.slots = slots as usize;
        self.dispatch(now)
    }

    /// Changes the ranks. Requests of a removed rank wait with the undeclared ones.
    pub fn set_ranks(&mut self, ranks: &[RankShare]) {
        let mut old = std::mem::take(&mut self.queues);
        for r in ranks {
            let at = old.iter().position(|q| q.share.name == r.name);
            let mut q = at.map_or_else(|| Queue::new(r.clone()), |i| old.swap_remove(i));
            q.share = r.clone();
            self.queues.push(q);
        }
        let mut rest = undeclared();
        for mut q in old {
            while let Some(caller) = q.ring.front().cloned() {
                if let Some(w) = q.pop() {
                    rest.push(&caller, w);
                }
            }
        }
        self.queues.push(rest);
        self.queues.sort_by_key(|q| q.share.order);
    }

    /// Waiting requests of each rank.
    pub fn waiting(&self) -> impl Iterator<Item = (&RankId, usize)> {
        self.queues.iter().map(|q| (&q.share.name, q.len))
    }

    /// Running and waiting requests in percent of the slots.
    pub fn load_percent(&self) -> u32 {
        let work = self.running.len() + self.queues.iter().map(|q| q.len).sum::<usize>();
        (100 * work / self.slots.max(1)) as u32
    }

    fn index(&self, rank: &str) -> usize {
        let name = match self.policy {
            QueuePolicy::Fifo => UNDECLARED,
            QueuePolicy::Ranked => rank,
        };
        let named = self.queues.iter().position(|q| q.share.name == name);
        // Undeclared ranks come last: no declared order is greater.
        named.unwrap_or(self.queues.len() - 1)
    }

    /// A request wants a slot.
    pub fn arrive(&mut self, now: Now, a: &Arrival) -> Vec<Action> {
        let i = self.index(&a.rank);
        let refused = match self.policy {
            QueuePolicy::Ranked => self.refuse(now, i, a),
            QueuePolicy::Fifo => {
                let full = self.queues[i].len >= RANK_QUEUE * self.queues.len();
                full.then_some((Reason::QueueFull, Duration::ZERO))
            }
        };
        if let Some((reason, back_off)) = refused {
            return vec![Action::Refuse(a.ticket, reason, back_off)];
        }
        let w = Waiting {
            ticket: a.ticket,
            since: now,
            deadline: a.deadline,
        };
        let caller = match self.policy {
            QueuePolicy::Ranked => a.caller.clone(),
            QueuePolicy::Fifo => CallerId::default(),
        };
        self.queues[i].push(&caller, w);
        self.dispatch(now)
    }

    fn refuse(&self, now: Now, i: usize, a: &Arrival) -> Option<(Reason, Duration)> {
        let q = &self.queues[i];
        if q.len >= RANK_QUEUE {
            return Some((Reason::QueueFull, self.back_off(i)));
        }
        if q.of_caller(&a.caller) >= CALLER_QUEUE {
            return Some((Reason::CallerShare, Duration::ZERO));
        }
        let wait = self.wait(i, q.ahead_of(&a.caller));
        let busy = self.running.len() >= self.slots;
        let end = now.as_secs_f64() + wait + q.service.unwrap_or(0.0);
        let late = a.deadline <= now || (busy && end > a.deadline.as_secs_f64());
        late.then_some((Reason::Deadline, Duration::ZERO))
    }

    /// Dispatches a second; infinite before a service time is known.
    fn rate(&self) -> f64 {
        let service = self.service.unwrap_or(0.0).max(1e-6);
        self.slots.max(1) as f64 / service
    }

    /// Estimated wait in seconds behind this many requests of the same rank: in the order of urgency, or by the
    /// rank's least share if that is sooner.
    fn wait(&self, i: usize, ahead: usize) -> f64 {
        if self.running.len() < self.slots || self.service.is_none() {
            return 0.0;
        }
        let before: usize = self.queues[..i].iter().map(|q| q.len).sum();
        let behind = self.queues[i + 1..].iter().filter(|q| q.len > 0);
        let taken: f64 = behind.map(|q| q.share.least).sum();
        let by_order = (before + ahead + 1) as f64 / (1.0 - taken).max(0.01);
        let by_share = (ahead + 1) as f64 / self.queues[i].share.least.max(1e-9);
        by_order.min(by_share) / self.rate()
    }

    /// Half of the time in which the rank's queue empties, so that it never runs dry because of the back-off.
    fn back_off(&self, i: usize) -> Duration {
        let q = &self.queues[i];
        let time = self.wait(i, q.len) / 2.0;
        Duration::from_secs_f64(time.min(60.0)).clamp(BACK_OFF.0, BACK_OFF.1)
    }

    /// A dispatched request ended after it ran.
    pub fn finished(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        if let Some((rank, since)) = self.running.remove(&ticket) {
            let sample = now.saturating_sub(since).as_secs_f64();
            self.service = average(self.service, sample);
            let i = self.index(&rank);
            self.queues[i].service = average(self.queues[i].service, sample);
        }
        self.dispatch(now)
    }

    /// A waiting or dispatched request is given up; its service time says nothing.
    pub fn gone(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        if self.running.remove(&ticket).is_none() {
            self.queues.iter_mut().any(|q| q.remove(ticket));
        }
        self.dispatch(now)
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Action> {
        let mut out = Vec::new();
        for q in &mut self.queues {
            while let Some(w) = q.pop() {
                out.push(Action::Refuse(w.ticket, reason, Duration::ZERO));
            }
        }
        out
    }

    fn next_queue(&self) -> Option<usize> {
        let waiting = self.queues.iter().enumerate().filter(|(_, q)| q.len > 0);
        let due = waiting
            .clone()
            .filter(|(_, q)| q.credit >= 1.0)
            // The first of equal ones is the most urgent.
            .reduce(|a, b| match b.1.credit > a.1.credit {
                true => b,
                false => a,
            });
        due.or_else(|| waiting.clone().next()).map(|(i, _)| i)
    }

    fn dispatch(&mut self, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        while self.running.len() < self.slots {
            let Some(i) = self.next_queue() else { break };
            let q = &mut self.queues[i];
            let service = Duration::from_secs_f64(q.service.unwrap_or(0.0));
            let Some(w) = q.pop() else { break };
            // A request that did not wait runs whatever the average says: it is the sample that corrects it.
            let expected = match self.policy {
                QueuePolicy::Ranked if w.since < now => service,
                _ => Duration::ZERO,
            };
            if w.deadline <= now + expected {
                out.push(Action::Refuse(w.ticket, Reason::Deadline, Duration::ZERO));
            } else {
                self.pay(i);
                let rank = self.queues[i].share.name.clone();
                self.running.insert(w.ticket, (rank, now));
                out.push(Action::Dispatch(w.ticket));
            }
            if self.queues[i].len == 0 {
                self.queues[i].credit = 0.0;
            }
        }
        out
    }

    /// Every waiting rank earns its share of this dispatch; the served one pays for it.
    fn pay(&mut self, served: usize) {
        for (i, q) in self.queues.iter_mut().enumerate() {
            if q.len > 0 || i == served {
                q.credit = (q.credit + q.share.least).min(2.0);
            }
            if i == served {
                q.credit = (q.credit - 1.0).max(0.0);
            }
        }
    }
}
