//! Selection of the nodes to link to: 6 in the local availability zone and 2 in all others together. Also reconnects
//! the parts of a site after a partition.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::connection::frame::{Entry, Frame, Liveness, MAX_ITEMS};
use crate::connection::handshake::Remote;
use crate::connection::peer::LinkError;
use crate::prelude::*;
use crate::process::members::backoff::{jitter, with_jitter, Backoff};
use crate::process::members::table::MemberTable;

/// Id of a link, unique within the process.
pub type LinkId = u64;

/// Number of links that a node opens within its own availability zone.
pub const OWN_ZONE_LINKS: usize = 6;
/// Number of links that a node opens to all other availability zones together.
pub const OTHER_ZONE_LINKS: usize = 2;
/// Largest batch of entries, in bytes.
pub const MAX_BATCH_BYTES: usize = 32 << 10;
/// Largest number of seeds that are dialed at the same time while there is no link.
pub const MAX_SEED_DIALS: usize = 3;
/// Interval of dials to a node that is dead or unreachable, or to a seed that is not a known member. After a partition
/// both parts may have all their links among themselves; only these dials join them again.
const REPAIR_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which a link to another zone is replaced, so that the graph of links becomes random again after a
/// partition.
const ROTATION_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the next dial after a rejected link; an earlier dial would most likely be rejected again.
const REJECTED_DELAY: Duration = Duration::from_secs(10);
/// Shortest time between two suspicions of the same node after failed dials. A node that refutes them is running, and
/// only the network path from this node to it is broken.
const SUSPECT_INTERVAL: Duration = Duration::from_secs(60);
/// Age that a link above the quota reaches before it is closed, so that both sides can exchange their entries first.
const MIN_SURPLUS_AGE: Duration = Duration::from_secs(30);

/// An open link, and the entries that still have to be sent on it.
#[derive(Debug)]
pub struct Link {
    /// Node at the other end.
    pub peer: NodeId,
    /// Incarnation that the peer gave in the handshake.
    pub incarnation: Incarnation,
    /// Availability zone that the peer gave in the handshake.
    pub az: Az,
    /// Whether this node opened the link.
    pub dialed: bool,
    /// Time at which the handshake finished.
    pub opened_at: Now,
    /// Time of the last frame received, or of the end of a pause of this process if that was later.
    pub last_received: Now,
    /// Time of the last frame sent; an idle link gets a ping.
    pub last_sent: Now,
    /// Nodes whose entries still have to be sent.
    pub pending: std::collections::BTreeSet<NodeId>,
}

impl Link {
    /// Removes the next batch from the pending entries. Returns `None` when there are none.
    pub fn take_batch(&mut self, table: &MemberTable) -> Option<Frame> {
        let mut list = Vec::new();
        let mut size = 0;
        while let Some(node) = self.pending.first() {
            let entry = table.entry(node);
            size += entry.as_ref().map_or(0, Entry::size);
            if list.len() == MAX_ITEMS || !list.is_empty() && size > MAX_BATCH_BYTES {
                break;
            }
            list.extend(entry);
            self.pending.pop_first();
        }
        (!list.is_empty()).then_some(Frame::Records(list))
    }
}

/// Results of the dials to one address.
#[derive(Debug, Default)]
struct DialState {
    retry_at: Now,
    backoff: Backoff,
    last_suspicion: Option<Now>,
}

/// Selects the addresses to dial and the links to close.
#[derive(Debug)]
pub struct Dialer {
    az: Az,
    own_address: SocketAddr,
    /// Addresses to dial while there is no link.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of dials in progress, with the availability zone of the node if it is known.
    dials: BTreeMap<SocketAddr, Option<Az>>,
    dial_states: BTreeMap<SocketAddr, DialState>,
    next_repair: Now,
    next_rotation: Now,
}

/// Counts links by availability zone: those to the local zone and those to all others.
fn count_by_zone<'a, I>(own: &Az, zones: I) -> (usize, usize)
where
    I: Iterator<Item = &'a Az>,
{
    zones.fold((0, 0), |(same, other), az| match az == own {
        true => (same + 1, other),
        false => (same, other + 1),
    })
}

