//! Which nodes hold the quota of a tenant. No I/O.
//!
//! The holders are a function of the known nodes, so that all nodes agree on them without messages. Nodes that cannot be
//! reached stay holders until they are forgotten: the part of a zone that is cut off remains its own.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::sidecar::process::quota::MAX_LOAN_TIME;

/// Holders per zone: a zone that is cut off keeps a holder when one of its nodes dies.
const HOLDERS_PER_ZONE: usize = 2;
/// Least number of holders in fleets with few zones, so that the loss of one costs a fourth of the quota at most.
const MIN_HOLDERS: usize = 4;
/// Greatest number of holders. A node may have to ask all of them for the last units.
const MAX_HOLDERS: usize = 8;
/// Time after a change of the known nodes after which a new holder may issue: the nodes that still know the former set
/// have then learned of the change, and what they lent has ended.
pub const HANDOVER: Duration = MAX_LOAN_TIME.saturating_add(Duration::from_millis(1600));

/// The known nodes with their zones, sorted.
pub type Nodes = Vec<(NodeId, Az)>;

/// The holders of a tenant, as this node knows them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holders {
    /// Holders with their zones.
    pub nodes: Vec<(NodeId, Az)>,
    /// Number of parts into which the quota is divided; above the number of holders just after it has fallen.
    pub parts: usize,
    /// Whether this node is one of them and may issue its part.
    pub own: bool,
}

/// The known nodes, now and during the last [`HANDOVER`].
#[derive(Debug, Clone)]
pub struct Roster {
    own: NodeId,
    nodes: Nodes,
    /// Whether these are all nodes.
    listed: bool,
    /// Earlier sets, with the times at which they were replaced.
    former: VecDeque<(Nodes, Now)>,
    /// Time at which the current set could first be used.
    settled_at: Now,
    /// Incremented whenever [`Roster::holders`] may have another result.
    pub generation: u64,
}

/// Hash by which nodes are ranked for a tenant; the same in all processes. FNV-1a alone ranks ids that differ in one
/// character alike, so its result is mixed as that of MurmurHash3.
fn rank(tenant: &str, node: &str) -> u64 {
    let bytes = tenant.bytes().chain([0xff]).chain(node.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// The nodes that hold a quota: the best of each zone, then the second of each zone, and so on.
fn choose(nodes: &Nodes, tenant: &str, max: usize) -> Nodes {
    let mut ranked: Vec<_> = nodes.iter().map(|n| (rank(tenant, &n.0), n)).collect();
    ranked.sort();
    let mut in_zone: HashMap<&Az, usize> = HashMap::default();
    let mut rounds: Vec<(usize, u64, &(NodeId, Az))> = Vec::with_capacity(ranked.len());
    for (hash, n) in ranked {
        let round = in_zone.entry(&n.1).or_default();
        rounds.push((*round, hash, n));
        *round += 1;
    }
    let wanted = (in_zone.len() * HOLDERS_PER_ZONE).clamp(MIN_HOLDERS, MAX_HOLDERS);
    rounds.sort();
    let best = rounds.into_iter().take(wanted.min(max));
    best.map(|(_, _, n)| n.clone()).collect()
}

impl Roster {
    /// Roster of the node `own`, which knows no nodes yet.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            nodes: Vec::new(),
            listed: false,
            former: VecDeque::new(),
            settled_at: Duration::ZERO,
            generation: 0,
        }
    }

    /// Sets the known nodes, this one included, and whether these are all. Once they were, they remain so.
    pub fn set(&mut self, mut nodes: Nodes, listed: bool, now: Now) {
        while self
            .former
            .front()
            .is_some_and(|(_, at)| now >= *at + HANDOVER)
        {
            self.former.pop_front();
            self.generation += 1;
        }
        nodes.sort();
        if nodes == self.nodes && listed == self.listed {
            return;
        }
        let former = std::mem::replace(&mut self.nodes, nodes);
        let had_all = std::mem::replace(&mut self.listed, listed);
        self.generation += 1;
        // The first full set has no predecessor: a process that has just started may issue at once, with few units.
        self.settled_at = now;
        if had_all {
            self.former.push_back((former, now));
            self.settled_at = now + HANDOVER;
        }
    }

    /// Time from which on the holders among the known nodes have issued alone; may be in the future.
    pub fn settled_at(&self) -> Now {
        self.settled_at
    }

    /// The holders of a tenant whose quota can be divided among `max` nodes.
    pub fn holders(&self, tenant: &str, max: usize) -> Holders {
        let nodes = choose(&self.nodes, tenant, max);
        let is_own = |list: &Nodes| list.iter().any(|n| n.0 == self.own);
        let (mut own, mut parts) = (self.listed && is_own(&nodes), nodes.len());
        for (former, _) in &self.former {
            let before = choose(former, tenant, max);
            own &= is_own(&before);
            parts = parts.max(before.len());
        }
        Holders { nodes, parts, own }
    }
}

/// Orders holders by preference of a borrower: own zone first, and otherwise spread over all of them.
pub fn by_preference(holders: &Holders, borrower: &NodeId, az: &Az) -> Vec<NodeId> {
    let others = holders.nodes.iter().filter(|n| n.0 != *borrower);
    let mut list: Vec<_> = others
        .map(|n| (n.1 != *az, rank(borrower, &n.0), n.0.clone()))
        .collect();
    list.sort();
    list.into_iter().map(|(_, _, n)| n).collect()
}
