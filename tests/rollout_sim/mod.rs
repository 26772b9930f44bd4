//! A simulated fleet during a rollout: real views, deciders and elections, simulated requests, links and store.
#![allow(unreachable_pub)]

mod requests;
mod store;

use std::time::Duration;

use dragonflyquay::prelude::SmolStr;
use dragonflyquay::sidecar::process::rollout::decider::{Decider, TargetFact};
use dragonflyquay::sidecar::process::rollout::election::{
    Claim, Record, MAX_RENEWAL_AGE, RENEW_INTERVAL,
};
use dragonflyquay::sidecar::process::rollout::order::{News, Order, Step};
use dragonflyquay::sidecar::process::rollout::plan::Bounds;
use dragonflyquay::sidecar::process::rollout::samples::Report;
use dragonflyquay::sidecar::process::rollout::table::{SampleResult, Seat, Table};
use dragonflyquay::sidecar::process::rollout::view::Filter;
use dragonflyquay::store::{Era, Revision};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const SERVICE: &str = "s";
pub const TICK: Duration = Duration::from_millis(50);
const ROLLBACK: Duration = Duration::from_secs(5);
/// Delay of messages, and of a call to the store.
const LINK_DELAY: Duration = Duration::from_millis(50);
const ROUTES: [&str; 3] = ["a", "b", "c"];

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Result of one request: whether it failed, and its time.
pub type Answer = (bool, Duration);

/// What a new target does with a request: time since the order, route, requests at the target in this tick.
pub type Behaviour = fn(Duration, &str, f64, &mut SmallRng) -> Answer;

pub struct Node {
    id: SmolStr,
    pub table: Table,
    pub up: bool,
    /// Nodes of different sides do not hear each other.
    pub side: u8,
    pub reaches_store: bool,
    version: SmolStr,
    starts_at: Duration,
    /// Speed of the VM relative to the mean.
    speed: f64,
    load: f64,
}

enum Message {
    News(Box<News>),
    Report(usize, Box<Report>),
}

/// Requests so far, those up to the time limit by version.
#[derive(Default)]
pub struct Totals {
    pub old: u64,
    pub new: u64,
    /// Responses of the new version that were bad, with the time of the 50th one.
    pub bad: u64,
    pub fiftieth_bad: Option<Duration>,
    pub last_new: Duration,
    pub unserved: u64,
}

pub struct Sim {
    pub nodes: Vec<Node>,
    pub limit: Duration,
    pub rate: f64,
    pub behaviour: Behaviour,
    pub old_behaviour: Behaviour,
    /// Time from which on a new target fails, whatever its behaviour.
    pub bad_from: Option<Duration>,
    pub now: Duration,
    pub store_up: bool,
    pub totals: Totals,
    /// End in the store, with its time.
    pub end: Option<(Step, Duration)>,
    record: Option<(u64, Record)>,
    revision: u64,
    queue: Vec<(Duration, usize, Message)>,
    rng: SmallRng,
}

fn usual(rng: &mut SmallRng) -> Duration {
    ms(100).mul_f64((0.4 * (rng.random::<f64>() + rng.random::<f64>() - 1.0)).exp())
}

/// A good version; its targets are slow at first.
pub fn good(_: Duration, _: &str, _: f64, rng: &mut SmallRng) -> Answer {
    (rng.random::<f64>() < 0.002, usual(rng))
}

impl Sim {
    /// A service with old targets, and new ones that start one after the other in 4 s after the order, at time 0.
    pub fn new(old: usize, new: usize, rate: f64, limit: Duration, behaviour: Behaviour) -> Self {
        let node = |i: usize| Node {
            id: format!("n{i}").into(),
            table: Table::default(),
            up: true,
            side: 0,
            reaches_store: i < 3,
            version: match i < old {
                true => "v1".into(),
                false => "v2".into(),
            },
            starts_at: match i < old {
                true => Duration::ZERO,
                false => ms(1000 + 3000 * (i - old) as u64 / new as u64),
            },
            speed: 1.0,
            load: 0.0,
        };
        let mut sim = Self {
            nodes: (0..old + new).map(node).collect(),
            limit,
            rate,
            behaviour,
            old_behaviour: good,
            bad_from: None,
            now: Duration::ZERO,
            store_up: true,
            totals: Totals::default(),
            end: None,
            record: None,
            revision: 10,
            queue: Vec::new(),
            rng: SmallRng::seed_from_u64(7),
        };
        let order = Order {
            service: SERVICE.into(),
            to: "v2".into(),
            limit,
        };
        let news = News::of_order(order, revision(10), Step::Ordered);
        for i in 0..sim.nodes.len() {
            sim.send(i, Message::News(Box::new(news.clone())), 0);
        }
        sim
    }

    /// Gives each VM a speed of its own, from 0.5 to 1.7 of the mean, and the requests another seed.
    pub fn vary_speeds(&mut self, seed: u64) {
        self.rng = SmallRng::seed_from_u64(seed);
        for n in &mut self.nodes {
            n.speed = self.rng.random_range(0.5..1.7);
        }
    }

