//! Discrete-event simulation of entry nodes, admission queues and backend servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use dragonflyquay::prelude::{NodeId, Now};
use dragonflyquay::process::routing::admission::{Action, Admission, Arrival, RankShare, Ticket};
use dragonflyquay::process::routing::balance::{
    AttemptEnd, Balancer, Choice, ReportedState, TargetInfo,
};
use dragonflyquay::settings::{BalancePolicy, QueuePolicy};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::{QueuePlace, RetryPolicy, Scenario};

const ENTRY_NODES: usize = 10;
/// Slots of each target.
const SLOTS: u32 = 6;
/// Mean service time of a warm target.
const SERVICE_MS: f64 = 20.0;
/// One-way delay between availability zones.
const ZONE_DELAY: Duration = Duration::from_millis(1);
/// Time until all entry nodes know of a failure or a recovery.
const DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Ranks, the most urgent first.
pub(crate) const RANKS: [&str; 2] = ["urgent", "bulk"];
/// Deadline of each rank.
const DEADLINES: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(2000)];

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new request of this rank arrives at an entry node.
    Arrive(usize),
    /// The entry node chooses a target for this request.
    Attempt(u64),
    /// The request reaches the place where it is queued.
    Enqueue(u64),
    /// The backend server has finished the request.
    Finish(u64),
    /// The response reaches the entry node: success, a connection error (`None`), or a rejection with its back-off.
    Response(u64, Result<(), Option<Duration>>),
    /// The entry nodes learn whether this target is ready.
    Update(usize, bool),
}

/// A request in progress.
struct Request {
    rank: usize,
    entry: usize,
    start: Now,
    /// Time of the last attempt.
    sent: Now,
    attempts: u32,
    target: usize,
}

/// State and results of one simulation run.
pub(crate) struct Simulation {
    scenario: Scenario,
    now: Now,
    events: BinaryHeap<Reverse<(Now, u64, Event)>>,
    /// Last number given to an event or a request; events at the same time are handled in this order.
    sequence: u64,
    rng: SmallRng,
    balancers: Vec<Balancer>,
    /// Admission queues by target, or by entry node and target (100 times the entry node plus the target).
    queues: HashMap<usize, Admission>,
    /// Requests that wait at each backend server, and the number that run there.
    backends: Vec<(VecDeque<u64>, u32)>,
    requests: HashMap<u64, Request>,
    /// Latencies of the measured requests that completed in time, by rank.
    latency: [Vec<Duration>; 2],
    /// Measured requests that arrived, by rank.
    arrived: [u64; 2],
    attempts: u64,
    /// All requests that arrived, measured or not.
    total: u64,
}

fn target_id(target: usize) -> NodeId {
    format!("t{target}").into()
}

fn rank_id(i: usize) -> dragonflyquay::prelude::RankId {
    RANKS[i].into()
}

