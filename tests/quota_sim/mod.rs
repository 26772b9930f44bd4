//! Simulation of the quotas of many nodes on a network that delays, loses and repeats messages. Needs no network and no
//! wall-clock time; all randomness comes from a seed.
#![allow(dead_code, unreachable_pub)]

mod faults;
mod network;
mod tenants;

use std::collections::VecDeque;
use std::time::Duration;

use dragonflyquay::sidecar::process::quota::limits::QuotaBounds;
use dragonflyquay::sidecar::process::quota::policy::Quotas;
use dragonflyquay::sidecar::process::quota::Verdict;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;

use network::{Body, Packet};
use tenants::Tally;
pub use tenants::{zipf, Tenant};

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
    /// Whether it was refused before.
    again: bool,
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
    /// Whether refused requests come again once, at the time that they were told.
    pub retries: bool,
    /// Requests that came again, and those of them that ran.
    pub again: (u64, u64),
    refused: Vec<(u64, usize, usize)>,
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
            retries: false,
            again: (0, 0),
            refused: Vec::new(),
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

    fn clock(&self, i: usize) -> Duration {
        let n = &self.nodes[i];
        at(n.offset + self.now as f64 * n.speed)
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
        let now = self.now;
        let due = self.refused.extract_if(.., |r| r.0 <= now);
        for (_, node, tenant) in due.collect::<Vec<_>>() {
            self.arrive_at(node, tenant, true);
        }
        for t in 0..self.tenants.len() {
            for (node, rate) in self.tenants[t].arrivals.clone() {
                let mean = rate * STEP_MS as f64 / 1000.0;
                let count = mean.floor() as u64 + u64::from(self.rng.random_bool(mean.fract()));
                for _ in 0..count {
                    self.arrive_at(node, t, false);
                }
            }
        }
    }

    fn arrive_at(&mut self, node: usize, tenant: usize, again: bool) {
        // Callers of a node that is down go to others.
        let up = |i: &usize| self.nodes[*i].up;
        let count = self.nodes.len();
        let Some(node) = (0..count).map(|k| (node + k) % count).find(up) else {
            return;
        };
        let quota = self.tenants[tenant].quota;
        match again {
            true => self.again.0 += 1,
            false => self.tallies[tenant].count(quota, self.now),
        }
        let clock = self.clock(node);
        let name = self.tenants[tenant].name.clone();
        self.nodes[node].policy.on_request(&name, quota, clock);
        self.waiting.push(Waiting {
            node,
            tenant,
            since: self.now,
            again,
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
                    self.again.1 += u64::from(w.again);
                }
                Verdict::Wait if self.now < w.since + MAX_WAIT_MS => {
                    self.nodes[w.node].poll_at = self.now;
                    self.waiting.push(w);
                }
                Verdict::Wait => {
                    let after = policy.refuse(&tenant.name, clock);
                    self.refuse(&w, after);
                }
                Verdict::Refused(after) => self.refuse(&w, after),
            }
        }
    }

    fn refuse(&mut self, w: &Waiting, after: Duration) {
        assert!(after <= Duration::from_secs(5));
        if self.retries && !w.again {
            let at = self.now + after.as_millis() as u64;
            self.refused.push((at, w.node, w.tenant));
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

/// Number of a node, from its id.
fn index(id: &SmolStr) -> usize {
    id[1..].parse().unwrap()
}

fn at(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
