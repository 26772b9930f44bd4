//! Plays a service without a network: callers, entry nodes that choose among targets, and the queues of the targets,
//! with a simulated clock and a fixed seed.
#![allow(unreachable_pub)]

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use dragonflyquay::prelude::*;
use dragonflyquay::sidecar::process::routing::placement::{
    Choice, Criteria, Placement, TargetInfo,
};
use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue, Ticket};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TICK: Duration = Duration::from_millis(20);
const OBJECTIVE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Mean service time at a target of speed 1.
const SERVICE_TIME: f64 = 0.1;
/// Attempts that reach a target, and attempts that are admitted only if a slot is free at once.
const MAX_SENT: usize = 2;
const MAX_IMMEDIATE: usize = 4;
const MAX_TRIED: usize = 4;

/// Something that happens to a target.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// Another target takes its place; it is slow by `factor`, less and less, for this time.
    Replaced { cold: Duration, factor: f64 },
    /// It responds with errors for this time.
    Failing(Duration),
    /// It does not run at all for this time.
    Stalled(Duration),
    /// It is slower by this factor from now on.
    Slower(f64),
}

/// A load and what happens during it.
#[derive(Debug, Clone)]
pub struct Plan {
    pub slots: u32,
    /// Time of each target relative to the mean.
    pub times: Vec<f64>,
    /// Fraction of the requests that begin in each availability zone. Targets and entry nodes are spread evenly over them.
    pub zones: Vec<f64>,
    /// Number of entry nodes. Each knows only the load of the targets to which it has sent requests.
    pub entries: usize,
    /// Requests per second, as a fraction of what all targets can run.
    pub load: f64,
    pub time: Duration,
    pub troubles: Vec<(Duration, usize, Trouble)>,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Score {
    pub offered: u32,
    /// Responses within the latency objective.
    pub in_time: u32,
    pub served: u32,
}

impl Score {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }
}

struct Request {
    entry: usize,
    start: Duration,
    tried: Vec<NodeId>,
    full: Vec<NodeId>,
    sent: usize,
    immediate: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick,
    End(usize, Ticket),
    Trouble(usize),
}

struct Target {
    queue: Queue,
    slower: f64,
    cold: (Duration, Duration, f64),
    failing_until: Duration,
    stalled_until: Duration,
    id: u64,
}

pub struct Sim {
    plan: Plan,
    rng: SmallRng,
    /// Of its own, so that the load is the same whatever the targets do.
    arrivals: SmallRng,
    now: Duration,
    events: BinaryHeap<std::cmp::Reverse<(Duration, Event)>>,
    targets: Vec<Target>,
    entries: Vec<Placement>,
    requests: BTreeMap<Ticket, Request>,
    starts: BTreeMap<Ticket, Duration>,
    next: Ticket,
    pub score: Score,
    /// Least number of requests at once that each target had.
    pub least: Vec<usize>,
}

fn node(i: usize) -> NodeId {
    format!("n{i}").into()
}

/// Availability zone of the target or entry node with this index.
fn zone(plan: &Plan, i: usize) -> Az {
    format!("az{}", i % plan.zones.len()).into()
}

impl Sim {
    pub fn new(plan: &Plan, paced: bool, seed: u64) -> Self {
        let target = |_: usize| {
            let mut queue = Queue::default();
            if !paced {
                queue.disable_pace();
            }
            queue.set_slots(Duration::ZERO, plan.slots);
            Target {
                queue,
                slower: 1.0,
                cold: (Duration::ZERO, Duration::ZERO, 1.0),
                failing_until: Duration::ZERO,
                stalled_until: Duration::ZERO,
                id: 0,
            }
        };
        let count = plan.times.len();
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            arrivals: SmallRng::seed_from_u64(1000 + seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            targets: (0..count).map(target).collect(),
            entries: (0..plan.entries)
                .map(|i| Placement::new(zone(plan, i)))
                .collect(),
            requests: BTreeMap::new(),
            starts: BTreeMap::new(),
            next: 1,
            score: Score::default(),
            least: vec![usize::MAX; count],
            plan: plan.clone(),
        };
        (0..count).for_each(|i| sim.set_info(i));
        sim.at(Duration::ZERO, Event::Arrival);
        sim.at(TICK, Event::Tick);
        for (i, (at, ..)) in plan.troubles.iter().enumerate() {
            sim.at(*at, Event::Trouble(i));
        }
        sim
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.events.push(std::cmp::Reverse((time, event)));
    }

