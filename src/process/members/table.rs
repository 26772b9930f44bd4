//! Table of membership records: merging, suspicion, detection of partitioned availability zones, and bucket hashes.

use std::collections::BTreeSet;

use crate::connection::frame::{Entry, Liveness, BUCKETS};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::record::Record;
use crate::version::snapshot::VersionRef;

/// Time that a suspect node has to refute the suspicion before it counts as dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which the record of a dead node is removed.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Window in which the suspicions of nodes in one availability zone are counted together.
pub const PARTITION_WINDOW: Duration = Duration::from_secs(5);
/// Fewest suspicions in one window for which an availability zone counts as partitioned.
pub const MIN_PARTITION_SUSPECTS: usize = 3;
/// Time that an unreachable node has to become alive again after this node has a link to its availability zone.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which an unreachable node expires even if this node has no link to its availability zone, so that zones
/// which were taken out of service do not fill the table.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Shortest delay before a node sends its record because of a changed version alone. A record reaches every node over
/// most of its links. If all nodes sent theirs at once, that would cost several times as much as the change itself:
/// 14.7 KB per change and node with 20 nodes. Linked peers know the version from its announcement.
const MIN_VERSION_DELAY: Duration = Duration::from_secs(600);
/// Shortest such delay in a large site, per node of the site. Every record reaches each node in about 16 copies of 130
/// bytes, so that records for changed versions take at most 3.2 KB/s per node.
const VERSION_DELAY_PER_NODE: Duration = Duration::from_millis(650);

/// What this node knows about a node.
#[derive(Debug, Clone)]
pub struct Member {
    /// Latest record of the node.
    pub record: Record,
    /// Liveness of the process that wrote the record.
    pub liveness: Liveness,
    /// Time at which the record or its liveness last changed.
    pub updated: Now,
    /// Time at which the node became suspect, for the detection of partitioned zones.
    suspected_at: Option<Now>,
    /// Highest version in any record with this node id, or that the node held as a linked peer. It is sent to the node
    /// on each new link, as its version floor after a restart.
    pub floor: VersionRef,
    hash: u64,
}

/// Table of all known nodes, with this one and, for [`DEAD_RETENTION`], those that are dead.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    bucket_hashes: Vec<u64>,
    /// Nodes that are not alive, so that a tick does not have to scan the whole table.
    not_alive: BTreeSet<NodeId>,
}

/// Index of the bucket that a node id belongs to.
pub fn bucket(node: &NodeId) -> usize {
    Digest::of(node.as_bytes()).short() as usize % BUCKETS
}

/// Delay before a node sends its record because of a changed version alone, in a site of `nodes` nodes.
pub fn version_delay(nodes: usize, node: &NodeId) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let min = MIN_VERSION_DELAY.max(VERSION_DELAY_PER_NODE.saturating_mul(nodes));
    // All nodes change their version at the same time. The bucket of the node spreads the records over `min`.
    min + min / BUCKETS as u32 * bucket(node) as u32
}