/// Decides between a new link and an open one to the same node. Returns whether to keep the new link, and the link that
/// it replaces. `is_dialer` is true if this node opened the new link.
pub fn resolve_duplicate(
    links: &BTreeMap<LinkId, Link>,
    own: &NodeId,
    remote: &Remote,
    is_dialer: bool,
) -> (bool, Option<LinkId>) {
    let duplicate = links.iter().find(|(_, l)| l.peer == remote.node);
    // When both nodes opened a link at the same time, both keep the one opened by the node with the smaller id.
    let own_is_smaller = *own < remote.node;
    match duplicate {
        _ if remote.node == *own => (false, None),
        Some((_, l))
            if l.incarnation == remote.incarnation
                && l.dialed != is_dialer
                && l.dialed == own_is_smaller =>
        {
            (false, None)
        }
        Some((id, _)) => (true, Some(*id)),
        None => (true, None),
    }
}

impl Dialer {
    /// Creates a dialer without links. `own_address` is the address of this node's listener, which is never dialed.
    pub fn new(az: Az, own_address: SocketAddr, seeds: Vec<SocketAddr>, rng: &mut StdRng) -> Self {
        Self {
            az,
            own_address,
            seeds,
            dials: BTreeMap::new(),
            dial_states: BTreeMap::new(),
            next_repair: jitter(REPAIR_INTERVAL, rng),
            next_rotation: with_jitter(ROTATION_INTERVAL, rng),
        }
    }

    /// Selects the addresses to dial now and records them as being dialed.
    pub fn choose(
        &mut self,
        now: Now,
        table: &MemberTable,
        links: &BTreeMap<LinkId, Link>,
        rng: &mut StdRng,
    ) -> Vec<SocketAddr> {
        let mut out = Vec::new();
        if links.is_empty() && self.dials.is_empty() {
            out.extend(self.pick_seeds(now, MAX_SEED_DIALS, rng));
        }
        let dialed = links.values().filter(|l| l.dialed).map(|l| &l.az);
        let (same, other) = count_by_zone(&self.az, dialed.chain(self.dials.values().flatten()));
        let alive = |l: Liveness| l == Liveness::Alive;
        let n = OWN_ZONE_LINKS.saturating_sub(same);
        out.extend(self.pick_members(now, table, links, n, rng, |own, l| own && alive(l)));
        let n = OTHER_ZONE_LINKS.saturating_sub(other);
        let found = self.pick_members(now, table, links, n, rng, |own, l| !own && alive(l));
        let missing = n - found.len();
        out.extend(found);
        let unreachable = |own: bool, l: Liveness| !own && l == Liveness::Unreachable;
        out.extend(self.pick_members(now, table, links, missing, rng, unreachable));
        if self.next_repair <= now {
            self.next_repair = now + with_jitter(REPAIR_INTERVAL, rng);
            out.extend(self.pick_repair(now, table, links, rng));
        }
        out
    }

    fn may_dial(&self, now: Now, a: &SocketAddr) -> bool {
        *a != self.own_address
            && !self.dials.contains_key(a)
            && self.dial_states.get(a).is_none_or(|s| s.retry_at <= now)
    }

    fn pick_seeds(&mut self, now: Now, n: usize, rng: &mut StdRng) -> Vec<SocketAddr> {
        let available = self.seeds.iter().filter(|a| self.may_dial(now, a));
        let found: Vec<_> = available.copied().sample(rng, n);
        found.iter().for_each(|a| drop(self.dials.insert(*a, None)));
        found
    }

    fn pick_members<F>(
        &mut self,
        now: Now,
        table: &MemberTable,
        links: &BTreeMap<LinkId, Link>,
        n: usize,
        rng: &mut StdRng,
        accepts: F,
    ) -> Vec<SocketAddr>
    where
        F: Fn(bool, Liveness) -> bool,
    {
        if n == 0 {
            return Vec::new();
        }
        let linked: HashSet<_> = links.values().map(|l| &l.peer).collect();
        let found = table
            .members()
            .values()
            .filter(|m| accepts(m.record.az == self.az, m.liveness))
            .filter(|m| !linked.contains(&m.record.node))
            .map(|m| (m.record.addresses.peer, m.record.az.clone()))
            .filter(|(a, _)| self.may_dial(now, a))
            .sample(rng, n);
        let addresses = found.iter().map(|(a, _)| *a).collect();
        self.dials
            .extend(found.into_iter().map(|(a, az)| (a, Some(az))));
        addresses
    }

