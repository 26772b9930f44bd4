//! Scheduler for the state machines of the control plane: simulated time, links with faults, crashes, pauses,
//! partitions and a store.
#![allow(dead_code, unreachable_pub)]

mod links;
mod queries;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dragonflyquay::connection::frame::{Frame, Mark};
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
use dragonflyquay::version::adopt::{AdoptSettings, FloorEvent, HeadAction};
use dragonflyquay::version::manifest::{Manifest, Service};
use dragonflyquay::version::snapshot::{canonical, Snapshot, VersionRef};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK: u64 = 100;

/// Something that goes wrong, at a node or zone given by number.
#[derive(Debug, Clone)]
pub enum Fault {
    Crash {
        node: usize,
        down: u64,
    },
    Pause {
        node: usize,
        time: u64,
    },
    Cut {
        zone: usize,
        time: u64,
    },
    StoreDown {
        time: u64,
    },
    /// The store returns to an older state.
    Rollback,
    Commit,
    Lossy {
        percent: u32,
        time: u64,
    },
}

enum Event {
    Tick(usize, u64),
    Frame(usize, usize, Vec<u8>),
    Down(usize, usize),
    Dialed(usize, u64, SocketAddr, bool),
    Store(usize, u64, Call, u64),
    Restart(usize),
    Fault(Fault),
}

struct Conn {
    ends: [(usize, u64, LinkId); 2],
    open: bool,
}

struct Proc {
    membership: Membership,
    spread: Dissemination,
    watch: Watcher,
    rng: StdRng,
    links: BTreeMap<LinkId, (usize, usize)>,
    born: u64,
}

struct Node {
    proc: Option<Proc>,
    generation: u64,
    paused: u64,
    /// Version that the node's backend server remembers.
    token: VersionRef,
}

#[derive(Default)]
struct SimStore {
    down_until: u64,
    head: usize,
    revision: u64,
    slots: BTreeMap<(usize, usize), (u64, u64)>,
    next_lease: u64,
    lists: Vec<SocketAddr>,
}

/// A site of `zones` times `size` nodes.
pub struct Sim {
    pub now: u64,
    pub sent_bytes: u64,
    pub store_calls: u64,
    zones: usize,
    nodes: Vec<Node>,
    conns: Vec<Conn>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    rng: StdRng,
    store: SimStore,
    versions: Vec<Arc<Snapshot>>,
    cuts: BTreeMap<usize, u64>,
    lossy: (u32, u64),
    seeds: Vec<SocketAddr>,
}

