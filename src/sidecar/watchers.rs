//! Selection of the nodes that watch the store on behalf of all others. No I/O.
//!
//! The load of the store must not grow with the fleet, so only a few nodes watch it and notify the others. Every node
//! decides on its own from the state of its links. An incomplete view leads to superfluous watches but never to a
//! change that no node sees.

use crate::digest::Digest;
use crate::prelude::*;

/// Number of nodes that watch the store. Three tolerate one node that is cut off while another one restarts.
pub const WATCHER_COUNT: usize = 3;
/// Maximum number of nodes that try to watch when some cannot reach the store. If none of these reaches it, the store
/// itself is unavailable.
pub const MAX_CANDIDATES: usize = 12;

/// A linked node that may watch the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherCandidate {
    /// Id of the linked node, from which [`watch_order`] is computed.
    pub node: NodeId,
    /// Whether it reports that it reaches the store.
    pub reaches_store: bool,
}

/// Position of a node in the order of watchers, which is the same at all nodes and independent of availability zones.
pub fn watch_order(node: &str) -> u64 {
    Digest::of(node.as_bytes()).short()
}

/// Whether the node `own` must watch the store, given the nodes that it has links to.
pub fn must_watch(own: &str, linked: &[WatcherCandidate]) -> bool {
    let own_order = watch_order(own);
    let before = linked.iter().filter(|c| watch_order(&c.node) < own_order);
    let (mut reaching, mut total) = (0, 0);
    for c in before {
        total += 1;
        reaching += usize::from(c.reaches_store);
    }
    reaching < WATCHER_COUNT && total < MAX_CANDIDATES
}
