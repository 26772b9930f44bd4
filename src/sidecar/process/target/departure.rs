//! Keeps the announced stop of the target, so that the next process of this node knows of it too.
//!
//! It is written to the store, however long that takes. While the store does not take it, other nodes keep it: they tell
//! the next process when their links to it open. Only what is kept is acknowledged to the target.

use tokio::sync::watch;

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::fleet::discovery;
use crate::sidecar::process::fleet::target_history::KnownTarget;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::target::state::TargetId;

/// Time for the store to take a stop before other nodes are asked to keep it. Together with [`PEER_TIMEOUT`] well below
/// the one second for which the target waits for the acknowledgement.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for the other nodes to confirm that they keep it.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of other nodes that must confirm it; fewer if not so many are linked. One of two may end too.
const KEEPERS: usize = 2;
/// Shortest and longest back-off between writes to the store.
const WRITE_BACK_OFF: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1400));

/// The last announced stop of the target, and who keeps it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnDeparture {
    id: TargetId,
    incarnation: u64,
    stored: bool,
    keepers: Vec<NodeId>,
}

impl OwnDeparture {
    fn covers(&self, id: &TargetId, incarnation: u64) -> bool {
        self.id == *id && self.incarnation >= incarnation
    }
}

/// State of [`keep`]; notifies of changes.
pub type DepartureState = watch::Sender<OwnDeparture>;

/// Keeps the stop of a target. Returns whether it is kept; if not, the store is still tried in the background.
pub(crate) async fn keep(n: &Arc<Node>, id: &TargetId, incarnation: u64) -> bool {
    begin(n, id, incarnation);
    let mut departure = n.departure.subscribe();
    let stored = departure.wait_for(|d| d.stored || !d.covers(id, incarnation));
    if let Ok(Ok(d)) = tokio::time::timeout(STORE_TIMEOUT, stored).await {
        return d.stored;
    }
    let linked = n
        .links
        .send_to_all(&Message::without_payload(Head::Departure(KnownTarget {
            id: id.clone(),
            incarnation,
            departed: true,
        })));
    let needed = KEEPERS.min(linked);
    let kept = |d: &OwnDeparture| d.stored || needed > 0 && d.keepers.len() >= needed;
    let kept = departure.wait_for(kept);
    let kept = matches!(tokio::time::timeout(PEER_TIMEOUT, kept).await, Ok(Ok(_)));
    if !kept {
        n.log.event("departure_not_kept", &[("target", id)]);
    }
    kept
}

/// Begins to write the stop to the store, unless that has begun.
pub(crate) fn begin(n: &Arc<Node>, id: &TargetId, incarnation: u64) {
    let begun = n.departure.send_if_modified(|d| {
        let new = !d.covers(id, incarnation);
        if new {
            *d = OwnDeparture {
                id: id.clone(),
                incarnation,
                ..OwnDeparture::default()
            };
        }
        new
    });
    if begun {
        n.log.event("target_leaving", &[("target", id)]);
        tokio::spawn(write(n.clone(), id.clone(), incarnation));
    }
}

/// Writes the stop to the store until it is in, or until a later one takes its place.
async fn write(n: Arc<Node>, id: TargetId, incarnation: u64) {
    let mut back_off = WRITE_BACK_OFF.0;
    while n.departure.borrow().covers(&id, incarnation) {
        match discovery::record_departure(&n, &id, incarnation).await {
            Ok(()) => {
                n.departure.send_modify(|d| {
                    d.stored |= d.covers(&id, incarnation) && d.incarnation == incarnation;
                });
                return;
            }
            Err(e) => n.log.event("note_failed", &[("error", &e.to_string())]),
        }
        let wait = back_off.mul_f64(0.7 + 0.5 * rand::random::<f64>());
        tokio::time::sleep(wait).await;
        back_off = (back_off * 2).min(WRITE_BACK_OFF.1);
    }
}

impl Node {
    /// Records that another node keeps the stop of a target of this node.
    pub(crate) fn on_departure_kept(&self, node: &NodeId, known: &KnownTarget) {
        self.departure.send_if_modified(|d| {
            let new = d.covers(&known.id, known.incarnation) && !d.keepers.contains(node);
            if new {
                d.keepers.push(node.clone());
            }
            new
        });
    }

    /// Applies what another node remembers of the targets of this node.
    pub(crate) fn on_known_targets(self: &Arc<Self>, known: &[KnownTarget]) {
        let departed = self.target().on_known_targets(known, self.clock.now());
        self.apply_target_state();
        for k in departed {
            self.log.event("departure_restored", &[("target", &k.id)]);
            begin(self, &k.id, k.incarnation);
        }
    }
}