fn at(ms: u64) -> Duration {
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
            order: 0,
            rng: StdRng::seed_from_u64(seed),
            store: SimStore::default(),
            versions: Vec::new(),
            cuts: BTreeMap::new(),
            lossy: (0, 0),
            seeds: vec![address(0), address(1)],
        };
        for n in 0..zones * size {
            sim.nodes.push(Node {
                proc: None,
                generation: 0,
                paused: 0,
                token: VersionRef::default(),
            });
            sim.start(n);
        }
        sim
    }

    fn push(&mut self, delay: u64, e: Event) {
        self.order += 1;
        let key = (self.now + delay, self.order);
        self.heap.push(Reverse(key));
        self.events.insert(key, e);
    }

    fn zone(&self, node: usize) -> usize {
        node % self.zones
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.zone(a), self.zone(b));
        let cut = |z| self.cuts.get(&z).is_some_and(|t| *t > self.now);
        a != b && (cut(a) || cut(b))
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
        let now = at(self.now);
        let mut spread = Dissemination::new(AdoptSettings::default(), 2, now, &mut rng);
        spread.update_floor(FloorEvent::Backend(
            Some(node.token).filter(|v| v.number > 0),
        ));
        node.proc = Some(Proc {
            membership: Membership::new(now, own, self.seeds.clone(), &mut rng),
            spread,
            watch: Watcher::new(now, true, &mut rng),
            rng,
            links: BTreeMap::new(),
            born: self.now,
        });
        let generation = node.generation;
        let delay = self.rng.random_range(0..TICK);
        self.push(delay, Event::Tick(n, generation));
    }

    pub fn inject(&mut self, delay: u64, fault: Fault) {
        self.push(delay, Event::Fault(fault));
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
                self.event(e);
            }
        }
        self.now = end;
    }

    /// Delay until a paused node goes on.
    fn pause_left(&self, n: usize) -> u64 {
        self.nodes[n].paused.saturating_sub(self.now)
    }

    fn event(&mut self, e: Event) {
        let node = match &e {
            Event::Tick(n, _) | Event::Dialed(n, ..) | Event::Store(n, ..) => Some(*n),
            Event::Frame(c, end, _) | Event::Down(c, end) => Some(self.conns[*c].ends[*end].0),
            _ => None,
        };
        if let Some(wait) = node.map(|n| self.pause_left(n)).filter(|w| *w > 0) {
            return self.push(wait, e);
        }
        match e {
            Event::Tick(n, generation) => self.tick(n, generation),
            Event::Frame(c, end, data) => self.deliver(c, end, &data),
            Event::Down(c, end) => {
                let (n, generation, link) = self.conns[c].ends[end];
                self.with(n, generation, |p, now| {
                    p.links.remove(&link);
                    let out = p.membership.link_down(link);
                    (out, p.spread.link_down(now, link))
                });
            }
            Event::Dialed(n, generation, to, refused) => self.dialed(n, generation, to, refused),
            Event::Store(n, generation, call, until) => self.store(n, generation, call, until),
            Event::Restart(n) => self.start(n),
            Event::Fault(f) => self.fault(f),
        }
    }

    /// Runs a state machine step of a node and carries out its actions.
    fn with<F>(&mut self, n: usize, generation: u64, step: F)
    where
        F: FnOnce(&mut Proc, Duration) -> (Vec<membership::Action>, Vec<dissemination::Action>),
    {
        let now = at(self.now);
        if self.nodes[n].generation != generation {
            return;
        }
        let Some(p) = self.nodes[n].proc.as_mut() else {
            return;
        };
        let (members, versions) = step(p, now);
        self.apply(n, generation, members, versions);
        self.refresh_own(n);
    }

    fn apply(
        &mut self,
        n: usize,
        generation: u64,
        members: Vec<membership::Action>,
        versions: Vec<dissemination::Action>,
    ) {
        let now = at(self.now);
        for a in members {
            match a {
                membership::Action::Send(link, f) => self.send(n, link, &f),
                membership::Action::Dial(to) => {
                    let reachable = self.reachable(n, to);
                    let delay = if reachable { 20 } else { 2000 };
                    let gone = self.nodes[to.port() as usize - 10_000].proc.is_none();
                    let delay = if gone { 5 } else { delay };
                    self.push(delay, Event::Dialed(n, generation, to, gone));
                }
                membership::Action::Close(link) => {
                    self.close(n, link);
                    let p = self.nodes[n].proc.as_mut().unwrap();
                    let out = p.spread.link_down(now, link);
                    self.apply(n, generation, vec![], out);
                }
                membership::Action::Former(v) => {
                    let p = self.nodes[n].proc.as_mut().unwrap();
                    p.spread.update_floor(FloorEvent::Peer(Some(v)));
                }
                membership::Action::Renumbered(_) => {}
            }
        }
        for a in versions {
            match a {
                dissemination::Action::Send(link, f) => self.send(n, link, &f),
                dissemination::Action::Check(c) => {
                    let result = c.check();
                    let p = self.nodes[n].proc.as_mut().unwrap();
                    let out = p.spread.checked(now, &c, result);
                    self.apply(n, generation, vec![], out);
                }
                dissemination::Action::Adopt(s) => {
                    let node = &mut self.nodes[n];
                    // A restarted node may take up its former version again.
                    assert!(
                        s.version == node.token || s.version.number > node.token.number,
                        "n{n} went from {:?} back to {:?}",
                        node.token,
                        s.version
                    );
                    node.token = s.version;
                }
                // A node that was paused or cut off may offer an older version to one that waits after its restart.
                dissemination::Action::Reject("version-below-floor") => {}
                dissemination::Action::Reject(kind) => panic!("n{n} rejected {kind}"),
            }
        }
    }

    fn refresh_own(&mut self, n: usize) {
        let token = self.nodes[n].token;
        if let Some(p) = self.nodes[n].proc.as_mut() {
            let mut own = p.membership.own().clone();
            own.watcher = p.watch.is_watcher();
            own.version = match p.spread.held().number {
                0 => own.version,
                _ => token,
            };
            p.membership.set_own(at(self.now), own);
        }
    }

    fn tick(&mut self, n: usize, generation: u64) {
        if self.nodes[n].generation != generation {
            return;
        }
        self.push(TICK, Event::Tick(n, generation));
        let mut calls = Vec::new();
        self.with(n, generation, |p, now| {
            let out = p.membership.tick(now, &mut p.rng);
            let own = p.membership.own();
            let links = p.membership.links().len();
            let zone = || watch::zone_state(p.membership.table(), &own.node, &own.az);
            calls = p.watch.tick(now, links, zone, &mut p.rng);
            (out, p.spread.tick(now, &mut p.rng))
        });
        for call in calls {
            let until = self.now + WATCH_WAIT.as_millis() as u64;
            self.store_calls += 1;
            self.push(5, Event::Store(n, generation, call, until));
        }
    }

    fn fault(&mut self, f: Fault) {
        match f {
            Fault::Crash { node, down } if self.nodes[node].proc.is_some() => {
                let p = self.nodes[node].proc.take().unwrap();
                self.nodes[node].generation += 1;
                for (c, end) in p.links.into_values() {
                    self.conns[c].open = false;
                    if !self.is_cut(node, self.conns[c].ends[1 - end].0) {
                        self.push(5, Event::Down(c, 1 - end));
                    }
                }
                self.push(down, Event::Restart(node));
            }
            Fault::Pause { node, time } => self.nodes[node].paused = self.now + time,
            Fault::Cut { zone, time } => drop(self.cuts.insert(zone, self.now + time)),
            Fault::StoreDown { time } => self.store.down_until = self.now + time,
            Fault::Lossy { percent, time } => self.lossy = (percent, self.now + time),
            // A version that no node holds yet would be lost with the store.
            Fault::Rollback if 2 * self.holders() > self.nodes.len() => {
                self.store.head = self.store.head.saturating_sub(1);
                self.store.revision += 1;
            }
            // Operators commit on the newest version only; the store may have to be brought up to date first.
            Fault::Commit if self.store.head == self.versions.len() => {
                let parent = self
                    .versions
                    .last()
                    .map_or_else(Digest::default, |s| s.version.hash);
                self.versions
                    .push(version(self.versions.len() as u64 + 1, parent));
                self.store.head += 1;
                self.store.revision += 1;
            }
            Fault::Commit | Fault::Crash { .. } | Fault::Rollback => {}
        }
    }
}
