//! Choice of the nodes to link to: 6 in the own availability zone, 2 in all others, and repair of partitions.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::connection::frame::{Entry, Frame, Liveness, MAX_ITEMS};
use crate::connection::handshake::Remote;
use crate::connection::peer::LinkError;
use crate::prelude::*;
use crate::process::members::reconnect::{around, jitter, Backoff};
use crate::process::members::table::Table;

/// Names a link within the process.
pub type LinkId = u64;

/// Links that a node opens to its own zone.
pub const OWN_ZONE: usize = 6;
/// Links that a node opens to all other zones together.
pub const OTHER_ZONES: usize = 2;
/// Largest batch of records, in bytes.
pub const BATCH_BYTES: usize = 32 << 10;
/// Seeds that are contacted at the same time while there is no link.
pub const FIRST_CONTACTS: usize = 3;
/// Interval of attempts to reach a node that counts as gone, or a first contact that is no member: the only way back
/// together for two halves that have filled their links among themselves.
const REPAIR: Duration = Duration::from_secs(10);
/// Interval in which a link to another zone is replaced, so that the graph stays random after a partition.
const ROTATION: Duration = Duration::from_secs(60);
/// Wait after a refusal, which another attempt would only repeat.
const REFUSED: Duration = Duration::from_secs(10);
/// Time between two suspicions of a node that this one fails to reach while the node refutes them: only the path
/// between the two is broken then.
const DOUBT: Duration = Duration::from_secs(60);
/// Age after which a link above the quota is closed; until then it carries what the two sides have to exchange.
const SURPLUS_AGE: Duration = Duration::from_secs(30);

/// An open link.
#[derive(Debug)]
pub struct Link {
    /// Node at the other end.
    pub peer: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub az: Az,
    /// Whether this node opened the link.
    pub dialed: bool,
    /// Time of the handshake.
    pub opened: Now,
    /// Time of the last frame received.
    pub heard: Now,
    /// Time of the last frame sent.
    pub sent: Now,
    /// Nodes whose entries are to be sent.
    pub pending: std::collections::BTreeSet<NodeId>,
}

impl Link {
    /// Takes the next batch of the pending entries.
    pub fn batch(&mut self, table: &Table) -> Option<Frame> {
        let mut list = Vec::new();
        let mut size = 0;
        while let Some(node) = self.pending.first() {
            let entry = table.entry(node);
            size += entry.as_ref().map_or(0, Entry::size);
            if list.len() == MAX_ITEMS || !list.is_empty() && size > BATCH_BYTES {
                break;
            }
            list.extend(entry);
            self.pending.pop_first();
        }
        (!list.is_empty()).then_some(Frame::Records(list))
    }
}

#[derive(Debug, Default)]
struct Hold {
    until: Now,
    backoff: Backoff,
    doubted: Option<Now>,
}

/// State of the choice.
#[derive(Debug)]
pub struct Dialer {
    az: Az,
    own: SocketAddr,
    /// Addresses of first contacts.
    pub seeds: Vec<SocketAddr>,
    /// Attempts that have not ended, with the zone of the node.
    going: BTreeMap<SocketAddr, Option<Az>>,
    holds: BTreeMap<SocketAddr, Hold>,
    next_repair: Now,
    next_rotation: Now,
}

/// Number of links by zone: own, others.
fn quota_use<'a, I>(own: &Az, zones: I) -> (usize, usize)
where
    I: Iterator<Item = &'a Az>,
{
    zones.fold((0, 0), |(near, far), az| match az == own {
        true => (near + 1, far),
        false => (near, far + 1),
    })
}

/// Decides between a new link and one to the same node: whether to keep the new one, and which one it replaces. `ours`
/// says that this node opened the new one.
pub fn resolve_duplicate(
    links: &BTreeMap<LinkId, Link>,
    own: &NodeId,
    remote: &Remote,
    ours: bool,
) -> (bool, Option<LinkId>) {
    let duplicate = links.iter().find(|(_, l)| l.peer == remote.node);
    // When both ends opened a link at the same time, both keep the one that the smaller id opened.
    let first = *own < remote.node;
    match duplicate {
        _ if remote.node == *own => (false, None),
        Some((_, l))
            if l.incarnation == remote.incarnation && l.dialed != ours && l.dialed == first =>
        {
            (false, None)
        }
        Some((id, _)) => (true, Some(*id)),
        None => (true, None),
    }
}

impl Dialer {
    /// Starts without links. `own` is the address of this node's listener, which is never dialed.
    pub fn new(az: Az, own: SocketAddr, seeds: Vec<SocketAddr>, rng: &mut StdRng) -> Self {
        Self {
            az,
            own,
            seeds,
            going: BTreeMap::new(),
            holds: BTreeMap::new(),
            next_repair: jitter(REPAIR, rng),
            next_rotation: around(ROTATION, rng),
        }
    }

