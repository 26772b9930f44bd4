//! Simulation of the quotas of many nodes on a network that delays, loses and repeats messages. Needs no network and no
//! wall-clock time; all randomness comes from a seed.
#![allow(dead_code, unreachable_pub)]

use std::collections::VecDeque;
use std::time::Duration;

use dragonflyquay::sidecar::process::quota::limits::{Quota, QuotaBounds};
use dragonflyquay::sidecar::process::quota::policy::Quotas;
use dragonflyquay::sidecar::process::quota::{UnitAsk, UnitGrant, Verdict};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;

/// Bounds of the simulated deployment.
pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
/// Step of the simulation, in ms.
const STEP_MS: u64 = 5;
/// Time after which a node notices that another one has gone, or is back, in ms.
const NOTICE_MS: u64 = 300;
/// Longest wait of a request for a unit, in ms.
const MAX_WAIT_MS: u64 = 200;

/// A tenant: its quota, and the nodes at which its requests arrive, each with a rate.
#[derive(Clone)]
pub struct Tenant {
    pub name: SmolStr,
    pub quota: Quota,
    pub arrivals: Vec<(usize, f64)>,
}

#[derive(Clone)]
enum Body {
    Asks(Vec<UnitAsk>),
    Grants(Vec<UnitGrant>),
    Hello,
}

struct Packet {
    at: u64,
    from: usize,
    to: usize,
    process: u64,
    body: Body,
}

struct Node {
    id: SmolStr,
    az: SmolStr,
    policy: Quotas,
    process: u64,
    up: bool,
    frozen: bool,
    /// Time of the node's clock at the start of the simulation, and its speed.
    offset: f64,
    speed: f64,
    poll_at: u64,
    known: Vec<usize>,
}

struct Waiting {
    node: usize,
    tenant: usize,
    since: u64,
}

/// What became of the requests of a tenant.
#[derive(Default, Clone)]
pub struct Tally {
    /// Times of requests that ran, in ms.
    pub runs: Vec<u64>,
    pub offered: u64,
    /// Requests that a single bucket for all nodes would have allowed.
    pub in_quota: u64,
    /// Requests that ran.
    pub granted: u64,
    bucket: f64,
    bucket_at: u64,
}

pub struct Sim {
    pub now: u64,
    pub tenants: Vec<Tenant>,
    pub tallies: Vec<Tally>,
    /// Messages sent, and those to other zones.
    pub messages: (u64, u64),
    pub loss: f64,
    pub repeats: f64,
    pub delay_ms: (u64, u64),
    /// Longest time from taking a unit to the run, in ms.
    pub run_delay_ms: u64,
    /// Pairs of groups that cannot reach each other.
    cut: Vec<bool>,
    linked: Vec<Vec<bool>>,
    changed_at: Vec<Vec<u64>>,
    nodes: Vec<Node>,
    packets: VecDeque<Packet>,
    waiting: Vec<Waiting>,
    rng: SmallRng,
}

impl Sim {
    /// Nodes in `zones` zones, all known to each other.
    pub fn new(nodes: usize, zones: usize, tenants: Vec<Tenant>, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all: Vec<usize> = (0..nodes).collect();
        let nodes: Vec<Node> = all
            .iter()
            .map(|i| {
                let (id, az) = (format!("n{i}"), format!("z{}", i % zones));
                let offset = rng.random_range(0.0..100_000.0);
                Node {
                    policy: Quotas::new(id.as_str().into(), az.as_str().into(), BOUNDS, at(offset)),
                    id: id.into(),
                    az: az.into(),
                    process: 1,
                    up: true,
                    frozen: false,
                    offset,
                    speed: rng.random_range(0.999..1.001),
                    poll_at: 0,
                    known: all.clone(),
                }
            })
            .collect();
        let count = nodes.len();
        Self {
            now: 0,
            tallies: vec![Tally::default(); tenants.len()],
            tenants,
            messages: (0, 0),
            loss: 0.0,
            repeats: 0.0,
            delay_ms: (0, 5),
            run_delay_ms: 20,
            cut: vec![false; count],
            linked: vec![vec![false; count]; count],
            changed_at: vec![vec![0; count]; count],
            nodes,
            packets: VecDeque::new(),
            waiting: Vec::new(),
            rng,
        }
    }

