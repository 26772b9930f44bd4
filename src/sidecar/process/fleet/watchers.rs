//! Selection of the nodes that watch the store on behalf of all others. No I/O.
//!
//! The load of the store must not grow with the fleet, so only a few nodes watch it and notify the others. Every node
//! decides on its own from the state of its links. An incomplete view leads to superfluous watches but never to a
//! change that no node sees.

use std::cmp::Reverse;

use crate::digest::Digest;
use crate::prelude::*;

/// Number of nodes that watch the store. Three tolerate one node that is cut off while another one restarts.
pub const WATCHER_COUNT: usize = 3;
/// Maximum number of nodes that try to watch when some cannot reach the store. If none of these reaches it, the store
/// itself is unavailable.
pub const MAX_CANDIDATES: usize = 12;

/// A node that may watch the store: this one or a linked one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherCandidate {
    /// Id of the node.
    pub node: NodeId,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether it reports that it reaches the store.
    pub reaches_store: bool,
}

/// Position of a node in the order of watchers, which is the same at all nodes and independent of availability zones.
/// Nodes with a wide link come first, because a watcher gets each version whole and sends it to several nodes.
pub fn watch_order(c: &WatcherCandidate) -> (Reverse<u32>, u64) {
    (Reverse(c.link_mbps), Digest::of(c.node.as_bytes()).short())
}

/// Whether the node `own` must watch the store, given the nodes that it has links to.
pub fn must_watch(own: &WatcherCandidate, linked: &[WatcherCandidate]) -> bool {
    let own_order = watch_order(own);
    let before = linked.iter().filter(|c| watch_order(c) < own_order);
    let (mut reaching, mut total) = (0, 0);
    for c in before {
        total += 1;
        reaching += usize::from(c.reaches_store);
    }
    reaching < WATCHER_COUNT && total < MAX_CANDIDATES
}
