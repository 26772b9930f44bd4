//! Which nodes watch the store for all others. Without I/O.
//!
//! The store's load must not grow with the fleet, so a few nodes watch and tell the others. Every node decides by itself
//! from what its links say; a wrong view costs a watch too many and never a change that nobody sees.

use crate::digest::Digest;
use crate::prelude::*;

/// Nodes whose watches are enough: one may be cut off and another one restart at the same time.
pub const WATCHERS: usize = 3;
/// Nodes that may stand in for watchers that cannot reach the store. The store itself is away if none of them can.
pub const CANDIDATES: usize = 12;

/// A node as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Node.
    pub node: NodeId,
    /// Whether it says that it reaches the store.
    pub fresh: bool,
}

/// Order of the nodes, the same everywhere and without regard to zones.
pub fn order(node: &str) -> u64 {
    Digest::of(node.as_bytes()).short()
}

/// Whether this node has to watch, beside the nodes that it has links to.
pub fn must_watch(own: &str, linked: &[Candidate]) -> bool {
    let rank = order(own);
    let before = linked.iter().filter(|c| order(&c.node) < rank);
    let (mut fresh, mut all) = (0, 0);
    for c in before {
        all += 1;
        fresh += usize::from(c.fresh);
    }
    fresh < WATCHERS && all < CANDIDATES
}
