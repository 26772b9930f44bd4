//! Choice of the node that should own each shard: the same on all nodes that know the same members.

use crate::prelude::*;
use crate::process::members::notices::Shard;
use crate::process::once::grants::SHARDS;

/// State of a member, as far as ownership matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Answers, but is leaving or out of reach at present.
    Leaving,
    /// Known to have ended.
    Dead,
}

/// A member of the site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub az: Az,
    /// State.
    pub state: MemberState,
}

/// Members by node id.
pub type Members = BTreeMap<NodeId, Member>;

/// FNV-1a with a final mix. The value has to be equal on all nodes, which a seeded hasher does not give.
fn score(shard: Shard, node: &str) -> u64 {
    let bytes = shard.to_be_bytes().into_iter().chain(node.bytes());
    let h = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    let h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

/// The node that should own each shard. Zones take turns; within a zone the highest score wins among nodes that do
/// not yet have their share, so that a change of members moves few shards.
pub fn choices(members: &Members) -> Vec<Option<NodeId>> {
    let mut zones: BTreeMap<&Az, Vec<(&NodeId, usize)>> = BTreeMap::new();
    for (id, m) in members
        .iter()
        .filter(|(_, m)| m.state == MemberState::Alive)
    {
        zones.entry(&m.az).or_default().push((id, 0));
    }
    let mut zones: Vec<_> = zones.into_values().collect();
    let n = zones.len();
    (0..SHARDS)
        .map(|shard| {
            let i = usize::from(shard).checked_rem(n)?;
            let share = (usize::from(SHARDS) - i)
                .div_ceil(n)
                .div_ceil(zones[i].len());
            let free = zones[i].iter_mut().filter(|(_, load)| *load < share);
            let best = free.max_by_key(|(id, _)| score(shard, id))?;
            best.1 += 1;
            Some(best.0.clone())
        })
        .collect()
}
