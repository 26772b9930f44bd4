//! Table of membership records: merging, suspicion, cut-off availability zones and bucket hashes.

use std::collections::BTreeSet;

use crate::connection::frame::{Entry, Liveness, BUCKETS};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::record::Record;
use crate::version::snapshot::VersionRef;

/// Time in which the owner may refute a suspicion.
pub const SUSPICION: Duration = Duration::from_secs(4);
/// Time after which a dead record is removed.
pub const REMOVAL: Duration = Duration::from_secs(600);
/// Time in which the suspicions of a zone are counted together.
pub const CUT_WINDOW: Duration = Duration::from_secs(5);
/// Fewest suspicions that let a zone count as cut off.
pub const CUT_LEAST: usize = 3;
/// Time that a record has to come back after its zone did.
pub const RETURN: Duration = Duration::from_secs(30);
/// Time after which an unreachable record expires although its zone did not come back, so that zones which were given
/// up do not fill the table.
pub const ABANDON: Duration = Duration::from_secs(24 * 3600);

/// Least time after which a node sends its record for a changed version alone. A record reaches every node over most of
/// its links, so that a version in each record at once costs several times the change itself: 14.7 KB for each change
/// and node were measured with 20 nodes. Linked peers know the version from its announcement.
const VERSION_INTERVAL: Duration = Duration::from_secs(600);
/// The same for each node of a large site. A record costs every node about 16 copies of 130 bytes, so that this share
/// takes at most 3.2 KB/s.
const VERSION_SHARE: Duration = Duration::from_millis(650);

/// A node as seen by this one.
#[derive(Debug, Clone)]
pub struct Member {
    /// Record.
    pub record: Record,
    /// Mark.
    pub liveness: Liveness,
    /// Time of the mark.
    pub since: Now,
    /// Time of the last suspicion, for the detection of cut-off zones.
    suspected: Option<Now>,
    /// Greatest version in any record of this node id.
    pub floor: VersionRef,
    hash: u64,
}

/// All known nodes.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<NodeId, Member>,
    buckets: Vec<u64>,
    /// Nodes that are not alive, so that a tick does not have to look at the whole table.
    not_alive: BTreeSet<NodeId>,
}

/// Bucket of a node id.
pub fn bucket(node: &NodeId) -> usize {
    Digest::of(node.as_bytes()).short() as usize % BUCKETS
}

/// Time after which a node sends its record for a changed version alone, in a site of `nodes`.
pub fn version_wait(nodes: usize, node: &NodeId) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    let least = VERSION_INTERVAL.max(VERSION_SHARE.saturating_mul(nodes));
    // All nodes change their version at the same time; their records are spread over the interval.
    least + least / BUCKETS as u32 * bucket(node) as u32
}