    fn set_info(&mut self, i: usize) {
        let id = self.targets[i].id;
        let info = TargetInfo {
            service: "s".into(),
            az: zone(&self.plan, i),
            slots: self.plan.slots,
            ready: true,
            reachable: true,
            id: format!("t{i}-{id}").into(),
            incarnation: id + 1,
            version: None,
        };
        for p in &mut self.entries {
            p.set(&node(i), info.clone(), self.now);
        }
    }

    pub fn pace(&self, i: usize) -> usize {
        self.targets[i].queue.pace().0
    }

    pub fn falls(&self) -> u64 {
        self.targets.iter().map(|t| t.queue.pace().1).sum()
    }

    /// Plays the load. Returns what callers got.
    pub fn run(&mut self) -> Score {
        while let Some(std::cmp::Reverse((time, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrival => self.on_arrival(),
                Event::Tick => self.on_tick(),
                Event::End(i, ticket) => self.on_end(i, ticket),
                Event::Trouble(i) => self.on_trouble(i),
            }
        }
        self.score
    }

    fn on_arrival(&mut self) {
        if self.now >= self.plan.time {
            return;
        }
        let speed: f64 = self.plan.times.iter().map(|t| 1.0 / t).sum();
        let rate = self.plan.load * speed * f64::from(self.plan.slots) / SERVICE_TIME;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / rate;
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        self.score.offered += 1;
        let request = Request {
            entry: self.random_entry(),
            start: self.now,
            tried: Vec::new(),
            full: Vec::new(),
            sent: 0,
            immediate: false,
        };
        self.attempt(request);
    }

    /// Entry node of a new request.
    fn random_entry(&mut self) -> usize {
        let zones = self.plan.zones.len();
        let i = self.arrivals.random_range(0..self.plan.entries);
        if zones == 1 {
            return i;
        }
        let mut point = self.arrivals.random::<f64>();
        let zone = self.plan.zones.iter().position(|share| {
            point -= share;
            point <= 0.0
        });
        i / zones * zones + zone.unwrap_or(zones - 1)
    }

    fn on_tick(&mut self) {
        for i in 0..self.targets.len() {
            let actions = self.targets[i].queue.advance(self.now);
            self.apply(i, actions);
            self.least[i] = self.least[i].min(self.pace(i));
        }
        if self.now < self.plan.time + TIMEOUT {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    /// Chooses a target as an entry node does and queues the request there.
    fn attempt(&mut self, mut r: Request) {
        let deadline = r.start + TIMEOUT;
        if r.tried.len() >= MAX_TRIED || self.now >= deadline {
            return;
        }
        let p = &self.entries[r.entry];
        let mut immediate = r.full.len() < MAX_IMMEDIATE && p.has_free_slots("s", self.now);
        let due = r.start + OBJECTIVE;
        let mut excluded = r.tried.clone();
        if immediate {
            excluded.extend(r.full.iter().cloned());
        }
        let criteria = Criteria {
            service: "s",
            route: "r",
            rank: 1,
            until_due: due.saturating_sub(self.now),
            remaining: deadline.saturating_sub(self.now),
            excluded: &excluded,
            upload: false,
        };
        let mut choice = p.choose(self.now, &criteria, &mut self.rng);
        if immediate && !r.full.is_empty() && !matches!(choice, Choice::Target(_)) {
            immediate = false;
            let excluded = &r.tried;
            choice = p.choose(
                self.now,
                &Criteria {
                    excluded,
                    ..criteria
                },
                &mut self.rng,
            );
        }
        let Choice::Target(chosen) = choice else {
            return;
        };
        let i: usize = chosen[1..].parse().unwrap();
        self.entries[r.entry].record_sent(&chosen, self.now);
        let ticket = self.next;
        self.next += 1;
        let arrival = Arrival {
            ticket,
            route: "r".into(),
            tenant: Default::default(),
            rank: 1,
            objective: OBJECTIVE,
            due,
            deadline,
            baseline: self.entries[r.entry].baseline("r"),
            max_wait: immediate.then(|| due.saturating_sub(self.now).mul_f64(0.05)),
            retry: r.sent > 0,
            link_backlog: Duration::ZERO,
            transfer: Duration::ZERO,
        };
        r.tried.push(chosen);
        r.immediate = immediate;
        self.requests.insert(ticket, r);
        let actions = self.targets[i].queue.arrive(self.now, arrival);
        self.apply(i, actions);
    }

    fn apply(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(t) => self.dispatch(i, t),
                Action::Reject(t, _, back_off) => self.on_reject(i, t, back_off),
            }
        }
    }

    fn on_reject(&mut self, i: usize, ticket: Ticket, back_off: Duration) {
        let Some(mut r) = self.requests.remove(&ticket) else {
            return;
        };
        let load = self.targets[i].queue.load(self.now);
        let p = &mut self.entries[r.entry];
        p.record_load(self.now, &node(i), load);
        match r.immediate {
            true => r.full.extend(r.tried.pop()),
            false => {
                let until_due = (r.start + OBJECTIVE).saturating_sub(self.now);
                p.record_rejection(self.now, &node(i), 1, until_due, back_off);
            }
        }
        self.attempt(r);
    }

    /// Service time of a request that starts now: log-normal, with half of the mean as its deviation.
    fn service_time(&mut self, i: usize) -> Duration {
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let t = &self.targets[i];
        let (start, length, factor) = t.cold;
        let gone = self.now.saturating_sub(start).as_secs_f64() / length.as_secs_f64().max(1e-9);
        let cold = 1.0 + (factor - 1.0) * (1.0 - gone).max(0.0);
        // What a cold target has to load is shared by its requests.
        let others = f64::from(t.queue.load(self.now).running) / f64::from(self.plan.slots);
        let shared = 1.0 + (cold - 1.0) * others;
        let mean = SERVICE_TIME * self.plan.times[i] * t.slower;
        Duration::from_secs_f64(mean * shared * (0.47 * normal - 0.11).exp())
    }

    fn dispatch(&mut self, i: usize, ticket: Ticket) {
        let mut end = self.now + self.service_time(i);
        if self.now < self.targets[i].failing_until {
            end = self.now + Duration::from_millis(3);
        }
        self.starts.insert(ticket, self.now);
        self.at(end, Event::End(i, ticket));
    }

    fn on_end(&mut self, i: usize, ticket: Ticket) {
        let now = self.now;
        if now < self.targets[i].stalled_until {
            let end = self.targets[i].stalled_until + Duration::from_millis(1);
            return self.at(end, Event::End(i, ticket));
        }
        let Some(r) = self.requests.remove(&ticket) else {
            return;
        };
        let started = self.starts.remove(&ticket).unwrap();
        let failed = started < self.targets[i].failing_until;
        let timed_out = now > r.start + TIMEOUT;
        let queue = &mut self.targets[i].queue;
        if failed || timed_out {
            queue.on_error(ticket, !failed);
        }
        let actions = queue.finish(now, ticket, failed || timed_out);
        let load = queue.load(now);
        let p = &mut self.entries[r.entry];
        p.record_load(now, &node(i), load);
        if !failed && !timed_out {
            p.record_service_time(&node(i), &"r".into(), now - started);
            self.score.served += 1;
            self.score.in_time += u32::from(now <= r.start + OBJECTIVE);
        }
        self.apply(i, actions);
        if failed && r.sent + 1 < MAX_SENT {
            let sent = r.sent + 1;
            self.attempt(Request { sent, ..r });
        }
    }

    fn on_trouble(&mut self, k: usize) {
        let (_, i, trouble) = self.plan.troubles[k];
        let now = self.now;
        let t = &mut self.targets[i];
        match trouble {
            Trouble::Replaced { cold, factor } => {
                t.cold = (now, cold, factor);
                t.id += 1;
                t.queue.reset();
                t.queue.restart_pace(false);
                self.set_info(i);
            }
            Trouble::Failing(time) => t.failing_until = now + time,
            Trouble::Stalled(time) => {
                t.stalled_until = now + time;
            }
            Trouble::Slower(factor) => t.slower *= factor,
        }
    }
}
