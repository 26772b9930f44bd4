//! Table of membership records: merging, suspicion, cut-off availability zones and bucket hashes.

use std::collections::BTreeSet;

use crate::connection::frame::{Entry, Mark, BUCKETS};
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
    pub mark: Mark,
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
    marked: BTreeSet<NodeId>,
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

fn entry_hash(r: &Record, mark: Mark) -> u64 {
    let parts: [&[u8]; 4] = [
        r.node.as_bytes(),
        &r.incarnation.to_be_bytes(),
        &r.sequence.to_be_bytes(),
        &[mark as u8],
    ];
    match mark.is_dead() {
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
            marked: BTreeSet::new(),
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
            mark: m.mark,
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
        let key = |r: &Record, m: Mark| (r.order(), m);
        let floor = match held {
            None if e.mark.is_dead() => return false,
            Some(m) if key(&m.record, m.mark) >= key(&e.record, e.mark) => return false,
            Some(m) => m.floor,
            None => VersionRef::default(),
        };
        self.put(now, e, floor);
        true
    }

    fn put(&mut self, now: Now, e: Entry, floor: VersionRef) {
        let Entry { record, mark } = e;
        let node = record.node.clone();
        let at = bucket(&node);
        let hash = entry_hash(&record, mark);
        let suspected = match (mark, self.members.get(&node)) {
            (Mark::Alive, _) => None,
            (_, Some(m)) => m.suspected.or(Some(now)),
            _ => Some(now),
        };
        match mark {
            Mark::Alive => self.marked.remove(&node),
            _ => self.marked.insert(node.clone()),
        };
        let floor = match floor.number < record.version.number {
            true => record.version,
            false => floor,
        };
        let old = self.members.insert(
            node,
            Member {
                record,
                mark,
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
    pub fn mark(&mut self, now: Now, node: &NodeId, mark: Mark) -> bool {
        match self.entry(node) {
            Some(e) if e.mark < mark => self.merge(now, Entry { mark, ..e }),
            _ => false,
        }
    }

    /// Applies the passage of time and returns the nodes whose mark changed. `touched` are the zones that this node has
    /// had an open link to for at least [`RETURN`].
    pub fn tick(&mut self, now: Now, touched: &[Az]) -> Vec<NodeId> {
        let mut changed = Vec::new();
        for (node, mark) in self.due(now, touched) {
            if self.mark(now, &node, mark) {
                changed.push(node);
            }
        }
        let ended = |m: &Member| m.mark.is_dead() && m.since + REMOVAL <= now;
        let removed = self.marked().filter(|m| ended(m));
        let removed: Vec<_> = removed.map(|m| m.record.node.clone()).collect();
        for node in removed {
            self.members.remove(&node);
            self.marked.remove(&node);
        }
        changed
    }

    fn due(&self, now: Now, touched: &[Az]) -> Vec<(NodeId, Mark)> {
        let cut = self.cut_zones(now);
        let next = |m: &Member| match m.mark {
            Mark::Suspect | Mark::Dead if m.is_recent(now) && cut.contains(&m.record.az) => {
                Some(Mark::Unreachable)
            }
            Mark::Suspect if m.since + SUSPICION <= now => Some(Mark::Dead),
            Mark::Unreachable if m.since + ABANDON <= now => Some(Mark::Expired),
            Mark::Unreachable if m.since + RETURN <= now && touched.contains(&m.record.az) => {
                Some(Mark::Expired)
            }
            _ => None,
        };
        self.marked()
            .filter_map(|m| next(m).map(|mark| (m.record.node.clone(), mark)))
            .collect()
    }

    /// Members that are not alive.
    pub fn marked(&self) -> impl Iterator<Item = &Member> {
        self.marked.iter().filter_map(|n| self.members.get(n))
    }

    /// Zones of which enough records became suspect together.
    pub fn cut_zones(&self, now: Now) -> Vec<Az> {
        let mut lost: BTreeMap<&Az, usize> = BTreeMap::new();
        let is_lost = |m: &Member| m.mark == Mark::Unreachable || m.is_recent(now);
        for m in self.marked().filter(|m| is_lost(m)) {
            *lost.entry(&m.record.az).or_default() += 1;
        }
        lost.retain(|_, n| *n >= CUT_LEAST);
        if lost.is_empty() {
            return Vec::new();
        }
        let size = |az: &Az| {
            let members = self.members.values();
            members
                .filter(|m| m.record.az == *az && (is_lost(m) || !m.mark.is_dead()))
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