fn entry_hash(r: &Record, liveness: Liveness) -> u64 {
    let parts: [&[u8]; 4] = [
        r.node.as_bytes(),
        &r.incarnation.to_be_bytes(),
        &r.sequence.to_be_bytes(),
        &[liveness as u8],
    ];
    match liveness.is_dead() {
        // Nodes remove dead records at different times; a difference there must not cause exchanges.
        true => 0,
        false => Digest::of_parts(&parts).short(),
    }
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            not_alive: BTreeSet::new(),
        }
    }

    /// All members.
    pub fn members(&self) -> &BTreeMap<NodeId, Member> {
        &self.members
    }

    /// Bucket hashes.
    pub fn hashes(&self) -> &[u64] {
        &self.buckets
    }

    /// One member as it is sent.
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

    /// Takes an entry that is newer than the one held. Returns whether the table changed.
    pub fn merge(&mut self, now: Now, e: Entry) -> bool {
        let held = self.members.get(&e.record.node);
        let key = |r: &Record, m: Liveness| (r.order(), m);
        let floor = match held {
            None if e.liveness.is_dead() => return false,
            Some(m) if key(&m.record, m.liveness) >= key(&e.record, e.liveness) => return false,
            Some(m) => m.floor,
            None => VersionRef::default(),
        };
        self.put(now, e, floor);
        true
    }

    fn put(&mut self, now: Now, e: Entry, floor: VersionRef) {
        let Entry { record, liveness } = e;
        let node = record.node.clone();
        let at = bucket(&node);
        let hash = entry_hash(&record, liveness);
        let suspected = match (liveness, self.members.get(&node)) {
            (Liveness::Alive, _) => None,
            (_, Some(m)) => m.suspected.or(Some(now)),
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
                since: now,
                suspected,
                floor,
                hash,
            },
        );
        let sum = &mut self.buckets[at];
        *sum = sum
            .wrapping_sub(old.map_or(0, |m| m.hash))
            .wrapping_add(hash);
    }

    /// Raises the mark of a node. Returns whether it changed.
    pub fn raise_liveness(&mut self, now: Now, node: &NodeId, liveness: Liveness) -> bool {
        match self.entry(node) {
            Some(e) if e.liveness < liveness => self.merge(now, Entry { liveness, ..e }),
            _ => false,
        }
    }

    /// Applies the passage of time and returns the nodes whose mark changed. `touched` are the zones that this node has
    /// had an open link to for at least [`RETURN`].
    pub fn tick(&mut self, now: Now, touched: &[Az]) -> Vec<NodeId> {
        let mut changed = Vec::new();
        for (node, liveness) in self.due(now, touched) {
            if self.raise_liveness(now, &node, liveness) {
                changed.push(node);
            }
        }
        let ended = |m: &Member| m.liveness.is_dead() && m.since + REMOVAL <= now;
        let removed = self.not_alive().filter(|m| ended(m));
        let removed: Vec<_> = removed.map(|m| m.record.node.clone()).collect();
        for node in removed {
            self.members.remove(&node);
            self.not_alive.remove(&node);
        }
        changed
    }

    fn due(&self, now: Now, touched: &[Az]) -> Vec<(NodeId, Liveness)> {
        let cut = self.cut_zones(now);
        let next = |m: &Member| match m.liveness {
            Liveness::Suspect | Liveness::Dead
                if m.is_recent(now) && cut.contains(&m.record.az) =>
            {
                Some(Liveness::Unreachable)
            }
            Liveness::Suspect if m.since + SUSPICION <= now => Some(Liveness::Dead),
            Liveness::Unreachable if m.since + ABANDON <= now => Some(Liveness::Expired),
            Liveness::Unreachable if m.since + RETURN <= now && touched.contains(&m.record.az) => {
                Some(Liveness::Expired)
            }
            _ => None,
        };
        self.not_alive()
            .filter_map(|m| next(m).map(|liveness| (m.record.node.clone(), liveness)))
            .collect()
    }

    /// Members that are not alive.
    pub fn not_alive(&self) -> impl Iterator<Item = &Member> {
        self.not_alive.iter().filter_map(|n| self.members.get(n))
    }

    /// Zones of which enough records became suspect together.
    pub fn cut_zones(&self, now: Now) -> Vec<Az> {
        let mut lost: BTreeMap<&Az, usize> = BTreeMap::new();
        let is_lost = |m: &Member| m.liveness == Liveness::Unreachable || m.is_recent(now);
        for m in self.not_alive().filter(|m| is_lost(m)) {
            *lost.entry(&m.record.az).or_default() += 1;
        }
        lost.retain(|_, n| *n >= CUT_LEAST);
        if lost.is_empty() {
            return Vec::new();
        }
        let size = |az: &Az| {
            let members = self.members.values();
            members
                .filter(|m| m.record.az == *az && (is_lost(m) || !m.liveness.is_dead()))
                .count()
        };
        let found = lost.into_iter().filter(|(az, n)| 2 * n >= size(az));
        found.map(|(az, _)| az.clone()).collect()
    }

    /// Notes a version that a linked node says it holds, for its floor after a restart.
    pub fn raise_floor(&mut self, node: &NodeId, v: VersionRef) {
        match self.members.get_mut(node) {
            Some(m) if m.floor.number < v.number => m.floor = v,
            _ => {}
        }
    }
}

impl Member {
    /// Whether the record became suspect within the window of the zone detection and was not refuted.
    fn is_recent(&self, now: Now) -> bool {
        self.suspected.is_some_and(|t| t + CUT_WINDOW > now)
    }
}
