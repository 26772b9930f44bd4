//! Watchers of the store's head: two nodes in each availability zone, chosen by leases in the store. All other nodes
//! get versions from peers.

use std::net::SocketAddr;

use rand::rngs::StdRng;

use crate::connection::frame::Liveness;
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::backoff::{jitter, with_jitter, Backoff};
use crate::process::members::table::MemberTable;
use crate::store::{LeaseId, Revision};

/// Number of watchers in each availability zone.
pub const WATCHERS_PER_AZ: usize = 2;
/// Time to live of the lease of a watcher.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Longest time that one watch call waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Maximum number of addresses in the rendezvous list of an availability zone. A node without links dials them.
pub const MAX_RENDEZVOUS: usize = 8;
/// Interval at which a lease is renewed; two of these calls may fail before it expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a watcher repairs the rendezvous list of its zone.
const RENDEZVOUS_INTERVAL: Duration = Duration::from_secs(30);
/// Base of the intervals at which a node checks whether its zone needs another watcher, which takes no store call, and
/// of the delays between repeated store calls.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Delay of each pair of candidates after the pair before it, so that few nodes claim a free slot at the same time.
const CANDIDATE_DELAY: Duration = Duration::from_secs(3);
/// Time after the first link opened in which a node receives the records of its zone.
const RECORD_SYNC_TIME: Duration = Duration::from_millis(1500);
/// Bound of the random delay before the first store call of a node without links. When 8,100 nodes start at once, the
/// store gets about 800 reads/s, less than half of its capacity.
const MAX_START_DELAY: Duration = Duration::from_secs(10);
/// The same bound for a node without seeds: it is the first node of a site, or it finds its peers through the store.
const MAX_SEEDLESS_DELAY: Duration = Duration::from_secs(1);

/// A store call that the owner of the state machine has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Claim a free slot `watch/<az>/<slot>` with a lease of [`LEASE_TTL`].
    ClaimSlot,
    /// Renew a lease.
    Renew(LeaseId),
    /// Read the head, and its content when it is newer than the version in force.
    ReadHead,
    /// Wait for a change of the head after a revision.
    WatchHead(Revision),
    /// Publish the version in force again.
    Republish,
    /// Read the rendezvous lists of all availability zones.
    ReadRendezvous,
    /// Repair the rendezvous list of the local availability zone.
    RepairRendezvous,
}

/// Result of a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// Lease of the claimed slot; `None` when all slots are taken.
    ClaimSlot(Option<LeaseId>),
    /// `false` when the lease has expired.
    Renew(bool),
    /// Revision to watch the head from, and whether the held version has to be published again.
    ReadHead(Revision, bool),
    /// Revision to watch the head from next, and whether the head changed.
    WatchHead(Revision, bool),
    /// Finished, whether this node or another one published the version.
    Republish,
    /// Finished; the owner passes the addresses to the membership.
    ReadRendezvous,
    /// Finished, whether or not the list needed a change.
    RepairRendezvous,
}

/// State of the local availability zone, as far as the state machine needs it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneState {
    /// Number of other watchers.
    pub watchers: usize,
    /// Number of candidates before this node; 0 for the first one.
    pub position: usize,
}

/// Returns the state of the zone of a node. The candidates are ordered by a hash of their ids, so that all nodes use
/// the same order without communication.
pub fn zone_state(table: &MemberTable, node: &NodeId, az: &Az) -> ZoneState {
    let others = || {
        let members = table.members().values();
        members.filter(|m| {
            m.record.az == *az && m.liveness == Liveness::Alive && m.record.node != *node
        })
    };
    let hash = |n: &NodeId| Digest::of(n.as_bytes()).short();
    let is_before = |n: &NodeId| hash(n) < hash(node);
    ZoneState {
        watchers: others().filter(|m| m.record.watcher).count(),
        position: others()
            .filter(|m| !m.record.watcher && is_before(&m.record.node))
            .count(),
    }
}

/// Schedule of one kind of store calls, which are made one after another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Schedule {
    Due(Now),
    InProgress,
}

