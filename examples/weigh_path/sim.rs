//! The simulated entry nodes, queues and backend servers.

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

use crate::{Again, Case, Place};

const ENTRIES: usize = 10;
const SLOTS: u32 = 6;
const SERVICE_MS: f64 = 20.0;
/// One way between zones.
const ZONE: Duration = Duration::from_millis(1);
/// Time until a failure or a recovery is known to all entry nodes.
const SPREAD: Duration = Duration::from_secs(1);
/// Ranks, the most urgent first.
pub(crate) const RANKS: [&str; 2] = ["urgent", "bulk"];
const DEADLINES: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(2000)];

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Try(u64),
    Reach(u64),
    Done(u64),
    Back(u64, Result<(), Option<Duration>>),
    Know(usize, bool),
}

struct Call {
    rank: usize,
    entry: usize,
    start: Now,
    sent: Now,
    tries: u32,
    target: usize,
}

/// One run.
pub(crate) struct Sim {
    case: Case,
    now: Now,
    events: BinaryHeap<Reverse<(Now, u64, Event)>>,
    seq: u64,
    rng: SmallRng,
    balances: Vec<Balancer>,
    queues: HashMap<usize, Admission>,
    /// Waiting calls at each backend server, and how many run.
    lines: Vec<(VecDeque<u64>, u32)>,
    calls: HashMap<u64, Call>,
    latency: [Vec<Duration>; 2],
    counted: [u64; 2],
    attempts: u64,
    attempted: u64,
}

fn node(target: usize) -> NodeId {
    format!("t{target}").into()
}

fn rank_of(i: usize) -> dragonflyquay::prelude::RankId {
    RANKS[i].into()
}

