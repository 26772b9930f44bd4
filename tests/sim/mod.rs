//! Discrete event simulation of the state machines of the control plane, in simulated time: links with faults, a store,
//! crashes, pauses and partitions. All times are in milliseconds since the start of the simulation.
#![allow(dead_code, unreachable_pub)]

mod actions;
mod faults;
mod links;
mod queries;
mod store;

pub use faults::Fault;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dragonflyquay::connection::frame::{Frame, Liveness};
use dragonflyquay::connection::handshake::Remote;
use dragonflyquay::connection::peer::LinkError;
use dragonflyquay::digest::Digest;
use dragonflyquay::process::members::links::LinkId;
use dragonflyquay::process::members::membership::{self, Membership};
use dragonflyquay::process::members::record::{Addresses, Record};
use dragonflyquay::process::versions::dissemination::{self, Dissemination};
use dragonflyquay::process::versions::watch::{
    self, Call, CallResult, Watcher, LEASE_TTL, WATCHERS_PER_AZ, WATCH_WAIT,
};
use dragonflyquay::store::{Era, LeaseId, Revision};
use dragonflyquay::version::adopt::{AdoptSettings, FloorEvent, HeadAction};
use dragonflyquay::version::manifest::{Manifest, Service};
use dragonflyquay::version::snapshot::{canonical, Snapshot, VersionRef};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK_MS: u64 = 100;

enum Event {
    /// Node and its generation.
    Tick(usize, u64),
    /// Connection, receiving end, and the encoded frame.
    Frame(usize, usize, Vec<u8>),
    /// Connection and the end that learns of it.
    LinkDown(usize, usize),
    /// Node, its generation, address, and whether the connection is refused.
    Dialed(usize, u64, SocketAddr, bool),
    /// Node, its generation, call, and the time until which the call may wait.
    Store(usize, u64, Call, u64),
    Restart(usize),
    Fault(Fault),
}

struct Conn {
    /// Node, its generation and its id of the link, for each end.
    ends: [(usize, u64, LinkId); 2],
    open: bool,
}

struct Process {
    membership: Membership,
    dissemination: Dissemination,
    watcher: Watcher,
    rng: StdRng,
    /// Connection and this node's end of it, by link.
    links: BTreeMap<LinkId, (usize, usize)>,
    started_at: u64,
}

struct Node {
    process: Option<Process>,
    /// Number of starts and crashes; tells events of an earlier process apart.
    generation: u64,
    paused_until: u64,
    /// Version of the floor token that the backend server of the node holds.
    token: VersionRef,
}

#[derive(Default)]
struct SimStore {
    down_until: u64,
    /// Number of the version that is the head; 0 if there is none.
    head: usize,
    revision: u64,
    /// Lease id and its end, by zone and watcher slot.
    slots: BTreeMap<(usize, usize), (u64, u64)>,
    next_lease: u64,
    rendezvous: Vec<SocketAddr>,
}

/// A simulated site: `size` nodes in each of `zones` availability zones.
pub struct Sim {
    pub now: u64,
    pub sent_bytes: u64,
    pub store_calls: u64,
    zones: usize,
    nodes: Vec<Node>,
    conns: Vec<Conn>,
    /// Keys of `events`, earliest first: time and sequence number.
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    rng: StdRng,
    store: SimStore,
    versions: Vec<Arc<Snapshot>>,
    /// End of the partition, by zone.
    partitions: BTreeMap<usize, u64>,
    /// Percentage of lost frames, and the end of the loss.
    packet_loss: (u32, u64),
    seeds: Vec<SocketAddr>,
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(node: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + node as u16).into()
}

fn version(number: u64, parent: Digest) -> Arc<Snapshot> {
    let names = (0..number).map(|i| Service {
        name: format!("service-{i}").into(),
    });
    let manifest = Manifest {
        site: "sim".into(),
        service: names.collect(),
        ..Manifest::default()
    };
    let content = canonical(&manifest);
    let hash = Digest::of(&content);
    Arc::new(Snapshot::decode(VersionRef { number, hash }, parent, content).unwrap())
}

impl Sim {
    pub fn new(zones: usize, size: usize, seed: u64) -> Self {
        let mut sim = Self {
            now: 0,
            sent_bytes: 0,
            store_calls: 0,
            zones,
            nodes: Vec::new(),
            conns: Vec::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            store: SimStore::default(),
            versions: Vec::new(),
            partitions: BTreeMap::new(),
            packet_loss: (0, 0),
            seeds: vec![address(0), address(1)],
        };
        for n in 0..zones * size {
            sim.nodes.push(Node {
                process: None,
                generation: 0,
                paused_until: 0,
                token: VersionRef::default(),
            });
            sim.start(n);
        }
        sim
    }

    fn push(&mut self, delay: u64, e: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.heap.push(Reverse(key));
        self.events.insert(key, e);
    }