/// State of the watcher role of one node.
#[derive(Debug)]
pub struct Watcher {
    lease: Option<LeaseId>,
    lease_schedule: Schedule,
    lease_backoff: Backoff,
    head_schedule: Schedule,
    head_backoff: Backoff,
    /// Next call that reads, watches or publishes the head.
    head_call: Call,
    /// Next call that reads or repairs rendezvous lists.
    list_schedule: Schedule,
    list_backoff: Backoff,
    /// Time since which the zone has had too few watchers.
    vacant_since: Option<Now>,
    /// Time since which this node has had links.
    linked_since: Option<Now>,
    /// Earliest time of a store call by a node without links.
    earliest_call: Now,
}

impl Watcher {
    /// Starts without the watcher role.
    pub fn new(now: Now, has_seeds: bool, rng: &mut StdRng) -> Self {
        // A node with seeds waits for links to them before it calls the store.
        let delay = match has_seeds {
            true => RECORD_SYNC_TIME + jitter(MAX_START_DELAY, rng),
            false => jitter(MAX_SEEDLESS_DELAY, rng),
        };
        Self {
            lease: None,
            lease_schedule: Schedule::Due(now),
            lease_backoff: Backoff::default(),
            head_schedule: Schedule::Due(now),
            head_backoff: Backoff::default(),
            head_call: Call::ReadHead,
            list_schedule: Schedule::Due(now + delay),
            list_backoff: Backoff::default(),
            vacant_since: None,
            linked_since: None,
            earliest_call: now + delay,
        }
    }

    /// Whether this node is a watcher, that is, holds a lease.
    pub fn is_watcher(&self) -> bool {
        self.lease.is_some()
    }

    /// Returns the store calls that are due at `now`.
    ///
    /// `links` is the number of links. `zone` returns the state of the local availability zone. It iterates over
    /// the whole member table, so it is called only when needed.
    pub fn tick<F>(&mut self, now: Now, links: usize, zone: F, rng: &mut StdRng) -> Vec<Call>
    where
        F: FnOnce() -> ZoneState,
    {
        self.linked_since = match links {
            0 => None,
            _ => self.linked_since.or(Some(now)),
        };
        let mut out = Vec::new();
        if is_due(self.lease_schedule, now) {
            out.extend(self.next_lease_call(now, zone, rng));
        }
        if is_due(self.head_schedule, now) && self.lease.is_some() {
            self.head_schedule = Schedule::InProgress;
            out.push(self.head_call.clone());
        }
        if is_due(self.list_schedule, now) {
            out.extend(self.next_list_call(now, links, rng));
        }
        out
    }