impl Sim {
    /// A run of a case with this seed.
    pub(crate) fn new(case: Case, seed: u64) -> Self {
        let mut s = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(seed),
            balances: (0..ENTRIES)
                .map(|e| Balancer::new(BalancePolicy::LeastLoaded, zone(e)))
                .collect(),
            queues: HashMap::new(),
            lines: vec![(VecDeque::new(), 0); case.targets],
            calls: HashMap::new(),
            latency: [vec![], vec![]],
            counted: [0; 2],
            attempts: 0,
            attempted: 0,
            case,
        };
        for t in 0..s.case.targets {
            s.know(t, ReportedState::Ready, Duration::from_secs(100));
        }
        if let Some((targets, from, until)) = s.case.outage.clone() {
            for t in targets {
                s.at(from + SPREAD, Event::Know(t, false));
                s.at(until + SPREAD, Event::Know(t, true));
            }
        }
        (0..2).for_each(|r| s.at(Duration::ZERO, Event::Arrive(r)));
        s
    }

    fn at(&mut self, time: Now, e: Event) {
        self.seq += 1;
        self.events.push(Reverse((time, self.seq, e)));
    }

    fn know(&mut self, t: usize, reported: ReportedState, age: Duration) {
        for b in &mut self.balances {
            let info = TargetInfo {
                service: "s".into(),
                az: zone(t),
                slots: SLOTS,
                reported,
                age,
                incarnation: 1,
                doubt: 0,
            };
            b.set(self.now, &node(t), info);
        }
    }

    /// Runs to the end.
    pub(crate) fn run(mut self) -> Self {
        while let Some(Reverse((time, _, e))) = self.events.pop() {
            self.now = time;
            match e {
                Event::Arrive(rank) => self.arrive(rank),
                Event::Try(id) => self.attempt(id),
                Event::Reach(id) => self.reach(id),
                Event::Done(id) => self.done(id),
                Event::Back(id, result) => self.back(id, result),
                Event::Know(t, false) => self.know(t, ReportedState::Unready, Duration::ZERO),
                Event::Know(t, true) => {
                    let age = match self.case.strict {
                        true => Duration::from_secs(100),
                        false => SPREAD,
                    };
                    self.know(t, ReportedState::Ready, age);
                }
            }
        }
        self
    }

    fn arrive(&mut self, rank: usize) {
        if self.now >= self.case.counted.1 {
            return;
        }
        let capacity = self.case.targets as f64 * f64::from(SLOTS) / (SERVICE_MS / 1000.0);
        let rate = capacity * self.case.load[rank];
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-9);
        self.at(
            self.now + Duration::from_secs_f64(gap.min(1e6)),
            Event::Arrive(rank),
        );
        self.counted[rank] += u64::from(self.now >= self.case.counted.0);
        self.seq += 1;
        let id = self.seq;
        let call = Call {
            rank,
            entry: self.rng.random_range(0..ENTRIES),
            start: self.now,
            sent: self.now,
            tries: 0,
            target: 0,
        };
        self.calls.insert(id, call);
        self.attempted += 1;
        self.attempt(id);
    }

    fn attempt(&mut self, id: u64) {
        let Some(c) = self.calls.get_mut(&id) else {
            return;
        };
        let tried: Vec<_> = (c.tries > 0).then(|| node(c.target)).into_iter().collect();
        let b = &mut self.balances[c.entry];
        let choice = b.choose(self.now, "s", RANKS[c.rank], &tried, &mut self.rng);
        let waited = self.now - c.start;
        match choice {
            Choice::Target(n) => {
                b.started(&n);
                c.target = n[1..].parse().unwrap_or(0);
                c.sent = self.now;
                c.tries += 1;
                self.attempts += 1;
                let way = way(c.entry, c.target);
                match self.case.place {
                    Place::Admitting => self.at(self.now + way, Event::Reach(id)),
                    _ => self.reach(id),
                }
            }
            Choice::None if waited < self.case.wait => {
                let pause = Duration::from_millis(10).mul_f64(0.5 + self.rng.random::<f64>());
                self.at(self.now + pause, Event::Try(id));
            }
            _ => {
                self.calls.remove(&id);
            }
        }
    }

    /// A call is at the place where waiting calls are ordered.
    fn reach(&mut self, id: u64) {
        let c = &self.calls[&id];
        let (e, t) = (c.entry, c.target);
        if !self.up(t) {
            let back = way(e, t)
                * if self.case.place == Place::Admitting {
                    1
                } else {
                    2
                };
            return self.at(self.now + back, Event::Back(id, Err(None)));
        }
        let arrival = Arrival {
            ticket: id,
            rank: rank_of(c.rank),
            caller: format!("c{}", id % 50).into(),
            deadline: c.start + DEADLINES[c.rank],
        };
        let (key, slots) = match self.case.place {
            Place::Admitting => (t, SLOTS),
            Place::Divided => (e * 100 + t, SLOTS.div_ceil(ENTRIES as u32)),
            Place::Backend => (e * 100 + t, u32::MAX),
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
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Dispatch(id) => {
                    let t = self.calls[&id].target;
                    self.lines[t].0.push_back(id);
                    self.serve(t);
                }
                Action::Reject(id, _, back_off) => {
                    let c = &self.calls[&id];
                    let back = match self.case.place {
                        Place::Admitting => way(c.entry, c.target),
                        _ => Duration::ZERO,
                    };
                    self.at(self.now + back, Event::Back(id, Err(Some(back_off))));
                }
            }
        }
    }

    /// The backend server starts what fits; calls beyond their deadline are cancelled by their callers.
    fn serve(&mut self, t: usize) {
        while self.lines[t].1 < SLOTS {
            let Some(id) = self.lines[t].0.pop_front() else {
                return;
            };
            let c = &self.calls[&id];
            if c.start + DEADLINES[c.rank] <= self.now {
                self.end(id);
                continue;
            }
            let age = match &self.case.outage {
                Some((set, _, until)) if set.contains(&t) && self.now >= *until => {
                    self.now - *until
                }
                _ => Duration::from_secs(100),
            };
            let warm = (age.as_secs_f64() / 10.0).min(1.0);
            let factor = self.case.cold - (self.case.cold - 1.0) * warm;
            let ms = SERVICE_MS * factor * (0.5 + self.rng.random::<f64>());
            self.lines[t].1 += 1;
            self.at(
                self.now + Duration::from_secs_f64(ms / 1000.0),
                Event::Done(id),
            );
        }
    }

    fn done(&mut self, id: u64) {
        let t = self.calls[&id].target;
        self.lines[t].1 -= 1;
        self.end(id);
        self.serve(t);
    }

    /// Frees the place of a call and returns its answer.
    fn end(&mut self, id: u64) {
        let c = &self.calls[&id];
        let (e, t) = (c.entry, c.target);
        let key = match self.case.place {
            Place::Admitting => t,
            _ => e * 100 + t,
        };
        self.at(self.now + way(e, t), Event::Back(id, Ok(())));
        let now = self.now;
        let actions = self
            .queues
            .get_mut(&key)
            .map(|a| a.finished(now, id as Ticket));
        self.act(actions.unwrap_or_default());
    }

    fn back(&mut self, id: u64, result: Result<(), Option<Duration>>) {
        let c = &self.calls[&id];
        let (rank, took) = (c.rank, self.now - c.start);
        let end = match result {
            Ok(()) => AttemptEnd::Responded {
                latency: self.now - c.sent,
                load_percent: None,
            },
            Err(None) => AttemptEnd::Failed,
            Err(Some(back_off)) => AttemptEnd::Rejected(back_off),
        };
        let (target, tries) = (node(c.target), c.tries);
        self.balances[c.entry].ended(self.now, &target, &rank_of(rank), end);
        if result.is_ok() {
            if took <= DEADLINES[rank] && c.start >= self.case.counted.0 {
                self.latency[rank].push(took);
            }
            self.calls.remove(&id);
            return;
        }
        let delay = match (self.case.again, result) {
            (Again::Never, _) => None,
            (Again::AtOnce, _) => Some(Duration::ZERO),
            (Again::Jitter, _) => Some(Duration::from_millis(10).mul_f64(self.rng.random())),
            (Again::Named(_), Err(Some(t))) if !t.is_zero() => Some(t),
            (Again::Named(t), _) => Some(t),
        };
        match delay {
            Some(d) if tries <= 2 && took + d < DEADLINES[rank] => {
                self.at(self.now + d, Event::Try(id))
            }
            _ => {
                self.calls.remove(&id);
            }
        }
    }

    fn up(&self, t: usize) -> bool {
        let down = |(set, from, until): &(std::ops::Range<usize>, Now, Now)| {
            set.contains(&t) && self.now >= *from && self.now < *until
        };
        !self.case.outage.as_ref().is_some_and(down)
    }

    /// Prints the results in one line.
    pub(crate) fn print(mut self) {
        print!("{:<44}", self.case.name);
        for r in 0..2 {
            let l = &mut self.latency[r];
            l.sort();
            let q = |p: f64| {
                l.get((l.len() as f64 * p) as usize)
                    .map_or(0.0, |d| d.as_secs_f64() * 1e3)
            };
            let good = 100.0 * l.len() as f64 / self.counted[r].max(1) as f64;
            print!("  {:>5.1}% {:>6.1} {:>6.1}", good, q(0.5), q(0.99));
        }
        println!("  {:.3}", self.attempts as f64 / self.attempted as f64);
    }
}

fn zone(i: usize) -> dragonflyquay::prelude::Az {
    ["a", "b"][i % 2].into()
}

fn way(entry: usize, target: usize) -> Duration {
    match entry % 2 == target % 2 {
        true => Duration::from_micros(200),
        false => ZONE,
    }
}