fn entry_hash(r: &Record, liveness: Liveness) -> u64 {
    let parts: [&[u8]; 4] = [
        r.node.as_bytes(),
        &r.incarnation.to_be_bytes(),
        &r.sequence.to_be_bytes(),
        &[liveness as u8],
    ];
    match liveness.is_dead() {
        // Nodes remove dead records at different times, which must not cause exchanges.
        true => 0,
        false => Digest::of_parts(&parts).short(),
    }
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            bucket_hashes: vec![0; BUCKETS],
            not_alive: BTreeSet::new(),
        }
    }

    /// All known nodes, by id.
    pub fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// Hash of each bucket over the entries in it that are not dead.
    pub fn bucket_hashes(&self) -> &[u64] {
        &self.bucket_hashes
    }

    /// Entry of a node, as it is sent to other nodes.
    pub fn entry(&self, node: &NodeId) -> Option<Entry> {
        self.members.get(node).map(|m| Entry {
            record: m.record.clone(),
            liveness: m.liveness,
        })
    }

    /// Nodes in the buckets whose bit is set.
    pub fn in_buckets(&self, bits: u64) -> Vec<NodeId> {
        let wanted = |n: &&NodeId| bits >> bucket(n) & 1 == 1;
        self.members.keys().filter(wanted).cloned().collect()
    }

    /// Stores an entry if it is newer than the present one of its node. Returns whether the table changed.
    pub fn merge(&mut self, now: Now, e: Entry) -> bool {
        let held = self.members.get(&e.record.node);
        let key = |r: &Record, l: Liveness| (r.order(), l);
        let floor = match held {
            None if e.liveness.is_dead() => return false,
            Some(m) if key(&m.record, m.liveness) >= key(&e.record, e.liveness) => return false,
            Some(m) => m.floor,
            None => VersionRef::default(),
        };
        self.insert(now, e, floor);
        true
    }

    fn insert(&mut self, now: Now, e: Entry, floor: VersionRef) {
        let Entry { record, liveness } = e;
        let node = record.node.clone();
        let index = bucket(&node);
        let hash = entry_hash(&record, liveness);
        let suspected_at = match (liveness, self.members.get(&node)) {
            (Liveness::Alive, _) => None,
            (_, Some(m)) => m.suspected_at.or(Some(now)),
            _ => Some(now),
        };
        match liveness {
            Liveness::Alive => self.not_alive.remove(&node),
            _ => self.not_alive.insert(node.clone()),
        };
        let floor = match floor.number < record.version.number {
            true => record.version,
            false => floor,
        };
        let old = self.members.insert(
            node,
            Member {
                record,
                liveness,
                updated: now,
                suspected_at,
                floor,
                hash,
            },
        );
        let bucket_hash = &mut self.bucket_hashes[index];
        *bucket_hash = bucket_hash
            .wrapping_sub(old.map_or(0, |m| m.hash))
            .wrapping_add(hash);
    }

    /// Raises the liveness of a node to a later value in the order of [`Liveness`]. Returns whether it changed.
    pub fn raise_liveness(&mut self, now: Now, node: &NodeId, liveness: Liveness) -> bool {
        match self.entry(node) {
            Some(e) if e.liveness < liveness => self.merge(now, Entry { liveness, ..e }),
            _ => false,
        }
    }

    /// Does what is due at `now`. Returns the nodes whose liveness changed. `linked_zones` are the availability zones
    /// to which this node has had an open link for at least [`RETURN_TIMEOUT`].
    pub fn tick(&mut self, now: Now, linked_zones: &[Az]) -> Vec<NodeId> {
        let mut changed = Vec::new();
        for (node, liveness) in self.due_changes(now, linked_zones) {
            if self.raise_liveness(now, &node, liveness) {
                changed.push(node);
            }
        }
        let is_removable = |m: &Member| m.liveness.is_dead() && m.updated + DEAD_RETENTION <= now;
        let removed = self.not_alive().filter(|m| is_removable(m));
        let removed: Vec<_> = removed.map(|m| m.record.node.clone()).collect();
        for node in removed {
            self.members.remove(&node);
            self.not_alive.remove(&node);
        }
        changed
    }

    fn due_changes(&self, now: Now, linked_zones: &[Az]) -> Vec<(NodeId, Liveness)> {
        let partitioned = self.partitioned_zones(now);
        let next = |m: &Member| match m.liveness {
            Liveness::Suspect | Liveness::Dead
                if m.is_recently_suspected(now) && partitioned.contains(&m.record.az) =>
            {
                Some(Liveness::Unreachable)
            }
            Liveness::Suspect if m.updated + SUSPICION_TIMEOUT <= now => Some(Liveness::Dead),
            Liveness::Unreachable if m.updated + EXPIRY_TIMEOUT <= now => Some(Liveness::Expired),
            Liveness::Unreachable
                if m.updated + RETURN_TIMEOUT <= now && linked_zones.contains(&m.record.az) =>
            {
                Some(Liveness::Expired)
            }
            _ => None,
        };
        self.not_alive()
            .filter_map(|m| next(m).map(|liveness| (m.record.node.clone(), liveness)))
            .collect()
    }

    /// Nodes that are not [`Liveness::Alive`].
    pub fn not_alive(&self) -> impl Iterator<Item = &Member> {
        self.not_alive.iter().filter_map(|n| self.members.get(n))
    }

    /// Availability zones that count as partitioned: at least [`MIN_PARTITION_SUSPECTS`] of their nodes, and at least
    /// half of them, became suspect within [`PARTITION_WINDOW`] or are unreachable.
    pub fn partitioned_zones(&self, now: Now) -> Vec<Az> {
        let mut missing: BTreeMap<&Az, usize> = BTreeMap::new();
        let is_missing =
            |m: &Member| m.liveness == Liveness::Unreachable || m.is_recently_suspected(now);
        for m in self.not_alive().filter(|m| is_missing(m)) {
            *missing.entry(&m.record.az).or_default() += 1;
        }
        missing.retain(|_, n| *n >= MIN_PARTITION_SUSPECTS);
        if missing.is_empty() {
            return Vec::new();
        }
        let size = |az: &Az| {
            let members = self.members.values();
            members
                .filter(|m| m.record.az == *az && (is_missing(m) || !m.liveness.is_dead()))
                .count()
        };
        let found = missing.into_iter().filter(|(az, n)| 2 * n >= size(az));
        found.map(|(az, _)| az.clone()).collect()
    }

    /// Raises the version floor of a linked node to a version that it holds.
    pub fn raise_floor(&mut self, node: &NodeId, v: VersionRef) {
        match self.members.get_mut(node) {
            Some(m) if m.floor.number < v.number => m.floor = v,
            _ => {}
        }
    }
}

impl Member {
    /// Whether the node became suspect within [`PARTITION_WINDOW`] and has not refuted the suspicion.
    fn is_recently_suspected(&self, now: Now) -> bool {
        self.suspected_at
            .is_some_and(|t| t + PARTITION_WINDOW > now)
    }
}