    fn next_lease_call<F>(&mut self, now: Now, zone: F, rng: &mut StdRng) -> Option<Call>
    where
        F: FnOnce() -> ZoneState,
    {
        if let Some(id) = self.lease {
            self.lease_schedule = Schedule::InProgress;
            return Some(Call::Renew(id));
        }
        let may_claim = match self.linked_since {
            Some(t) => t + RECORD_SYNC_TIME <= now,
            None => self.earliest_call <= now,
        };
        let state = match may_claim {
            true => zone(),
            false => ZoneState::default(),
        };
        if !may_claim || state.watchers >= WATCHERS_PER_AZ {
            self.vacant_since = None;
            self.lease_schedule = Schedule::Due(now + with_jitter(CHECK_INTERVAL, rng) / 4);
            return None;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let delay = CANDIDATE_DELAY * (state.position / WATCHERS_PER_AZ).min(100) as u32;
        match since + delay <= now {
            true => {
                self.lease_schedule = Schedule::InProgress;
                Some(Call::ClaimSlot)
            }
            false => {
                self.lease_schedule = Schedule::Due(now + with_jitter(CHECK_INTERVAL, rng) / 4);
                None
            }
        }
    }

    fn next_list_call(&mut self, now: Now, links: usize, rng: &mut StdRng) -> Option<Call> {
        let call = match (self.lease, links) {
            (Some(_), _) => Call::RepairRendezvous,
            (None, 0) => Call::ReadRendezvous,
            (None, _) => {
                self.list_schedule = Schedule::Due(now + with_jitter(CHECK_INTERVAL, rng));
                return None;
            }
        };
        self.list_schedule = Schedule::InProgress;
        Some(call)
    }

    /// Handles the result of a call and schedules the next one of its kind.
    pub fn finished(&mut self, now: Now, result: CallResult, rng: &mut StdRng) {
        match result {
            CallResult::ClaimSlot(Some(id)) => {
                self.lease = Some(id);
                self.vacant_since = None;
                self.lease_backoff.reset();
                self.lease_schedule = Schedule::Due(now + RENEW_INTERVAL);
                if self.head_schedule != Schedule::InProgress {
                    self.head_schedule = Schedule::Due(now);
                    self.head_call = Call::ReadHead;
                }
                if self.list_schedule != Schedule::InProgress {
                    self.list_schedule = Schedule::Due(now);
                }
            }
            CallResult::ClaimSlot(None) => {
                self.lease_schedule = Schedule::Due(now + with_jitter(LEASE_TTL / 2, rng))
            }
            CallResult::Renew(kept) => {
                self.lease = self.lease.filter(|_| kept);
                self.lease_backoff.reset();
                self.lease_schedule = Schedule::Due(now + RENEW_INTERVAL);
            }
            CallResult::ReadHead(_, true) => self.schedule_head(now, Call::Republish),
            CallResult::ReadHead(r, false) | CallResult::WatchHead(r, false) => {
                self.schedule_head(now, Call::WatchHead(r))
            }
            CallResult::WatchHead(_, true) => self.schedule_head(now, Call::ReadHead),
            CallResult::Republish => {
                // A head that stays older than the held version must not cause a busy loop of calls.
                self.schedule_head(now, Call::ReadHead);
                self.head_schedule = Schedule::Due(now + with_jitter(CHECK_INTERVAL, rng));
            }
            CallResult::ReadRendezvous => {
                let delay = self.list_backoff.record_failure(rng);
                self.list_schedule = Schedule::Due(now + CHECK_INTERVAL + delay);
            }
            CallResult::RepairRendezvous => {
                self.list_backoff.reset();
                self.list_schedule = Schedule::Due(now + with_jitter(RENDEZVOUS_INTERVAL, rng));
            }
        }
    }

    fn schedule_head(&mut self, now: Now, call: Call) {
        self.head_backoff.reset();
        self.head_call = call;
        self.head_schedule = Schedule::Due(now);
    }

    /// Handles the failure of a call; the next one of its kind follows after a back-off.
    pub fn failed(&mut self, now: Now, call: &Call, rng: &mut StdRng) {
        match call {
            Call::ClaimSlot | Call::Renew(_) => {
                self.lease_schedule = Schedule::Due(now + self.lease_backoff.record_failure(rng));
            }
            Call::ReadHead | Call::WatchHead(_) | Call::Republish => {
                self.head_call = Call::ReadHead;
                self.head_schedule = Schedule::Due(now + self.head_backoff.record_failure(rng));
            }
            Call::ReadRendezvous | Call::RepairRendezvous => {
                self.list_schedule =
                    Schedule::Due(now + CHECK_INTERVAL + self.list_backoff.record_failure(rng));
            }
        }
    }
}

fn is_due(schedule: Schedule, now: Now) -> bool {
    matches!(schedule, Schedule::Due(t) if t <= now)
}

/// Repairs a rendezvous list: removes addresses that are not alive, and fills up the list with this node and others of
/// the zone. Returns `None` when the list needs no change.
pub fn repaired_list(
    list: &[SocketAddr],
    own: SocketAddr,
    alive: &[SocketAddr],
) -> Option<Vec<SocketAddr>> {
    let is_alive = |a: &SocketAddr| *a == own || alive.contains(a);
    let mut out: Vec<_> = list.iter().copied().filter(is_alive).collect();
    out.dedup();
    for a in [own].iter().chain(alive) {
        if out.len() < MAX_RENDEZVOUS && !out.contains(a) {
            out.push(*a);
        }
    }
    out.truncate(MAX_RENDEZVOUS);
    (out != list).then_some(out)
}