    fn zone(&self, node: usize) -> usize {
        node % self.zones
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.zone(a), self.zone(b));
        let partitioned = |z| self.partitions.get(&z).is_some_and(|t| *t > self.now);
        a != b && (partitioned(a) || partitioned(b))
    }

    fn start(&mut self, n: usize) {
        let az = format!("z{}", self.zone(n));
        let node = &mut self.nodes[n];
        node.generation += 1;
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        let a = address(n);
        let own = Record {
            node: format!("n{n}").into(),
            incarnation: node.generation,
            sequence: 0,
            az: az.into(),
            region: "sim".into(),
            addresses: Addresses {
                caller: a,
                relay: a,
                peer: a,
                admin: a,
            },
            version: VersionRef::default(),
            watcher: false,
            target: None,
        };
        let now = millis(self.now);
        let mut dissemination = Dissemination::new(AdoptSettings::default(), 2, now, &mut rng);
        dissemination.update_floor(FloorEvent::Backend(
            Some(node.token).filter(|v| v.number > 0),
        ));
        node.process = Some(Process {
            membership: Membership::new(now, own, self.seeds.clone(), &mut rng),
            dissemination,
            watcher: Watcher::new(now, true, &mut rng),
            rng,
            links: BTreeMap::new(),
            started_at: self.now,
        });
        let generation = node.generation;
        let delay = self.rng.random_range(0..TICK_MS);
        self.push(delay, Event::Tick(n, generation));
    }

    /// Runs until `ms` of simulated time have passed.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(Reverse(key)) = self.heap.peek().copied() {
            if key.0 > end {
                break;
            }
            self.heap.pop();
            self.now = key.0;
            if let Some(e) = self.events.remove(&key) {
                self.handle_event(e);
            }
        }
        self.now = end;
    }

    /// Time until a paused node resumes, in milliseconds.
    fn remaining_pause(&self, n: usize) -> u64 {
        self.nodes[n].paused_until.saturating_sub(self.now)
    }

    fn handle_event(&mut self, e: Event) {
        let node = match &e {
            Event::Tick(n, _) | Event::Dialed(n, ..) | Event::Store(n, ..) => Some(*n),
            Event::Frame(c, end, _) | Event::LinkDown(c, end) => Some(self.conns[*c].ends[*end].0),
            _ => None,
        };
        if let Some(wait) = node.map(|n| self.remaining_pause(n)).filter(|w| *w > 0) {
            return self.push(wait, e);
        }
        match e {
            Event::Tick(n, generation) => self.tick(n, generation),
            Event::Frame(c, end, data) => self.deliver(c, end, &data),
            Event::LinkDown(c, end) => {
                let (n, generation, link) = self.conns[c].ends[end];
                self.step_node(n, generation, |p, now| {
                    p.links.remove(&link);
                    let out = p.membership.link_down(link);
                    (out, p.dissemination.link_down(now, link))
                });
            }
            Event::Dialed(n, generation, to, refused) => self.end_dial(n, generation, to, refused),
            Event::Store(n, generation, call, until) => self.store_call(n, generation, call, until),
            Event::Restart(n) => self.start(n),
            Event::Fault(f) => self.apply_fault(f),
        }
    }

    /// Runs one step of the state machines of a node and carries out the resulting actions.
    fn step_node<F>(&mut self, n: usize, generation: u64, step: F)
    where
        F: FnOnce(&mut Process, Duration) -> (Vec<membership::Action>, Vec<dissemination::Action>),
    {
        let now = millis(self.now);
        if self.nodes[n].generation != generation {
            return;
        }
        let Some(p) = self.nodes[n].process.as_mut() else {
            return;
        };
        let (members, versions) = step(p, now);
        self.apply(n, generation, members, versions);
        self.update_own_record(n);
    }

    fn update_own_record(&mut self, n: usize) {
        let token = self.nodes[n].token;
        if let Some(p) = self.nodes[n].process.as_mut() {
            let mut own = p.membership.own().clone();
            own.watcher = p.watcher.is_watcher();
            own.version = match p.dissemination.held().number {
                0 => own.version,
                _ => token,
            };
            p.membership.set_own(millis(self.now), own);
        }
    }

    fn tick(&mut self, n: usize, generation: u64) {
        if self.nodes[n].generation != generation {
            return;
        }
        self.push(TICK_MS, Event::Tick(n, generation));
        let mut calls = Vec::new();
        self.step_node(n, generation, |p, now| {
            let out = p.membership.tick(now, &mut p.rng);
            let own = p.membership.own();
            let links = p.membership.links().len();
            let zone = || watch::zone_state(p.membership.table(), &own.node, &own.az);
            calls = p.watcher.tick(now, links, zone, &mut p.rng);
            (out, p.dissemination.tick(now, &mut p.rng))
        });
        for call in calls {
            let until = self.now + WATCH_WAIT.as_millis() as u64;
            self.store_calls += 1;
            self.push(5, Event::Store(n, generation, call, until));
        }
    }
}