    fn pick_repair(
        &mut self,
        now: Now,
        table: &MemberTable,
        links: &BTreeMap<LinkId, Link>,
        rng: &mut StdRng,
    ) -> Option<SocketAddr> {
        let dead_or_unreachable = |_, l: Liveness| l.is_dead() || l == Liveness::Unreachable;
        let members: HashSet<_> = table
            .members()
            .values()
            .filter(|m| m.liveness == Liveness::Alive)
            .map(|m| m.record.addresses.peer)
            .collect();
        let seeds = self.seeds.iter().copied();
        let non_members: Vec<_> = seeds
            .filter(|a| !members.contains(a) && self.may_dial(now, a))
            .collect();
        let mut found = self.pick_members(now, table, links, 1, rng, dead_or_unreachable);
        match (non_members.choose(rng), found.pop()) {
            (Some(a), None) => {
                self.dials.insert(*a, None);
                Some(*a)
            }
            (_, other) => other,
        }
    }

    /// Records a dial to an address that [`Self::choose`] did not select. Returns `false` if it is this node's address
    /// or is being dialed already.
    pub fn mark_dialing(&mut self, address: SocketAddr, az: &Az) -> bool {
        let is_free = address != self.own_address && !self.dials.contains_key(&address);
        if is_free {
            self.dials.insert(address, Some(az.clone()));
        }
        is_free
    }

    /// Records the success of a dial, which resets the back-off of the address.
    pub fn dial_succeeded(&mut self, address: SocketAddr) {
        self.dials.remove(&address);
        if let Some(s) = self.dial_states.get_mut(&address) {
            s.backoff.reset();
        }
    }

    /// Records the failure of a dial. Returns whether it is a reason to suspect the node.
    pub fn dial_failed(
        &mut self,
        now: Now,
        address: SocketAddr,
        error: &LinkError,
        rng: &mut StdRng,
    ) -> bool {
        self.dials.remove(&address);
        self.dial_states.retain(|_, s| {
            s.retry_at + SUSPECT_INTERVAL > now
                || s.last_suspicion.is_some_and(|t| t + SUSPECT_INTERVAL > now)
        });
        let s = self.dial_states.entry(address).or_default();
        let delay = s.backoff.record_failure(rng);
        match error {
            LinkError::Busy(wait) => {
                s.retry_at = now + *wait + delay;
                false
            }
            LinkError::Rejected(_) | LinkError::Invalid(_) => {
                s.retry_at = now + REJECTED_DELAY + delay;
                false
            }
            _ => {
                s.retry_at = now + delay;
                let suspect = s.last_suspicion.is_none_or(|t| t + SUSPECT_INTERVAL <= now);
                if suspect {
                    s.last_suspicion = Some(now);
                }
                suspect
            }
        }
    }

    /// Selects a link to close: one above the quota, or at the rotation interval one to another zone, which is then
    /// replaced.
    pub fn choose_surplus(
        &mut self,
        now: Now,
        links: &BTreeMap<LinkId, Link>,
        rng: &mut StdRng,
    ) -> Option<LinkId> {
        let dialed = || links.iter().filter(|(_, l)| l.dialed);
        let (same, other) = count_by_zone(&self.az, dialed().map(|(_, l)| &l.az));
        let rotate = self.next_rotation <= now;
        if rotate {
            self.next_rotation = now + with_jitter(ROTATION_INTERVAL, rng);
        }
        // Closes the oldest link, because a younger one may be the only link between two parts that were partitioned.
        let oldest = |own: bool| {
            dialed()
                .filter(|(_, l)| (l.az == self.az) == own && l.opened_at + MIN_SURPLUS_AGE <= now)
                .min_by_key(|(_, l)| l.opened_at)
                .map(|(id, _)| *id)
        };
        match (same > OWN_ZONE_LINKS, other > OTHER_ZONE_LINKS) {
            (_, true) => oldest(false),
            (true, _) => oldest(true),
            _ if rotate && other == OTHER_ZONE_LINKS => oldest(false),
            _ => None,
        }
    }
}
