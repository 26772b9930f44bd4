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
/// Maximum number of nodes that try to watch at the same time when some cannot reach the store.
pub const MAX_CANDIDATES: usize = 12;
/// Time for which each further group of [`MAX_CANDIDATES`] nodes tries to watch while no node is known to reach the
/// store. The groups take turns, so that the load of an unavailable store does not grow with the fleet.
pub const TURN_DURATION: Duration = Duration::from_millis(500);

/// A node that may watch the store: this one or a linked one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherCandidate {
    /// Id of the node.
    pub node: NodeId,
    /// Its availability zone.
    pub az: Az,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether it reports that it reaches the store, and has answered the last question about it.
    pub reaches_store: bool,
}

/// Sorts nodes into the order in which they watch the store, which is the same at all nodes. Nodes with a wide link come
/// first, because a watcher gets each version whole and sends it to several nodes. Among these, the availability zones
/// take turns, so that the loss of one zone leaves other watchers.
pub fn sort_watchers(nodes: &mut Vec<&WatcherCandidate>) {
    nodes.sort_by_cached_key(|c| (Reverse(c.link_mbps), Digest::of(c.node.as_bytes()).short()));
    let mut counts: HashMap<(u32, &str), usize> = HashMap::default();
    let mut ranked: Vec<_> = nodes
        .iter()
        .map(|c| {
            let count = counts.entry((c.link_mbps, &c.az)).or_default();
            *count += 1;
            (Reverse(c.link_mbps), *count, *c)
        })
        .collect();
    // Stable: nodes of the same rank in their zones keep their order.
    ranked.sort_by_key(|(width, rank, _)| (*width, *rank));
    *nodes = ranked.into_iter().map(|(_, _, c)| c).collect();
}

/// Whether the node `own` must watch the store, given the nodes that it has links to. `unconfirmed` is the time since its
/// version was last confirmed to be current.
pub fn must_watch(
    own: &WatcherCandidate,
    linked: &[WatcherCandidate],
    unconfirmed: Duration,
) -> bool {
    let mut order: Vec<_> = linked.iter().chain([own]).collect();
    sort_watchers(&mut order);
    let before = order.iter().take_while(|c| c.node != own.node);
    let (mut reaching, mut total) = (0, 0);
    for c in before {
        total += 1;
        reaching += usize::from(c.reaches_store);
    }
    if reaching >= WATCHER_COUNT {
        return false;
    }
    let reached = linked.iter().any(|c| c.reaches_store);
    total < MAX_CANDIDATES
        || own.reaches_store
        || !reached && is_turn(total / MAX_CANDIDATES, order.len(), unconfirmed)
}

/// Whether it is the turn of a group of nodes to try the store.
fn is_turn(group: usize, nodes: usize, unconfirmed: Duration) -> bool {
    let turn = unconfirmed.as_millis() / TURN_DURATION.as_millis();
    let groups = nodes.div_ceil(MAX_CANDIDATES);
    // The first group tries all the time.
    turn > 0 && (turn as usize - 1) % (groups - 1).max(1) + 1 == group
}
