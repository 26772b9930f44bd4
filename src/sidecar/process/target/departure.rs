//! Keeps the announced stop of the target, so that the next process of this node knows of it too.
//!
//! It is written to the store, however long that takes. While the store does not take it, other nodes keep it: they tell
//! the next process when their links to it open. Only what is kept is acknowledged to the target. When the store comes back
//! from an older copy, what it had is written again. Other nodes also keep the
//! stop of a target that was not heard of, since the state of the current target does not tell them of it.

use tokio::sync::watch;

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::fleet::discovery;
use crate::sidecar::process::fleet::target_history::KnownTarget;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::target::records::DEPARTED_TTL;
use crate::sidecar::process::target::state::TargetId;
use crate::store::Era;

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

/// Maximum number of stops whose writes are tried at the same time.
const MAX_DEPARTURES: usize = 16;

/// An announced stop of a target of this node, and who keeps it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct OwnDeparture {
    id: TargetId,
    incarnation: u64,
    announced_at: Now,
    /// Era of the store that has it.
    stored: Option<Era>,
    keepers: Vec<NodeId>,
}

impl OwnDeparture {
    fn covers(&self, id: &TargetId, incarnation: u64) -> bool {
        self.id == *id && self.incarnation >= incarnation
    }
}

/// Announced stops of the targets of this node, the latest last; one for each target id.
#[derive(Debug, Default)]
pub struct OwnDepartures(Vec<OwnDeparture>);

impl OwnDepartures {
    /// The stop of an incarnation or a later one of the same id.
    fn find(&self, id: &TargetId, incarnation: u64) -> Option<&OwnDeparture> {
        self.0.iter().find(|d| d.covers(id, incarnation))
    }

    fn find_mut(&mut self, id: &TargetId, incarnation: u64) -> Option<&mut OwnDeparture> {
        self.0.iter_mut().find(|d| d.covers(id, incarnation))
    }

    /// Adds a stop in the place of that of an earlier incarnation. Returns whether it is new.
    fn add(&mut self, id: &TargetId, incarnation: u64, now: Now) -> bool {
        if self.find(id, incarnation).is_some() {
            return false;
        }
        self.0.retain(|d| d.id != *id);
        if self.0.len() == MAX_DEPARTURES {
            let stored = self.0.iter().position(|d| d.stored.is_some());
            self.0.remove(stored.unwrap_or(0));
        }
        self.0.push(OwnDeparture {
            id: id.clone(),
            incarnation,
            announced_at: now,
            ..OwnDeparture::default()
        });
        true
    }

    /// Whether the write of a stop goes on: it is not in the store, which is in this era, and no later one has taken its
    /// place.
    fn is_unwritten(&self, id: &TargetId, incarnation: u64, era: Era) -> bool {
        let stored = |d: &OwnDeparture| d.stored.is_some_and(|s| s >= era);
        let d = self.find(id, incarnation);
        d.is_some_and(|d| d.incarnation == incarnation && !stored(d))
    }

    /// Records that the store has begun an era. Returns the stops that it had before and that still matter.
    fn take_lost(&mut self, era: Era, now: Now) -> Vec<(TargetId, u64)> {
        let had = |d: &&mut OwnDeparture| d.stored.is_some_and(|s| s < era);
        let lost = self.0.iter_mut().filter(had);
        let lost = lost.filter(|d| now < d.announced_at + DEPARTED_TTL);
        lost.map(|d| {
            d.stored = None;
            (d.id.clone(), d.incarnation)
        })
        .collect()
    }
}

/// State of [`keep`]; notifies of changes.
pub type DepartureState = watch::Sender<OwnDepartures>;

