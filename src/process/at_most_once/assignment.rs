//! Assignment of shards to their preferred owners. Nodes that know the same members compute the same assignment.

use crate::prelude::*;
use crate::process::at_most_once::grants::SHARD_COUNT;
use crate::process::members::notices::Shard;

/// State of a member, as far as it matters for ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Reachable, and may own shards.
    Alive,
    /// Draining or unreachable at present, but not known to have stopped.
    Unavailable,
    /// Known to have stopped or crashed.
    Dead,
}

/// What the ownership of shards depends on at a node of the site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Incarnation of the node; ranges of its other incarnations have no live owner.
    pub incarnation: Incarnation,
    /// Availability zone of the node; all zones get about the same number of shards.
    pub az: Az,
    /// State as seen by this node.
    pub state: MemberState,
}

/// Members by node id.
pub type Members = BTreeMap<NodeId, Member>;

/// FNV-1a with a finalizer. The value has to be equal on all nodes, so a randomly seeded hasher cannot be used.
fn rendezvous_score(shard: Shard, node: &str) -> u64 {
    let bytes = shard.to_be_bytes().into_iter().chain(node.bytes());
    let h = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    let h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

/// Preferred owner of each shard; `None` without live members. Shards are assigned to the availability zones in turn.
/// Within an availability zone, rendezvous hashing selects among the nodes that do not have their share yet, so that a
/// change of members moves few shards.
pub fn preferred_owners(members: &Members) -> Vec<Option<NodeId>> {
    let mut zones: BTreeMap<&Az, Vec<(&NodeId, usize)>> = BTreeMap::new();
    for (id, m) in members
        .iter()
        .filter(|(_, m)| m.state == MemberState::Alive)
    {
        zones.entry(&m.az).or_default().push((id, 0));
    }
    let mut zones: Vec<_> = zones.into_values().collect();
    let n = zones.len();
    (0..SHARD_COUNT)
        .map(|shard| {
            let i = usize::from(shard).checked_rem(n)?;
            let share = (usize::from(SHARD_COUNT) - i)
                .div_ceil(n)
                .div_ceil(zones[i].len());
            let candidates = zones[i].iter_mut().filter(|(_, load)| *load < share);
            let best = candidates.max_by_key(|(id, _)| rendezvous_score(shard, id))?;
            best.1 += 1;
            Some(best.0.clone())
        })
        .collect()
}
