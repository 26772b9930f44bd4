//! A simulated fleet during a rollout: real views, deciders and elections, simulated requests, links and store.
#![allow(unreachable_pub)]

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
        let news = News::of_order(order, 10, Step::Ordered);
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

    /// Sends one request from a random node to a random target that its view allows.
    fn request(&mut self) {
        let now = self.now;
        let entry = self.rng.random_range(0..self.nodes.len());
        if !self.nodes[entry].up {
            return;
        }
        let coin = self.rng.random();
        let (mut found, mut excluded) = (None, Vec::new());
        for _ in 0..4 {
            let Some(e) = self.nodes[entry].table.entries.get(SERVICE) else {
                return;
            };
            let passes = e.view.passes(coin, false, &[], now);
            let side = self.nodes[entry].side;
            let filters = [Some(&passes.first), passes.second.as_ref()];
            let choose = |f: &dragonflyquay::sidecar::process::rollout::view::Filter| {
                let ok = |(i, n): &(usize, &Node)| {
                    n.up && n.side == side
                        && now >= n.starts_at
                        && !excluded.contains(i)
                        && f.allows(&n.id, Some(&n.version))
                };
                let all = self.nodes.iter().enumerate().filter(ok);
                all.map(|(i, _)| i).collect::<Vec<_>>()
            };
            let candidates = filters
                .into_iter()
                .flatten()
                .map(choose)
                .find(|c| !c.is_empty());
            let Some(candidates) = candidates else { break };
            let target = candidates[self.rng.random_range(0..candidates.len())];
            let version = self.nodes[target].version.clone();
            let id = self.nodes[target].id.clone();
            let admits = self.nodes[target]
                .table
                .entries
                .get(SERVICE)
                .is_none_or(|e| e.view.admits(&id, false, Some(&version)));
            let view = &mut self.nodes[entry]
                .table
                .entries
                .get_mut(SERVICE)
                .unwrap()
                .view;
            view.on_sent(Some(&version));
            view.on_result(Some(&version), admits);
            if admits {
                found = Some(target);
                break;
            }
            excluded.push(target);
        }
        match found {
            Some(target) => self.run_at(target),
            None => self.totals.unserved += 1,
        }
    }

    fn run_at(&mut self, target: usize) {
        let now = self.now;
        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
        let n = &mut self.nodes[target];
        n.load += 1.0;
        let is_new = n.version == "v2";
        let (failed, time) = match is_new {
            true if self.bad_from.is_some_and(|at| now >= at) => {
                (self.rng.random::<f64>() < 0.3, ms(100))
            }
            true => (self.behaviour)(now, route, n.load, &mut self.rng),
            false => (self.old_behaviour)(now, route, n.load, &mut self.rng),
        };
        let time = time.div_f64(n.speed);
        // A target is cold for two seconds after its start, and its node knows it.
        let cold = now < n.starts_at + ms(2000);
        let slow = time > ms(250);
        if let Some(e) = n.table.entries.get_mut(SERVICE) {
            let result = [SampleResult::Good, SampleResult::Failed][usize::from(failed)];
            if e.ended_at.is_none() {
                let time = (!cold).then_some(time);
                e.report
                    .count(&route.into(), Some(result == SampleResult::Failed), time);
            }
        }
        let t = &mut self.totals;
        if now <= self.limit {
            t.old += u64::from(!is_new);
            t.new += u64::from(is_new);
        }
        if is_new {
            t.last_new = now;
            t.bad += u64::from(failed || slow);
            if t.bad >= 50 {
                t.fiftieth_bad.get_or_insert(now);
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

    /// The calls of `calls.rs` that are due, with an immediate result.
    fn call_store(&mut self, i: usize) {
        let now = self.now;
        if !self.store_up || !self.nodes[i].reaches_store {
            return;
        }
        let Some(e) = self.nodes[i].table.entries.get_mut(SERVICE) else {
            return;
        };
        if let Some(seat) = &mut e.seat {
            let at = self.record.as_ref().map_or(0, |r| r.0);
            if at != seat.record_at {
                e.seat = None;
            } else if let Some(step) = seat.decider.end().filter(|_| seat.recorded_at.is_none()) {
                self.end.get_or_insert((step, now));
                seat.decider.on_ended(step, now);
                seat.recorded_at = Some(now);
            } else if now >= seat.called_at + RENEW_INTERVAL {
                self.revision += 1;
                let news = seat.decider.next_news(now);
                self.record = Some((self.revision, Record { news }));
                (seat.record_at, seat.renewed_at, seat.called_at) = (self.revision, now, now);
            }
            return;
        }
        let news = e.view.news();
        if news.step.is_final() || !e.candidate.is_due(e.view.heard_at(), now) {
            return;
        }
        let known = News {
            elapsed_ms: now.saturating_sub(e.view.started_at()).as_millis() as u64,
            ..news.clone()
        };
        let found = self.record.as_ref().map(|(at, r)| (*at, r));
        let own = SmolStr::from(format!("n{i}"));
        match e.candidate.on_record(found, &known, false, &own, now) {
            Claim::Swap(_, news) if self.end.is_none() => {
                let news = *news;
                self.revision += 1;
                self.record = Some((self.revision, Record { news: news.clone() }));
                let bounds = Bounds {
                    share: 0.1,
                    slack: 50.0,
                };
                e.seat = Some(Box::new(Seat {
                    decider: Decider::new(news, e.view.started_at(), bounds, now),
                    record_at: self.revision,
                    renewed_at: now,
                    called_at: now,
                    status_at: 0,
                    sent_at: Duration::ZERO,
                    recorded_at: None,
                    closed: false,
                }));
            }
            _ => {}
        }
    }
}