/// Keeps the stop of a target. Returns whether it is kept; if not, the store is still tried in the background.
pub(crate) async fn keep(n: &Arc<Node>, id: &TargetId, incarnation: u64) -> bool {
    let new = begin(n, id, incarnation);
    if new && !is_in_state(n, id, incarnation) {
        tell_all(n, id, incarnation);
    }
    let mut departures = n.departures.subscribe();
    let is_stored = |d: &OwnDepartures| d.find(id, incarnation).is_some_and(|d| d.stored.is_some());
    let stored = departures.wait_for(is_stored);
    if let Ok(Ok(_)) = tokio::time::timeout(STORE_TIMEOUT, stored).await {
        return true;
    }
    let linked = tell_all(n, id, incarnation);
    let needed = KEEPERS.min(linked);
    let is_kept = |d: &OwnDepartures| {
        let d = d.find(id, incarnation);
        d.is_some_and(|d| d.stored.is_some() || needed > 0 && d.keepers.len() >= needed)
    };
    let kept = departures.wait_for(is_kept);
    let kept = matches!(tokio::time::timeout(PEER_TIMEOUT, kept).await, Ok(Ok(_)));
    if !kept {
        n.log.event("departure_not_kept", &[("target", id)]);
    }
    kept
}

/// Asks all linked nodes to keep the stop of a target. Returns their number.
fn tell_all(n: &Node, id: &TargetId, incarnation: u64) -> usize {
    let known = KnownTarget {
        id: id.clone(),
        incarnation,
        departed: true,
    };
    let message = Message::without_payload(Head::Departure(known));
    n.links.send_to_all(&message)
}

/// Whether the state of the current target, which all nodes get, tells of the stop.
fn is_in_state(n: &Node, id: &TargetId, incarnation: u64) -> bool {
    let state = n.target().state(n.clock.now());
    state.is_some_and(|t| t.leaving && t.id == *id && t.incarnation == incarnation)
}

/// Begins to write the stop to the store. Returns false if that has begun.
pub(crate) fn begin(n: &Arc<Node>, id: &TargetId, incarnation: u64) -> bool {
    let now = n.clock.now();
    let new = n
        .departures
        .send_if_modified(|d| d.add(id, incarnation, now));
    if new {
        n.log.event("target_leaving", &[("target", id)]);
        tokio::spawn(write(n.clone(), id.clone(), incarnation));
    }
    new
}

/// Writes the stops again that the store had before it began an era.
pub(crate) fn write_again(n: &Arc<Node>, era: Era) {
    let now = n.clock.now();
    let mut lost = Vec::new();
    n.departures.send_modify(|d| lost = d.take_lost(era, now));
    for (id, incarnation) in lost {
        n.log.event("departure_lost", &[("target", &id)]);
        tokio::spawn(write(n.clone(), id, incarnation));
    }
}

/// Writes the stop to the store until it is in, or until a later one of the same id takes its place.
async fn write(n: Arc<Node>, id: TargetId, incarnation: u64) {
    let mut back_off = WRITE_BACK_OFF.0;
    let era = n.store.era();
    let unwritten = || {
        let latest = *era.borrow();
        n.departures.borrow().is_unwritten(&id, incarnation, latest)
    };
    while unwritten() {
        match discovery::record_departure(&n, &id, incarnation).await {
            Ok(era) => n.departures.send_modify(|d| {
                let written = d.find_mut(&id, incarnation);
                if let Some(d) = written.filter(|d| d.incarnation == incarnation) {
                    d.stored = Some(era);
                }
            }),
            Err(e) => {
                n.log.event("note_failed", &[("error", &e.to_string())]);
                let wait = back_off.mul_f64(0.7 + 0.5 * rand::random::<f64>());
                tokio::time::sleep(wait).await;
                back_off = (back_off * 2).min(WRITE_BACK_OFF.1);
            }
        }
    }
}

impl Node {
    /// Records that another node keeps the stop of a target of this node.
    pub(crate) fn on_departure_kept(&self, node: &NodeId, known: &KnownTarget) {
        self.departures.send_if_modified(|d| {
            let kept = d.find_mut(&known.id, known.incarnation);
            // That a node keeps the stop of an earlier incarnation says nothing about a later one.
            let kept = kept.filter(|d| d.incarnation == known.incarnation);
            match kept.filter(|d| !d.keepers.contains(node)) {
                Some(d) => {
                    d.keepers.push(node.clone());
                    true
                }
                None => false,
            }
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