    /// Chooses addresses to dial now.
    pub fn choose(
        &mut self,
        now: Now,
        table: &Table,
        links: &BTreeMap<LinkId, Link>,
        rng: &mut StdRng,
    ) -> Vec<SocketAddr> {
        let mut out = Vec::new();
        if links.is_empty() && self.going.is_empty() {
            out.extend(self.first(now, FIRST_CONTACTS, rng));
        }
        let dialed = links.values().filter(|l| l.dialed).map(|l| &l.az);
        let (near, far) = quota_use(&self.az, dialed.chain(self.going.values().flatten()));
        let alive = |m: Liveness| m == Liveness::Alive;
        let n = OWN_ZONE.saturating_sub(near);
        out.extend(self.pick(now, table, links, n, rng, |own, m| own && alive(m)));
        let n = OTHER_ZONES.saturating_sub(far);
        let found = self.pick(now, table, links, n, rng, |own, m| !own && alive(m));
        let missing = n - found.len();
        out.extend(found);
        let gone = |own: bool, m: Liveness| !own && m == Liveness::Unreachable;
        out.extend(self.pick(now, table, links, missing, rng, gone));
        if self.next_repair <= now {
            self.next_repair = now + around(REPAIR, rng);
            out.extend(self.repair(now, table, links, rng));
        }
        out
    }

    fn is_free(&self, now: Now, a: &SocketAddr) -> bool {
        *a != self.own
            && !self.going.contains_key(a)
            && self.holds.get(a).is_none_or(|h| h.until <= now)
    }

    fn first(&mut self, now: Now, n: usize, rng: &mut StdRng) -> Vec<SocketAddr> {
        let free = self.seeds.iter().filter(|a| self.is_free(now, a));
        let found: Vec<_> = free.copied().sample(rng, n);
        found.iter().for_each(|a| drop(self.going.insert(*a, None)));
        found
    }

    fn pick<F>(
        &mut self,
        now: Now,
        table: &Table,
        links: &BTreeMap<LinkId, Link>,
        n: usize,
        rng: &mut StdRng,
        wanted: F,
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
            .filter(|m| wanted(m.record.az == self.az, m.liveness))
            .filter(|m| !linked.contains(&m.record.node))
            .map(|m| (m.record.addresses.peer, m.record.az.clone()))
            .filter(|(a, _)| self.is_free(now, a))
            .sample(rng, n);
        let addresses = found.iter().map(|(a, _)| *a).collect();
        self.going
            .extend(found.into_iter().map(|(a, az)| (a, Some(az))));
        addresses
    }

    fn repair(
        &mut self,
        now: Now,
        table: &Table,
        links: &BTreeMap<LinkId, Link>,
        rng: &mut StdRng,
    ) -> Option<SocketAddr> {
        let gone = |_, m: Liveness| m.is_dead() || m == Liveness::Unreachable;
        let members: HashSet<_> = table
            .members()
            .values()
            .filter(|m| m.liveness == Liveness::Alive)
            .map(|m| m.record.addresses.peer)
            .collect();
        let seeds = self.seeds.iter().copied();
        let strange: Vec<_> = seeds
            .filter(|a| !members.contains(a) && self.is_free(now, a))
            .collect();
        let mut found = self.pick(now, table, links, 1, rng, gone);
        match (strange.choose(rng), found.pop()) {
            (Some(a), None) => {
                self.going.insert(*a, None);
                Some(*a)
            }
            (_, other) => other,
        }
    }

    /// Marks an address as being dialed, for an attempt that the choice did not make.
    pub fn start(&mut self, address: SocketAddr, az: &Az) -> bool {
        let free = address != self.own && !self.going.contains_key(&address);
        if free {
            self.going.insert(address, Some(az.clone()));
        }
        free
    }

    /// Ends an attempt with success.
    pub fn opened(&mut self, address: SocketAddr) {
        self.going.remove(&address);
        if let Some(h) = self.holds.get_mut(&address) {
            h.backoff.succeed();
        }
    }

    /// Ends an attempt with a failure. Returns whether it is a reason to suspect the node.
    pub fn failed(
        &mut self,
        now: Now,
        address: SocketAddr,
        error: &LinkError,
        rng: &mut StdRng,
    ) -> bool {
        self.going.remove(&address);
        self.holds
            .retain(|_, h| h.until + DOUBT > now || h.doubted.is_some_and(|t| t + DOUBT > now));
        let h = self.holds.entry(address).or_default();
        let delay = h.backoff.fail(rng);
        match error {
            LinkError::Busy(wait) => {
                h.until = now + *wait + delay;
                false
            }
            LinkError::Rejected(_) | LinkError::Invalid(_) => {
                h.until = now + REFUSED + delay;
                false
            }
            _ => {
                h.until = now + delay;
                let doubt = h.doubted.is_none_or(|t| t + DOUBT <= now);
                if doubt {
                    h.doubted = Some(now);
                }
                doubt
            }
        }
    }

    /// Links above the quota, and now and then one to another zone that is to be replaced.
    pub fn surplus(
        &mut self,
        now: Now,
        links: &BTreeMap<LinkId, Link>,
        rng: &mut StdRng,
    ) -> Option<LinkId> {
        let dialed = || links.iter().filter(|(_, l)| l.dialed);
        let (near, far) = quota_use(&self.az, dialed().map(|(_, l)| &l.az));
        let rotate = self.next_rotation <= now;
        if rotate {
            self.next_rotation = now + around(ROTATION, rng);
        }
        // The oldest link goes: a younger one may be the only one across a partition that has just healed.
        let oldest = |own: bool| {
            dialed()
                .filter(|(_, l)| (l.az == self.az) == own && l.opened + SURPLUS_AGE <= now)
                .min_by_key(|(_, l)| l.opened)
                .map(|(id, _)| *id)
        };
        match (near > OWN_ZONE, far > OTHER_ZONES) {
            (_, true) => oldest(false),
            (true, _) => oldest(true),
            _ if rotate && far == OTHER_ZONES => oldest(false),
            _ => None,
        }
    }
}