    /// Runs for this time, in ms.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.update_links();
            self.deliver();
            self.arrive();
            self.serve_waiting();
            for i in 0..self.nodes.len() {
                if self.now >= self.nodes[i].poll_at {
                    self.poll(i);
                }
            }
        }
    }

    /// Cuts these nodes off from all others; they reach each other.
    pub fn cut_off<F: Fn(usize) -> bool>(&mut self, which: F) {
        (0..self.nodes.len()).for_each(|i| self.cut[i] = which(i));
    }

    /// Ends the process of a node.
    pub fn stop(&mut self, i: usize) {
        self.nodes[i].up = false;
        self.waiting.retain(|w| w.node != i);
        for j in 0..self.nodes.len() {
            self.linked[i][j] = false;
            self.changed_at[i][j] = self.now;
        }
    }

    /// Starts a new process of a node, which has forgotten all.
    pub fn start(&mut self, i: usize) {
        let now = self.clock(i);
        let n = &mut self.nodes[i];
        n.policy = Quotas::new(n.id.clone(), n.az.clone(), BOUNDS, now);
        n.process += 1;
        n.up = true;
        n.poll_at = self.now;
    }

    /// Stops or resumes a process, which keeps its state.
    pub fn freeze(&mut self, i: usize, frozen: bool) {
        self.nodes[i].frozen = frozen;
    }

    /// Runs for this time, in ms, with random faults, while some tenants send far more than their quotas.
    pub fn play_faults(&mut self, seed: u64, ms: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let nodes = self.nodes.len();
        self.loss = 0.05;
        self.repeats = 0.05;
        self.delay_ms = (0, 60);
        for t in &mut self.tenants {
            let factor = rng.random_range(0.3..5.0);
            t.arrivals.iter_mut().for_each(|a| a.1 *= factor);
        }
        let end = self.now + ms;
        while self.now < end {
            let i = rng.random_range(0..nodes);
            match rng.random_range(0..8) {
                0 => {
                    let modulus = rng.random_range(2..5);
                    self.cut_off(|j| j % modulus == 0);
                }
                1 => self.cut_off(|_| false),
                2 => {
                    self.stop(i);
                    self.run(300);
                    self.start(i);
                }
                3 => {
                    let third: Vec<usize> = (0..nodes).filter(|j| j % 3 == i % 3).collect();
                    third.iter().for_each(|j| self.stop(*j));
                    self.run(400);
                    third.iter().for_each(|j| self.start(*j));
                }
                4 => self.freeze(i, true),
                5 => (0..nodes).for_each(|j| self.freeze(j, false)),
                6 => self.change_nodes(&mut rng),
                _ => {}
            }
            let wait = rng.random_range(100..2500);
            self.run(wait);
        }
    }

    /// One of the last nodes leaves for good, or comes back; the others learn of it within two seconds.
    fn change_nodes(&mut self, rng: &mut SmallRng) {
        let nodes = self.nodes.len();
        let i = nodes - 1 - rng.random_range(0..4);
        let leaves = self.nodes[i].up;
        match leaves {
            true => self.stop(i),
            false => {
                self.nodes[i].known = (0..nodes)
                    .filter(|j| *j == i || self.nodes[*j].up)
                    .collect();
                self.start(i);
            }
        }
        for j in (0..nodes).filter(|j| *j != i) {
            self.run(rng.random_range(0..2000 / nodes as u64));
            let known = &mut self.nodes[j].known;
            known.retain(|k| *k != i);
            if !leaves {
                known.push(i);
                known.sort_unstable();
            }
        }
    }

    fn clock(&self, i: usize) -> Duration {
        let n = &self.nodes[i];
        at(n.offset + self.now as f64 * n.speed)
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        self.nodes[a].up && self.nodes[b].up && self.cut[a] == self.cut[b]
    }

    fn update_links(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let usable = a != b && self.connected(a, b) && !self.nodes[b].frozen;
                if usable == self.linked[a][b] {
                    self.changed_at[a][b] = self.now;
                } else if self.now >= self.changed_at[a][b] + NOTICE_MS {
                    self.linked[a][b] = usable;
                    self.changed_at[a][b] = self.now;
                    if usable {
                        self.send(a, b, Body::Hello);
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let hello = matches!(body, Body::Hello);
        if !hello {
            self.messages.0 += 1;
            self.messages.1 += u64::from(self.nodes[from].az != self.nodes[to].az);
        }
        if !hello && self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.repeats));
        for _ in 0..copies {
            let delay = self.rng.random_range(self.delay_ms.0..=self.delay_ms.1);
            let packet = Packet {
                at: self.now + delay,
                from,
                to,
                process: self.nodes[from].process,
                body: body.clone(),
            };
            self.packets.push_back(packet);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: VecDeque<Packet> = {
            let (due, rest) = std::mem::take(&mut self.packets)
                .into_iter()
                .partition(|p| p.at <= now);
            self.packets = rest;
            due
        };
        for p in due {
            if !self.connected(p.from, p.to) {
                continue;
            }
            if self.nodes[p.to].frozen {
                self.packets.push_back(Packet {
                    at: now + STEP_MS,
                    ..p
                });
                continue;
            }
            self.receive(p);
        }
    }

    fn receive(&mut self, p: Packet) {
        self.refresh(p.to);
        let clock = self.clock(p.to);
        let from = (self.nodes[p.from].id.clone(), p.process);
        let policy = &mut self.nodes[p.to].policy;
        match p.body {
            Body::Hello => policy.on_process(&from.0, from.1),
            Body::Grants(grants) => {
                policy.on_grants(&from, &grants, clock);
                self.nodes[p.to].poll_at = self.now;
            }
            Body::Asks(asks) => {
                let tenants = &self.tenants;
                let quota = |t: &SmolStr| tenants.iter().find(|x| x.name == *t).map(|x| x.quota);
                let grants = policy.on_asks(&from, &asks, quota, clock);
                if !grants.is_empty() {
                    self.send(p.to, p.from, Body::Grants(grants));
                }
            }
        }
    }

    fn refresh(&mut self, i: usize) {
        let clock = self.clock(i);
        if !self.nodes[i].policy.needs_nodes(clock) {
            return;
        }
        let nodes = self.nodes[i]
            .known
            .iter()
            .map(|j| (self.nodes[*j].id.clone(), self.nodes[*j].az.clone()));
        let nodes = nodes.collect();
        let linked = &self.linked[i];
        self.nodes[i]
            .policy
            .set_nodes(nodes, true, |h| linked[index(h)], clock);
    }

    fn poll(&mut self, i: usize) {
        if !self.nodes[i].up || self.nodes[i].frozen {
            return;
        }
        let (clock, linked) = (self.clock(i), &self.linked[i]);
        let asks = self.nodes[i].policy.poll(|h| linked[index(h)], clock);
        let next = self.nodes[i].policy.next_poll(clock);
        self.nodes[i].poll_at = next.map_or(u64::MAX, |d| self.now + (d.as_millis() as u64).max(1));
        for (holder, asks) in asks {
            let to = index(&holder);
            self.send(i, to, Body::Asks(asks));
        }
    }

    fn arrive(&mut self) {
        for t in 0..self.tenants.len() {
            for (node, rate) in self.tenants[t].arrivals.clone() {
                let mean = rate * STEP_MS as f64 / 1000.0;
                let count = mean.floor() as u64 + u64::from(self.rng.random_bool(mean.fract()));
                for _ in 0..count {
                    self.arrive_at(node, t);
                }
            }
        }
    }

    fn arrive_at(&mut self, node: usize, tenant: usize) {
        // Callers of a node that is down go to others.
        let up = |i: &usize| self.nodes[*i].up;
        let count = self.nodes.len();
        let Some(node) = (0..count).map(|k| (node + k) % count).find(up) else {
            return;
        };
        let quota = self.tenants[tenant].quota;
        self.tallies[tenant].count(quota, self.now);
        let clock = self.clock(node);
        let name = self.tenants[tenant].name.clone();
        self.nodes[node].policy.on_request(&name, quota, clock);
        self.waiting.push(Waiting {
            node,
            tenant,
            since: self.now,
        });
    }

    fn serve_waiting(&mut self) {
        for w in std::mem::take(&mut self.waiting) {
            if self.nodes[w.node].frozen {
                self.waiting.push(w);
                continue;
            }
            self.refresh(w.node);
            let (clock, linked) = (self.clock(w.node), &self.linked[w.node]);
            let tenant = &self.tenants[w.tenant];
            let policy = &mut self.nodes[w.node].policy;
            match policy.take(&tenant.name, tenant.quota, |h| linked[index(h)], clock) {
                Verdict::Granted => {
                    let delay = self.rng.random_range(0..=self.run_delay_ms);
                    let tally = &mut self.tallies[w.tenant];
                    tally.runs.push(self.now + delay);
                    tally.granted += 1;
                }
                Verdict::Wait if self.now < w.since + MAX_WAIT_MS => {
                    self.nodes[w.node].poll_at = self.now;
                    self.waiting.push(w);
                }
                Verdict::Wait => {
                    policy.refuse(&tenant.name, clock);
                }
                Verdict::Refused(after) => assert!(after <= Duration::from_secs(5)),
            }
        }
    }

    /// Fails if a window has more runs than the quota of a tenant allows. Returns the fullest window of each tenant,
    /// relative to the bound.
    pub fn check_windows(&mut self) -> Vec<f64> {
        let bounds: Vec<f64> = self
            .tenants
            .iter()
            .map(|t| t.quota.bound(&BOUNDS))
            .collect();
        let names: Vec<_> = self.tenants.iter().map(|t| t.name.clone()).collect();
        let check = self.tallies.iter_mut().zip(bounds).zip(names);
        check
            .map(|((tally, bound), name)| {
                let most = tally.fullest_window();
                assert!(
                    most as f64 <= bound,
                    "{name}: {most} in a window, allowed {bound}"
                );
                most as f64 / bound
            })
            .collect()
    }

    /// Part of the requests within the quotas that ran, since the last call of [`Sim::forget_counts`]: those that a single
    /// bucket for all nodes would have allowed. Other requests that ran in their place count as them.
    pub fn granted(&self) -> f64 {
        let ran: u64 = self.tallies.iter().map(|t| t.granted.min(t.in_quota)).sum();
        let allowed: u64 = self.tallies.iter().map(|t| t.in_quota).sum();
        ran as f64 / allowed.max(1) as f64
    }

    /// The tenant of which the least part ran, among those with at least 20 requests within their quotas.
    pub fn least_granted(&self) -> f64 {
        let many = self.tallies.iter().filter(|t| t.in_quota >= 20);
        let parts = many.map(|t| t.granted.min(t.in_quota) as f64 / t.in_quota as f64);
        parts.fold(1.0, f64::min)
    }

    pub fn forget_counts(&mut self) {
        self.messages = (0, 0);
        for t in &mut self.tallies {
            (t.offered, t.in_quota, t.granted) = (0, 0, 0);
        }
    }
}

