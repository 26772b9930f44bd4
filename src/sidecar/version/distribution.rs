//! Distribution of a new configuration version over the links of the fleet: who requests it from whom, and how fast a
//! node sends it. No I/O.
//!
//! A version that the watchers of the store send to the whole fleet fills their links for seconds, and requests queue
//! behind it. Nodes therefore form a tree: a few nodes request a version from the watchers, the others from a node that
//! is before them in an order that all nodes share. Nodes that reach the store come first in it. Each node passes a
//! version on to a few others, one at a time.

use crate::prelude::*;
use crate::sidecar::process::fleet::watchers::{sort_watchers, WatcherCandidate, WATCHER_COUNT};

/// Number of nodes that request a version from the same node.
pub const FAN_OUT: usize = 4;
/// Fraction of the bandwidth of a node's link that versions may use; the rest is left to requests.
const LINK_FRACTION: f64 = 0.5;

/// Nodes from which a node requests a version, the preferred one first: its parent in the tree, the parent of that one,
/// and so on. Empty for a node at the top of the tree. An incomplete view of the fleet only makes the tree uneven.
pub fn sources(own: &WatcherCandidate, linked: &[WatcherCandidate]) -> Vec<NodeId> {
    let mut order: Vec<&WatcherCandidate> = linked.iter().collect();
    order.push(own);
    sort_watchers(&mut order);
    // A node that is to watch but does not reach the store gets the version from the others.
    order.sort_by_key(|c| !c.reaches_store);
    let own_index = order.iter().position(|c| c.node == own.node);
    let parent = |i: usize| i.checked_sub(WATCHER_COUNT).map(|i| i / FAN_OUT);
    std::iter::successors(own_index.and_then(parent), |i| parent(*i))
        .map(|i| order[i].node.clone())
        .collect()
}

/// Pause after a message of this size, so that messages use only a part of a link with this bandwidth.
pub fn pause_after(bytes: usize, link_mbps: f64) -> Duration {
    let bytes_per_s = link_mbps * 1e6 / 8.0 * LINK_FRACTION;
    Duration::try_from_secs_f64(bytes as f64 / bytes_per_s).unwrap_or_default()
}
