//! Watchers of the store's head: two leased nodes in each availability zone. All others learn from peers.

use std::net::SocketAddr;

use rand::rngs::StdRng;

use crate::connection::frame::Liveness;
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::backoff::{jitter, with_jitter, Backoff};
use crate::process::members::table::MemberTable;
use crate::store::{LeaseId, Revision};

/// Watchers of each zone.
pub const WATCHERS: usize = 2;
/// Time to live of a watcher's lease.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Longest wait of one watch call.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Addresses kept in the store for the first contact of new nodes, in each zone.
pub const RENDEZVOUS: usize = 8;
/// Interval in which a lease is kept alive; two calls may fail before it expires.
const KEEP: Duration = Duration::from_secs(3);
/// Interval in which a watcher checks the rendezvous list.
const ENLIST: Duration = Duration::from_secs(30);
/// Interval in which a node looks whether its zone lacks a watcher; this needs no store call.
const VACANCY: Duration = Duration::from_secs(2);
/// Head start of each pair of candidates over the next one.
const RANK_DELAY: Duration = Duration::from_secs(3);
/// Time with a link after which the zone's records are known.
const SETTLE: Duration = Duration::from_millis(1500);
/// Bound of the first delay before a store call by a node without links. With 8,100 nodes started at once, the store
/// gets about 800 reads/s, under half of what it takes.
const ALONE: Duration = Duration::from_secs(10);
/// The same for a node without any seed, which is the first one of a site or relies on the store.
const UNSEEDED: Duration = Duration::from_secs(1);

/// A store call that the owner of the state machine has to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Take a free slot `watch/<az>/<slot>` with a lease of [`LEASE_TTL`].
    Claim,
    /// Keep a lease alive.
    Keep(LeaseId),
    /// Read the head, and its content when it is newer than the version in force.
    Head,
    /// Wait for a change of the head after a revision.
    Wait(Revision),
    /// Publish the version in force again.
    Republish,
    /// Read the rendezvous lists of all zones.
    Rendezvous,
    /// Correct the rendezvous list of the own zone.
    Enlist,
}

/// Result of a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// `None` when all slots are taken.
    Claim(Option<LeaseId>),
    /// `false` when the lease has expired.
    Keep(bool),
    /// Revision of the head, and whether the held version has to be published again.
    Head(Revision, bool),
    /// Revision to wait from, and whether the head changed.
    Wait(Revision, bool),
    /// Finished, whoever published.
    Republish,
    /// Finished; the addresses are for the membership.
    Rendezvous,
    /// Finished.
    Enlist,
}

/// What the state machine has to know of its zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Scene {
    /// Other watchers of the own zone.
    pub watchers: usize,
    /// Place of this node among the candidates of its zone.
    pub rank: usize,
}