impl Tally {
    /// Counts a request.
    fn count(&mut self, quota: Quota, now: u64) {
        let elapsed = (now - self.bucket_at) as f64 / 1000.0;
        self.bucket_at = now;
        self.bucket = (self.bucket + quota.rate * elapsed).min(quota.burst.max(1.0));
        let allowed = self.bucket >= 1.0;
        self.bucket -= f64::from(u8::from(allowed));
        self.offered += 1;
        self.in_quota += u64::from(allowed);
    }

    /// Greatest number of runs in any window.
    pub fn fullest_window(&mut self) -> usize {
        self.runs.sort_unstable();
        let window = BOUNDS.window.as_millis() as u64;
        let mut first = 0;
        let mut most = 0;
        for (i, at) in self.runs.iter().enumerate() {
            while self.runs[first] + window < *at {
                first += 1;
            }
            most = most.max(i + 1 - first);
        }
        most
    }
}

/// Number of a node, from its id.
fn index(id: &SmolStr) -> usize {
    id[1..].parse().unwrap()
}

fn at(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Tenants whose usual demand falls as 1/n^1.2 and is `used` of their quota. Their callers are spread over nodes: one node
/// for the small ones, most for the large ones.
pub fn zipf(tenants: usize, nodes: usize, total: f64, used: f64, seed: u64) -> Vec<Tenant> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let weight = |i: usize| 1.0 / ((i + 1) as f64).powf(1.2);
    let sum: f64 = (0..tenants).map(weight).sum();
    let make = |i: usize| {
        let demand = total * weight(i) / sum;
        // Connections in proportion to the demand, eleven per node, one to three for small tenants.
        let wanted = (11.0 * nodes as f64 * weight(i) / sum).ceil() as usize;
        let count = wanted.max(rng.random_range(1..=3)).min(nodes);
        let mut at: Vec<usize> = (0..nodes).collect();
        for k in 0..count {
            let other = rng.random_range(k..nodes);
            at.swap(k, other);
        }
        let rate = demand / used;
        Tenant {
            name: format!("t{i}").into(),
            quota: Quota::new(rate, rate).unwrap(),
            arrivals: at[..count]
                .iter()
                .map(|n| (*n, demand / count as f64))
                .collect(),
        }
    };
    (0..tenants).map(make).collect()
}