impl Simulation {
    /// Prepares a run of a scenario with this seed.
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let mut s = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            balancers: (0..ENTRY_NODES)
                .map(|e| Balancer::new(BalancePolicy::LeastLoaded, zone(e)))
                .collect(),
            queues: HashMap::new(),
            backends: vec![(VecDeque::new(), 0); scenario.targets],
            requests: HashMap::new(),
            latency: [vec![], vec![]],
            arrived: [0; 2],
            attempts: 0,
            total: 0,
            scenario,
        };
        for t in 0..s.scenario.targets {
            s.set_target(t, ReportedState::Ready, Duration::from_secs(100));
        }
        if let Some((targets, from, until)) = s.scenario.outage.clone() {
            for t in targets {
                s.schedule(from + DETECTION_DELAY, Event::Update(t, false));
                s.schedule(until + DETECTION_DELAY, Event::Update(t, true));
            }
        }
        (0..2).for_each(|r| s.schedule(Duration::ZERO, Event::Arrive(r)));
        s
    }

    fn schedule(&mut self, time: Now, e: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, e)));
    }

    /// Sets state and age of a target in the balancers of all entry nodes.
    fn set_target(&mut self, t: usize, reported: ReportedState, age: Duration) {
        for b in &mut self.balancers {
            let info = TargetInfo {
                service: "s".into(),
                az: zone(t),
                slots: SLOTS,
                reported,
                age,
                incarnation: 1,
                doubt: 0,
            };
            b.set(self.now, &target_id(t), info);
        }
    }

    /// Runs until no event is left.
    pub(crate) fn run(mut self) -> Self {
        while let Some(Reverse((time, _, e))) = self.events.pop() {
            self.now = time;
            match e {
                Event::Arrive(rank) => self.arrive(rank),
                Event::Attempt(id) => self.attempt(id),
                Event::Enqueue(id) => self.enqueue(id),
                Event::Finish(id) => self.finish(id),
                Event::Response(id, result) => self.handle_response(id, result),
                Event::Update(t, false) => {
                    self.set_target(t, ReportedState::Unready, Duration::ZERO)
                }
                Event::Update(t, true) => {
                    let age = match self.scenario.full_share {
                        true => Duration::from_secs(100),
                        false => DETECTION_DELAY,
                    };
                    self.set_target(t, ReportedState::Ready, age);
                }
            }
        }
        self
    }

    /// Adds a request of a rank and schedules the next one, with exponentially distributed gaps.
    fn arrive(&mut self, rank: usize) {
        if self.now >= self.scenario.measured.1 {
            return;
        }
        let capacity = self.scenario.targets as f64 * f64::from(SLOTS) / (SERVICE_MS / 1000.0);
        let rate = capacity * self.scenario.load[rank];
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-9);
        self.schedule(
            self.now + Duration::from_secs_f64(gap.min(1e6)),
            Event::Arrive(rank),
        );
        self.arrived[rank] += u64::from(self.now >= self.scenario.measured.0);
        self.sequence += 1;
        let id = self.sequence;
        let request = Request {
            rank,
            entry: self.rng.random_range(0..ENTRY_NODES),
            start: self.now,
            sent: self.now,
            attempts: 0,
            target: 0,
        };
        self.requests.insert(id, request);
        self.total += 1;
        self.attempt(id);
    }

    /// Chooses a target at the entry node, waits for one, or gives up the request.
    fn attempt(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let tried: Vec<_> = (r.attempts > 0)
            .then(|| target_id(r.target))
            .into_iter()
            .collect();
        let b = &mut self.balancers[r.entry];
        let choice = b.choose(self.now, "s", RANKS[r.rank], &tried, &mut self.rng);
        let waited = self.now - r.start;
        match choice {
            Choice::Target(n) => {
                b.started(&n);
                r.target = n[1..].parse().unwrap_or(0);
                r.sent = self.now;
                r.attempts += 1;
                self.attempts += 1;
                let delay = delay_between(r.entry, r.target);
                match self.scenario.queue_place {
                    QueuePlace::AdmittingNode => {
                        self.schedule(self.now + delay, Event::Enqueue(id))
                    }
                    _ => self.enqueue(id),
                }
            }
            Choice::None if waited < self.scenario.max_wait => {
                let pause = Duration::from_millis(10).mul_f64(0.5 + self.rng.random::<f64>());
                self.schedule(self.now + pause, Event::Attempt(id));
            }
            _ => {
                self.requests.remove(&id);
            }
        }
    }

    /// Queues a request that has reached the queueing place, or fails it if its target is down.
    fn enqueue(&mut self, id: u64) {
        let r = &self.requests[&id];
        let (e, t) = (r.entry, r.target);
        if !self.is_up(t) {
            // Way back from the admitting node, or way to the target and back.
            let delay = delay_between(e, t)
                * if self.scenario.queue_place == QueuePlace::AdmittingNode {
                    1
                } else {
                    2
                };
            return self.schedule(self.now + delay, Event::Response(id, Err(None)));
        }
        let arrival = Arrival {
            ticket: id,
            rank: rank_id(r.rank),
            caller: format!("c{}", id % 50).into(),
            deadline: r.start + DEADLINES[r.rank],
        };
        let (key, slots) = match self.scenario.queue_place {
            QueuePlace::AdmittingNode => (t, SLOTS),
            QueuePlace::EntryNodes => (e * 100 + t, SLOTS.div_ceil(ENTRY_NODES as u32)),
            QueuePlace::BackendServer => (e * 100 + t, u32::MAX),
        };
        let now = self.now;
        let a = self.queues.entry(key).or_insert_with(|| {
            let mut a = Admission::new(QueuePolicy::Ranked);
            let share = |(i, name): (usize, &&str)| RankShare {
                name: (*name).into(),
                order: i as u8,
                min_share: 0.1 * i as f64,
            };
            a.set_ranks(&RANKS.iter().enumerate().map(share).collect::<Vec<_>>());
            a.set_slots(now, slots);
            a
        });
        let actions = a.arrive(now, &arrival);
        self.handle_actions(actions);
    }

    fn handle_actions(&mut self, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Dispatch(id) => {
                    let t = self.requests[&id].target;
                    self.backends[t].0.push_back(id);
                    self.start_waiting(t);
                }
                Action::Reject(id, _, back_off) => {
                    let r = &self.requests[&id];
                    let delay = match self.scenario.queue_place {
                        QueuePlace::AdmittingNode => delay_between(r.entry, r.target),
                        _ => Duration::ZERO,
                    };
                    self.schedule(self.now + delay, Event::Response(id, Err(Some(back_off))));
                }
            }
        }
    }

    /// Starts waiting requests on free slots of a backend server. Requests past their deadline were cancelled by their
    /// callers and complete without running.
    fn start_waiting(&mut self, t: usize) {
        while self.backends[t].1 < SLOTS {
            let Some(id) = self.backends[t].0.pop_front() else {
                return;
            };
            let r = &self.requests[&id];
            if r.start + DEADLINES[r.rank] <= self.now {
                self.complete(id);
                continue;
            }
            let age = match &self.scenario.outage {
                Some((targets, _, until)) if targets.contains(&t) && self.now >= *until => {
                    self.now - *until
                }
                _ => Duration::from_secs(100),
            };
            let warm_ratio = (age.as_secs_f64() / 10.0).min(1.0);
            let factor = self.scenario.cold_factor - (self.scenario.cold_factor - 1.0) * warm_ratio;
            let ms = SERVICE_MS * factor * (0.5 + self.rng.random::<f64>());
            self.backends[t].1 += 1;
            self.schedule(
                self.now + Duration::from_secs_f64(ms / 1000.0),
                Event::Finish(id),
            );
        }
    }

    /// Frees the slot of a request that has run.
    fn finish(&mut self, id: u64) {
        let t = self.requests[&id].target;
        self.backends[t].1 -= 1;
        self.complete(id);
        self.start_waiting(t);
    }

    /// Completes a request in its admission queue and sends its response.
    fn complete(&mut self, id: u64) {
        let r = &self.requests[&id];
        let (e, t) = (r.entry, r.target);
        let key = match self.scenario.queue_place {
            QueuePlace::AdmittingNode => t,
            _ => e * 100 + t,
        };
        self.schedule(self.now + delay_between(e, t), Event::Response(id, Ok(())));
        let now = self.now;
        let actions = self
            .queues
            .get_mut(&key)
            .map(|a| a.finished(now, id as Ticket));
        self.handle_actions(actions.unwrap_or_default());
    }

    /// Handles a response at the entry node: records the latency, retries or gives up.
    fn handle_response(&mut self, id: u64, result: Result<(), Option<Duration>>) {
        let r = &self.requests[&id];
        let (rank, took) = (r.rank, self.now - r.start);
        let end = match result {
            Ok(()) => AttemptEnd::Responded {
                latency: self.now - r.sent,
                load_percent: None,
            },
            Err(None) => AttemptEnd::Failed,
            Err(Some(back_off)) => AttemptEnd::Rejected(back_off),
        };
        let (target, attempts) = (target_id(r.target), r.attempts);
        self.balancers[r.entry].ended(self.now, &target, &rank_id(rank), end);
        if result.is_ok() {
            if took <= DEADLINES[rank] && r.start >= self.scenario.measured.0 {
                self.latency[rank].push(took);
            }
            self.requests.remove(&id);
            return;
        }
        let delay = match (self.scenario.retry, result) {
            (RetryPolicy::Never, _) => None,
            (RetryPolicy::Immediate, _) => Some(Duration::ZERO),
            (RetryPolicy::Jittered, _) => {
                Some(Duration::from_millis(10).mul_f64(self.rng.random()))
            }
            (RetryPolicy::AfterBackOff(_), Err(Some(t))) if !t.is_zero() => Some(t),
            (RetryPolicy::AfterBackOff(t), _) => Some(t),
        };
        match delay {
            Some(d) if attempts <= 2 && took + d < DEADLINES[rank] => {
                self.schedule(self.now + d, Event::Attempt(id))
            }
            _ => {
                self.requests.remove(&id);
            }
        }
    }

    fn is_up(&self, t: usize) -> bool {
        let down = |(targets, from, until): &(std::ops::Range<usize>, Now, Now)| {
            targets.contains(&t) && self.now >= *from && self.now < *until
        };
        !self.scenario.outage.as_ref().is_some_and(down)
    }

    /// Prints the results as one line.
    pub(crate) fn print(mut self) {
        print!("{:<44}", self.scenario.name);
        for r in 0..2 {
            let latencies = &mut self.latency[r];
            latencies.sort();
            let q = |p: f64| {
                latencies
                    .get((latencies.len() as f64 * p) as usize)
                    .map_or(0.0, |d| d.as_secs_f64() * 1e3)
            };
            let good = 100.0 * latencies.len() as f64 / self.arrived[r].max(1) as f64;
            print!("  {:>5.1}% {:>6.1} {:>6.1}", good, q(0.5), q(0.99));
        }
        println!("  {:.3}", self.attempts as f64 / self.total as f64);
    }
}

fn zone(i: usize) -> dragonflyquay::prelude::Az {
    ["a", "b"][i % 2].into()
}

/// One-way network delay between an entry node and a target.
fn delay_between(entry: usize, target: usize) -> Duration {
    match entry % 2 == target % 2 {
        true => Duration::from_micros(200),
        false => ZONE_DELAY,
    }
}