/// Describes the zone of a node. Candidates are ordered by a hash of their ids, which needs no agreement.
pub fn scene(table: &MemberTable, node: &NodeId, az: &Az) -> Scene {
    let zone = || {
        let members = table.members().values();
        members.filter(|m| {
            m.record.az == *az && m.liveness == Liveness::Alive && m.record.node != *node
        })
    };
    let order = |n: &NodeId| Digest::of(n.as_bytes()).short();
    let before = |n: &NodeId| order(n) < order(node);
    Scene {
        watchers: zone().filter(|m| m.record.watcher).count(),
        rank: zone()
            .filter(|m| !m.record.watcher && before(&m.record.node))
            .count(),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    /// The next call is due at this time.
    Due(Now),
    /// A call is under way.
    Busy,
}

/// State of the watcher role of one node.
#[derive(Debug)]
pub struct Watch {
    lease: Option<LeaseId>,
    lease_lane: Lane,
    lease_backoff: Backoff,
    head_lane: Lane,
    head_backoff: Backoff,
    /// Next call about the head.
    head_call: Call,
    list_lane: Lane,
    list_backoff: Backoff,
    vacant: Option<Now>,
    linked: Option<Now>,
    alone_until: Now,
}

impl Watch {
    /// Starts as no watcher.
    pub fn new(now: Now, has_seeds: bool, rng: &mut StdRng) -> Self {
        // Peers are asked first: a node that has seeds waits before it calls the store.
        let alone = match has_seeds {
            true => SETTLE + jitter(ALONE, rng),
            false => jitter(UNSEEDED, rng),
        };
        Self {
            lease: None,
            lease_lane: Lane::Due(now),
            lease_backoff: Backoff::default(),
            head_lane: Lane::Due(now),
            head_backoff: Backoff::default(),
            head_call: Call::Head,
            list_lane: Lane::Due(now + alone),
            list_backoff: Backoff::default(),
            vacant: None,
            linked: None,
            alone_until: now + alone,
        }
    }

    /// Whether this node holds a lease.
    pub fn is_watcher(&self) -> bool {
        self.lease.is_some()
    }

    /// Applies the passage of time.
    ///
    /// `zone` describes the own zone; it is called only when the answer matters, because it looks at the whole table.
    pub fn tick<F>(&mut self, now: Now, links: usize, zone: F, rng: &mut StdRng) -> Vec<Call>
    where
        F: FnOnce() -> Scene,
    {
        self.linked = match links {
            0 => None,
            _ => self.linked.or(Some(now)),
        };
        let mut out = Vec::new();
        if is_due(self.lease_lane, now) {
            out.extend(self.lease_call(now, zone, rng));
        }
        if is_due(self.head_lane, now) && self.lease.is_some() {
            self.head_lane = Lane::Busy;
            out.push(self.head_call.clone());
        }
        if is_due(self.list_lane, now) {
            out.extend(self.list_call(now, links, rng));
        }
        out
    }

    fn lease_call<F>(&mut self, now: Now, zone: F, rng: &mut StdRng) -> Option<Call>
    where
        F: FnOnce() -> Scene,
    {
        if let Some(id) = self.lease {
            self.lease_lane = Lane::Busy;
            return Some(Call::Keep(id));
        }
        let settled = match self.linked {
            Some(t) => t + SETTLE <= now,
            None => self.alone_until <= now,
        };
        let scene = match settled {
            true => zone(),
            false => Scene::default(),
        };
        if !settled || scene.watchers >= WATCHERS {
            self.vacant = None;
            self.lease_lane = Lane::Due(now + with_jitter(VACANCY, rng) / 4);
            return None;
        }
        let since = *self.vacant.get_or_insert(now);
        let delay = RANK_DELAY * (scene.rank / WATCHERS).min(100) as u32;
        match since + delay <= now {
            true => {
                self.lease_lane = Lane::Busy;
                Some(Call::Claim)
            }
            false => {
                self.lease_lane = Lane::Due(now + with_jitter(VACANCY, rng) / 4);
                None
            }
        }
    }

    fn list_call(&mut self, now: Now, links: usize, rng: &mut StdRng) -> Option<Call> {
        let call = match (self.lease, links) {
            (Some(_), _) => Call::Enlist,
            (None, 0) => Call::Rendezvous,
            (None, _) => {
                self.list_lane = Lane::Due(now + with_jitter(VACANCY, rng));
                return None;
            }
        };
        self.list_lane = Lane::Busy;
        Some(call)
    }

    /// Takes the result of a call.
    pub fn done(&mut self, now: Now, reply: Reply, rng: &mut StdRng) {
        match reply {
            Reply::Claim(Some(id)) => {
                self.lease = Some(id);
                self.vacant = None;
                self.lease_backoff.reset();
                self.lease_lane = Lane::Due(now + KEEP);
                if self.head_lane != Lane::Busy {
                    self.head_lane = Lane::Due(now);
                    self.head_call = Call::Head;
                }
                if self.list_lane != Lane::Busy {
                    self.list_lane = Lane::Due(now);
                }
            }
            Reply::Claim(None) => {
                self.lease_lane = Lane::Due(now + with_jitter(LEASE_TTL / 2, rng))
            }
            Reply::Keep(kept) => {
                self.lease = self.lease.filter(|_| kept);
                self.lease_backoff.reset();
                self.lease_lane = Lane::Due(now + KEEP);
            }
            Reply::Head(_, true) => self.next_head(now, Call::Republish),
            Reply::Head(r, false) | Reply::Wait(r, false) => self.next_head(now, Call::Wait(r)),
            Reply::Wait(_, true) => self.next_head(now, Call::Head),
            Reply::Republish => {
                // A head that stays behind must not cause calls without a pause.
                self.next_head(now, Call::Head);
                self.head_lane = Lane::Due(now + with_jitter(VACANCY, rng));
            }
            Reply::Rendezvous => {
                let delay = self.list_backoff.record_failure(rng);
                self.list_lane = Lane::Due(now + VACANCY + delay);
            }
            Reply::Enlist => {
                self.list_backoff.reset();
                self.list_lane = Lane::Due(now + with_jitter(ENLIST, rng));
            }
        }
    }

    fn next_head(&mut self, now: Now, call: Call) {
        self.head_backoff.reset();
        self.head_call = call;
        self.head_lane = Lane::Due(now);
    }

    /// Takes the failure of a call.
    pub fn failed(&mut self, now: Now, call: &Call, rng: &mut StdRng) {
        match call {
            Call::Claim | Call::Keep(_) => {
                self.lease_lane = Lane::Due(now + self.lease_backoff.record_failure(rng));
            }
            Call::Head | Call::Wait(_) | Call::Republish => {
                self.head_call = Call::Head;
                self.head_lane = Lane::Due(now + self.head_backoff.record_failure(rng));
            }
            Call::Rendezvous | Call::Enlist => {
                self.list_lane = Lane::Due(now + VACANCY + self.list_backoff.record_failure(rng));
            }
        }
    }
}

fn is_due(lane: Lane, now: Now) -> bool {
    matches!(lane, Lane::Due(t) if t <= now)
}

/// Corrects a rendezvous list: gone nodes leave, this node and others of the zone fill the free places. `None` when
/// the list is right.
pub fn correct_list(
    list: &[SocketAddr],
    own: SocketAddr,
    alive: &[SocketAddr],
) -> Option<Vec<SocketAddr>> {
    let is_alive = |a: &SocketAddr| *a == own || alive.contains(a);
    let mut out: Vec<_> = list.iter().copied().filter(is_alive).collect();
    out.dedup();
    for a in [own].iter().chain(alive) {
        if out.len() < RENDEZVOUS && !out.contains(a) {
            out.push(*a);
        }
    }
    out.truncate(RENDEZVOUS);
    (out != list).then_some(out)
}