    pub fn decider(&self) -> Option<usize> {
        let has_seat = |n: &&Node| n.up && n.table.entries.values().any(|e| e.seat.is_some());
        let find = self.nodes.iter().filter(has_seat);
        let term = |n: &&Node| {
            n.table.entries[SERVICE]
                .seat
                .as_ref()
                .map_or(0, |s| s.term())
        };
        let newest = find.max_by_key(term)?;
        self.nodes.iter().position(|n| std::ptr::eq(n, newest))
    }

    /// Why the last decider rolled back.
    pub fn reason(&self) -> String {
        let tables = self.nodes.iter().map(|n| &n.table);
        let seats = tables.filter_map(|t| t.entries[SERVICE].seat.as_ref());
        let reasons = seats.filter_map(|s| s.decider.reason());
        reasons.map(|r| format!("{r:?}")).collect()
    }

    pub fn step(&self) -> Step {
        let steps = self
            .nodes
            .iter()
            .filter_map(|n| n.table.entries.get(SERVICE));
        let news = steps.map(|e| e.view.news());
        let newest = news.max_by_key(|n| (n.term, n.seq));
        newest.map_or(Step::Ordered, |n| n.step)
    }

    /// Fraction of the requests that reached the new version.
    pub fn exposure_bound(&self) -> f64 {
        0.1 * (self.totals.old + self.totals.new) as f64 + 50.0
    }

    fn send(&mut self, to: usize, m: Message, from: usize) {
        if self.nodes[from].side == self.nodes[to].side {
            self.queue.push((self.now + LINK_DELAY, to, m));
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.queue = rest;
        let due: Vec<_> = due;
        for (_, to, m) in due {
            if self.nodes[to].up {
                self.receive(to, m);
            }
        }
        let mut requests = self.rate * TICK.as_secs_f64();
        requests += self.rng.random::<f64>();
        for n in &mut self.nodes {
            n.load *= 0.7;
        }
        (0..requests as usize).for_each(|_| self.request());
        for i in 0..self.nodes.len() {
            if self.nodes[i].up && (now.as_millis() / 50).is_multiple_of(2) {
                self.report(i);
                self.decide(i);
                self.call_store(i);
            }
        }
    }

    fn receive(&mut self, to: usize, m: Message) {
        let now = self.now;
        let random = self.rng.random();
        let table = &mut self.nodes[to].table;
        match m {
            Message::News(news) => {
                table.merge(&news, ROLLBACK, random, now);
            }
            Message::Report(from, report) => {
                let seat = table.entries.get_mut(SERVICE).and_then(|e| e.seat.as_mut());
                if let Some(seat) = seat {
                    let node = SmolStr::from(format!("n{from}"));
                    seat.decider.on_report(&node, *report, now);
                }
            }
        }
    }

    fn report(&mut self, i: usize) {
        let now = self.now;
        let n = &mut self.nodes[i];
        let Some(e) = n.table.entries.get_mut(SERVICE) else {
            return;
        };
        let news = e.view.news();
        let interval = match news.step {
            Step::Move(_) => ms(200),
            _ => ms(500),
        };
        let interval = interval * [2, 1][usize::from(n.version == "v2")];
        if news.decider.is_empty() || now < e.reported_at + interval || now < n.starts_at {
            return;
        }
        e.reported_at = now;
        let decider: usize = news.decider[1..].parse().unwrap();
        let report = Report {
            service: SERVICE.into(),
            to: "v2".into(),
            version: Some(n.version.clone()),
            run: 1,
            ..e.report.clone()
        };
        self.send(decider, Message::Report(i, Box::new(report)), i);
    }

    fn decide(&mut self, i: usize) {
        let now = self.now;
        let facts: Vec<_> = self
            .nodes
            .iter()
            .filter(|n| n.up && n.side == self.nodes[i].side && now >= n.starts_at)
            .map(|n| TargetFact {
                node: n.id.clone(),
                version: Some(n.version.clone()),
                slots: 4,
                ready: true,
            })
            .collect();
        let entry = self.nodes[i].table.entries.get_mut(SERVICE);
        let Some(seat) = entry.and_then(|e| e.seat.as_mut()) else {
            return;
        };
        let before = seat.decider.step();
        let reached = now < seat.renewed_at + MAX_RENEWAL_AGE;
        seat.decider.tick(&facts, reached, now);
        if seat.decider.step() == before && now < seat.sent_at + ms(200) {
            return;
        }
        seat.sent_at = now;
        let news = seat.decider.next_news(now);
        for to in 0..self.nodes.len() {
            self.send(to, Message::News(Box::new(news.clone())), i);
        }
    }
}

/// A revision of the simulated store, which stays in one era.
fn revision(number: u64) -> Revision {
    Revision::new(Era::default(), number)
}
